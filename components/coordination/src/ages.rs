//! How old the data of a replica is at most.
//!
//! Judged by when the primary's position was last seen, so an answer is never
//! older than claimed; what cannot be shown is not claimed.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{Point, leadership::Status};

/// The most samples kept; with one each 50 ms they reach back several minutes.
const MAX_SAMPLES: usize = 8192;

/// The least time between two samples of one primary's traffic. Ages of a second
/// and more are judged by them; 50 ms cost them a twentieth at most.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// What a server said, and the time since which it is known to hold.
#[derive(Clone, Copy, Debug)]
pub struct Observed {
    /// What it said.
    pub status: Status,
    /// When it was asked: what it said was so then or later.
    pub asked: Instant,
}

/// The primary's positions over time.
#[derive(Clone, Debug, Default)]
pub struct PositionHistory {
    /// Points of the primary, each with a time before which no write beyond it
    /// was acknowledged. Both never fall.
    samples: VecDeque<(Instant, Point)>,
}

impl PositionHistory {
    /// Notes the primary's point, if it can be shown that it led then: another
    /// server of the group, asked no earlier, had promised no later term.
    ///
    /// Without that a primary that was cut off and replaced would count as
    /// fresh for ever: its own position no longer moves. A majority of three
    /// that promised a later term before `primary.asked` would include one of
    /// the two servers that answered since.
    pub fn note(&mut self, primary: Observed, others: &[Observed]) {
        let status = primary.status;
        let led = status.leads()
            && others
                .iter()
                .any(|other| other.asked >= primary.asked && other.status.promised <= status.term);
        let newer = self
            .samples
            .back()
            .is_none_or(|(at, point)| primary.asked > *at && status.applied >= *point);
        if led && newer {
            self.push(primary.asked, status.applied);
        }
    }

    /// Notes the point of a primary that was asked at `asked` and is known to
    /// have led then, by a lease or otherwise.
    ///
    /// Samples closer together than [`SAMPLE_INTERVAL`] are thinned out. Samples of other hosts
    /// are received late, so one may belong between those that are known.
    pub fn note_point(&mut self, asked: Instant, point: Point) {
        let after = self.samples.partition_point(|(at, _)| *at < asked);
        let fits_former = after.checked_sub(1).is_none_or(|before| {
            let (at, last) = self.samples[before];
            let apart = asked >= at + SAMPLE_INTERVAL || point.term > last.term;
            apart && point >= last
        });
        let fits_next = self.samples.get(after).is_none_or(|(at, next)| {
            let apart = *at >= asked + SAMPLE_INTERVAL || next.term > point.term;
            apart && point <= *next
        });
        if fits_former && fits_next && self.samples.len() < MAX_SAMPLES {
            self.samples.insert(after, (asked, point));
        } else if fits_former && fits_next && after > 0 {
            self.samples.pop_front();
            self.samples.insert(after - 1, (asked, point));
        }
    }

    /// The newest sample.
    pub fn newest(&self) -> Option<(Instant, Point)> {
        self.samples.back().copied()
    }

    fn push(&mut self, at: Instant, point: Point) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((at, point));
    }

    /// The age at most of data that shows `applied`; `None` when it cannot be shown.
    pub fn age(&self, applied: Point, now: Instant) -> Option<Duration> {
        let covered = self.samples.partition_point(|(_, point)| applied.covers(*point));
        let (at, _) = self.samples.get(covered.checked_sub(1)?)?;
        Some(now.saturating_duration_since(*at))
    }

    /// The point that data must show to be no older than `max_age`; `None` when
    /// the primary has not been seen since.
    pub fn floor(&self, max_age: Duration, now: Instant) -> Option<Point> {
        let since = now.checked_sub(max_age)?;
        let after = self.samples.partition_point(|(at, _)| *at < since);
        self.samples.get(after).map(|(_, point)| *point)
    }
}
