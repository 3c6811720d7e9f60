//! Fleet membership of this host and the fleet view that it acts on.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context;
use bergamottrack_adapter::store::{self, Change, Rows, Table, TxOutcome};
use bergamottrack_contract as contract;
use bergamottrack_coordination::{
    Clock, FailureDomain, GroupId, HostId, StoreClock,
    changes::Changes,
    contact, hubs,
    view::{self, Leadership, Member, Versioned, View},
};
use bergamottrack_model::Settings;
use bergamottrack_peer::{link::Keepalive, message::Updates};
use bergamottrack_platform::http::Client;
use tracing::{info, warn};

use crate::{
    follow::STORE_TIMEOUT,
    group::Group,
    host::{Host, Phase},
    join,
};

/// Interval between reads of the view while all links are up. Hosts propagate a change at
/// once, so reads only renew the lease, which lasts three times as long. More frequent reads
/// would cost more, since the platform bills each call.
const VIEW_INTERVAL: Duration = Duration::from_millis(2400);

/// Interval between reads of the view while a link is down: the unreachable host may be
/// the one that runs a failover.
const DEGRADED_VIEW_INTERVAL: Duration = Duration::from_millis(800);

/// Maximum age of the view. A host whose view is older reads the store even if another host
/// reads it on behalf of the failure domain.
const MAX_VIEW_AGE: Duration = Duration::from_millis(3200);

/// Delay before this host joins again if the view that it has just read does not list it as a
/// member, for example after another process of the host has replaced the row.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval between checks of [`needs_read`] on a host that needs no read at present.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum delay between joining and the first read of the view when the whole system starts
/// for the first time; up to half of it is added at random. It lets all hosts join before the
/// first read: they start within 0.3 s, and the store accepts 200 joins a second. If the first
/// view lists all hosts, only hubs read the store after it.
const FIRST_START_DELAY: Duration = Duration::from_millis(800);

/// Delay after a failed call of the store.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time for transactions to end at the former leader in a planned failover, but no longer than
/// the lease lasts. Most transactions are shorter, and a leaving server serves for seconds.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time for the host that runs a failover to request this host's release of the former leader,
/// counted from the release. Without a request by then, the release is published through the
/// store.
const RELEASE_REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Time within which the store performs a call that was given up, or never.
const LATE_CALL_TTL: Duration = Duration::from_secs(2);

/// Time within which the store applies the mark of a host that was removed after the request, also
/// without an answer. Until then the host may prove its membership and get a new lease.
pub const IN_FLIGHT_TTL: Duration = STORE_TIMEOUT.saturating_add(LATE_CALL_TTL);

/// Ping interval and timeout of links between hosts. Heartbeats are more frequent than these
/// pings.
pub const LINK_KEEPALIVE: Keepalive = Keepalive {
    interval: Duration::from_millis(1000),
    timeout: Duration::from_millis(2200),
    resets: true,
};

const MEMBER_PREFIX: &str = "host/";

const GROUP_PREFIX: &str = "group/";

const CLOSED_PREFIX: &str = "closed/";

const SECRET_KEY: &str = "secret";

/// Key of the row for the duty, the lock on promotion calls.
pub const DUTY_KEY: &str = "duty";

/// Returns the key of a group's row.
pub fn group_key(group: &GroupId) -> Box<str> {
    format!("{GROUP_PREFIX}{group}").into()
}

/// Returns the key of the row for the closed terms of a group.
pub fn closed_key(group: &GroupId) -> Box<str> {
    format!("{CLOSED_PREFIX}{group}").into()
}

/// Returns the key of a host's row.
pub fn member_key(host: &HostId) -> Box<str> {
    format!("{MEMBER_PREFIX}{host}").into()
}

/// Reads the view from the store.
pub async fn read(client: &Client) -> anyhow::Result<View> {
    let rows = store::read(client, Table::Fleet, STORE_TIMEOUT).await?;
    decode(&rows)
}

fn decode(rows: &Rows) -> anyhow::Result<View> {
    let mut view = View { version: rows.version, clock: rows.clock, ..View::default() };
    for row in &rows.rows {
        let version = row.version;
        if let Some(host) = row.key.strip_prefix(MEMBER_PREFIX) {
            let value = serde_json::from_slice(&row.value).context("decoding a host's row")?;
            view.members.insert(host.parse()?, Versioned { version, value });
        } else if let Some(group) = row.key.strip_prefix(GROUP_PREFIX) {
            let value = serde_json::from_slice(&row.value).context("decoding a group's row")?;
            view.groups.insert(group.parse()?, Versioned { version, value });
        } else if let Some(group) = row.key.strip_prefix(CLOSED_PREFIX) {
            let term =
                serde_json::from_slice(&row.value).context("decoding a group's closed terms")?;
            view.closed.insert(group.parse()?, term);
        } else if &*row.key == DUTY_KEY {
            let value = serde_json::from_slice(&row.value).context("decoding the duty's row")?;
            view.duty = Some(Versioned { version, value });
        } else if &*row.key == SECRET_KEY {
            view.secret = Some(String::from_utf8(row.value.to_vec())?.into());
        }
    }
    Ok(view)
}

/// Membership of this host in the fleet, as established at start.
pub struct Membership {
    /// State with a view that has this host as a member.
    pub state: Updates,
    /// Mapping between the store's clock and the local clock.
    pub store_clock: StoreClock,
    /// Shared secret by which hosts of the fleet authenticate to each other.
    pub secret: Box<str>,
}

/// Makes this host a member of the fleet: through a hub candidate, or else by reading the view and,
/// if this host is not a member, writing its row. Retries every step until it succeeds.
///
/// The row of an earlier process with the same [`member_hash`] is valid, so hosts that crash
/// together and restart only read. Writing a row for each would take seconds when hundreds
/// start: the store applies changes to one table partition sequentially. At the first start of
/// the whole system (`Settings::first_start`) there are no rows, so hosts join before they read.
pub async fn ensure_member(
    settings: &Settings,
    clock: &Rc<dyn Clock>,
    client: &Client,
) -> Membership {
    let entrance = join::through_hub(settings, clock, client).await;
    if let join::Entrance::Member(membership) = entrance {
        return *membership;
    }
    if settings.first_start && !matches!(entrance, join::Entrance::Candidate) {
        retry("joining", || join(settings, client)).await;
        // Spreads the reads: the first host to read creates the secret for all.
        let spread = FIRST_START_DELAY.mul_f64(rand::random_range(0.0..0.5));
        monoio::time::sleep(FIRST_START_DELAY + spread).await;
    }
    loop {
        let requested_at = clock.now();
        let view = retry("reading the first view", || read(client)).await;
        if !is_member(&view, settings) {
            retry("joining", || join(settings, client)).await;
            continue;
        }
        if let Some(secret) = view.secret.clone() {
            let ms = (clock.now() - requested_at).as_millis() as u64;
            info!(version = view.version, hosts = view.members.len(), ms, "start: view read");
            let mut store_clock = StoreClock::default();
            store_clock.note(requested_at, clock.now(), view.clock);
            let state = Updates { view: Some(Changes::whole(view)), ..Updates::default() };
            return Membership { state, store_clock, secret };
        }
        retry("creating the secret", || create_secret(client)).await;
    }
}

/// Returns the hash of this host's peer address, failure domain and power, which is stored in
/// [`Member::row_hash`].
pub fn member_hash(settings: &Settings) -> u64 {
    view::row_hash(settings.peer_address, &settings.domain, settings.cpu_millicores)
}

/// Returns whether the view has a row of this host with the current [`member_hash`] that is not
/// marked as evicted.
pub fn is_member(view: &View, settings: &Settings) -> bool {
    let row = view.members.get(&settings.host);
    row.is_some_and(|row| row.value.row_hash == member_hash(settings) && row.value.left.is_none())
}

/// Retries a step until it succeeds; the store may be unreachable when a host starts.
async fn retry<T, F>(step: &'static str, attempt: impl Fn() -> F) -> T
where
    F: Future<Output = anyhow::Result<T>>,
{
    loop {
        match attempt().await {
            Ok(value) => return value,
            Err(error) => {
                info!(step, error = %format_args!("{error:#}"), "fleet: start step failed, retrying");
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes a random secret unless the store has one. The result is not used: [`ensure_member`] reads
/// the view again in any case.
async fn create_secret(client: &Client) -> anyhow::Result<TxOutcome> {
    let secret = format!("{:032x}", rand::random::<u128>());
    let change = Change {
        expect: vec![(SECRET_KEY.into(), 0)],
        put: vec![(SECRET_KEY.into(), secret.into_bytes())],
        remove: Vec::new(),
    };
    store::change(client, &change, STORE_TIMEOUT).await
}

/// Returns whether this host has to read the view from the store now: on behalf of its failure
/// domain, because its view is older than [`MAX_VIEW_AGE`], because it has no recent contact with
/// other hosts, or because it is not a member.
fn needs_read(host: &Host) -> bool {
    let outdated = host.leased_view.borrow().age(host.now()).is_none_or(|age| age > MAX_VIEW_AGE);
    let is_member = host.leased_view.borrow().is_member();
    host.reads_store() || outdated || lacks_contact(host) || !is_member
}

/// Returns whether this host soon loses contact with the fleet unless it reads the view itself.
fn lacks_contact(host: &Host) -> bool {
    let limit = match host.is_hub_candidate() {
        true => contact::READ_TIMEOUT,
        false => contact::LATE_READ_TIMEOUT,
    };
    host.leased_view.borrow().lacks_contact(limit, host.now())
}

/// Waits for a wake-up, for `limit` at most or until this host lacks contact; returns whether it was
/// woken.
async fn pause(host: &Host, limit: Duration) -> bool {
    let until = monoio::time::Instant::now() + limit;
    while monoio::time::Instant::now() < until {
        let next = until.min(monoio::time::Instant::now() + CHECK_INTERVAL);
        if monoio::time::timeout_at(next, host.view_wakeup.notified()).await.is_ok() {
            return true;
        }
        if lacks_contact(host) {
            return false;
        }
    }
    false
}

/// Reads the view, in an endless loop: repeatedly, with a pause after each read, while
/// `needs_read` holds, and otherwise after a wake-up. Joins the fleet again if this host is
/// serving and no longer a member.
pub async fn follow(host: Rc<Host>) {
    let client = Client::new(host.settings.store_address);
    let mut last_read_failed = false;
    join::publish_hubs(&host, &client).await;
    // The view of the start is as new as one that would be read now.
    let wake = monoio::time::timeout(VIEW_INTERVAL, host.view_wakeup.notified()).await;
    let mut woken = wake.is_ok();
    loop {
        if !needs_read(&host) && !woken {
            let wake = monoio::time::timeout(CHECK_INTERVAL, host.view_wakeup.notified()).await;
            woken = wake.is_ok();
            continue;
        }
        woken = false;
        if host.leased_view.borrow().age(host.now()).is_some()
            && !host.leased_view.borrow().is_member()
            && *host.phase.borrow() == Phase::Serving
            && let Err(error) = join(&host.settings, &client).await
        {
            info!(error = %format_args!("{error:#}"), "fleet: joining failed");
            monoio::time::sleep(RETRY_DELAY).await;
        }
        let requested_at = host.now();
        match read(&client).await {
            Ok(view) => {
                if std::mem::take(&mut last_read_failed) {
                    info!("fleet: view readable again");
                }
                let received_at = host.now();
                host.store_clock.borrow_mut().note(requested_at, received_at, view.clock);
                apply_view(&host, view, requested_at);
                join::publish_hubs(&host, &client).await;
                let all_up = host.mesh.links().iter().all(|link| link.is_up());
                let interval = if all_up { VIEW_INTERVAL } else { DEGRADED_VIEW_INTERVAL };
                let serving = *host.phase.borrow() == Phase::Serving;
                if serving && !host.leased_view.borrow().is_member() {
                    monoio::time::sleep(JOIN_RETRY_DELAY).await;
                    continue;
                }
                woken = pause(&host, interval).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut last_read_failed, true) {
                    let age = host.leased_view.borrow().age(host.now());
                    let age_ms = age.map(|age| age.as_millis() as u64);
                    let error = format_args!("{error:#}");
                    warn!(%error, age_ms, "fleet: cannot read the view");
                }
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the row of this host as a new member.
pub fn own_row(settings: &Settings) -> Member {
    Member {
        peer: settings.peer_address,
        domain: settings.domain.clone(),
        row_hash: member_hash(settings),
        left: None,
        released: 0,
        power: settings.cpu_millicores,
        contact: true,
    }
}

/// Writes this host's row to the store.
async fn join(settings: &Settings, client: &Client) -> anyhow::Result<()> {
    let member = own_row(settings);
    let value = serde_json::to_vec(&member)?;
    let put = vec![(member_key(&settings.host), value)];
    let verdict =
        store::change(client, &Change { put, ..Change::default() }, STORE_TIMEOUT).await?;
    anyhow::ensure!(
        matches!(verdict, TxOutcome::Applied(_)),
        "joining the fleet: the store answered {verdict:?}"
    );
    info!(place = member.row_hash, "fleet: joined");
    Ok(())
}

/// Removes this host's row from the store. Requires that this host no longer uses any leader nor
/// gives contact to other hosts.
///
/// First marks the row as left, then removes the marked row: a call without an answer may be performed
/// after the next process of the host has started. A process that finds the mark writes a row of its
/// own, so that a failover does not miss it. `known` is the row with the store's time now, if the
/// caller has them; the row is read if `known` is none or out of date.
pub async fn leave(
    settings: &Settings,
    known: Option<(Versioned<Member>, Duration)>,
) -> anyhow::Result<()> {
    let client = Client::new(settings.store_address);
    let key = member_key(&settings.host);
    let mut marked = TxOutcome::Conflict;
    if let Some((row, clock)) = known {
        marked = mark_left(&client, &key, row, clock).await?;
    }
    if marked == TxOutcome::Conflict {
        let view = read(&client).await?;
        let Some(row) = view.members.get(&settings.host).cloned() else { return Ok(()) };
        marked = mark_left(&client, &key, row, view.clock).await?;
    }
    let TxOutcome::Applied(marked) = marked else {
        anyhow::bail!("marking the host's row as left: the store answered {marked:?}");
    };
    let expect = vec![(key.clone(), marked)];
    let removal = Change { expect, remove: vec![key], ..Change::default() };
    store::change(&client, &removal, STORE_TIMEOUT).await?;
    Ok(())
}

/// Marks a host's row as left unless it has changed; `clock` is the store's time now.
async fn mark_left(
    client: &Client,
    key: &str,
    row: Versioned<Member>,
    clock: Duration,
) -> anyhow::Result<TxOutcome> {
    let member = Member { left: Some(clock + IN_FLIGHT_TTL), ..row.value };
    let change = Change {
        expect: vec![(key.into(), row.version)],
        put: vec![(key.into(), serde_json::to_vec(&member)?)],
        remove: Vec::new(),
    };
    store::change(client, &change, STORE_TIMEOUT).await
}

/// Applies a view that was the newest at the local time `requested_at` or later; ignores it if
/// this host has a newer one.
pub fn apply_view(host: &Rc<Host>, view: View, requested_at: Instant) {
    let until = host.leased_view.borrow().lease_expiry(host.now());
    let before = host.leased_view.borrow().view().groups.clone();
    let members: Vec<_> = host.leased_view.borrow().view().members.keys().cloned().collect();
    if !host.leased_view.borrow_mut().replace(view, requested_at) {
        return;
    }
    let is_lost = |id: &HostId| !host.leased_view.borrow().view().members.contains_key(id);
    if members.iter().any(is_lost) {
        host.member_lost.set(Some(host.now()));
    }
    host.leased_view.borrow_mut().note_version(host.now());
    let after = host.leased_view.borrow().view().groups.clone();
    update_members(host);
    host.refresh();
    for (id, row) in after {
        if before.get(&id).is_none_or(|old| old.version != row.version) {
            handle_new_row(host, &id, row, until, requested_at);
        }
    }
}

/// Applies one group's row, received from the host that runs its failover; ignores it unless it is
/// newer than this host's row.
pub fn apply_row(host: &Rc<Host>, id: &GroupId, row: Versioned<Leadership>) {
    let until = host.leased_view.borrow().lease_expiry(host.now());
    if host.leased_view.borrow_mut().replace_group(id, row.clone()) {
        host.refresh();
        handle_new_row(host, id, row, until, host.now());
    }
}

/// Handles a group's new row, received at the local time `received`: if a failover has
/// begun, ends the work at the former leader and publishes the release unless the host that
/// runs the failover has requested it.
///
/// In a planned failover the work may go on until `until`, the end of the lease on the former
/// leader, at most; otherwise, or if `until` is `None`, it ends at once.
fn handle_new_row(
    host: &Rc<Host>,
    id: &GroupId,
    row: Versioned<Leadership>,
    until: Option<Instant>,
    received: Instant,
) {
    let group = host.group(id);
    info!(group = %id, version = row.version, leadership = ?row.value, "leader: new row in the view");
    let Leadership::Moving { planned, holder, .. } = row.value else { return };
    let deadline = until.filter(|_| planned).unwrap_or(received);
    let host = host.clone();
    monoio::spawn(async move {
        release(&host, &group, row.version, deadline).await;
        monoio::time::sleep(RELEASE_REQUEST_TIMEOUT).await;
        if group.release_requested.get() >= row.version {
            return;
        }
        if !wait_all_released(&host, &group.id, row.version).await {
            return;
        }
        if let Err(error) = publish_release(&host, &holder, row.version).await {
            let error = format_args!("{error:#}");
            info!(group = %group.id, %holder, %error, "fleet: release not published");
        }
    });
}

/// Waits for work at the former leader to end, until `deadline` or for [`DRAIN_TIMEOUT`] at
/// most, and then records the release of the intent of the given version. Ends the epoch unless
/// the group has another row by then.
async fn release(host: &Host, group: &Group, version: u64, deadline: Instant) {
    let deadline = deadline.min(host.now() + DRAIN_TIMEOUT);
    while host.now() < deadline && !group.is_idle() {
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    if host.leased_view.borrow().leadership(&group.id).is_some_and(|row| row.version == version) {
        group.end_epoch();
    }
    group.released.set(group.released.get().max(version));
}

/// Waits until this host has received and released all intents up to `version`, which its published
/// release covers. Has the view read, as this host may have received the row of one group alone.
/// Returns false if the row of the group `id` changes meanwhile.
async fn wait_all_released(host: &Host, id: &GroupId, version: u64) -> bool {
    let released =
        |id: &GroupId| host.groups.borrow().get(id).map_or(0, |group| group.released.get());
    while !host.leased_view.borrow().has_released(version, released) {
        if host.leased_view.borrow().leadership(id).is_none_or(|row| row.version != version) {
            return false;
        }
        if host.leased_view.borrow().view().version < version {
            host.view_wakeup.notify_one();
        }
        monoio::time::sleep(CHECK_INTERVAL).await;
    }
    true
}

/// Publishes through the store that this host no longer uses the former leader. `holder` is the
/// host that runs the failover. Does nothing if that is this host, or if this host is not a
/// member of the fleet.
///
/// Without the publication, a failover takes a whole lease when some hosts are cut off from the
/// others but not from the store.
async fn publish_release(host: &Host, holder: &HostId, version: u64) -> anyhow::Result<()> {
    if *holder == host.settings.host || !host.leased_view.borrow().is_member() {
        return Ok(());
    }
    let row = host.leased_view.borrow().view().members.get(&host.settings.host).cloned();
    let row = row.context("this host has no row in the view")?;
    let member = Member { released: version, ..row.value };
    let key = member_key(&host.settings.host);
    let change = Change {
        expect: vec![(key.clone(), row.version)],
        put: vec![(key, serde_json::to_vec(&member)?)],
        remove: Vec::new(),
    };
    let client = Client::new(host.settings.store_address);
    let verdict = store::change(&client, &change, STORE_TIMEOUT).await?;
    info!(%holder, version, ?verdict, "fleet: release written to the store");
    Ok(())
}

/// Updates the links to other hosts and the parties that share the rates from the members of the
/// view.
fn update_members(host: &Host) {
    let leased_view = host.leased_view.borrow();
    let view = leased_view.view();
    let me = &host.settings.host;
    let neighbours = hubs::neighbours(view, me, &host.settings.domain);
    let others: Vec<HostId> = if neighbours.mesh {
        hubs::participants(view, me)
    } else {
        let domains = hubs::domains(view).into_iter();
        let others = domains.filter(|domain| *domain != host.settings.domain);
        others.map(|domain| domain_party(&domain)).collect()
    };
    let own = if neighbours.mesh { me.clone() } else { domain_party(&host.settings.domain) };
    host.demand.borrow_mut().set_participants(&own, others, host.now());
    host.peer_clocks.borrow_mut().retain(|id, _| neighbours.links.contains(id));
    let linked = neighbours.links.iter().filter_map(|id| {
        let member = &view.members.get(id)?.value;
        let (domain, peer) = (member.domain.clone(), member.peer);
        Some(contract::Host { id: id.clone(), domain, peer })
    });
    host.mesh.set_roster(&linked.collect::<Vec<_>>(), &[]);
    *host.neighbours.borrow_mut() = neighbours;
}

/// Returns the name under which a failure domain has its share of every account's rate. Used in
/// fleets in which not all hosts are connected to each other.
pub fn domain_party(domain: &FailureDomain) -> HostId {
    domain.as_str().parse().expect("failure domain names are valid host names")
}
