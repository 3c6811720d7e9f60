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
    backend::Conn, group::GroupHome, handover::HandoverState, monitor, protocol, server::Server,
};

/// How often the group's leadership is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a server may take to connect, and again to promise a term.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the rest are waited for once a majority has promised: their logs
/// may hold writes that no caller has been told of, worth keeping if it is cheap.
const EXTRA_PROMISE_TIMEOUT: Duration = Duration::from_millis(30);

/// How long a server may take to become the primary.
const PROMOTE_TIMEOUT: Duration = Duration::from_secs(2);

/// Looks after a group's leadership until its home is closed.
pub async fn run(home: Rc<GroupHome>) {
    let mut now = home.clock.now();
    let mut detector = FailureDetector::new(home.silence_timeout(), now);
    let mut healthy_at = now;
    let mut handover = HandoverState::default();
    let mut failures = 0;
    let mut retry_at = now;
    while !home.closed.get() {
        monoio::time::sleep(CHECK_INTERVAL).await;
        now = home.clock.now();
        detector.silence_timeout = home.silence_timeout();
        let observations: Vec<_> = home.servers.iter().map(|server| server.observation()).collect();
        let verdict = detector.observe(now, &observations);
        home.record_verdict(verdict);
        if verdict == Verdict::Healthy {
            healthy_at = now;
            demote_superseded(&home);
            if home.ranks_first.get() {
                handover.advance(&home).await;
                detector.mark_active(home.clock.now());
            }
        }
        let Verdict::Promote(cause) = verdict else { continue };
        if !home.ranks_first.get() || now < retry_at {
            continue;
        }
        let started = match cause {
            Cause::Unconfirmed => detector.stalled_since().unwrap_or(healthy_at),
            _ => fault_start(&home, cause, healthy_at),
        };
        let detect = now.saturating_duration_since(started);
        match promote(&home, cause, detect).await {
            Ok(()) => failures = 0,
            Err(error) => {
                failures += 1;
                let delay = leadership::backoff(failures, rand::random());
                warn!(
                    "home: group {}: the promotion failed, again in {} ms: {error:#}.",
                    home.id,
                    delay.as_millis()
                );
                retry_at = home.clock.now() + delay;
            }
        }
        detector.mark_active(home.clock.now());
    }
}

/// Since when the group has been without a working primary, as far as seen.
fn fault_start(home: &GroupHome, cause: Cause, healthy_at: Instant) -> Instant {
    let leader = home.last_leader();
    match cause {
        Cause::Silent | Cause::Refused => {
            leader.and_then(|s| s.last_seen.get()).unwrap_or(healthy_at)
        }
        _ => healthy_at,
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
    let statuses: Vec<Status> = home.servers.iter().filter_map(|s| s.last_status.get()).collect();
    let term = leadership::next_term(&statuses);
    let promoter = new_promoter(home);
    info!("home: group {}: promotion to term {term} begins: {cause}.", home.id);
    let started = home.clock.now();
    let mut promises = collect_promises(home, candidates(home, cause), term, &promoter).await?;
    let promised = home.clock.now();
    let logs: Vec<_> = promises.iter().map(|p| (rank(&p.server), p.status.held)).collect();
    let chosen = leadership::successor(&logs, home.servers.len()).context("no majority")?;
    let index = promises.iter().position(|p| rank(&p.server) == chosen).context("no successor")?;
    let Promise { server, mut conn, .. } = promises.swap_remove(index);
    let asked = home.clock.now();
    let text =
        conn.query_text_timeout(&protocol::promote(term, &promoter), PROMOTE_TIMEOUT).await?;
    monitor::record_status(home, &server, &text, asked)?;
    home.servers.iter().for_each(|server| server.probe.notify_one());
    let promote_time = home.clock.now().saturating_duration_since(asked);
    home.metrics.promotion(&home.id, Phase::Notice, detect);
    home.metrics.promotion(&home.id, Phase::Promise, promised - started);
    home.metrics.promotion(&home.id, Phase::Promote, promote_time);
    info!(
        "home: group {}: {} leads term {term}; detect {} ms, promise {} ms, promote {} ms.",
        home.id,
        server.contract.id,
        detect.as_millis(),
        (promised - started).as_millis(),
        promote_time.as_millis()
    );
    Ok(())
}

/// Of equal logs a server that stays goes before one that leaves.
fn rank(server: &Server) -> (bool, ServerId) {
    (!server.leaving.get(), server.contract.id.clone())
}

/// A name for one attempt. It is never used twice, so that an attempt that was
/// delayed cannot use the promises made to a later one of the same host.
fn new_promoter(home: &GroupHome) -> String {
    format!("{}:{:016x}", home.host, rand::random::<u64>())
}

/// Whom to ask: a primary that is cut from its replicas would win by its
/// longer log and still be cut, so it is passed over.
fn candidates(home: &GroupHome, cause: Cause) -> Vec<Rc<Server>> {
    let excluded = match cause {
        Cause::Unconfirmed => home.last_leader().map(|s| s.contract.id.clone()),
        _ => None,
    };
    home.servers.iter().filter(|s| Some(&s.contract.id) != excluded.as_ref()).cloned().collect()
}

/// Asks all candidates at once; an error unless a majority of the group promises.
async fn collect_promises(
    home: &GroupHome,
    candidates: Vec<Rc<Server>>,
    term: Term,
    promoter: &str,
) -> anyhow::Result<Vec<Promise>> {
    let needed = leadership::majority(home.servers.len());
    let mut asked: FuturesUnordered<_> = candidates
        .into_iter()
        .map(|server| request_promise(home, server, term, promoter))
        .collect();
    let mut promises = Vec::new();
    let mut refusals = Vec::new();
    let mut until = home.clock.now() + 2 * PROMISE_TIMEOUT;
    while let Ok(Some(answer)) = monoio::time::timeout_at(until.into(), asked.next()).await {
        match answer {
            Ok(promise) => promises.push(promise),
            Err(error) => refusals.push(format!("{error:#}")),
        }
        if promises.len() >= needed {
            until = until.min(home.clock.now() + EXTRA_PROMISE_TIMEOUT);
        }
    }
    if promises.len() < needed {
        bail!("{} of {needed} promises; {}", promises.len(), refusals.join("; "));
    }
    Ok(promises)
}

async fn request_promise(
    home: &GroupHome,
    server: Rc<Server>,
    term: Term,
    promoter: &str,
) -> anyhow::Result<Promise> {
    let asked = home.clock.now();
    let mut conn = Conn::connect(&server.contract, &home.id, PROMISE_TIMEOUT).await?;
    let text = conn.query_text_timeout(&protocol::promise(term, promoter), PROMISE_TIMEOUT).await?;
    let status = protocol::parse_status(&text)?;
    monitor::record_status(home, &server, &text, asked)?;
    Ok(Promise { server, conn, status })
}

/// Tells a server that still believes that it leads an earlier term.
///
/// A primary that was cut off or frozen asks nobody whether it was replaced:
/// it would stay apart, and the group would run on two servers. Its promise of
/// the term that is led already makes it follow; nobody is promoted by it.
fn demote_superseded(home: &Rc<GroupHome>) {
    let Some((leader, current)) = home.primary() else { return };
    let superseded = home.statuses().find(|(server, status)| {
        status.leads() && status.term < current.term && server.contract.id != leader.contract.id
    });
    let Some((server, _)) = superseded else { return };
    if !home.ranks_first.get() || server.demoting.replace(true) {
        return;
    }
    let (home, server) = (home.clone(), server.clone());
    monoio::spawn(async move {
        let promoter = new_promoter(&home);
        match request_promise(&home, server.clone(), current.term, &promoter).await {
            Ok(_) => info!(
                "home: group {}: {} is told that it was replaced.",
                home.id, server.contract.id
            ),
            Err(error) => debug!("home: group {}: retiring: {error:#}.", home.id),
        }
        server.demoting.set(false);
    });
}
