//! Gossip of leaders' log positions, which lets reads run at replicas.
//!
//! A read with a maximum age may run at a replica that has reached a position which the leader
//! had no longer ago than that age. In a fleet of several hundred hosts each host observes each
//! leader only every few seconds, so without gossip most of its reads would go to the leader.
//! Hosts send the positions that they observe to their hub with heartbeats and receive the newest
//! positions of all hosts with the replies.
//!
//! The hub's reply names every group only while these are few. With many groups a host names those
//! that it uses, and hubs send each other only what is new.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{GroupId, Point, ServerId, offsets};
use bergamottrack_peer::message::{Heartbeat, LeaderPosition};

use crate::{group::Group, host::Host};

/// Age from which a position is no longer sent: the ages that reads allow are only little longer.
const POSITION_TTL: Duration = Duration::from_millis(2500);

/// Number of groups up to which a host receives the positions of all groups.
const MAX_GROUPS: usize = 64;

/// Time after its last use for which a host receives the positions of a group.
const INTEREST_TTL: Duration = Duration::from_secs(10);

/// Added to the time in which a requested position was learned, for the difference in delay of two
/// heartbeats: the timeout of a heartbeat.
const LEARNED_MARGIN: Duration = Duration::from_millis(400);

struct Known {
    leader: ServerId,
    point: Point,
    /// Time at which the leader was queried.
    at: Instant,
    /// Time at which this host received the position.
    learned: Instant,
}

/// Newest known log position of each group's leader.
#[derive(Default)]
pub struct Board {
    known: HashMap<GroupId, Known>,
}

impl Board {
    /// Records that at the time `at` the log of the group's leader had reached `point`. Older
    /// positions than the known one are ignored.
    pub fn note(
        &mut self,
        group: &GroupId,
        leader: &ServerId,
        point: Point,
        at: Instant,
        now: Instant,
    ) {
        if self.known.get(group).is_none_or(|known| known.at < at) {
            let known = Known { leader: leader.clone(), point, at, learned: now };
            self.known.insert(group.clone(), known);
        }
    }

    /// Discards positions older than [`POSITION_TTL`].
    pub fn expire(&mut self, now: Instant) {
        self.known.retain(|_, known| now.saturating_duration_since(known.at) < POSITION_TTL);
    }

    /// Returns the positions younger than [`POSITION_TTL`] that were learned after `since`; only
    /// those of the groups in `interest` if there is one.
    pub fn newest(
        &self,
        now: Instant,
        interest: Option<&[GroupId]>,
        since: Option<Instant>,
    ) -> Vec<LeaderPosition> {
        let position = |(group, known): (&GroupId, &Known)| {
            let recent = now.saturating_duration_since(known.at) < POSITION_TTL;
            let new = since.is_none_or(|since| known.learned > since);
            (recent && new).then(|| LeaderPosition {
                group: group.clone(),
                leader: known.leader.clone(),
                point: known.point,
                offset_ms: offsets::offset_ms(known.at, now),
            })
        };
        match interest {
            Some(groups) => {
                let known = groups.iter().filter_map(|group| self.known.get_key_value(group));
                known.filter_map(position).collect()
            }
            None => self.known.iter().filter_map(position).collect(),
        }
    }

    /// Adds the known position of a group's leader to the group.
    pub fn seed(&self, group: &Group) {
        let known = self.known.get(&group.id);
        let known = known.filter(|known| group.leader().as_ref() == Some(&known.leader));
        if let Some(known) = known {
            group.note_position(known.at, known.point);
        }
    }
}

/// Takes the positions that this host observed and has not sent yet, each with the time at which
/// the statement that returned it was sent. Omits groups without a leader.
pub fn take_observed(host: &Host) -> Vec<(Instant, LeaderPosition)> {
    let groups = host.groups.borrow();
    let seen = groups.values().filter_map(|group| {
        let (sent_at, point) = group.seen.take()?;
        let leader = group.leader()?;
        Some((sent_at, LeaderPosition { group: group.id.clone(), leader, point, offset_ms: 0 }))
    });
    let seen: Vec<_> = seen.collect();
    let (now, mut board) = (host.now(), host.positions.borrow_mut());
    board.expire(now);
    for (sent_at, LeaderPosition { group, leader, point, .. }) in &seen {
        board.note(group, leader, *point, *sent_at, now);
    }
    seen
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

/// Returns the groups whose positions this host requests; `None` for all of them.
pub fn interest(host: &Host) -> Option<Vec<GroupId>> {
    let groups = host.plan().map_or(0, |plan| plan.groups.len());
    if host.is_hub() || groups <= MAX_GROUPS {
        return None;
    }
    let now = host.now();
    let used = |group: &Group| now.saturating_duration_since(group.last_used.get()) < INTEREST_TTL;
    let groups = host.groups.borrow();
    Some(groups.values().filter(|group| used(group)).map(|group| group.id.clone()).collect())
}

/// Returns the positions that a heartbeat requests from a hub.
pub fn requested(host: &Host, beat: &Heartbeat) -> Vec<LeaderPosition> {
    let now = host.now();
    let since = beat.learned_ms.map(|ms| Duration::from_millis(ms.into()) + LEARNED_MARGIN);
    let since = since.and_then(|elapsed| now.checked_sub(elapsed));
    host.positions.borrow().newest(now, beat.interest.as_deref(), since)
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
    let now = host.now();
    for LeaderPosition { group, leader, point, offset_ms } in seen {
        // Times in the future are invalid.
        let at = offsets::instant(base, *offset_ms).filter(|at| *at <= now);
        let Some(at) = at else { continue };
        host.positions.borrow_mut().note(group, leader, *point, at, now);
        // Positions of a former leader do not apply to the current leader's log.
        if let Some(group) = host.known_group(group)
            && group.leader().as_ref() == Some(leader)
        {
            group.note_position(at, *point);
        }
    }
}
