//! Taking hosts out of the fleet that are not heard any more.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_adapter::store::{self, Change};
use bergamottrack_coordination::{HostId, view::Member};
use bergamottrack_platform::http::Client;
use tracing::info;

use crate::{fleet, follow::STORE_WITHIN, host::Host};

/// How long a host must be silent to the one who takes it out. A host that was
/// removed for good delays a change of leader by a whole lease, unless it was
/// taken out that long before; one that is just cut off counts itself in again.
const SILENT_FOR: Duration = Duration::from_secs(4);

/// Takes out hosts that have been silent for long, and removes what is left of
/// hosts taken out before, for ever.
pub async fn take_out_silent(host: Rc<Host>) {
    let client = Client::new(host.settings.store_address);
    let mut alone = false;
    loop {
        monoio::time::sleep(Duration::from_secs(1)).await;
        let now = host.now();
        hear_rows(&host, now);
        let was_alone = std::mem::replace(&mut alone, !host.hears_majority());
        if was_alone && !alone {
            // It was this host that could not be heard. Judged by what it missed, hosts that
            // were well all the while would be taken out when the cut has healed.
            host.heard.borrow_mut().values_mut().for_each(|(at, _)| *at = now);
        }
        if !host.leased() {
            continue;
        }
        let Some(change) = silent_member(&host, now) else { continue };
        match store::change(&client, &change, STORE_WITHIN).await {
            Ok(verdict) => info!(?change.expect, ?verdict, "fleet: a silent host is taken out"),
            Err(error) => info!(error = %format_args!("{error:#}"), "fleet: not taken out"),
        }
        host.look.notify_one();
    }
}

/// A host that wrote its row lately lives, though it is not heard.
fn hear_rows(host: &Host, now: Instant) {
    let held = host.held.borrow();
    let mut heard = host.heard.borrow_mut();
    heard.retain(|id, _| held.view().members.contains_key(id));
    for (id, row) in &held.view().members {
        let version = Some(row.version);
        if heard.get(id).is_none_or(|(_, before)| *before != version) {
            heard.insert(id.clone(), (now, version));
        }
    }
}

/// What takes out a member that has been silent, or removes one taken out long ago.
/// A host only judges those that speak to it.
fn silent_member(host: &Host, now: Instant) -> Option<Change> {
    if !host.is_hub() {
        return None;
    }
    let heard = host.heard.borrow();
    let neighbours = host.neighbours.borrow();
    let held = host.held.borrow();
    let view = held.view();
    let silent = |id: &HostId| {
        heard.get(id).is_some_and(|(at, _)| now.saturating_duration_since(*at) > SILENT_FOR)
    };
    for (id, row) in &view.members {
        let expect = vec![(fleet::member_key(id), row.version)];
        if row.value.is_over(view.clock) {
            return Some(Change {
                expect,
                remove: vec![fleet::member_key(id)],
                ..Change::default()
            });
        }
        let judged = neighbours.mesh || row.value.domain == host.settings.domain;
        if judged && row.value.left.is_none() && *id != host.settings.host && silent(id) {
            let member = Member { left: Some(view.clock), ..row.value.clone() };
            let value = serde_json::to_vec(&member).ok()?;
            let put = vec![(fleet::member_key(id), value)];
            return Some(Change { expect, put, remove: Vec::new() });
        }
    }
    None
}
