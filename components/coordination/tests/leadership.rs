//! When a group needs another primary, and who it is.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    Point, Term,
    leadership::{self, Cause, FailureDetector, Observation, Role, Status, Verdict},
};

const SILENCE: Duration = Duration::from_millis(450);
const STEP: Duration = Duration::from_millis(20);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn status(role: Role, term: u64, held: u64) -> Status {
    let point = Point::new(term, held);
    Status { role, term: Term(term), promised: Term(term), held: point, applied: point }
}

/// Three servers of which the first leads term 1, and their observer.
struct Group {
    now: Instant,
    detector: FailureDetector,
    sights: [Observation; 3],
    /// Which servers answer.
    answers: [bool; 3],
}

impl Group {
    fn new() -> Self {
        let now = Instant::now();
        let sight = |role| Observation {
            status: Some(status(role, 1, 10)),
            last_seen: Some(now),
            refused_since: None,
        };
        Self {
            now,
            detector: FailureDetector::new(SILENCE, now),
            sights: [sight(Role::Primary), sight(Role::Replica), sight(Role::Replica)],
            answers: [true; 3],
        }
    }

    /// Looks every few milliseconds for a time; the last verdict.
    fn pass(&mut self, time: Duration) -> Verdict {
        let end = self.now + time;
        let mut verdict = Verdict::Healthy;
        while self.now < end {
            self.now += STEP;
            for (sight, _) in self.sights.iter_mut().zip(self.answers).filter(|(_, a)| *a) {
                sight.last_seen = Some(self.now);
            }
            verdict = self.detector.observe(self.now, &self.sights);
        }
        verdict
    }
}

/// A busy primary stands still for 300 ms, again and again: nobody replaces it.
#[test]
fn a_stall_of_300_ms_is_no_silence() {
    let mut group = Group::new();
    for _ in 0..20 {
        group.answers[0] = false;
        assert_eq!(group.pass(ms(300)), Verdict::Healthy);
        group.answers[0] = true;
        assert_eq!(group.pass(ms(60)), Verdict::Healthy);
    }
}

#[test]
fn silence_is_judged_in_the_end() {
    let mut group = Group::new();
    group.answers[0] = false;
    assert_eq!(group.pass(ms(440)), Verdict::Healthy);
    assert_eq!(group.pass(ms(60)), Verdict::Promote(Cause::Silent));
}

#[test]
fn refusals_are_judged_sooner_than_silence() {
    let mut group = Group::new();
    (group.answers[0], group.sights[0].refused_since) = (false, Some(group.now));
    assert_eq!(group.pass(ms(140)), Verdict::Suspected);
    assert_eq!(group.pass(ms(40)), Verdict::Promote(Cause::Refused));
}

/// The observer itself is frozen for a while. When it wakes, everybody seems
/// to have been silent: it must not act on that.
#[test]
fn the_observers_own_pause_is_no_silence() {
    let mut group = Group::new();
    assert_eq!(group.pass(ms(100)), Verdict::Healthy);
    group.now += Duration::from_secs(5);
    assert_eq!(group.detector.observe(group.now, &group.sights), Verdict::Healthy);
    assert_eq!(group.pass(ms(100)), Verdict::Healthy);
    group.answers[0] = false;
    assert_eq!(group.pass(ms(500)), Verdict::Promote(Cause::Silent));
}

/// The primary writes, answers its observers, and feeds nobody.
#[test]
fn a_primary_whose_replicas_receive_nothing_is_replaced() {
    let mut group = Group::new();
    group.sights[0].status = Some(status(Role::Primary, 1, 11));
    assert_eq!(group.pass(ms(400)), Verdict::Healthy);
    assert_eq!(group.pass(ms(100)), Verdict::Promote(Cause::Unconfirmed));
}

#[test]
fn replicas_that_receive_slowly_keep_their_primary() {
    let mut group = Group::new();
    group.sights[0].status = Some(status(Role::Primary, 1, 1000));
    for held in 11..60 {
        group.sights[1].status = Some(status(Role::Replica, 1, held));
        assert_eq!(group.pass(ms(300)), Verdict::Healthy);
    }
}

/// A promoter won its promises and died: the term has no primary.
#[test]
fn a_term_without_a_primary_gets_another() {
    let mut group = Group::new();
    let promised = Status { promised: Term(2), ..status(Role::Replica, 1, 10) };
    group.sights[1].status = Some(promised);
    group.sights[2].status = Some(promised);
    assert_eq!(group.pass(ms(440)), Verdict::Suspected);
    assert_eq!(group.pass(ms(60)), Verdict::Promote(Cause::Leaderless));
    assert_eq!(leadership::next_term(group.sights.iter().flat_map(|s| &s.status)), Term(3));
}

#[test]
fn one_server_of_three_is_no_majority() {
    let mut group = Group::new();
    group.answers = [false, false, true];
    assert_eq!(group.pass(ms(600)), Verdict::NoMajority);
    group.answers = [false, true, true];
    assert_eq!(group.pass(ms(100)), Verdict::Promote(Cause::Silent));
}

#[test]
fn the_greatest_log_of_a_majority_is_promoted() {
    let promises = [("a", Point::new(1, 9)), ("b", Point::new(2, 5))];
    assert_eq!(leadership::successor(&promises, 3), Some("b"));
    assert_eq!(leadership::successor(&promises[..1], 3), None);
}

#[test]
fn back_off_grows_and_spreads() {
    assert!(leadership::backoff(1, 0.0) >= ms(40));
    assert!(leadership::backoff(1, 1.0) > leadership::backoff(1, 0.0));
    assert!(leadership::backoff(20, 1.0) <= ms(1000));
}
