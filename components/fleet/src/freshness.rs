//! Logs when this host starts and stops serving.

use std::{rc::Rc, time::Duration};

use tracing::{info, warn};

use crate::{
    condition::{Condition, Transition},
    fleet::Fleet,
};

/// Interval at which freshness is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl Fleet {
    /// Logs when this host stops serving because it cannot prove that its revision is the newest,
    /// and when it starts again; runs until the process ends.
    pub(crate) async fn log_freshness(self: Rc<Self>) {
        let stale = Condition::default();
        loop {
            monoio::time::sleep(CHECK_INTERVAL).await;
            let now = self.clock.now();
            match stale.update(!self.current.is_fresh(now), now) {
                Transition::Started if self.current.get().is_some() => warn!(
                    "fleet: this host cannot prove that its revision is the newest; it refuses \
                     all requests until it can."
                ),
                Transition::Ended(duration) => info!(
                    "fleet: this host proved that its revision is the newest after {} ms; it \
                     serves requests.",
                    duration.as_millis()
                ),
                _ => {}
            }
        }
    }
}
