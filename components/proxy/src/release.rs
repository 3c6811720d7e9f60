//! Release of a former leader by the other hosts, and the notification of the next one.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{
    GroupId, HostId, Point,
    coverage::Acknowledged,
    view::{Leadership, LeaseRelease, Versioned},
};
use bergamottrack_peer::{Answer, Question};
use tracing::info;

use crate::{group::Group, host::Host, monitor, servers::UNUSED_TTL};

/// Timeout of a request to apply a group's row. The other host replies after its statements at
/// the former leader have ended.
const APPLY_TIMEOUT: Duration = Duration::from_millis(1800);

/// Delay before a host whose link is not up is tried again.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns what this host states about a group as it releases the leader; `None` before it has read the
/// store's clock.
pub fn acknowledged(host: &Host, group: &Group) -> Option<Acknowledged> {
    host.leased_view.borrow().age(host.now())?;
    let (now, clock) = (host.now(), monitor::store_now(host));
    let store_time = |at: Instant| clock.saturating_sub(now.saturating_duration_since(at));
    // An earlier state of the group was dropped after that time without use.
    let known = group.created.checked_sub(UNUSED_TTL).unwrap_or(host.started);
    let since = store_time(known.max(host.started));
    // A time that the store's clock had not reached yet would date the position after a commit that it
    // does not contain.
    let leader = group.observed();
    let leader =
        leader.and_then(|(at, point)| Some((host.store_clock.borrow().reached(at)?, point)));
    Some(Acknowledged { confirmed: group.receipts.confirmed(), since, leader })
}

/// Sends a group's row to all hosts whose links are up, without waiting for their answers.
pub fn notify_hosts(host: &Rc<Host>, id: &GroupId, row: &Versioned<Leadership>) {
    let links = host.mesh.links().into_iter().chain(host.mesh.temporary_links());
    for link in links.filter(|link| link.is_up()) {
        let question = Question::ApplyLeadership {
            group: id.clone(),
            row: row.clone(),
            wants_confirmed: false,
        };
        monoio::spawn(async move {
            // A host that does not answer receives the row from its hub or the store.
            let _ = link.query(question, APPLY_TIMEOUT).await;
        });
    }
}

/// Requests a host's release of the former leader until the host releases it, or until no host that
/// has not released it can use it any more. Raises `confirmed` to the last record that a replica has
/// confirmed to the host, and adds what the host has acknowledged to `reports`.
///
/// That the host cannot be reached, or refuses connections, does not show that it has stopped: a
/// network can refuse connections to a host that still reaches the former leader.
pub async fn request_release(
    host: Rc<Host>,
    id: HostId,
    group: GroupId,
    row: Versioned<Leadership>,
    release: Rc<RefCell<LeaseRelease>>,
    confirmed: Rc<Cell<Option<Point>>>,
    reports: Rc<RefCell<BTreeMap<HostId, Acknowledged>>>,
) {
    while !release.borrow().is_over(host.now()) {
        let Some(link) = host.reach(&id).filter(|link| link.is_up()) else {
            monoio::time::sleep(LINK_CHECK_INTERVAL).await;
            continue;
        };
        let question = Question::ApplyLeadership {
            group: group.clone(),
            row: row.clone(),
            wants_confirmed: true,
        };
        let answer = link.query(question, APPLY_TIMEOUT).await;
        let version = match answer {
            Ok(Answer::LeadershipApplied(version)) => Some(version),
            Ok(Answer::Released { version, confirmed: newest, acknowledged }) => {
                confirmed.set(confirmed.get().max(newest));
                if version >= row.version
                    && let Some(report) = acknowledged
                {
                    reports.borrow_mut().insert(id.clone(), report);
                }
                Some(version)
            }
            _ => None,
        };
        if version.is_some_and(|version| version >= row.version) {
            if release.borrow_mut().mark_released(&id, host.now()) {
                record_wait_end(&host, &group, &id, WaitEnd::Released);
            }
            return;
        }
        monoio::time::sleep(monitor::CHECK_INTERVAL).await;
    }
    if release.borrow().waiting().contains(&id) {
        let cut_off = release.borrow().is_cut_off(host.now());
        let why = if cut_off { WaitEnd::CutOff } else { WaitEnd::Expired };
        record_wait_end(&host, &group, &id, why);
    }
}

/// Reason why a failover no longer waits for a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitEnd {
    /// The host answered that it has released the former leader.
    Released,
    /// The host's row in the store shows a release, or that the host has left the fleet.
    Stored,
    /// The host can have had no contact with the fleet for long enough.
    CutOff,
    /// The host's lease has expired.
    Expired,
}

impl WaitEnd {
    /// Name in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Released => "released",
            Self::Stored => "stored",
            Self::CutOff => "cut off",
            Self::Expired => "expired",
        }
    }
}

/// Records why a failover no longer waits for a host. A host's own answer is the usual case and gets
/// no line in the log.
pub fn record_wait_end(host: &Host, group: &GroupId, id: &HostId, why: WaitEnd) {
    host.metrics.record_wait_end(why.name());
    if why != WaitEnd::Released {
        info!(%group, host = %id, why = why.name(), "leader: failover no longer waits for host");
    }
}
