//! Time for which a server has left requests unanswered.

use std::time::{Duration, Instant};

use bergamottrack_coordination::silence;

const MS: Duration = Duration::from_millis(1);

/// Guards against a server that is considered healthy because no request could be sent to it.
#[test]
fn time_since_the_last_answer_grows_while_no_request_is_sent() {
    let start = Instant::now();
    let mut tracker = silence::AnswerTracker::default();
    assert_eq!(tracker.answered(start), None);
    tracker.begin(start);
    tracker.end(true, start + 10 * MS);
    // Connections that are closed at once do not count as requests.
    assert_eq!(tracker.unanswered_for(start + 900 * MS), Duration::ZERO);
    assert_eq!(tracker.answered(start + 910 * MS), Some(900 * MS));
}

/// Guards against a busy server that is considered silent although it answers other requests.
#[test]
fn any_answer_ends_a_silence() {
    let start = Instant::now();
    let mut tracker = silence::AnswerTracker::default();
    tracker.begin(start);
    tracker.begin(start);
    assert_eq!(tracker.unanswered_for(start + 300 * MS), 300 * MS);
    tracker.end(true, start + 300 * MS);
    assert_eq!(tracker.unanswered_for(start + 350 * MS), 50 * MS);
    tracker.end(false, start + 400 * MS);
    assert_eq!((tracker.running(), tracker.unanswered_for(start + 500 * MS)), (0, Duration::ZERO));
}
