//! This host's place in the fleet: the view it acts on, and its tokens of rates.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context;
use bergamottrack_adapter::store::{self, Change, Rows, Table, Verdict};
use bergamottrack_contract as contract;
use bergamottrack_coordination::{
    Clock, FailureDomain, GroupId, HostId, hubs,
    view::{self, Leadership, Member, Versioned, View},
};
use bergamottrack_model::Settings;
use bergamottrack_peer::link::Keepalive;
use bergamottrack_platform::http::Client;
use tracing::{info, warn};

use crate::{
    follow::STORE_WITHIN,
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

/// Pause before joining again, when another run of the host has joined meanwhile.
const JOIN_PAUSE: Duration = Duration::from_millis(50);

/// How often such a host looks whether it must.
const LOOK_EVERY: Duration = Duration::from_millis(150);

/// How long a host waits for the others when the whole system starts for the first
/// time. All start within 0.3 s, and the store takes 200 hosts a second: with all
/// of them in the first view only hubs read the store from then on.
const ALL_JOIN_WITHIN: Duration = Duration::from_millis(800);

/// Pause after a read of the view that failed.
const AGAIN_AFTER: Duration = Duration::from_millis(250);

/// How long a planned change of leader waits for transactions at the old one.
/// Most transactions last less than this; a leaving server serves for seconds.
const PATIENCE: Duration = Duration::from_millis(1200);

/// How long a host waits to be asked for its release of a leader before it tells
/// it by the store.
const ASKED_WITHIN: Duration = Duration::from_millis(400);

/// How links between hosts are tried out. Demand is told more often anyway.
pub const KEEPALIVE: Keepalive =
    Keepalive { interval: Duration::from_millis(1000), timeout: Duration::from_millis(2200) };

const MEMBER: &str = "host/";

const GROUP: &str = "group/";

const CLOSED: &str = "closed/";

const SECRET: &str = "secret";

/// The key of the duty's row.
pub const DUTY: &str = "duty";

/// The key of a group's row.
pub fn group_key(group: &GroupId) -> Box<str> {
    format!("{GROUP}{group}").into()
}

/// The key of the row of a group's terms that are over.
pub fn closed_key(group: &GroupId) -> Box<str> {
    format!("{CLOSED}{group}").into()
}

/// The key of a host's row.
pub fn member_key(host: &HostId) -> Box<str> {
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
        } else if let Some(group) = row.key.strip_prefix(CLOSED) {
            let term = serde_json::from_slice(&row.value).context("reading closed terms")?;
            view.closed.insert(group.parse()?, term);
        } else if &*row.key == DUTY {
            let value = serde_json::from_slice(&row.value).context("reading the duty's row")?;
            view.duty = Some(Versioned { version, value });
        } else if &*row.key == SECRET {
            view.secret = Some(String::from_utf8(row.value.to_vec())?.into());
        }
    }
    Ok(view)
}

/// What a host knows of its fleet when its tasks begin.
pub struct Entered {
    /// The view, with this run of the host counted in.
    pub view: View,
    /// When it was asked for.
    pub asked: Instant,
    /// What hosts of the fleet prove to each other.
    pub secret: Box<str>,
}

/// Reads the view, and joins the fleet if this host is not counted in.
///
/// The row of an earlier process of the host counts, so hosts that die together and start
/// again only read. A row for each takes seconds where hundreds start: the store applies
/// changes to one table part one after another. When the whole system starts for the first
/// time there are no rows, and joining comes first.
pub async fn enter(settings: &Settings, clock: &dyn Clock, client: &Client) -> Entered {
    if settings.first_start {
        until_done("joining", || join(settings, client)).await;
        // One after the other: the first of them draws the secret for all.
        let spread = ALL_JOIN_WITHIN.mul_f64(rand::random_range(0.0..0.5));
        monoio::time::sleep(ALL_JOIN_WITHIN + spread).await;
    }
    loop {
        let asked = clock.now();
        let view = until_done("reading the first view", || read(client)).await;
        if !is_counted(&view, settings) {
            until_done("joining", || join(settings, client)).await;
            continue;
        }
        if let Some(secret) = view.secret.clone() {
            let ms = (clock.now() - asked).as_millis() as u64;
            info!(version = view.version, hosts = view.members.len(), ms, "start: view read");
            return Entered { view, asked, secret };
        }
        until_done("drawing the secret", || draw_secret(client)).await;
    }
}

/// The place of this host.
pub fn place(settings: &Settings) -> u64 {
    view::place(settings.peer_address, &settings.domain, settings.cpu_millicores)
}

/// Whether the view has a row of this host as it is now.
fn is_counted(view: &View, settings: &Settings) -> bool {
    let row = view.members.get(&settings.host);
    row.is_some_and(|row| row.value.place == place(settings) && row.value.left.is_none())
}

/// Tries until it is done; the store may be away when a host starts.
async fn until_done<T, F>(step: &'static str, work: impl Fn() -> F) -> T
where
    F: Future<Output = anyhow::Result<T>>,
{
    loop {
        match work().await {
            Ok(done) => return done,
            Err(error) => {
                info!(step, error = %format_args!("{error:#}"), "fleet: not entered yet");
                monoio::time::sleep(AGAIN_AFTER).await;
            }
        }
    }
}

/// Writes a secret, unless another host was first: it is read again in any case.
async fn draw_secret(client: &Client) -> anyhow::Result<Verdict> {
    let drawn = format!("{:032x}", rand::random::<u128>());
    let change = Change {
        expect: vec![(SECRET.into(), 0)],
        put: vec![(SECRET.into(), drawn.into_bytes())],
        remove: Vec::new(),
    };
    store::change(client, &change, STORE_WITHIN).await
}

/// Whether this host has to read the view itself now.
fn must_read(host: &Host) -> bool {
    let old = host.held.borrow().age(host.now()).is_none_or(|age| age > OWN_VIEW);
    host.is_reader() || old || !host.held.borrow().is_member()
}

/// Reads the view for ever.
pub async fn follow(host: Rc<Host>) {
    let client = Client::new(host.settings.store_address);
    let mut lost = false;
    let mut woken = false;
    loop {
        if !must_read(&host) && !woken {
            let wake = monoio::time::timeout(LOOK_EVERY, host.look.notified()).await;
            woken = wake.is_ok();
            continue;
        }
        woken = false;
        if host.held.borrow().age(host.now()).is_some()
            && !host.held.borrow().is_member()
            && *host.phase.borrow() == Phase::Serving
            && let Err(error) = join(&host.settings, &client).await
        {
            info!(error = %format_args!("{error:#}"), "fleet: joining failed");
            monoio::time::sleep(AGAIN_AFTER).await;
        }
        let asked = host.now();
        match read(&client).await {
            Ok(view) => {
                if std::mem::take(&mut lost) {
                    info!("fleet: the view can be read again");
                }
                host.store_clock.borrow_mut().note(asked, view.clock);
                learn(&host, view, asked);
                let all = host.mesh.links().iter().all(|link| link.is_up());
                let pause = if all { VIEW_EVERY } else { VIEW_ALONE };
                let serving = *host.phase.borrow() == Phase::Serving;
                if serving && !host.held.borrow().is_member() {
                    monoio::time::sleep(JOIN_PAUSE).await;
                    continue;
                }
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

/// Writes this host into the view.
async fn join(settings: &Settings, client: &Client) -> anyhow::Result<()> {
    let member = Member {
        peer: settings.peer_address,
        domain: settings.domain.clone(),
        place: place(settings),
        left: None,
        released: 0,
        power: settings.cpu_millicores,
    };
    let value = serde_json::to_vec(&member)?;
    let put = vec![(member_key(&settings.host), value)];
    let verdict = store::change(client, &Change { put, ..Change::default() }, STORE_WITHIN).await?;
    anyhow::ensure!(matches!(verdict, Verdict::Applied(_)), "the store said {verdict:?}");
    info!(place = member.place, "fleet: joined");
    Ok(())
}

/// Takes this host out of the view, once it uses no leader any more.
pub async fn leave(settings: &Settings) -> anyhow::Result<()> {
    let client = Client::new(settings.store_address);
    let remove = vec![member_key(&settings.host)];
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
    let after = host.held.borrow().view().groups.clone();
    set_members(host);
    host.refresh();
    for (id, row) in after {
        if before.get(&id).is_none_or(|old| old.version != row.version) {
            act(host, &id, row, until, asked);
        }
    }
}

/// Takes one group's row, told by the host that changes its leader.
pub fn take(host: &Rc<Host>, id: &GroupId, row: Versioned<Leadership>) {
    let until = host.held.borrow().until();
    if host.held.borrow_mut().take(id, row.clone()) {
        host.refresh();
        act(host, id, row, until, host.now());
    }
}

/// Acts on a group's new row, learned at the local time `learned`: lets work at a
/// leader that it names no more end. `until` is when the lease on that one is over.
fn act(
    host: &Rc<Host>,
    id: &GroupId,
    row: Versioned<Leadership>,
    until: Option<Instant>,
    learned: Instant,
) {
    let group = host.group(id);
    info!(group = %id, version = row.version, leadership = ?row.value, "leader: view changed");
    let Leadership::Moving { planned, holder, .. } = row.value else { return };
    let end = until.filter(|_| planned).unwrap_or(learned);
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
    let client = Client::new(host.settings.store_address);
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
        others.map(|domain| party_of(&domain)).collect()
    };
    let own = if neighbours.mesh { me.clone() } else { party_of(&host.settings.domain) };
    host.demand.borrow_mut().set_participants(&own, others, host.now());
    host.clocks.borrow_mut().retain(|id, _| neighbours.links.contains(id));
    let linked = |host: &contract::Host| neighbours.links.contains(&host.id);
    let linked: Vec<_> = roster.into_iter().filter(linked).collect();
    host.mesh.set_roster(&linked, &[]);
    *host.neighbours.borrow_mut() = neighbours;
}

/// The name under which a failure domain shares a part of every rate.
pub fn party_of(domain: &FailureDomain) -> HostId {
    domain.as_str().parse().expect("names of hosts and of failure domains are alike")
}
