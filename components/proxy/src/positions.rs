//! Gossip of leaders' log positions, which lets reads run at replicas.
//!
//! A read with a maximum age may run at a replica that has reached a position which the leader
//! had no longer ago than that age. In a fleet of several hundred hosts each host observes each
//! leader only every few seconds, so without gossip most of its reads would go to the leader.
//! Hosts send the positions that they observe to their hub with heartbeats and receive the newest
//! positions of all hosts with the replies.

use std::time::{Duration, Instant};

use bergamottrack_coordination::offsets;
use bergamottrack_peer::message::{Heartbeat, LeaderPosition};

use crate::host::Host;

/// Age from which a position is no longer sent: the ages that reads allow are only little longer.
const POSITION_TTL: Duration = Duration::from_millis(2500);

/// Takes the positions that this host observed and has not sent yet, each with the time at which
/// the statement that returned it was sent. Omits groups without a leader.
pub fn take_observed(host: &Host) -> Vec<(Instant, LeaderPosition)> {
    let groups = host.groups.borrow();
    let seen = groups.values().filter_map(|group| {
        let (sent_at, point) = group.seen.take()?;
        let leader = group.leader()?;
        Some((sent_at, LeaderPosition { group: group.id.clone(), leader, point, offset_ms: 0 }))
    });
    seen.collect()
}

/// Returns positions with their times as offsets from `base`, the time at which the receiver's
/// clock reading arrived at this host.
pub fn with_offsets(observed: &[(Instant, LeaderPosition)], base: Instant) -> Vec<LeaderPosition> {
    let seen = observed.iter().map(|(sent_at, seen)| LeaderPosition {
        offset_ms: offsets::offset_ms(*sent_at, base),
        ..seen.clone()
    });
    seen.collect()
}

/// Returns the newest known position of each group that has a leader, if it is younger than
/// `POSITION_TTL`.
pub fn newest(host: &Host) -> Vec<LeaderPosition> {
    let now = host.now();
    let groups = host.groups.borrow();
    let seen = groups.values().filter_map(|group| {
        let (at, point) = group.ages.borrow().newest()?;
        let recent = now.saturating_duration_since(at) < POSITION_TTL;
        let leader = group.leader().filter(|_| recent)?;
        Some(LeaderPosition {
            group: group.id.clone(),
            leader,
            point,
            offset_ms: offsets::offset_ms(at, now),
        })
    });
    seen.collect()
}

/// Applies the positions of a received heartbeat, whose times are offsets from the clock reading
/// of this host that it echoes.
pub fn apply_heartbeat(host: &Host, beat: &Heartbeat) {
    // A clock reading of an earlier process of this host has another origin.
    if let Some(echo) = beat.echo.filter(|echo| echo.run == host.run) {
        apply(host, host.started + echo.clock, &beat.positions);
    }
}

/// Applies the positions of the reply to a heartbeat sent at `sent_at`.
pub fn apply_reply(host: &Host, beat: &Heartbeat, sent_at: Instant) {
    apply(host, sent_at, &beat.positions);
}

fn apply(host: &Host, base: Instant, seen: &[LeaderPosition]) {
    for LeaderPosition { group, leader, point, offset_ms } in seen {
        let at = offsets::instant(base, *offset_ms);
        let group = host.group(group);
        // Positions of a former leader do not apply to the current leader's log, and times in the
        // future are invalid.
        if let Some(at) = at.filter(|at| *at <= host.now())
            && group.leader().as_ref() == Some(leader)
        {
            group.ages.borrow_mut().note_point(at, *point);
        }
    }
}
