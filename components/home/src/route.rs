//! Which server runs an exchange.

use std::{rc::Rc, time::Instant};

use bergamottrack_coordination::{Reason, Refusal};
use bergamottrack_peer::Intent;

use crate::{
    group::{COME_BACK, GroupHome},
    server::Server,
};

impl GroupHome {
    /// Chooses the server that runs an exchange; waits for one until `deadline`.
    pub async fn route(&self, intent: &Intent, deadline: Instant) -> Result<Rc<Server>, Refusal> {
        // A write that no other server can confirm is not even begun.
        let refuse = || self.no_majority().map(Err);
        let choose = || self.choose(intent).map(Ok);
        let look = || match intent {
            Intent::Write => refuse().or_else(choose),
            Intent::Read { .. } => choose().or_else(refuse),
        };
        let found = self.until(deadline, look).await;
        found.unwrap_or_else(|| {
            let message = format!("group {} has no server for this now", self.id);
            Err(Refusal::not_run(Reason::Unavailable, Some(COME_BACK), message))
        })
    }

    fn choose(&self, intent: &Intent) -> Option<Rc<Server>> {
        let Intent::Read { floor: Some(floor), .. } = intent else {
            return self.primary().map(|(server, _)| server);
        };
        let replica = self
            .statuses()
            .filter(|(_, status)| !status.leads() && status.applied.covers(*floor))
            .max_by_key(|(server, _)| server.slots.available_permits());
        match replica {
            Some((server, _)) => Some(server.clone()),
            None => self.primary().filter(|(_, s)| s.applied.covers(*floor)).map(|(s, _)| s),
        }
    }
}
