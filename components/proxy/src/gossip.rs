//! Heartbeats between hosts, and requests for state that is newer on another host.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{
    FailureDomain, GroupId, HostId,
    changes::Changes,
    contact,
    demand::TokenRequest,
    evacuation, freshness, reports,
    view::{Leadership, Versioned},
};
use bergamottrack_peer::{
    Answer, Link, Question,
    accept::Replier,
    message::{
        ClockReading, ContactReply, Heartbeat, Hello, KnownVersions, LeaderPosition, Updates,
    },
};
use bytes::Bytes;
use tracing::{debug, info, warn};

use crate::{
    compression, fetch, fleet, follow, forward,
    host::{Host, PeerClock, Phase},
    join, placement, positions, release, tokens,
};

/// Interval of heartbeats, which carry demand and state versions: a fraction of the decay
/// time of demand and of the time within which a configuration must be active.
const HEARTBEAT_INTERVAL: Duration = reports::REPORT_INTERVAL;

/// Interval of heartbeats while a starting host has no configuration or no servers.
const STARTUP_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for the answer to a heartbeat; the round trip is 2 ms.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for an answer with newer state while the link is up: a list of several thousand
/// servers occupies a 10 Mbit/s link for a second.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay after an unanswered request for newer state before a request is sent to another host too.
const NEXT_HOST_DELAY: Duration = Duration::from_millis(400);

/// Maximum age of the view before other hosts are polled: slightly longer than the store
/// usually takes to confirm the view.
const MAX_VIEW_AGE: Duration = Duration::from_millis(3200);

/// Interval of checks of the state's age. A check that finds the state too old polls one host.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Handles a request from another host.
pub fn answer(host: &Rc<Host>, peer: &Hello, question: Question, replier: Replier) {
    let version = host.leased_view.borrow().view().members.get(&peer.host).map(|row| row.version);
    host.last_contact.borrow_mut().insert(peer.host.clone(), (host.now(), version));
    match question {
        Question::Heartbeat(beat) => {
            host.demand.borrow_mut().note_message(&peer.host, host.now());
            positions::apply_heartbeat(host, &beat);
            replier.reply(Answer::Heartbeat(Box::new(heartbeat_answer(host, &beat))));
            if beat.report.is_none() && peer.domain == host.settings.domain {
                host.demand.borrow_mut().mark_idle(&peer.host);
            }
            apply_heartbeat(host, &peer.host, &peer.domain, *beat);
        }
        Question::TakeToken { account, rate, burst, claim, priority } => {
            let (account, from) = (&account, Some(&peer.host));
            let request = TokenRequest { account, rate, burst, host: from, claim, priority };
            replier.reply(Answer::Ruling(tokens::admit_for(host, &peer.host, &request)));
        }
        Question::LastContact(server) => {
            let pool = host.server(&server);
            let last_answer = pool.and_then(|pool| pool.exchanges.borrow().answered(host.now()));
            replier.reply(Answer::LastContact(last_answer));
        }
        Question::Forward(statement) => {
            monoio::spawn(forward::serve(host.clone(), peer.host.clone(), *statement, replier));
        }
        Question::CancelTransaction(work) => {
            host.remote_transactions.cancel(&peer.host, work, host.now());
            replier.reply(Answer::Pong);
        }
        Question::ApplyLeadership { group, row, wants_confirmed } => {
            let host = host.clone();
            monoio::spawn(apply_leadership(host, group, row, wants_confirmed, replier));
        }
        Question::Register(registration) => {
            monoio::spawn(join::admit(host.clone(), peer.host.clone(), *registration, replier));
        }
        Question::Piece(wanted) => replier.reply(Answer::Piece(fetch::piece(host, wanted))),
        Question::Updates(known) => {
            replier.reply(Answer::Updates(Box::new(newer_than(host, known))))
        }
        _ if *host.phase.borrow() != Phase::Serving => replier.reply(Answer::Draining),
        _ => replier.reply(Answer::Pong),
    }
}

/// Applies a group's row and replies once no work on this host relies on a leader that the
/// row no longer names: at once, unless the newest row announces a failover.
async fn apply_leadership(
    host: Rc<Host>,
    id: GroupId,
    row: Versioned<Leadership>,
    wants_confirmed: bool,
    replier: Replier,
) {
    let group = host.group(&id);
    group.release_requested.set(group.release_requested.get().max(row.version));
    fleet::apply_row(&host, &id, row.clone());
    loop {
        let newest = host.leased_view.borrow().leadership(&id).cloned().unwrap_or(row.clone());
        let moving = matches!(newest.value, Leadership::Moving { .. });
        if !moving || group.released.get() >= newest.version {
            let version = newest.version;
            let confirmed = group.receipts.confirmed();
            let acknowledged = release::acknowledged(&host, &group);
            return replier.reply(if wants_confirmed {
                Answer::Released { version, confirmed, acknowledged }
            } else {
                Answer::LeadershipApplied(version)
            });
        }
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the state of this host that is newer than the requester's versions, and all known
/// evacuations. State that is sent as a whole is packed if the requester reads that.
pub fn newer_than(host: &Host, requester: KnownVersions) -> Updates {
    let known = host.versions();
    let has_view = known.view.0 != requester.view.0 && known.view.1 > requester.view.1;
    let view = has_view.then(|| host.leased_view.borrow().changes(requester.view_version));
    let packs = |changes: &Changes| changes.since == 0 && requester.reads_packed;
    let packed_view = view.as_ref().filter(|view| packs(view)).map(|whole| {
        let mut packed = host.packed.borrow_mut();
        cached(&mut packed.view, known.view.0, || compression::pack(&whole.view))
    });
    let servers = known.servers.0 != requester.servers.0 && known.servers.1 > requester.servers.1;
    let catalog = host.backends.catalog.borrow();
    let server_changes = servers.then(|| catalog.changes(requester.servers_version)).flatten();
    let whole = servers && server_changes.is_none();
    let packed_servers = (whole && requester.reads_packed).then(|| {
        let mut packed = host.packed.borrow_mut();
        cached(&mut packed.servers, known.servers.0, || compression::pack(&catalog.listed()))
    });
    Updates {
        known,
        view: view.filter(|_| packed_view.is_none()),
        packed_view,
        servers: (whole && packed_servers.is_none()).then(|| catalog.listed()),
        packed_servers,
        server_changes,
        evacuations: evacuations(host),
    }
}

/// Returns the cached state with the given stamp; computes it if the cache holds another one.
fn cached(cache: &mut Option<(u64, Bytes)>, stamp: u64, pack: impl FnOnce() -> Bytes) -> Bytes {
    match cache {
        Some((known, packed)) if *known == stamp => packed.clone(),
        _ => cache.insert((stamp, pack())).1.clone(),
    }
}

/// Replaces packed state in an answer by its content.
pub fn unpack(updates: &mut Updates) -> anyhow::Result<()> {
    if let Some(packed) = updates.packed_view.take() {
        updates.view = Some(Changes::whole(compression::unpack(&packed)?));
    }
    if let Some(packed) = updates.packed_servers.take() {
        updates.servers = Some(compression::unpack(&packed)?);
    }
    Ok(())
}

fn evacuations(host: &Host) -> Option<evacuation::Set> {
    let known = host.evacuations.borrow();
    known.is_known().then(|| known.clone())
}

/// Returns a heartbeat with this host's state, without a demand report.
fn own_heartbeat(host: &Host) -> Heartbeat {
    let (known, majority) = (host.versions(), host.reaches_majority());
    let evacuations = evacuations(host);
    Heartbeat {
        report: None,
        known,
        majority,
        evacuations,
        positions: Vec::new(),
        clock: None,
        echo: None,
        interest: None,
        learned_ms: None,
        contact: None,
    }
}

/// Returns the answer to a heartbeat. The answer has no demand report: this host's own heartbeats
/// report the requests that it admitted.
fn heartbeat_answer(host: &Host, beat: &Heartbeat) -> Heartbeat {
    let clock = host.now().saturating_duration_since(host.started);
    let clock = Some(ClockReading { run: host.run, clock });
    let positions = if host.is_hub() { positions::requested(host, beat) } else { Vec::new() };
    let contact = contact_reply(host, beat.known.view_version);
    Heartbeat { positions, clock, contact, ..own_heartbeat(host) }
}

/// Returns the contact for a host whose view has the version `since`; `None` if this host is about to
/// leave the fleet, or if the other host lacks too many rows.
fn contact_reply(host: &Host, since: u64) -> Option<ContactReply> {
    if host.withdrawn.get() {
        return None;
    }
    let leased_view = host.leased_view.borrow();
    let rows = leased_view.rows_since(since)?;
    let age_ms = leased_view
        .relayed_age(host.now())
        .map(|age| u32::try_from(age.as_millis()).map_or(u32::MAX, |ms| ms.saturating_add(1)));
    Some(ContactReply { rows, age_ms })
}

/// Applies the contact in a host's answer to a heartbeat sent at `sent_at`.
fn apply_contact(host: &Rc<Host>, from: &HostId, reply: ContactReply, sent_at: Instant) {
    // The rows first: contact counts for a host that has all rows of the answering host.
    for (group, row) in reply.rows {
        fleet::apply_row(host, &group, row);
    }
    let age = reply.age_ms.map(|ms| Duration::from_millis(ms.into()));
    host.leased_view.borrow_mut().note_contact(from, sent_at, age);
}

/// Returns whether heartbeats go to all hosts in reach, because this host has had no contact with
/// the fleet through its hub for [`contact::WIDEN_TIMEOUT`].
fn widens(host: &Host) -> bool {
    host.leased_view.borrow().lacks_contact(contact::WIDEN_TIMEOUT, host.now())
}

/// Returns the heartbeat for the host at the other end of the link, with the leader positions that
/// this host observed itself. Omits the positions until a clock reading of that host is known.
fn heartbeat_for(
    host: &Host,
    link: &Link,
    beat: &Heartbeat,
    own: &[(Instant, LeaderPosition)],
) -> Heartbeat {
    let interest = positions::interest(host);
    let Some(clock) = host.peer_clocks.borrow().get(&link.host).copied() else {
        return Heartbeat { interest, ..beat.clone() };
    };
    let elapsed = host.now().saturating_duration_since(clock.sent_at).as_millis();
    Heartbeat {
        positions: positions::with_offsets(own, clock.received_at),
        echo: Some(clock.reading),
        // Positions of a group that was not of interest before may have been learned earlier.
        learned_ms: interest.is_none().then(|| u32::try_from(elapsed).unwrap_or(u32::MAX)),
        interest,
        ..beat.clone()
    }
}

/// Applies another host's heartbeat and requests the state that is newer there.
fn apply_heartbeat(host: &Rc<Host>, id: &HostId, domain: &FailureDomain, beat: Heartbeat) {
    if let Some(report) = beat.report {
        let mesh = host.neighbours.borrow().mesh;
        let participant = if mesh { id.clone() } else { fleet::domain_party(domain) };
        if let Some(part) = report.invalid_claim() {
            tokens::warn_invalid_claim(host, id, part);
        }
        let no = report.no;
        let left_out =
            host.demand.borrow_mut().receive_report(&participant, id, &report, host.now());
        if left_out > 0 {
            debug!(from = %id, no, left_out, "rates: requests within the claims of another side, not charged");
        }
    }
    if beat.majority && *id == host.hub() {
        host.hub_majority.set(Some(host.now()));
    }
    if let Some(evacuations) = &beat.evacuations {
        placement::merge(host, id, evacuations);
    }
    confirm_versions(host, beat.known);
    let (own, known) = (host.versions(), beat.known);
    let Some(link) = host.mesh.link(id) else { return };
    fetch::begin(host, &link, known.plan.0);
    let has_newer = (known.view.0 != own.view.0 && known.view.1 > own.view.1)
        || (known.servers.0 != own.servers.0 && known.servers.1 > own.servers.1);
    if has_newer {
        request_updates(host, link);
    }
}

/// Requests newer state from a host, unless a request to that host is outstanding or an outstanding
/// request to any host was sent less than [`NEXT_HOST_DELAY`] ago.
///
/// Guards against several copies of one answer on a link that needs longer than the timeout
/// to transfer the answer: each copy would arrive too late and block all other traffic.
fn request_updates(host: &Rc<Host>, link: Rc<Link>) {
    let now = host.now();
    let mut requested = host.pending_requests.borrow_mut();
    let recent =
        requested.values().any(|since| now.saturating_duration_since(*since) < NEXT_HOST_DELAY);
    if recent || requested.contains_key(&link.host) {
        return;
    }
    requested.insert(link.host.clone(), now);
    let host = host.clone();
    monoio::spawn(async move {
        fetch_updates(&host, &link).await;
        host.pending_requests.borrow_mut().remove(&link.host);
    });
}

/// Records the configuration version that another host reports, and confirms the state of this
/// host that has the same version on the other host.
fn confirm_versions(host: &Host, known: KnownVersions) {
    host.newest.set(host.newest.get().max(known.plan.0));
    if known.plan.0 == host.version() {
        host.documents.borrow_mut().confirm(known.plan.1);
    }
    let backends = &host.backends;
    if known.servers.0 == backends.catalog.borrow().stamp() {
        backends.clock.set(backends.clock.get().max(known.servers.1));
        backends.catalog.borrow_mut().advance(known.servers_version);
    }
    let confirmed_at = host.store_clock.borrow().local(known.view.1);
    if let Some(confirmed_at) = confirmed_at {
        host.leased_view.borrow_mut().renew(known.view.0, known.view.1, confirmed_at);
    }
}

/// Sends demand and state versions in an endless loop: to all connected hosts if this host reports
/// the requests that it admitted or lacks contact with the fleet, otherwise to its hub only.
pub async fn send_heartbeats(host: Rc<Host>) {
    loop {
        tokens::record_contacts(&host);
        host.demand.borrow_mut().publish(host.now());
        let (hub, is_reporter) = (host.hub(), tokens::is_reporter(&host));
        let report = is_reporter.then(|| host.demand.borrow().report(host.now()));
        let beat = Heartbeat { report, ..own_heartbeat(&host) };
        let own = positions::take_observed(&host);
        let to_all = is_reporter || widens(&host);
        let is_recipient = |link: &Rc<Link>| link.is_up() && (to_all || link.host == hub);
        for link in host.mesh.links().into_iter().filter(is_recipient) {
            let beat = Box::new(heartbeat_for(&host, &link, &beat, &own));
            host.held_claims.borrow_mut().note_sent(&link.host, host.now());
            let host = host.clone();
            monoio::spawn(async move {
                let sent_at = host.now();
                // A missing answer needs no action: silent hosts are evicted by their last contact.
                if let Ok(Answer::Heartbeat(mut answer)) =
                    link.query(Question::Heartbeat(beat), HEARTBEAT_TIMEOUT).await
                {
                    record_clock(&host, &link, &answer, sent_at);
                    if let Some(reply) = answer.contact.take() {
                        apply_contact(&host, &link.host, reply, sent_at);
                    }
                    let member = host.leased_view.borrow().view().members.get(&link.host).cloned();
                    if let Some(member) = member {
                        apply_heartbeat(&host, &link.host, &member.value.domain, *answer);
                    }
                }
            });
        }
        let starting = host.plan().is_none() || host.backends.catalog.borrow().is_empty();
        monoio::time::sleep(if starting { STARTUP_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL })
            .await;
    }
}

/// Records the clock and the leader positions in the answer to a heartbeat sent at `sent_at`.
fn record_clock(host: &Host, link: &Link, answer: &Heartbeat, sent_at: Instant) {
    if let Some(clock) = answer.clock {
        let clock = PeerClock { reading: clock, sent_at, received_at: host.now() };
        host.peer_clocks.borrow_mut().insert(link.host.clone(), clock);
    }
    positions::apply_reply(host, answer, sent_at);
}

/// Polls other hosts in turn for newer state while this host's view or configuration is too old, in
/// an endless loop.
pub async fn poll_peers(host: Rc<Host>) {
    let intervals = freshness::PollIntervals::for_bound(
        host.settings.apply_bound.min(host.settings.evacuation_bound),
    );
    let mut turn = 0;
    loop {
        monoio::time::sleep(POLL_INTERVAL).await;
        let is_old = |age: Option<Duration>, limit| age.is_none_or(|age| age > limit);
        let old_view = is_old(host.leased_view.borrow().age(host.now()), MAX_VIEW_AGE);
        if !old_view && !is_old(host.plan_age(), intervals.ask) {
            continue;
        }
        let links: Vec<Rc<Link>> =
            host.mesh.links().into_iter().filter(|link| link.is_up()).collect();
        if links.is_empty() {
            continue;
        }
        turn += 1;
        request_updates(&host, links[turn % links.len()].clone());
    }
}

/// Fetches newer state over a link. If the view changes in the answer do not apply, requests the
/// whole view.
async fn fetch_updates(host: &Rc<Host>, link: &Rc<Link>) {
    let mut known = host.versions();
    loop {
        let requested_at = host.now();
        let answer = link.query(Question::Updates(known), UPDATE_TIMEOUT).await;
        let ms = (host.now() - requested_at).as_millis() as u64;
        let newest = match answer {
            Ok(Answer::Updates(mut newest)) => match unpack(&mut newest) {
                Ok(()) => newest,
                Err(error) => {
                    let error = format_args!("{error:#}");
                    warn!(from = %link.host, %error, "fleet: newer state cannot be decoded, ignored");
                    return;
                }
            },
            Ok(_) => return,
            Err(error) => {
                host.metrics.unanswered.inc();
                let (version, error) = (known.plan.0.0, format_args!("{error:#}"));
                info!(from = %link.host, version, ms, %error, "fleet: request for newer state not answered");
                return;
            }
        };
        fetch::begin(host, link, newest.known.plan.0);
        if let Some(evacuations) = &newest.evacuations {
            placement::merge(host, &link.host, evacuations);
        }
        let applied = apply_updates(host, *newest);
        if applied || known.view_version == 0 {
            return;
        }
        info!(from = %link.host, "fleet: view changes do not apply, requesting the whole view");
        known = KnownVersions { view_version: 0, ..host.versions() };
    }
}

/// Applies newer state of another host. Returns false if that host's view changes do not apply to
/// this host's view.
pub fn apply_updates(host: &Rc<Host>, newest: Updates) -> bool {
    let changed = newest.view.map(|changes| changes.apply_to(host.leased_view.borrow().view()));
    let applied = !matches!(changed, Some(None));
    if let Some(view) = changed.flatten() {
        let confirmed_at = host.store_clock.borrow().local(view.clock);
        if let Some(confirmed_at) = confirmed_at {
            fleet::apply_view(host, view, confirmed_at);
        }
    }
    if let Some(servers) = newest.servers {
        follow::adopt_servers(host, servers, newest.known.servers_version);
    }
    if let Some(changes) = newest.server_changes {
        follow::adopt_changes(host, changes);
    }
    confirm_versions(host, newest.known);
    applied
}
