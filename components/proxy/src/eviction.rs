//! Eviction of silent hosts from the fleet.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_adapter::store::{self, Change};
use bergamottrack_coordination::{HostId, view::Member};
use bergamottrack_platform::http::Client;
use tracing::info;

use crate::{fleet, follow::STORE_TIMEOUT, host::Host};

/// Time without contact after which a hub evicts a host. A host that was removed for good
/// delays a failover by a whole lease unless it was evicted at least that long before. A host that
/// was only cut off joins again.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// Evicts silent hosts and removes the rows of evicted hosts whose leases have expired, in an
/// endless loop. Only a hub does so, while it holds a lease.
pub async fn evict_silent(host: Rc<Host>) {
    let client = Client::new(host.settings.store_address);
    let mut isolated = false;
    loop {
        monoio::time::sleep(Duration::from_secs(1)).await;
        let now = host.now();
        record_row_versions(&host, now);
        let was_isolated = std::mem::replace(&mut isolated, !host.reaches_majority());
        if was_isolated && !isolated {
            // This host itself was cut off. Without a reset, it would evict healthy hosts as soon
            // as it has contact with a majority again.
            host.last_contact.borrow_mut().values_mut().for_each(|(contact, _)| *contact = now);
        }
        if !host.leased() {
            continue;
        }
        let Some(change) = next_removal(&host, now) else { continue };
        match store::change(&client, &change, STORE_TIMEOUT).await {
            Ok(verdict) => info!(?change.expect, ?verdict, "fleet: eviction sent to the store"),
            Err(error) => info!(error = %format_args!("{error:#}"), "fleet: eviction failed"),
        }
        host.view_wakeup.notify_one();
    }
}

/// Counts a new version of a host's row as contact, since it shows that the host runs even if no
/// message arrives; discards the records of hosts that have left the view.
fn record_row_versions(host: &Host, now: Instant) {
    let leased_view = host.leased_view.borrow();
    let mut last_contact = host.last_contact.borrow_mut();
    last_contact.retain(|id, _| leased_view.view().members.contains_key(id));
    for (id, row) in &leased_view.view().members {
        let version = Some(row.version);
        if last_contact.get(id).is_none_or(|(_, before)| *before != version) {
            last_contact.insert(id.clone(), (now, version));
        }
    }
}

/// Returns the change that evicts a silent member, or removes the row of an evicted member whose
/// lease has expired; `None` if there is no such member or this host is not a hub. Evicts only
/// hosts that send heartbeats to this host.
pub fn next_removal(host: &Host, now: Instant) -> Option<Change> {
    if !host.is_hub() {
        return None;
    }
    let last_contact = host.last_contact.borrow();
    let neighbours = host.neighbours.borrow();
    let leased_view = host.leased_view.borrow();
    let view = leased_view.view();
    let silent = |id: &HostId| {
        last_contact
            .get(id)
            .is_some_and(|(contact, _)| now.saturating_duration_since(*contact) > SILENCE_TIMEOUT)
    };
    for (id, row) in &view.members {
        let expect = vec![(fleet::member_key(id), row.version)];
        if row.value.lease_expired(view.clock) {
            return Some(Change {
                expect,
                remove: vec![fleet::member_key(id)],
                ..Change::default()
            });
        }
        let sends_heartbeats = neighbours.mesh || row.value.domain == host.settings.domain;
        if sends_heartbeats && row.value.left.is_none() && *id != host.settings.host && silent(id) {
            // The view may be as old as a lease, and its time precedes the eviction.
            let left = view.clock + leased_view.age(now)? + fleet::IN_FLIGHT_TTL;
            let member = Member { left: Some(left), ..row.value.clone() };
            let value = serde_json::to_vec(&member).ok()?;
            let put = vec![(fleet::member_key(id), value)];
            return Some(Change { expect, put, remove: Vec::new() });
        }
    }
    None
}
