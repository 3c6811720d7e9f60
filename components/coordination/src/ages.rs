//! Upper bound on the age of a replica's data.
//!
//! The bound follows from the times at which positions of the primary were observed, so data
//! is never older than stated. Without sufficient observations no age is stated.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{Point, leadership::Status};

/// Maximum number of samples; at one per 50 ms they cover several minutes.
const MAX_SAMPLES: usize = 8192;

/// Minimum interval between two samples of a primary. The samples are used for ages of a
/// second and more, of which 50 ms are a twentieth at most.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Status of a server with the time of the request for it.
#[derive(Clone, Copy, Debug)]
pub struct Observed {
    /// Status in the answer.
    pub status: Status,
    /// Time of the request: the status held at that time or later.
    pub sent: Instant,
}

/// History of the primary's positions.
#[derive(Clone, Debug, Default)]
pub struct PositionHistory {
    /// Points of the primary, each with a time before which no write beyond it was
    /// acknowledged. Neither decreases.
    samples: VecDeque<(Instant, Point)>,
}

impl PositionHistory {
    /// Records the primary's point if the primary provably led at that time: another server of
    /// the group, asked no earlier, had promised no later term.
    ///
    /// Otherwise the data of a primary that was partitioned and replaced would be considered
    /// current for ever, since its own position no longer advances. A majority of three that
    /// promised a later term before `primary.sent` would include one of the two servers that
    /// answered since.
    pub fn note(&mut self, primary: Observed, others: &[Observed]) {
        let status = primary.status;
        let led = status.leads()
            && others
                .iter()
                .any(|other| other.sent >= primary.sent && other.status.promised <= status.term);
        let newer = self
            .samples
            .back()
            .is_none_or(|(at, point)| primary.sent > *at && status.applied >= *point);
        if led && newer {
            self.push(primary.sent, status.applied);
        }
    }

    /// Records the point of a primary that was queried at `sent` and is known to have led then,
    /// by a lease or otherwise.
    ///
    /// Samples less than `SAMPLE_INTERVAL` apart are dropped. Samples from other hosts arrive
    /// late, so a sample may belong between existing ones.
    pub fn note_point(&mut self, sent: Instant, point: Point) {
        let after = self.samples.partition_point(|(at, _)| *at < sent);
        let fits_previous = after.checked_sub(1).is_none_or(|before| {
            let (at, last) = self.samples[before];
            let distinct = sent >= at + SAMPLE_INTERVAL || point.term > last.term;
            distinct && point >= last
        });
        let fits_next = self.samples.get(after).is_none_or(|(at, next)| {
            let distinct = *at >= sent + SAMPLE_INTERVAL || next.term > point.term;
            distinct && point <= *next
        });
        if fits_previous && fits_next && self.samples.len() < MAX_SAMPLES {
            self.samples.insert(after, (sent, point));
        } else if fits_previous && fits_next && after > 0 {
            self.samples.pop_front();
            self.samples.insert(after - 1, (sent, point));
        }
    }

    /// Returns the newest sample.
    pub fn newest(&self) -> Option<(Instant, Point)> {
        self.samples.back().copied()
    }

    fn push(&mut self, at: Instant, point: Point) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((at, point));
    }

    /// Returns the maximum age of data that shows `applied`, or `None` if no sample bounds it.
    pub fn age(&self, applied: Point, now: Instant) -> Option<Duration> {
        let covered = self.samples.partition_point(|(_, point)| applied.covers(*point));
        let (at, _) = self.samples.get(covered.checked_sub(1)?)?;
        Some(now.saturating_duration_since(*at))
    }

    /// Returns the point that data must show to be no older than `max_age`, or `None` if there
    /// is no sample that recent.
    pub fn floor(&self, max_age: Duration, now: Instant) -> Option<Point> {
        let since = now.checked_sub(max_age)?;
        let after = self.samples.partition_point(|(at, _)| *at < since);
        self.samples.get(after).map(|(_, point)| *point)
    }
}
