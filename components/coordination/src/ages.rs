//! Upper bound on the age of a replica's data.
//!
//! The bound is computed from the times at which positions of the primary were observed, so data
//! is never older than the returned age. Without sufficient observations no age is returned.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{Point, leadership::Status};

/// Maximum number of samples; at one per 50 ms they cover several minutes.
const MAX_SAMPLES: usize = 8192;

/// Minimum interval between two samples recorded by [`PositionHistory::note_point`]. The samples
/// are used for ages of a second and more, of which 50 ms are a twentieth at most.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Status of a server with the time of the request for it.
#[derive(Clone, Copy, Debug)]
pub struct Observed {
    /// Status in the answer.
    pub status: Status,
    /// Time at which the request was sent; the server had the status at that time or later.
    pub sent: Instant,
}

/// History of the primary's positions.
#[derive(Clone, Debug, Default)]
pub struct PositionHistory {
    /// Points of the primary, each with a time before which no write beyond the point was
    /// acknowledged. Neither times nor points decrease.
    samples: VecDeque<(Instant, Point)>,
}

impl PositionHistory {
    /// Records the primary's point if the primary provably led at `primary.sent`: another server
    /// of the group, queried at that time or later, had promised no later term. A sample that is
    /// not newer than the last one is ignored.
    ///
    /// Without that proof the data of a primary that was partitioned and replaced would be
    /// considered current for ever, since its position no longer advances. In a group of three, a
    /// majority that promised a later term before `primary.sent` would include one of the two
    /// servers that answered since.
    pub fn note(&mut self, primary: Observed, others: &[Observed]) {
        let status = primary.status;
        let led = status.leads()
            && others
                .iter()
                .any(|other| other.sent >= primary.sent && other.status.promised <= status.term);
        let newer = self
            .samples
            .back()
            .is_none_or(|(time, point)| primary.sent > *time && status.applied >= *point);
        if led && newer {
            self.push(primary.sent, status.applied);
        }
    }

    /// Records the point of a primary that was queried at `sent` and certainly led at that time,
    /// as a lease or another proof shows.
    ///
    /// A sample is dropped if it is less than 50 ms apart from another sample of the same term or
    /// contradicts the order of the points. Samples from other hosts arrive late, so a sample may
    /// belong between existing samples.
    pub fn note_point(&mut self, sent: Instant, point: Point) {
        let after = self.samples.partition_point(|(time, _)| *time < sent);
        let fits_previous = after.checked_sub(1).is_none_or(|before| {
            let (time, last) = self.samples[before];
            let distinct = sent >= time + SAMPLE_INTERVAL || point.term > last.term;
            distinct && point >= last
        });
        let fits_next = self.samples.get(after).is_none_or(|(time, next)| {
            let distinct = *time >= sent + SAMPLE_INTERVAL || next.term > point.term;
            distinct && point <= *next
        });
        if fits_previous && fits_next && self.samples.len() < MAX_SAMPLES {
            self.samples.insert(after, (sent, point));
        } else if fits_previous && fits_next && after > 0 {
            self.samples.pop_front();
            self.samples.insert(after - 1, (sent, point));
        }
    }

    /// Returns the newest sample, as the time of the request and the point; none without samples.
    pub fn newest(&self) -> Option<(Instant, Point)> {
        self.samples.back().copied()
    }

    fn push(&mut self, time: Instant, point: Point) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((time, point));
    }

    /// Returns the maximum age of data that shows `applied`, or `None` if no sample bounds it.
    pub fn age(&self, applied: Point, now: Instant) -> Option<Duration> {
        let covered = self.samples.partition_point(|(_, point)| applied.covers(*point));
        let (time, _) = self.samples.get(covered.checked_sub(1)?)?;
        Some(now.saturating_duration_since(*time))
    }

    /// Returns the point that a read must show so that its data is no older than `max_age`, or
    /// `None` if there is no sample that recent.
    pub fn floor(&self, max_age: Duration, now: Instant) -> Option<Point> {
        let since = now.checked_sub(max_age)?;
        let after = self.samples.partition_point(|(time, _)| *time < since);
        self.samples.get(after).map(|(_, point)| *point)
    }
}
