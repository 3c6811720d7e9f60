//! Whether this host serves, as the operator is told in the log.

use std::{rc::Rc, time::Duration};

use tracing::{info, warn};

use crate::{
    condition::{Condition, Transition},
    fleet::Fleet,
};

const CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl Fleet {
    /// Logs when this host stops and begins to serve, as it can show that its
    /// revision is the newest.
    pub(crate) async fn log_freshness(self: Rc<Self>) {
        let stale = Condition::default();
        loop {
            monoio::time::sleep(CHECK_INTERVAL).await;
            let now = self.clock.now();
            match stale.update(!self.current.is_fresh(now), now) {
                Transition::Started if self.current.get().is_some() => warn!(
                    "fleet: this host cannot show that its revision is the newest; it refuses all \
                     requests until it can."
                ),
                Transition::Ended(time) => info!(
                    "fleet: this host can show that its revision is the newest; it serves, after \
                     {} ms.",
                    time.as_millis()
                ),
                _ => {}
            }
        }
    }
}
