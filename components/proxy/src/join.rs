//! Membership of a starting host, through a hub of its failure domain.
//!
//! The store applies changes of one table partition one after the other, and a large view takes
//! several calls to read. If each of a thousand hosts that start together wrote its own row and
//! read the whole view, the store would turn most of them away for seconds. A starting host
//! therefore reads one small row, which names the hub candidates of its failure domain, and asks
//! one of them for the view. The candidate writes the rows of new hosts in batches.
//!
//! Nothing depends on the named hosts: if none of them answers in time, the host writes its own
//! row and reads the view itself, see [`fleet::ensure_member`].

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use bergamottrack_adapter::store::{self, Change, Table, TxOutcome};
use bergamottrack_coordination::{
    Clock, FailureDomain, HostId, StoreClock, token::Secret, view::Member,
};
use bergamottrack_model::Settings;
use bergamottrack_peer::{
    Answer, Link, Question,
    accept::Replier,
    message::{Hello, KnownVersions, Registration, Updates},
};
use bergamottrack_platform::http::Client;
use serde::{Deserialize, Serialize};
use tracing::info;

use crate::{
    fleet::{self, Membership},
    follow::STORE_TIMEOUT,
    gossip,
    host::Host,
};

/// Time after the start in which a host asks hub candidates, before it joins the fleet itself.
const HUB_TIMEOUT: Duration = Duration::from_millis(2500);

/// Timeout for the first connection attempt to a hub candidate.
const LINK_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout for the view from a hub candidate: two batches of rows, and the transfer of the view.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Delay before the hub candidates are read or asked again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Delay of the first read at the first start of the whole system on a host with one core; weaker
/// hosts wait longer in proportion. The first host to read becomes the hub of its failure domain,
/// which takes a powerful host.
const FIRST_READ_DELAY: Duration = Duration::from_millis(40);

/// Maximum of the delay from [`FIRST_READ_DELAY`].
const MAX_FIRST_READ_DELAY: Duration = Duration::from_millis(400);

/// Time in which starting hosts are collected for one change and one read of the store.
const BATCH_DELAY: Duration = Duration::from_millis(60);

/// Maximum number of rows in a change; the store accepts 100.
const MAX_BATCH: usize = 90;

/// Maximum number of hub candidates in a row. In a mesh all hosts of a failure domain are
/// candidates.
const MAX_PUBLISHED: usize = 3;

/// Interval at which a registration is checked against the view.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Range of the keys of the rows for hub candidates.
const HUBS_RANGE: (&str, &str) = ("hubs/", "hubs0");

/// Hub candidates of a failure domain, as a row of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Hubs {
    /// Shared secret by which hosts of the fleet authenticate to each other; `None` until the
    /// first of the hosts has read it.
    secret: Option<Box<str>>,
    /// The candidates, most suitable first.
    hosts: Vec<(HostId, SocketAddr)>,
}

/// Rows for hub candidates by failure domain, each with its version.
type HubRows = BTreeMap<FailureDomain, (u64, Hubs)>;

fn hubs_key(domain: &FailureDomain) -> Box<str> {
    format!("{}{domain}", HUBS_RANGE.0).into()
}

/// Reads the hub candidates, and the store's clock.
async fn read_hubs(client: &Client) -> anyhow::Result<(HubRows, Duration)> {
    let rows = store::read_range(client, Table::Fleet, HUBS_RANGE, STORE_TIMEOUT).await?;
    let mut hubs = HubRows::new();
    for row in rows.rows {
        let Some(domain) = row.key.strip_prefix(HUBS_RANGE.0) else { continue };
        let value = serde_json::from_slice(&row.value).context("decoding hub candidates")?;
        hubs.insert(domain.parse()?, (row.version, value));
    }
    Ok((hubs, rows.clock))
}

/// Writes the hub candidates of a failure domain if their row still has the version `before`.
async fn write_hubs(
    client: &Client,
    domain: &FailureDomain,
    before: u64,
    hubs: &Hubs,
) -> anyhow::Result<TxOutcome> {
    let key = hubs_key(domain);
    let change = Change {
        expect: vec![(key.clone(), before)],
        put: vec![(key, serde_json::to_vec(hubs)?)],
        remove: Vec::new(),
    };
    store::change(client, &change, STORE_TIMEOUT).await
}

/// Result of the attempt to become a member through a hub.
pub enum Entrance {
    /// A hub candidate has sent a view with this host as a member.
    Member(Box<Membership>),
    /// This host is a hub candidate: it reads the view itself, and others wait for it.
    Candidate,
    /// No hub candidate answered in time.
    Unanswered,
}

/// Becomes a member of the fleet through a hub candidate.
pub async fn through_hub(settings: &Settings, clock: &Rc<dyn Clock>, client: &Client) -> Entrance {
    let started = clock.now();
    if settings.first_start {
        let relative = 1000.0 / f64::from(settings.cpu_millicores.max(1));
        let delay = FIRST_READ_DELAY.mul_f64(relative).min(MAX_FIRST_READ_DELAY);
        monoio::time::sleep(delay.mul_f64(rand::random_range(1.0..2.0))).await;
    }
    let mut store_clock = StoreClock::default();
    let deadline = started + HUB_TIMEOUT;
    while clock.now() < deadline {
        let requested_at = clock.now();
        match read_hubs(client).await {
            Ok((hubs, store_time)) => {
                store_clock.note(requested_at, clock.now(), store_time);
                let time = (store_clock, store_time);
                if let Some(entrance) = enter(settings, clock, client, &hubs, time, deadline).await
                {
                    return entrance;
                }
            }
            Err(error) => {
                info!(error = %format_args!("{error:#}"), "start: hub candidates not readable");
            }
        }
        monoio::time::sleep(RETRY_DELAY.mul_f64(rand::random_range(1.0..1.5))).await;
    }
    Entrance::Unanswered
}

/// Attempts to become a member with the hub candidates that are known; `None` to try again. `since`
/// is the store's clock when they were read.
async fn enter(
    settings: &Settings,
    clock: &Rc<dyn Clock>,
    client: &Client,
    hubs: &HubRows,
    (store_clock, since): (StoreClock, Duration),
    deadline: Instant,
) -> Option<Entrance> {
    let me = &settings.host;
    let Some((_, own)) = hubs.get(&settings.domain) else {
        if !settings.first_start {
            return Some(Entrance::Unanswered);
        }
        let hosts = vec![(me.clone(), settings.peer_address)];
        let claim = Hubs { secret: None, hosts };
        let claimed = write_hubs(client, &settings.domain, 0, &claim).await;
        return matches!(claimed, Ok(TxOutcome::Applied(_))).then_some(Entrance::Candidate);
    };
    if own.hosts.iter().any(|(id, _)| id == me) {
        return Some(Entrance::Candidate);
    }
    // Candidates of other failure domains serve a host whose own have all stopped.
    let others = hubs.iter().filter(|(domain, _)| **domain != settings.domain);
    let others = others.filter_map(|(_, (_, hubs))| Some((hubs.secret.as_ref()?, &hubs.hosts)));
    let own = own.secret.as_ref().map(|secret| (secret, &own.hosts));
    for (secret, hosts) in own.into_iter().chain(others) {
        for (id, address) in hosts {
            // Each candidate that does not answer takes up to the timeouts of a link and an answer.
            if clock.now() >= deadline {
                return Some(Entrance::Unanswered);
            }
            let candidate = (id, *address);
            if let Some(state) = register(settings, clock, candidate, secret, since).await {
                let secret = secret.clone();
                let membership = Membership { state, store_clock, secret };
                return Some(Entrance::Member(Box::new(membership)));
            }
        }
    }
    None
}

/// Asks a hub candidate to make this host a member; `None` if it does not answer with a view that
/// has this host as a member.
async fn register(
    settings: &Settings,
    clock: &Rc<dyn Clock>,
    (id, address): (&HostId, SocketAddr),
    secret: &str,
    since: Duration,
) -> Option<Updates> {
    let (me, domain) = (settings.host.clone(), settings.domain.clone());
    let hello = move || Hello {
        host: me.clone(),
        domain: domain.clone(),
        nonce: rand::random(),
        clock: None,
    };
    let key = Secret::new(secret.as_bytes());
    let link = Link::start(id.clone(), address, hello, key, clock.clone(), fleet::LINK_KEEPALIVE);
    link.first_attempt(LINK_TIMEOUT).await;
    let requested_at = clock.now();
    let row = fleet::own_row(settings);
    let question = Question::Register(Box::new(Registration { row, since }));
    let answer = link.query(question, REGISTER_TIMEOUT).await;
    link.close();
    let unpacked = answer.and_then(|answer| match answer {
        Answer::Updates(mut updates) => gossip::unpack(&mut updates).map(|()| updates),
        other => bail!("the answer has no view: {other:?}"),
    });
    let updates = match unpacked {
        Ok(updates) => *updates,
        Err(error) => {
            info!(hub = %id, error = %format_args!("{error:#}"), "start: no view from hub candidate");
            return None;
        }
    };
    let view = &updates.view.as_ref().filter(|whole| whole.since == 0)?.view;
    if !fleet::is_member(view, settings) || updates.known.view.1 < since {
        info!(hub = %id, "start: view of hub candidate is not current");
        return None;
    }
    let ms = (clock.now() - requested_at).as_millis() as u64;
    info!(hub = %id, version = view.version, hosts = view.members.len(), ms, "start: view received");
    Some(updates)
}

/// Answers a starting host's request to become a member with the whole view, once the view lists
/// the host and is no older than the request.
pub async fn admit(host: Rc<Host>, peer: HostId, registration: Registration, replier: Replier) {
    let Registration { row, since } = registration;
    let deadline = host.now() + REGISTER_TIMEOUT;
    let hash = row.row_hash;
    let admits = |since| host.leased_view.borrow().admits(&peer, hash, since);
    if !admits(Duration::ZERO) {
        host.registrations.borrow_mut().insert(peer.clone(), row);
    }
    host.registered.notify_one();
    while !admits(since) {
        if host.now() >= deadline {
            return replier.reply(Answer::Draining);
        }
        monoio::time::sleep(CHECK_INTERVAL).await;
    }
    let nothing = KnownVersions { reads_packed: true, ..KnownVersions::default() };
    replier.reply(Answer::Updates(Box::new(gossip::newer_than(&host, nothing))));
}

/// Serves hosts that asked to become members, in batches, in an endless loop: writes their rows
/// unless the view lists them, and has the view read.
pub async fn serve_registrations(host: Rc<Host>) {
    let client = Client::new(host.settings.store_address);
    loop {
        if host.registrations.borrow().is_empty() {
            host.registered.notified().await;
        }
        monoio::time::sleep(BATCH_DELAY).await;
        let batch = next_batch(&mut host.registrations.borrow_mut());
        if batch.is_empty() {
            host.view_wakeup.notify_one();
            continue;
        }
        let encode = |(id, row): &(HostId, Member)| {
            Some((fleet::member_key(id), serde_json::to_vec(row).ok()?))
        };
        let put = batch.iter().filter_map(encode).collect();
        let outcome =
            store::change(&client, &Change { put, ..Change::default() }, STORE_TIMEOUT).await;
        match outcome {
            Ok(TxOutcome::Applied(version)) => {
                info!(version, hosts = batch.len(), "fleet: new hosts joined");
                host.view_wakeup.notify_one();
            }
            outcome => {
                let error = outcome.err().map(|error| format!("{error:#}"));
                info!(hosts = batch.len(), error, "fleet: rows of new hosts not written, retrying");
                host.registrations.borrow_mut().extend(batch);
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Removes and returns the rows of the next change, at most [`MAX_BATCH`].
fn next_batch(waiting: &mut BTreeMap<HostId, Member>) -> Vec<(HostId, Member)> {
    let mut batch = Vec::new();
    while batch.len() < MAX_BATCH
        && let Some(next) = waiting.pop_first()
    {
        batch.push(next);
    }
    batch
}

/// Writes the hub candidates of this host's failure domain to the store if they have changed since
/// the last call. Only the host that reads the store for its failure domain does so.
pub async fn publish_hubs(host: &Host, client: &Client) {
    let candidates = host.neighbours.borrow().candidates.clone();
    if !host.reads_store() {
        return;
    }
    let hubs = {
        let leased_view = host.leased_view.borrow();
        let view = leased_view.view();
        let address = |id: &HostId| Some((id.clone(), view.members.get(id)?.value.peer));
        let hosts = candidates.iter().take(MAX_PUBLISHED).filter_map(address).collect();
        Hubs { secret: view.secret.clone(), hosts }
    };
    if *host.published_hubs.borrow() == hubs.hosts {
        return;
    }
    let domain = &host.settings.domain;
    let written = async {
        let known = read_hubs(client).await?.0.remove(domain);
        if known.as_ref().is_some_and(|(_, known)| *known == hubs) {
            return Ok(());
        }
        let before = known.map_or(0, |(version, _)| version);
        let outcome = write_hubs(client, domain, before, &hubs).await?;
        anyhow::ensure!(matches!(outcome, TxOutcome::Applied(_)), "store answered {outcome:?}");
        Ok(())
    };
    match written.await {
        Ok(()) => *host.published_hubs.borrow_mut() = hubs.hosts.clone(),
        Err(error) => {
            info!(error = %format_args!("{error:#}"), "fleet: hub candidates not written");
        }
    }
}
