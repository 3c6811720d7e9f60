//! Heartbeats between hosts, and what they ask each other for because of them.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{
    FailureDomain, GroupId, HostId, evacuation, freshness,
    view::{Leadership, Versioned},
};
use bergamottrack_peer::{
    Answer, Link, Question,
    accept::Replier,
    message::{ClockReading, Heartbeat, Hello, KnownVersions, LeaderPosition, Updates},
};
use tracing::info;

use crate::{
    fetch, fleet, follow, forward,
    host::{Host, Phase},
    placement, positions, tokens,
};

/// How often hosts tell each other what their callers ask for and what they know:
/// a fraction of the time in which demand is forgotten, and of the time within
/// which a configuration must be in force.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(400);

/// The same while a host that starts has no configuration or no servers yet.
const HEARTBEAT_AT_START: Duration = Duration::from_millis(50);

/// How long another host's answer to a heartbeat may take; the way there and back is 2 ms.
const PEER_WITHIN: Duration = Duration::from_millis(400);

/// How long what is new is waited for while the link is up: a list of some thousand servers
/// needs a second of a link of 10 Mbit/s.
const NEWS_WITHIN: Duration = Duration::from_secs(4);

/// After how long without an answer another host is asked too.
const ASK_ANOTHER: Duration = Duration::from_millis(400);

/// How old the view may be before other hosts are asked: a little more than the
/// time within which the store usually tells it.
const ASK_VIEW_AFTER: Duration = Duration::from_millis(3200);

/// How often other hosts are asked then.
const ASK_EVERY: Duration = Duration::from_millis(300);

/// Answers another host.
pub fn answer(host: &Rc<Host>, peer: &Hello, question: Question, replier: Replier) {
    let version = host.held.borrow().view().members.get(&peer.host).map(|row| row.version);
    host.heard.borrow_mut().insert(peer.host.clone(), (host.now(), version));
    match question {
        Question::Heartbeat(beat) => {
            positions::apply_heartbeat(host, &beat);
            replier.reply(Answer::Heartbeat(Box::new(answered_heartbeat(host))));
            if beat.report.is_none() && peer.domain == host.settings.domain {
                host.demand.borrow_mut().mark_idle(&peer.host);
            }
            take_heartbeat(host, &peer.host, &peer.domain, *beat);
        }
        Question::TakeToken { account, rate, burst } => {
            replier.reply(Answer::Ruling(tokens::admit(host, &account, rate, burst)));
        }
        Question::LastContact(server) => {
            let pool = host.server(&server);
            let answered = pool.and_then(|pool| pool.exchanges.borrow().answered(host.now()));
            replier.reply(Answer::LastContact(answered));
        }
        Question::Forward(statement) => {
            monoio::spawn(forward::serve(host.clone(), peer.host.clone(), *statement, replier));
        }
        Question::CancelTransaction(work) => {
            host.works.cancel(&peer.host, work, host.now());
            replier.reply(Answer::Pong);
        }
        Question::ApplyLeadership { group, row } => {
            monoio::spawn(act(host.clone(), group, row, replier));
        }
        Question::Piece(wanted) => replier.reply(Answer::Piece(fetch::piece(host, wanted))),
        Question::Updates(known) => replier.reply(Answer::Updates(Box::new(newest(host, known)))),
        _ if *host.phase.borrow() != Phase::Serving => replier.reply(Answer::Draining),
        _ => replier.reply(Answer::Pong),
    }
}

/// Acts on a group's row and says so once nothing here counts on a leader that it
/// names no more.
async fn act(host: Rc<Host>, id: GroupId, row: Versioned<Leadership>, replier: Replier) {
    let group = host.group(&id);
    group.asked.set(group.asked.get().max(row.version));
    fleet::take(&host, &id, row.clone());
    loop {
        let newest = host.held.borrow().leadership(&id).cloned().unwrap_or(row.clone());
        let moves = matches!(newest.value, Leadership::Moving { .. });
        if !moves || group.released.get() >= newest.version {
            return replier.reply(Answer::LeadershipApplied(newest.version));
        }
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn newest(host: &Host, asker: KnownVersions) -> Updates {
    let known = host.known();
    let view = || host.held.borrow().changes(asker.view_version);
    let servers = known.servers.0 != asker.servers.0 && known.servers.1 > asker.servers.1;
    Updates {
        known,
        view: (known.view.0 != asker.view.0 && known.view.1 > asker.view.1).then(view),
        servers: servers.then(|| host.listed()),
        evacuations: evacuations(host),
    }
}

fn evacuations(host: &Host) -> Option<evacuation::Set> {
    let known = host.evacuations.borrow();
    known.is_known().then(|| known.clone())
}

fn own_heartbeat(host: &Host) -> Heartbeat {
    let asked = tokens::is_reporter(host).then(|| host.demand.borrow().report(host.now()));
    let (known, majority) = (host.known(), host.hears_majority());
    let evacuations = evacuations(host);
    Heartbeat {
        report: asked,
        known,
        majority,
        evacuations,
        positions: Vec::new(),
        clock: None,
        echo: None,
    }
}

/// The answer to a heartbeat: requests that were admitted here are reported in this host's own.
fn answered_heartbeat(host: &Host) -> Heartbeat {
    let clock = host.now().saturating_duration_since(host.began);
    let clock = Some(ClockReading { run: host.run, clock });
    let seen = if host.is_hub() { positions::newest(host) } else { Vec::new() };
    Heartbeat { report: None, positions: seen, clock, ..own_heartbeat(host) }
}

/// The heartbeat for the host at the other end of the link, with positions that this host saw.
fn heartbeat_for(
    host: &Host,
    link: &Link,
    beat: &Heartbeat,
    own: &[(Instant, LeaderPosition)],
) -> Heartbeat {
    let Some((clock, received)) = host.clocks.borrow().get(&link.host).copied() else {
        return beat.clone();
    };
    Heartbeat { positions: positions::since(own, received), echo: Some(clock), ..beat.clone() }
}

/// Takes what another host's heartbeat says, and asks it for what is new.
fn take_heartbeat(host: &Rc<Host>, id: &HostId, domain: &FailureDomain, beat: Heartbeat) {
    if let Some(asked) = beat.report {
        let mesh = host.neighbours.borrow().mesh;
        let party = if mesh { id.clone() } else { fleet::party_of(domain) };
        host.demand.borrow_mut().receive_report(&party, id, &asked, host.now());
    }
    if beat.majority && *id == host.hub() {
        host.hub_majority.set(Some(host.now()));
    }
    if let Some(evacuations) = &beat.evacuations {
        placement::merge(host, id, evacuations);
    }
    renew(host, beat.known);
    let (own, known) = (host.known(), beat.known);
    let Some(link) = host.mesh.link(id) else { return };
    fetch::begin(host, &link, known.plan.0);
    let news = (known.view.0 != own.view.0 && known.view.1 > own.view.1)
        || (known.servers.0 != own.servers.0 && known.servers.1 > own.servers.1);
    if news {
        begin_asking(host, link);
    }
}

/// Asks a host for what is new, unless it is being asked or another one just was.
///
/// Guards against copies of one answer on a link that needs longer for it than it is waited
/// for: each would come too late, and nothing else would get through.
fn begin_asking(host: &Rc<Host>, link: Rc<Link>) {
    let now = host.now();
    let mut asked = host.asked.borrow_mut();
    let lately = asked.values().any(|since| now.saturating_duration_since(*since) < ASK_ANOTHER);
    if lately || asked.contains_key(&link.host) {
        return;
    }
    asked.insert(link.host.clone(), now);
    let host = host.clone();
    monoio::spawn(async move {
        ask_newest(&host, &link).await;
        host.asked.borrow_mut().remove(&link.host);
    });
}

/// Notes that what this host knows was still the newest when another one looked.
fn renew(host: &Host, known: KnownVersions) {
    host.newest.set(host.newest.get().max(known.plan.0));
    if known.plan.0 == host.version() {
        host.shelf.borrow_mut().confirm(known.plan.1);
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
pub async fn send_heartbeats(host: Rc<Host>) {
    loop {
        tokens::free_shares(&host);
        host.demand.borrow_mut().publish(host.now());
        let beat = own_heartbeat(&host);
        let own = positions::own(&host);
        let (hub, is_reporter) = (host.hub(), tokens::is_reporter(&host));
        let spoken = |link: &Rc<Link>| link.is_up() && (is_reporter || link.host == hub);
        for link in host.mesh.links().into_iter().filter(spoken) {
            let beat = Box::new(heartbeat_for(&host, &link, &beat, &own));
            let host = host.clone();
            monoio::spawn(async move {
                let sent = host.now();
                // A host that does not answer is noticed by its own silence.
                if let Ok(Answer::Heartbeat(answer)) =
                    link.query(Question::Heartbeat(beat), PEER_WITHIN).await
                {
                    take_clock(&host, &link, &answer, sent);
                    let member = host.held.borrow().view().members.get(&link.host).cloned();
                    if let Some(member) = member {
                        take_heartbeat(&host, &link.host, &member.value.domain, *answer);
                    }
                }
            });
        }
        let starting = host.plan().is_none() || host.pools.borrow().is_empty();
        monoio::time::sleep(if starting { HEARTBEAT_AT_START } else { HEARTBEAT_EVERY }).await;
    }
}

/// Takes what the answer to a heartbeat that was sent at `sent` says of leaders' positions.
fn take_clock(host: &Host, link: &Link, answer: &Heartbeat, sent: Instant) {
    if let Some(clock) = answer.clock {
        host.clocks.borrow_mut().insert(link.host.clone(), (clock, host.now()));
    }
    positions::apply_reply(host, answer, sent);
}

/// Asks other hosts for the newest view and configuration while the store does
/// not tell them to this one, for ever.
pub async fn ask_hosts(host: Rc<Host>) {
    let pace = freshness::PollIntervals::for_bound(
        host.settings.apply_bound.min(host.settings.evacuation_bound),
    );
    let mut turn = 0;
    loop {
        monoio::time::sleep(ASK_EVERY).await;
        let old = |age: Option<Duration>, limit| age.is_none_or(|age| age > limit);
        let view = old(host.held.borrow().age(host.now()), ASK_VIEW_AFTER);
        if !view && !old(host.plan_age(), pace.ask) {
            continue;
        }
        let links: Vec<Rc<Link>> =
            host.mesh.links().into_iter().filter(|link| link.is_up()).collect();
        if links.is_empty() {
            continue;
        }
        turn += 1;
        begin_asking(&host, links[turn % links.len()].clone());
    }
}

async fn ask_newest(host: &Rc<Host>, link: &Rc<Link>) {
    let mut known = host.known();
    loop {
        let asked = host.now();
        let answer = link.query(Question::Updates(known), NEWS_WITHIN).await;
        let ms = (host.now() - asked).as_millis() as u64;
        let newest = match answer {
            Ok(Answer::Updates(newest)) => newest,
            Ok(_) => return,
            Err(error) => {
                host.measures.unanswered.inc();
                let (version, error) = (known.plan.0.0, format_args!("{error:#}"));
                info!(from = %link.host, version, ms, %error, "fleet: not told what is new");
                return;
            }
        };
        fetch::begin(host, link, newest.known.plan.0);
        if let Some(evacuations) = &newest.evacuations {
            placement::merge(host, &link.host, evacuations);
        }
        let fits = take_newest(host, *newest);
        if fits || known.view_version == 0 {
            return;
        }
        info!(from = %link.host, "fleet: changes of the view do not fit, asking for all of it");
        known = KnownVersions { view_version: 0, ..host.known() };
    }
}

/// Takes what another host knows; false when its changes of the view do not fit.
fn take_newest(host: &Rc<Host>, newest: Updates) -> bool {
    let changed = newest.view.map(|changes| changes.apply_to(host.held.borrow().view()));
    let fits = !matches!(changed, Some(None));
    if let Some(view) = changed.flatten() {
        let shown = host.store_clock.borrow().local(view.clock);
        if let Some(shown) = shown {
            fleet::learn(host, view, shown);
        }
    }
    if let Some(servers) = newest.servers {
        follow::adopt_servers(host, servers);
    }
    renew(host, newest.known);
    fits
}
