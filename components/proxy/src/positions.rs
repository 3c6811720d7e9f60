//! Positions of leaders that hosts send each other, so that reads need not go to a leader.
//!
//! A read of a stated age may run at a replica that has reached a position which the leader had
//! no longer ago than that. In a fleet of some hundred hosts each host sees each leader every
//! few seconds only, so most of its reads would go to the leader. Hosts send positions to their
//! hub with their heartbeats, and receive the newest of all hosts with its answers.

use std::time::{Duration, Instant};

use bergamottrack_coordination::offsets;
use bergamottrack_peer::message::{Heartbeat, Seen};

use crate::host::Host;

/// Positions older than this are not sent: reads allow little more.
const SENT_FOR: Duration = Duration::from_millis(2500);

/// Positions that this host saw itself and has not sent yet, and when it asked for them.
pub fn own(host: &Host) -> Vec<(Instant, Seen)> {
    let groups = host.groups.borrow();
    let seen = groups.values().filter_map(|group| {
        let (at, point) = group.seen.take()?;
        let leader = group.leader()?;
        Some((at, Seen { group: group.id.clone(), leader, point, offset_ms: 0 }))
    });
    seen.collect()
}

/// The same for a host whose clock was received at `base`.
pub fn since(own: &[(Instant, Seen)], base: Instant) -> Vec<Seen> {
    let seen = own
        .iter()
        .map(|(at, seen)| Seen { offset_ms: offsets::offset_ms(*at, base), ..seen.clone() });
    seen.collect()
}

/// The newest positions that this host knows.
pub fn newest(host: &Host) -> Vec<Seen> {
    let now = host.now();
    let groups = host.groups.borrow();
    let seen = groups.values().filter_map(|group| {
        let (at, point) = group.ages.borrow().newest()?;
        let recent = now.saturating_duration_since(at) < SENT_FOR;
        let leader = group.leader().filter(|_| recent)?;
        Some(Seen {
            group: group.id.clone(),
            leader,
            point,
            offset_ms: offsets::offset_ms(at, now),
        })
    });
    seen.collect()
}

/// Takes the positions of a question, whose times count from this host's own clock.
pub fn take_question(host: &Host, beat: &Heartbeat) {
    // The clock of an earlier process of this host began at another moment.
    if let Some(echo) = beat.echo.filter(|echo| echo.run == host.run) {
        take(host, host.started + echo.clock, &beat.seen);
    }
}

/// Takes the positions of an answer to a question that was sent at `asked`.
pub fn take_answer(host: &Host, beat: &Heartbeat, asked: Instant) {
    take(host, asked, &beat.seen);
}

fn take(host: &Host, base: Instant, seen: &[Seen]) {
    for Seen { group, leader, point, offset_ms } in seen {
        let at = offsets::instant(base, *offset_ms);
        let group = host.group(group);
        // What is known of a former leader's log ended with it.
        if let Some(at) = at.filter(|at| *at <= host.now())
            && group.leader().as_ref() == Some(leader)
        {
            group.ages.borrow_mut().note_point(at, *point);
        }
    }
}
