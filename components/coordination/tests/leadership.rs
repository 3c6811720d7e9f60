//! Detection of a failed primary, and choice of its successor.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    Point, Term,
    leadership::{self, Cause, FailureDetector, Observation, Role, Status, Verdict},
};

const SILENCE_TIMEOUT: Duration = Duration::from_millis(450);
const STEP: Duration = Duration::from_millis(20);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn status(role: Role, term: u64, held: u64) -> Status {
    let point = Point::new(term, held);
    Status { role, term: Term(term), promised: Term(term), held: point, applied: point }
}

/// Three servers, of which the first leads in term 1, with the failure detector of their observer.
struct Group {
    now: Instant,
    detector: FailureDetector,
    observations: [Observation; 3],
    /// Whether each server answers.
    answers: [bool; 3],
}

impl Group {
    fn new() -> Self {
        let now = Instant::now();
        let observation = |role| Observation {
            status: Some(status(role, 1, 10)),
            last_seen: Some(now),
            refused_since: None,
        };
        Self {
            now,
            detector: FailureDetector::new(SILENCE_TIMEOUT, now),
            observations: [
                observation(Role::Primary),
                observation(Role::Replica),
                observation(Role::Replica),
            ],
            answers: [true; 3],
        }
    }

    /// Observes the group every [`STEP`] for the given time; returns the last verdict.
    fn observe_for(&mut self, time: Duration) -> Verdict {
        let end = self.now + time;
        let mut verdict = Verdict::Healthy;
        while self.now < end {
            self.now += STEP;
            for (observation, _) in
                self.observations.iter_mut().zip(self.answers).filter(|(_, a)| *a)
            {
                observation.last_seen = Some(self.now);
            }
            verdict = self.detector.observe(self.now, &self.observations);
        }
        verdict
    }
}

/// Guards against replacing a busy primary that stalls for 300 ms again and again.
#[test]
fn primary_that_stalls_for_300_ms_is_kept() {
    let mut group = Group::new();
    for _ in 0..20 {
        group.answers[0] = false;
        assert_eq!(group.observe_for(ms(300)), Verdict::Healthy);
        group.answers[0] = true;
        assert_eq!(group.observe_for(ms(60)), Verdict::Healthy);
    }
}

/// Guards against replacing a primary before it has been silent for the whole timeout, and
/// against keeping it after that.
#[test]
fn silent_primary_is_replaced_after_the_silence_timeout() {
    let mut group = Group::new();
    group.answers[0] = false;
    assert_eq!(group.observe_for(ms(440)), Verdict::Healthy);
    assert_eq!(group.observe_for(ms(60)), Verdict::Promote(Cause::Silent));
}

/// Guards against waiting for the silence timeout although refused connections show a crash
/// earlier.
#[test]
fn refused_connections_replace_a_primary_sooner_than_silence() {
    let mut group = Group::new();
    (group.answers[0], group.observations[0].refused_since) = (false, Some(group.now));
    assert_eq!(group.observe_for(ms(140)), Verdict::Suspected);
    assert_eq!(group.observe_for(ms(40)), Verdict::Promote(Cause::Refused));
}

/// Guards against replacing a healthy primary after the observer itself was paused: when it
/// resumes, all servers seem to have been silent.
#[test]
fn pause_of_the_observer_does_not_count_as_silence() {
    let mut group = Group::new();
    assert_eq!(group.observe_for(ms(100)), Verdict::Healthy);
    group.now += Duration::from_secs(5);
    assert_eq!(group.detector.observe(group.now, &group.observations), Verdict::Healthy);
    assert_eq!(group.observe_for(ms(100)), Verdict::Healthy);
    group.answers[0] = false;
    assert_eq!(group.observe_for(ms(500)), Verdict::Promote(Cause::Silent));
}

/// Guards against a primary that accepts writes and answers its observers but sends no replica
/// its log.
#[test]
fn primary_whose_replicas_receive_nothing_is_replaced() {
    let mut group = Group::new();
    group.observations[0].status = Some(status(Role::Primary, 1, 11));
    assert_eq!(group.observe_for(ms(400)), Verdict::Healthy);
    assert_eq!(group.observe_for(ms(100)), Verdict::Promote(Cause::Unconfirmed));
}

/// Guards against replacing a primary because its replicas lag far behind, although they still
/// receive its log.
#[test]
fn primary_whose_replicas_receive_slowly_is_kept() {
    let mut group = Group::new();
    group.observations[0].status = Some(status(Role::Primary, 1, 1000));
    for held in 11..60 {
        group.observations[1].status = Some(status(Role::Replica, 1, held));
        assert_eq!(group.observe_for(ms(300)), Verdict::Healthy);
    }
}

/// Guards against a group without a primary after a promoter obtained the promises for a term and
/// died.
#[test]
fn term_without_a_primary_is_followed_by_another_promotion() {
    let mut group = Group::new();
    let promised = Status { promised: Term(2), ..status(Role::Replica, 1, 10) };
    group.observations[1].status = Some(promised);
    group.observations[2].status = Some(promised);
    assert_eq!(group.observe_for(ms(440)), Verdict::Suspected);
    assert_eq!(group.observe_for(ms(60)), Verdict::Promote(Cause::Leaderless));
    assert_eq!(leadership::next_term(group.observations.iter().flat_map(|s| &s.status)), Term(3));
}

/// Guards against a promotion while one server of three is reachable, which is no majority.
#[test]
fn one_reachable_server_of_three_is_not_promoted() {
    let mut group = Group::new();
    group.answers = [false, false, true];
    assert_eq!(group.observe_for(ms(600)), Verdict::NoMajority);
    group.answers = [false, true, true];
    assert_eq!(group.observe_for(ms(100)), Verdict::Promote(Cause::Silent));
}

/// Guards against promoting a server that lacks acknowledged records, because its log is not the
/// greatest or too few servers promised the term.
#[test]
fn server_with_the_greatest_log_of_a_majority_is_promoted() {
    let promises = [("a", Point::new(1, 9)), ("b", Point::new(2, 5))];
    assert_eq!(leadership::successor(&promises, 3), Some("b"));
    assert_eq!(leadership::successor(&promises[..1], 3), None);
}

/// Guards against two promoters that collide again at every attempt, and against a delay that
/// grows without bound.
#[test]
fn backoff_is_random_and_within_its_bounds() {
    assert!(leadership::backoff(1, 0.0) >= ms(40));
    assert!(leadership::backoff(1, 1.0) > leadership::backoff(1, 0.0));
    assert!(leadership::backoff(20, 1.0) <= ms(1000));
}
