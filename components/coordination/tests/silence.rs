//! How long a server has owed answers.

use std::time::{Duration, Instant};

use bergamottrack_coordination::silence;

const MS: Duration = Duration::from_millis(1);

/// Guards against a server that is taken for well since nothing could be sent to it.
#[test]
fn a_server_that_takes_nothing_has_answered_nothing() {
    let start = Instant::now();
    let mut watch = silence::AnswerTracker::default();
    assert_eq!(watch.answered(start), None);
    watch.begin(start);
    watch.end(true, start + 10 * MS);
    // Connections that are closed at once are no requests.
    assert_eq!(watch.lasts(start + 900 * MS), Duration::ZERO);
    assert_eq!(watch.answered(start + 910 * MS), Some(900 * MS));
}

/// Guards against a busy server that is taken for silent while it answers others.
#[test]
fn any_answer_ends_a_silence() {
    let start = Instant::now();
    let mut watch = silence::AnswerTracker::default();
    watch.begin(start);
    watch.begin(start);
    assert_eq!(watch.lasts(start + 300 * MS), 300 * MS);
    watch.end(true, start + 300 * MS);
    assert_eq!(watch.lasts(start + 350 * MS), 50 * MS);
    watch.end(false, start + 400 * MS);
    assert_eq!((watch.running(), watch.lasts(start + 500 * MS)), (0, Duration::ZERO));
}
