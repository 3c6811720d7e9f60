//! Promotion: another server of the group becomes its primary.
//!
//! Nobody else orders it. A majority of the servers first promises the new
//! term to this attempt alone; from then on they take no log of an earlier
//! one, so the old primary can have no more write confirmed, whether it knows
//! or not. Of those that promised, the one with the greatest log holds every
//! acknowledged write and is promoted. Two homes at it at once get different
//! terms or refusals, and no clock is trusted.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use bergamottrack_coordination::{
    ServerId, Term,
    leadership::{self, Cause, FailureDetector, Status, Verdict},
};
use bergamottrack_metrics::Phase;
use futures_util::{StreamExt, stream::FuturesUnordered};
use tracing::{debug, info, warn};

use crate::{
    backend::Conn, group::GroupHome, handover::Handover, monitor, protocol, server::Server,
};

/// How often the group's leadership is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// How long a server may take to connect, and again to promise a term.
const PROMISE_WITHIN: Duration = Duration::from_millis(400);

/// How long the rest are waited for once a majority has promised: their logs
/// may hold writes that no caller has been told of, worth keeping if it is cheap.
const REST_WITHIN: Duration = Duration::from_millis(30);

/// How long a server may take to become the primary.
const PROMOTE_WITHIN: Duration = Duration::from_secs(2);

/// Looks after a group's leadership until its home is closed.
pub async fn run(home: Rc<GroupHome>) {
    let mut now = home.clock.now();
    let mut detector = FailureDetector::new(home.silence(), now);
    let mut led_at = now;
    let mut handover = Handover::default();
    let mut failures = 0;
    let mut resume = now;
    while !home.closed.get() {
        monoio::time::sleep(LOOK_EVERY).await;
        now = home.clock.now();
        detector.silence_timeout = home.silence();
        let sights: Vec<_> = home.servers.iter().map(|server| server.sight()).collect();
        let verdict = detector.observe(now, &sights);
        home.note_verdict(verdict);
        if verdict == Verdict::Healthy {
            led_at = now;
            retire_replaced(&home);
            if home.first.get() {
                handover.look(&home).await;
                detector.mark_active(home.clock.now());
            }
        }
        let Verdict::Promote(cause) = verdict else { continue };
        if !home.first.get() || now < resume {
            continue;
        }
        let began = match cause {
            Cause::Unconfirmed => detector.stalled_since().unwrap_or(led_at),
            _ => fault_began(&home, cause, led_at),
        };
        let detect = now.saturating_duration_since(began);
        match promote(&home, cause, detect).await {
            Ok(()) => failures = 0,
            Err(error) => {
                failures += 1;
                let pause = leadership::backoff(failures, rand::random());
                warn!(
                    "home: group {}: the promotion failed, again in {} ms: {error:#}.",
                    home.id,
                    pause.as_millis()
                );
                resume = home.clock.now() + pause;
            }
        }
        detector.mark_active(home.clock.now());
    }
}

/// Since when the group has been without a working primary, as far as seen.
fn fault_began(home: &GroupHome, cause: Cause, led_at: Instant) -> Instant {
    let leader = home.last_leader();
    match cause {
        Cause::Silent | Cause::Refused => leader.and_then(|s| s.heard.get()).unwrap_or(led_at),
        _ => led_at,
    }
}

/// A server's promise of a term.
struct Promise {
    server: Rc<Server>,
    /// The connection over which it was given.
    conn: Conn,
    /// What the server said of itself when it promised.
    status: Status,
}

/// Replaces the primary once; `detect` is how long the fault went before.
pub async fn promote(home: &GroupHome, cause: Cause, detect: Duration) -> anyhow::Result<()> {
    let lasts: Vec<Status> = home.servers.iter().filter_map(|s| s.last.get()).collect();
    let term = leadership::next_term(&lasts);
    let holder = new_holder(home);
    info!("home: group {}: promotion to term {term} begins: {cause}.", home.id);
    let began = home.clock.now();
    let mut promises = collect(home, candidates(home, cause), term, &holder).await?;
    let promised = home.clock.now();
    let logs: Vec<_> = promises.iter().map(|p| (rank(&p.server), p.status.held)).collect();
    let chosen = leadership::successor(&logs, home.servers.len()).context("no majority")?;
    let place = promises.iter().position(|p| rank(&p.server) == chosen).context("no successor")?;
    let Promise { server, mut conn, .. } = promises.swap_remove(place);
    let asked = home.clock.now();
    let text = conn.text_within(&protocol::promote(term, &holder), PROMOTE_WITHIN).await?;
    monitor::note(home, &server, &text, asked)?;
    home.servers.iter().for_each(|server| server.probe.notify_one());
    let took = home.clock.now().saturating_duration_since(asked);
    home.metrics.promotion(&home.id, Phase::Notice, detect);
    home.metrics.promotion(&home.id, Phase::Promise, promised - began);
    home.metrics.promotion(&home.id, Phase::Promote, took);
    info!(
        "home: group {}: {} leads term {term}; detect {} ms, promise {} ms, promote {} ms.",
        home.id,
        server.contract.id,
        detect.as_millis(),
        (promised - began).as_millis(),
        took.as_millis()
    );
    Ok(())
}

/// Of equal logs a server that stays goes before one that leaves.
fn rank(server: &Server) -> (bool, ServerId) {
    (!server.leaving.get(), server.contract.id.clone())
}

/// A name for one attempt. It is never used twice, so that an attempt that was
/// delayed cannot use the promises made to a later one of the same host.
fn new_holder(home: &GroupHome) -> String {
    format!("{}:{:016x}", home.me, rand::random::<u64>())
}

/// Whom to ask: a primary that is cut from its replicas would win by its
/// longer log and still be cut, so it is passed over.
fn candidates(home: &GroupHome, cause: Cause) -> Vec<Rc<Server>> {
    let passed = match cause {
        Cause::Unconfirmed => home.last_leader().map(|s| s.contract.id.clone()),
        _ => None,
    };
    home.servers.iter().filter(|s| Some(&s.contract.id) != passed.as_ref()).cloned().collect()
}

/// Asks all candidates at once; an error unless a majority of the group promises.
async fn collect(
    home: &GroupHome,
    candidates: Vec<Rc<Server>>,
    term: Term,
    holder: &str,
) -> anyhow::Result<Vec<Promise>> {
    let needed = leadership::majority(home.servers.len());
    let mut asked: FuturesUnordered<_> =
        candidates.into_iter().map(|server| ask(home, server, term, holder)).collect();
    let mut promises = Vec::new();
    let mut refusals = Vec::new();
    let mut until = home.clock.now() + 2 * PROMISE_WITHIN;
    while let Ok(Some(answer)) = monoio::time::timeout_at(until.into(), asked.next()).await {
        match answer {
            Ok(promise) => promises.push(promise),
            Err(error) => refusals.push(format!("{error:#}")),
        }
        if promises.len() >= needed {
            until = until.min(home.clock.now() + REST_WITHIN);
        }
    }
    if promises.len() < needed {
        bail!("{} of {needed} promises; {}", promises.len(), refusals.join("; "));
    }
    Ok(promises)
}

async fn ask(
    home: &GroupHome,
    server: Rc<Server>,
    term: Term,
    holder: &str,
) -> anyhow::Result<Promise> {
    let asked = home.clock.now();
    let mut conn = Conn::connect(&server.contract, &home.id, PROMISE_WITHIN).await?;
    let text = conn.text_within(&protocol::promise(term, holder), PROMISE_WITHIN).await?;
    let status = protocol::parse_status(&text)?;
    monitor::note(home, &server, &text, asked)?;
    Ok(Promise { server, conn, status })
}

/// Tells a server that still believes that it leads an earlier term.
///
/// A primary that was cut off or frozen asks nobody whether it was replaced:
/// it would stay apart, and the group would run on two servers. Its promise of
/// the term that is led already makes it follow; nobody is promoted by it.
fn retire_replaced(home: &Rc<GroupHome>) {
    let Some((leader, led)) = home.primary() else { return };
    let replaced = home.statuses().find(|(server, status)| {
        status.leads() && status.term < led.term && server.contract.id != leader.contract.id
    });
    let Some((server, _)) = replaced else { return };
    if !home.first.get() || server.retiring.replace(true) {
        return;
    }
    let (home, server) = (home.clone(), server.clone());
    monoio::spawn(async move {
        let holder = new_holder(&home);
        match ask(&home, server.clone(), led.term, &holder).await {
            Ok(_) => info!(
                "home: group {}: {} is told that it was replaced.",
                home.id, server.contract.id
            ),
            Err(error) => debug!("home: group {}: retiring: {error:#}.", home.id),
        }
        server.retiring.set(false);
    });
}
