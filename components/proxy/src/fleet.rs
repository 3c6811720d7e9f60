//! This host's place in the fleet: the view it acts on, and what hosts tell each other.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context;
use bergamottrack_adapter::store::{self, Change, Rows, Table, Verdict};
use bergamottrack_contract as contract;
use bergamottrack_coordination::{
    FailureDomain, GroupId, HostId,
    demand::Ruling,
    hubs,
    view::{Leadership, Member, Versioned, View},
};
use bergamottrack_model::Account;
use bergamottrack_peer::{
    Answer, Link, Question,
    accept::Teller,
    link::Pace,
    message::{Beat, Hello, Known, Newest},
};
use bergamottrack_platform::http::Client;
use tracing::{info, warn};

use crate::{
    follow::{self, STORE_WITHIN},
    group::Group,
    host::{Host, Phase},
};

/// How often the view is read while all other hosts are heard: they tell of a
/// change at once, so reads only renew the lease, which lasts three times as long.
/// Each call of the platform is charged for.
const VIEW_EVERY: Duration = Duration::from_millis(2400);

/// How often it is read while some host is not heard, which may be the one that
/// changes a leader.
const VIEW_ALONE: Duration = Duration::from_millis(800);

/// How old the view may be before a host reads it itself that does not read the
/// store for others.
const OWN_VIEW: Duration = Duration::from_millis(3200);

/// How often such a host looks whether it must.
const LOOK_EVERY: Duration = Duration::from_millis(150);

/// Pause after a read of the view that failed.
const AGAIN_AFTER: Duration = Duration::from_millis(250);

/// How often hosts tell each other what their callers ask for and what they know:
/// a fraction of the time in which demand is forgotten, and of the time within
/// which a configuration must be in force.
const BEAT_EVERY: Duration = Duration::from_millis(400);

/// How long the hub's answer for a token may take, within one failure domain.
const TOKEN_WITHIN: Duration = Duration::from_millis(150);

/// How long another host's answer may take; the way there and back is 2 ms.
const PEER_WITHIN: Duration = Duration::from_millis(400);

/// How old the view and the configuration may be before other hosts are asked:
/// a little more than the time within which the store usually tells them.
const ASK_VIEW_AFTER: Duration = Duration::from_millis(3200);
const ASK_PLAN_AFTER: Duration = Duration::from_millis(2200);

/// How often other hosts are asked then.
const ASK_EVERY: Duration = Duration::from_millis(300);

/// How long a planned change of leader waits for transactions at the old one.
/// Most transactions last less than this; a leaving server serves for seconds.
const PATIENCE: Duration = Duration::from_millis(1200);

/// How long a host waits to be asked for its release of a leader before it tells
/// it by the store.
const ASKED_WITHIN: Duration = Duration::from_millis(400);

/// How long a host must be silent to the one who takes it out. A host that was
/// removed for good delays a change of leader by a whole lease, unless it was
/// taken out that long before; one that is just cut off counts itself in again.
const SILENT_FOR: Duration = Duration::from_secs(4);

/// How links between hosts are tried out. Demand is told more often anyway.
pub const PACE: Pace =
    Pace { every: Duration::from_millis(1000), silence: Duration::from_millis(2200) };

const MEMBER: &str = "host/";
const GROUP: &str = "group/";
const SECRET: &str = "secret";

/// The key of the duty's row.
pub const DUTY: &str = "duty";

/// The key of a group's row.
pub fn group_key(group: &GroupId) -> Box<str> {
    format!("{GROUP}{group}").into()
}

fn member_key(host: &HostId) -> Box<str> {
    format!("{MEMBER}{host}").into()
}

/// Reads the view.
pub async fn read(client: &Client) -> anyhow::Result<View> {
    let rows = store::read(client, Table::Fleet, STORE_WITHIN).await?;
    decode(&rows)
}

fn decode(rows: &Rows) -> anyhow::Result<View> {
    let mut view = View { version: rows.version, clock: rows.clock, ..View::default() };
    for row in &rows.rows {
        let version = row.version;
        if let Some(host) = row.key.strip_prefix(MEMBER) {
            let value = serde_json::from_slice(&row.value).context("reading a host's row")?;
            view.members.insert(host.parse()?, Versioned { version, value });
        } else if let Some(group) = row.key.strip_prefix(GROUP) {
            let value = serde_json::from_slice(&row.value).context("reading a group's row")?;
            view.groups.insert(group.parse()?, Versioned { version, value });
        } else if &*row.key == DUTY {
            let value = serde_json::from_slice(&row.value).context("reading the duty's row")?;
            view.duty = Some(Versioned { version, value });
        } else if &*row.key == SECRET {
            view.secret = Some(String::from_utf8(row.value.to_vec())?.into());
        }
    }
    Ok(view)
}

/// The secret of the fleet; the first host draws it.
pub async fn secret(client: &Client) -> Box<str> {
    loop {
        match draw_secret(client).await {
            Ok(Some(secret)) => return secret,
            Ok(None) => {}
            Err(error) => {
                info!(error = %format_args!("{error:#}"), "fleet: the secret cannot be read yet");
                monoio::time::sleep(AGAIN_AFTER).await;
            }
        }
    }
}

async fn draw_secret(client: &Client) -> anyhow::Result<Option<Box<str>>> {
    let view = read(client).await?;
    if view.secret.is_some() {
        return Ok(view.secret);
    }
    let drawn = format!("{:032x}", rand::random::<u128>());
    let change = Change {
        expect: vec![(SECRET.into(), 0)],
        put: vec![(SECRET.into(), drawn.into_bytes())],
        remove: Vec::new(),
    };
    // Read again in any case: another host may have been first.
    store::change(client, &change, STORE_WITHIN).await?;
    Ok(None)
}

/// Whether this host has to read the view itself now.
fn must_read(host: &Host) -> bool {
    let old = host.held.borrow().age(host.now()).is_none_or(|age| age > OWN_VIEW);
    host.is_reader() || old || !host.held.borrow().is_member()
}

/// Reads the view for ever.
pub async fn follow(host: Rc<Host>) {
    let client = Client::new(host.settings.store);
    let mut lost = false;
    let mut woken = false;
    loop {
        if !must_read(&host) && !woken {
            let wake = monoio::time::timeout(LOOK_EVERY, host.look.notified()).await;
            woken = wake.is_ok();
            continue;
        }
        woken = false;
        let asked = host.now();
        match read(&client).await {
            Ok(view) => {
                if std::mem::take(&mut lost) {
                    info!("fleet: the view can be read again");
                }
                host.store_clock.borrow_mut().note(asked, view.clock);
                learn(&host, view, asked);
                if !host.held.borrow().is_member() && *host.phase.borrow() == Phase::Serving {
                    if let Err(error) = join(&host, &client).await {
                        info!(error = %format_args!("{error:#}"), "fleet: joining failed");
                        monoio::time::sleep(AGAIN_AFTER).await;
                    }
                    continue;
                }
                let all = host.mesh.links().iter().all(|link| link.is_up());
                let pause = if all { VIEW_EVERY } else { VIEW_ALONE };
                // Woken early, or not: the view is read either way.
                let _ = monoio::time::timeout(pause, host.look.notified()).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    let age = host.held.borrow().age(host.now());
                    let age_ms = age.map(|age| age.as_millis() as u64);
                    let error = format_args!("{error:#}");
                    warn!(%error, age_ms, "fleet: the view cannot be read");
                }
                monoio::time::sleep(AGAIN_AFTER).await;
            }
        }
    }
}

async fn join(host: &Host, client: &Client) -> anyhow::Result<()> {
    let member = Member {
        peer: host.settings.peers,
        domain: host.settings.domain.clone(),
        run: host.run,
        left: None,
        released: 0,
        power: host.settings.power,
    };
    let value = serde_json::to_vec(&member)?;
    let put = vec![(member_key(&host.settings.host), value)];
    let verdict = store::change(client, &Change { put, ..Change::default() }, STORE_WITHIN).await?;
    anyhow::ensure!(matches!(verdict, Verdict::Applied(_)), "the store said {verdict:?}");
    info!(run = host.run, "fleet: joined");
    Ok(())
}

/// Takes this host out of the view, once it uses no leader any more.
pub async fn leave(host: &Host) -> anyhow::Result<()> {
    let client = Client::new(host.settings.store);
    let remove = vec![member_key(&host.settings.host)];
    store::change(&client, &Change { remove, ..Change::default() }, STORE_WITHIN).await?;
    Ok(())
}

/// Takes a view that was the newest at the local time `asked` or later.
pub fn learn(host: &Rc<Host>, view: View, asked: Instant) {
    let until = host.held.borrow().until();
    let before = host.held.borrow().view().groups.clone();
    if !host.held.borrow_mut().learn(view, asked) {
        return;
    }
    let now_groups = host.held.borrow().view().groups.clone();
    set_members(host);
    host.refresh();
    for (id, row) in now_groups {
        let news = before.get(&id).is_none_or(|old| old.version != row.version);
        if !news {
            continue;
        }
        let group = host.group(&id);
        info!(group = %id, version = row.version, leadership = ?row.value, "leader: view changed");
        if let Leadership::Moving { planned, holder, .. } = row.value {
            let end = until.filter(|_| planned).unwrap_or(asked);
            let host = host.clone();
            monoio::spawn(async move {
                release(&host, &group, row.version, end).await;
                monoio::time::sleep(ASKED_WITHIN).await;
                if group.asked.get() >= row.version {
                    return;
                }
                if let Err(error) = tell_released(&host, &holder, row.version).await {
                    let error = format_args!("{error:#}");
                    info!(group = %group.id, %holder, %error, "fleet: release not told");
                }
            });
        }
    }
}

/// Lets work at the former leader end, until `end` at most: the lease under which
/// it began is over then.
async fn release(host: &Host, group: &Group, version: u64, end: Instant) {
    let end = end.min(host.now() + PATIENCE);
    while host.now() < end && !group.is_unused() {
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    if host.held.borrow().leadership(&group.id).is_some_and(|row| row.version == version) {
        group.give_up();
    }
    group.released.set(group.released.get().max(version));
}

/// Tells by the store that this host uses an old leader no more, where the host
/// that waits for it cannot be reached.
///
/// Guards against a gap of a whole lease when some hosts are cut off from the
/// others but not from the store.
async fn tell_released(host: &Host, holder: &HostId, version: u64) -> anyhow::Result<()> {
    if *holder == host.settings.host || !host.held.borrow().is_member() {
        return Ok(());
    }
    let row = host.held.borrow().view().members.get(&host.settings.host).cloned();
    let row = row.context("this host is not of the fleet")?;
    let member = Member { released: version, ..row.value };
    let key = member_key(&host.settings.host);
    let change = Change {
        expect: vec![(key.clone(), row.version)],
        put: vec![(key, serde_json::to_vec(&member)?)],
        remove: Vec::new(),
    };
    let client = Client::new(host.settings.store);
    let verdict = store::change(&client, &change, STORE_WITHIN).await?;
    info!(%holder, version, ?verdict, "fleet: release told by the store");
    Ok(())
}

fn set_members(host: &Host) {
    let held = host.held.borrow();
    let view = held.view();
    let members = view.members.iter().filter(|(_, member)| member.value.left.is_none());
    let roster: Vec<contract::Host> = members
        .map(|(id, member)| contract::Host {
            id: id.clone(),
            domain: member.value.domain.clone(),
            peer: member.value.peer,
        })
        .collect();
    let me = &host.settings.host;
    let neighbours = hubs::neighbours(view, me, &host.settings.domain);
    let others: Vec<HostId> = if neighbours.mesh {
        neighbours.links.clone()
    } else {
        let domains = hubs::domains(view).into_iter();
        let others = domains.filter(|domain| *domain != host.settings.domain);
        others.map(|domain| bank_of(&domain)).collect()
    };
    host.demand.borrow_mut().set_hosts(others, host.now());
    let linked = |host: &contract::Host| neighbours.links.contains(&host.id);
    let linked: Vec<_> = roster.into_iter().filter(linked).collect();
    host.mesh.set_roster(&linked, &[]);
    *host.neighbours.borrow_mut() = neighbours;
}

/// The name under which the hub of a failure domain gives out the tokens of all
/// its hosts, whichever host it is.
fn bank_of(domain: &FailureDomain) -> HostId {
    domain.as_str().parse().expect("names of hosts and of failure domains are alike")
}

/// A token of the account's rate, from this host or from its hub.
pub async fn take_token(host: &Host, account: &Account) -> Option<Ruling> {
    let (id, rate, burst) = (&account.id, account.rate, account.burst);
    if host.is_hub() {
        return Some(host.demand.borrow_mut().take(id, rate, burst, host.now()));
    }
    let link = host.mesh.link(&host.hub())?;
    let question = Question::Take { account: id.clone(), rate, burst };
    match link.ask(question, TOKEN_WITHIN).await {
        Ok(Answer::Ruling(ruling)) => Some(ruling),
        _ => None,
    }
}

/// Answers another host.
pub fn answer(host: &Rc<Host>, peer: &Hello, question: Question, teller: Teller) {
    let version = host.held.borrow().view().members.get(&peer.host).map(|row| row.version);
    host.heard.borrow_mut().insert(peer.host.clone(), (host.now(), version));
    match question {
        Question::Beat(beat) => {
            teller.tell(Answer::Beat(Box::new(own_beat(host))));
            take_beat(host, &peer.host, &peer.domain, *beat);
        }
        Question::Take { account, rate, burst } => {
            let mut demand = host.demand.borrow_mut();
            teller.tell(Answer::Ruling(demand.take(&account, rate, burst, host.now())));
        }
        Question::Act(view) => {
            monoio::spawn(act(host.clone(), *view, teller));
        }
        Question::Newest(known) => teller.tell(Answer::Newest(Box::new(newest(host, known)))),
        _ if *host.phase.borrow() != Phase::Serving => teller.tell(Answer::Leaving),
        _ => teller.tell(Answer::Pong),
    }
}

/// Acts on a view of another host and says so once nothing here counts on a
/// leader that it names no more.
async fn act(host: Rc<Host>, view: View, teller: Teller) {
    let wanted = view.version;
    for (id, row) in &view.groups {
        let asked = &host.group(id).asked;
        asked.set(asked.get().max(row.version));
    }
    let shown = host.store_clock.borrow().local(view.clock);
    // A host that has no idea of the store's clock holds no lease either.
    if let Some(shown) = shown {
        learn(&host, view, shown);
    }
    let released = |host: &Host| {
        let held = host.held.borrow();
        let mut groups = held.view().groups.iter();
        groups.all(|(id, row)| match row.value {
            Leadership::Moving { .. } => host.group(id).released.get() >= row.version,
            Leadership::Steady { .. } => true,
        })
    };
    while !released(&host) {
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
    let version = host.held.borrow().view().version;
    if version >= wanted {
        teller.tell(Answer::Acting(version));
    }
}

fn newest(host: &Host, asker: Known) -> Newest {
    let known = host.known();
    let kept = host.kept.borrow();
    let raw = kept.as_ref().map(|kept| kept.raw.clone());
    let view = || host.held.borrow().view().clone();
    let servers = known.servers.0 != asker.servers.0 && known.servers.1 > asker.servers.1;
    Newest {
        known,
        view: (known.view.0 != asker.view.0 && known.view.1 > asker.view.1).then(view),
        plan: raw.filter(|_| known.plan.0 > asker.plan.0),
        servers: servers.then(|| host.listed()),
    }
}

fn own_beat(host: &Host) -> Beat {
    let asked = host.is_hub().then(|| host.demand.borrow().asked(host.now()));
    Beat { asked, known: host.known(), majority: host.hears_majority() }
}

/// Takes what another host tells all the time, and asks it for what is new.
fn take_beat(host: &Rc<Host>, id: &HostId, domain: &FailureDomain, beat: Beat) {
    if let Some(asked) = beat.asked {
        let mesh = host.neighbours.borrow().mesh;
        let bank = if mesh { id.clone() } else { bank_of(domain) };
        host.demand.borrow_mut().heard(&bank, asked, host.now());
    }
    if beat.majority && *id == host.hub() {
        host.hub_majority.set(Some(host.now()));
    }
    renew(host, beat.known);
    let (own, known) = (host.known(), beat.known);
    let news = known.plan.0 > own.plan.0
        || (known.view.0 != own.view.0 && known.view.1 > own.view.1)
        || (known.servers.0 != own.servers.0 && known.servers.1 > own.servers.1);
    let Some(link) = host.mesh.link(id).filter(|_| news && !host.asks.get()) else { return };
    host.asks.set(true);
    let host = host.clone();
    monoio::spawn(async move {
        ask_newest(&host, &link).await;
        host.asks.set(false);
    });
}

/// Notes that what this host knows was still the newest when another one looked.
fn renew(host: &Host, known: Known) {
    if known.plan.0 == host.version() {
        host.plan_clock.set(host.plan_clock.get().max(known.plan.1));
    }
    if known.servers.0 == host.servers_stamp.get() {
        host.servers_clock.set(host.servers_clock.get().max(known.servers.1));
    }
    let shown = host.store_clock.borrow().local(known.view.1);
    if let Some(shown) = shown {
        host.held.borrow_mut().renew(known.view.0, known.view.1, shown);
    }
}

/// Tells the other hosts what this one's callers ask for and what it knows, for ever.
pub async fn beat(host: Rc<Host>) {
    loop {
        let beat = own_beat(&host);
        let hub = host.hub();
        let spoken = |link: &Rc<Link>| link.is_up() && (host.is_hub() || link.host == hub);
        for link in host.mesh.links().into_iter().filter(spoken) {
            let (host, beat) = (host.clone(), Box::new(beat.clone()));
            monoio::spawn(async move {
                // A host that does not answer is noticed by its own silence.
                if let Ok(Answer::Beat(answer)) = link.ask(Question::Beat(beat), PEER_WITHIN).await
                {
                    let member = host.held.borrow().view().members.get(&link.host).cloned();
                    if let Some(member) = member {
                        take_beat(&host, &link.host, &member.value.domain, *answer);
                    }
                }
            });
        }
        monoio::time::sleep(BEAT_EVERY).await;
    }
}

/// Asks other hosts for the newest view and configuration while the store does
/// not tell them to this one, for ever.
pub async fn ask_hosts(host: Rc<Host>) {
    let mut turn = 0;
    loop {
        monoio::time::sleep(ASK_EVERY).await;
        let old = |age: Option<Duration>, limit| age.is_none_or(|age| age > limit);
        let view = old(host.held.borrow().age(host.now()), ASK_VIEW_AFTER);
        if !view && !old(host.plan_age(), ASK_PLAN_AFTER) {
            continue;
        }
        let links: Vec<Rc<Link>> =
            host.mesh.links().into_iter().filter(|link| link.is_up()).collect();
        if links.is_empty() {
            continue;
        }
        turn += 1;
        ask_newest(&host, &links[turn % links.len()]).await;
    }
}

async fn ask_newest(host: &Rc<Host>, link: &Link) {
    let answer = link.ask(Question::Newest(host.known()), PEER_WITHIN).await;
    if let Ok(Answer::Newest(newest)) = answer {
        take_newest(host, &link.host, *newest);
    }
}

fn take_newest(host: &Rc<Host>, from: &HostId, newest: Newest) {
    if let Some(view) = newest.view {
        let shown = host.store_clock.borrow().local(view.clock);
        if let Some(shown) = shown {
            learn(host, view, shown);
        }
    }
    if let Some(plan) = newest.plan {
        info!(version = newest.known.plan.0.0, %from, "configuration: told by another host");
        follow::adopt(host, plan);
    }
    if let Some(servers) = newest.servers {
        follow::adopt_servers(host, servers);
    }
    renew(host, newest.known);
}

/// Takes out hosts that have been silent for long, and removes what is left of
/// hosts taken out before, for ever.
pub async fn take_out_silent(host: Rc<Host>) {
    let client = Client::new(host.settings.store);
    loop {
        monoio::time::sleep(Duration::from_secs(1)).await;
        let now = host.now();
        hear_rows(&host, now);
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
        let expect = vec![(member_key(id), row.version)];
        if row.value.is_over(view.clock) {
            return Some(Change { expect, remove: vec![member_key(id)], ..Change::default() });
        }
        let judged = neighbours.mesh || row.value.domain == host.settings.domain;
        if judged && row.value.left.is_none() && *id != host.settings.host && silent(id) {
            let member = Member { left: Some(view.clock), ..row.value.clone() };
            let value = serde_json::to_vec(&member).ok()?;
            let put = vec![(member_key(id), value)];
            return Some(Change { expect, put, remove: Vec::new() });
        }
    }
    None
}
