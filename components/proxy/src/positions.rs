//! Positions of leaders that hosts send each other, so that reads need not go to a leader.
//!
//! A read of a stated age may run at a replica that has reached a position which the leader had
//! no longer ago than that. In a fleet of some hundred hosts each host sees each leader every
//! few seconds only, so most of its reads would go to the leader. Hosts send positions to their
//! hub with their heartbeats, and receive the newest of all hosts with its answers.
//!
//! Clocks are not compared. What an answer says is counted from when its question was sent,
//! which was earlier; what a question says is counted from the hub's own clock, as the
//! sender received it, which was later. So a position may be taken for older than it is, never
//! for younger, however long a message is delayed.

use std::time::{Duration, Instant};

use bergamottrack_peer::message::{Beat, Seen};

use crate::host::Host;

/// Positions older than this are not sent: reads allow little more.
const SENT_FOR: Duration = Duration::from_millis(2500);

/// What two clocks may drift apart over that time.
const DRIFT: Duration = Duration::from_millis(2);

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
    let seen = own.iter().map(|(at, seen)| Seen { offset_ms: offset(*at, base), ..seen.clone() });
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
        Some(Seen { group: group.id.clone(), leader, point, offset_ms: offset(at, now) })
    });
    seen.collect()
}

fn offset(at: Instant, base: Instant) -> i64 {
    let after = at.saturating_duration_since(base).as_millis() as i64;
    let before = base.saturating_duration_since(at);
    after - (before + DRIFT).as_micros().div_ceil(1000) as i64
}

/// Takes the positions of a question, whose times count from this host's own clock.
pub fn take_question(host: &Host, beat: &Beat) {
    // The clock of an earlier process of this host began at another moment.
    if let Some(echo) = beat.echo.filter(|echo| echo.run == host.run) {
        take(host, host.began + echo.clock, &beat.seen);
    }
}

/// Takes the positions of an answer to a question that was sent at `asked`.
pub fn take_answer(host: &Host, beat: &Beat, asked: Instant) {
    take(host, asked, &beat.seen);
}

fn take(host: &Host, base: Instant, seen: &[Seen]) {
    for Seen { group, leader, point, offset_ms } in seen {
        let distance = Duration::from_millis(offset_ms.unsigned_abs());
        let at = match *offset_ms < 0 {
            true => base.checked_sub(distance),
            false => base.checked_add(distance),
        };
        let group = host.group(group);
        // What is known of a former leader's log ended with it.
        if let Some(at) = at.filter(|at| *at <= host.now())
            && group.leader().as_ref() == Some(leader)
        {
            group.ages.borrow_mut().note_point(at, *point);
        }
    }
}
