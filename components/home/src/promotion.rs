//! Promotion of another server of the group to its primary.
//!
//! The home decides on a promotion by itself. First a majority of the servers promises the new
//! term to this attempt alone. From then on they accept no log of an earlier term, so the old
//! primary gets no further write confirmed, even if it has not detected the promotion. Of the servers that
//! promised, the one with the greatest log holds every acknowledged write and is promoted. Two
//! homes that promote at the same time get different terms or refusals. Safety does not depend
//! on clocks.

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

/// Interval between two checks of the group's leadership.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for connecting to a server, and again for its promise of a term.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time to wait for further promises after those of a majority. The remaining logs may
/// hold writes that were not acknowledged; these are kept if this costs little time.
const EXTRA_PROMISE_TIMEOUT: Duration = Duration::from_millis(30);

/// Timeout for a server to become the primary.
const PROMOTE_TIMEOUT: Duration = Duration::from_secs(2);

/// Monitors a group's leadership and replaces its primary, until the home is closed.
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
        let fault_at = match cause {
            Cause::Unconfirmed => detector.stalled_since().unwrap_or(healthy_at),
            _ => fault_start(&home, cause, healthy_at),
        };
        let detect = now.saturating_duration_since(fault_at);
        match promote(&home, cause, detect).await {
            Ok(()) => failures = 0,
            Err(error) => {
                failures += 1;
                let delay = leadership::backoff(failures, rand::random());
                warn!(
                    "home: group {}: promotion failed, next attempt in {} ms: {error:#}.",
                    home.id,
                    delay.as_millis()
                );
                retry_at = home.clock.now() + delay;
            }
        }
        detector.mark_active(home.clock.now());
    }
}

/// Returns the time since which the group has had no working primary, as far as observed.
fn fault_start(home: &GroupHome, cause: Cause, healthy_at: Instant) -> Instant {
    let leader = home.last_leader();
    match cause {
        Cause::Silent | Cause::Refused => {
            leader.and_then(|s| s.last_seen.get()).unwrap_or(healthy_at)
        }
        _ => healthy_at,
    }
}

/// Promise of a term by a server.
struct Promise {
    server: Rc<Server>,
    /// Connection on which the promise was given.
    conn: Conn,
    /// Status of the server in its promise.
    status: Status,
}

/// Attempts one promotion, in a new term. `detect` is the time from the fault to this attempt, for
/// metrics and logs.
pub async fn promote(home: &GroupHome, cause: Cause, detect: Duration) -> anyhow::Result<()> {
    let statuses: Vec<Status> = home.servers.iter().filter_map(|s| s.last_status.get()).collect();
    let term = leadership::next_term(&statuses);
    let promoter = new_promoter(home);
    info!("home: group {}: promotion to term {term} started: {cause}.", home.id);
    let started = home.clock.now();
    let mut promises = collect_promises(home, candidates(home, cause), term, &promoter).await?;
    let promised_at = home.clock.now();
    let logs: Vec<_> = promises.iter().map(|p| (rank(&p.server), p.status.held)).collect();
    let chosen = leadership::successor(&logs, home.servers.len())
        .context("promises of fewer than a majority of the servers")?;
    let index = promises
        .iter()
        .position(|p| rank(&p.server) == chosen)
        .context("selected server is not among the promises")?;
    let Promise { server, mut conn, .. } = promises.swap_remove(index);
    let requested_at = home.clock.now();
    let text =
        conn.query_text_timeout(&protocol::promote(term, &promoter), PROMOTE_TIMEOUT).await?;
    monitor::record_status(home, &server, &text, requested_at)?;
    home.servers.iter().for_each(|server| server.probe.notify_one());
    let promote_time = home.clock.now().saturating_duration_since(requested_at);
    home.metrics.promotion(&home.id, Phase::Notice, detect);
    home.metrics.promotion(&home.id, Phase::Promise, promised_at - started);
    home.metrics.promotion(&home.id, Phase::Promote, promote_time);
    info!(
        "home: group {}: {} leads term {term}; detect {} ms, promise {} ms, promote {} ms.",
        home.id,
        server.contract.id,
        detect.as_millis(),
        (promised_at - started).as_millis(),
        promote_time.as_millis()
    );
    Ok(())
}

/// Returns the sort key that decides between servers with equal logs: a server that is not leaving
/// is preferred.
fn rank(server: &Server) -> (bool, ServerId) {
    (!server.leaving.get(), server.contract.id.clone())
}

/// Creates the id of one promotion attempt. Ids are not reused, so a delayed attempt cannot use
/// the promises made to a later attempt of the same host.
fn new_promoter(home: &GroupHome) -> String {
    format!("{}:{:016x}", home.host, rand::random::<u64>())
}

/// Returns the servers to request promises from. A primary that is partitioned from its replicas
/// is excluded: its longer log would make it the successor although it remains partitioned.
fn candidates(home: &GroupHome, cause: Cause) -> Vec<Rc<Server>> {
    let excluded = match cause {
        Cause::Unconfirmed => home.last_leader().map(|s| s.contract.id.clone()),
        _ => None,
    };
    home.servers.iter().filter(|s| Some(&s.contract.id) != excluded.as_ref()).cloned().collect()
}

/// Requests promises from all candidates concurrently. Fails unless a majority of the group
/// promises within twice [`PROMISE_TIMEOUT`]; waits for further promises only for
/// [`EXTRA_PROMISE_TIMEOUT`] more.
async fn collect_promises(
    home: &GroupHome,
    candidates: Vec<Rc<Server>>,
    term: Term,
    promoter: &str,
) -> anyhow::Result<Vec<Promise>> {
    let needed = leadership::majority(home.servers.len());
    let mut requests: FuturesUnordered<_> = candidates
        .into_iter()
        .map(|server| request_promise(home, server, term, promoter))
        .collect();
    let mut promises = Vec::new();
    let mut refusals = Vec::new();
    let mut deadline = home.clock.now() + 2 * PROMISE_TIMEOUT;
    while let Ok(Some(answer)) = monoio::time::timeout_at(deadline.into(), requests.next()).await {
        match answer {
            Ok(promise) => promises.push(promise),
            Err(error) => refusals.push(format!("{error:#}")),
        }
        if promises.len() >= needed {
            deadline = deadline.min(home.clock.now() + EXTRA_PROMISE_TIMEOUT);
        }
    }
    if promises.len() < needed {
        bail!("only {} of {needed} required promises; {}", promises.len(), refusals.join("; "));
    }
    Ok(promises)
}

/// Requests a server's promise of `term` to `promoter`, and records its status.
async fn request_promise(
    home: &GroupHome,
    server: Rc<Server>,
    term: Term,
    promoter: &str,
) -> anyhow::Result<Promise> {
    let requested_at = home.clock.now();
    let mut conn = Conn::connect(&server.contract, &home.id, PROMISE_TIMEOUT).await?;
    let text = conn.query_text_timeout(&protocol::promise(term, promoter), PROMISE_TIMEOUT).await?;
    let status = protocol::parse_status(&text)?;
    monitor::record_status(home, &server, &text, requested_at)?;
    Ok(Promise { server, conn, status })
}

/// Demotes a server that still reports itself as the primary of an earlier term.
///
/// A primary that was partitioned or frozen does not query whether it was replaced: it would
/// remain separate, and the group would run on two servers. Its promise of the current term,
/// which another server leads, makes it follow that server; no server is promoted.
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
                "home: group {}: superseded primary {} promised the current term.",
                home.id, server.contract.id
            ),
            Err(error) => debug!(
                "home: group {}: demotion of a superseded primary failed: {error:#}.",
                home.id
            ),
        }
        server.demoting.set(false);
    });
}
