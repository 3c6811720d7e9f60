//! Steps of a failover after all hosts have released the former leader.

mod hosts;
mod platform;
mod replicas;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{
    ManualClock, SystemClock, Term,
    contact::CONTACT_TTL,
    duty,
    view::{self, Leadership, RecordedSet, Versioned},
};
use bergamottrack_proxy::fleet;
use hyper::StatusCode;
use monoio::{
    io::AsyncReadRent,
    net::{ListenerOpts, TcpListener, TcpStream},
};
use replicas::{Fleet, Report, TERM, id, recorded_set, steady, until};

/// Guards against two leaders: a promotion call gets no answer and takes effect, the successor is out
/// of reach for longer than the wait for it, and the former leader, which still reports that it leads,
/// is adopted again.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn former_leader_is_not_adopted_after_an_unanswered_promotion() {
    let reports = [Report::Primary(TERM), Report::Silent, Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    let failover = fleet.begin(true).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| fleet.platform.borrow().promoted == ["s3".into()]).await;
    fleet.report(3, Report::Silent);
    // Longer than the timeout of the call, the wait for the successor and a further selection.
    monoio::time::sleep(Duration::from_millis(6500)).await;
    fleet.report(3, Report::Primary(TERM + 1));
    run.await.unwrap();
    let successor = Leadership::Steady {
        leader: id("s3"),
        term: Term(TERM + 1),
        recorded: RecordedSet::default(),
    };
    assert_eq!(fleet.leadership().await, successor);
}

/// Guards against a former leader that a later failover adopts: a promotion call gets no answer and may
/// take effect, and the rejection of the next call reopens the terms that the first one may have ended.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn rejected_promotion_reopens_no_term_that_an_earlier_call_may_have_ended() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.platform.borrow_mut().answers = [None, Some(StatusCode::CONFLICT)].into();
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| fleet.platform.borrow().promoted.len() == 2).await;
    let is_released = async || fleet.view().await.duty.is_some_and(|duty| duty.value.free);
    while !is_released().await {
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(fleet.view().await.closed.get(&fleet.group.id), Some(&Term(TERM)));
    drop(run);
}

/// Guards against two leaders: a promotion call gets no answer and takes effect, the next one promotes
/// another server, and a failover adopts the leader of the term that the next one has ended.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn second_promotion_closes_the_term_of_an_unanswered_first_one() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| fleet.platform.borrow().promoted.len() == 2).await;
    assert_eq!(fleet.view().await.closed.get(&fleet.group.id), Some(&Term(TERM + 1)));
    drop(run);
}

/// Guards against a server that is promoted long after its failover was replaced: the host is suspended
/// while it connects to the platform, the clock of its timers stands still meanwhile, and the call is
/// sent when it resumes, with a token of before the promotions of others.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn promotion_is_not_requested_after_a_suspension_while_connecting() {
    let options = ListenerOpts::new().reuse_port(false).backlog(0);
    let promoter = TcpListener::bind_with_config("127.0.0.1:0", &options).unwrap();
    let address = promoter.local_addr().unwrap();
    // Fills the queue of new connections, so that a further one is established when its opening
    // packet is sent again.
    let filler = TcpStream::connect(address).await.unwrap();
    let clock = Rc::new(ManualClock::new());
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(clock.clone(), Some(address), reports);
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    while fleet.view().await.duty.is_none() {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    monoio::time::sleep(Duration::from_millis(100)).await;
    clock.advance(Duration::from_secs(10));
    drop(promoter.accept().await.unwrap());
    drop(filler);
    let received = async {
        let (mut stream, _) = promoter.accept().await.unwrap();
        let (read, chunk) = stream.read(vec![0; 1024]).await;
        String::from_utf8_lossy(&chunk[..read.unwrap_or_default()]).into_owned()
    };
    let received = monoio::time::timeout(Duration::from_secs(3), received).await;
    assert_eq!(received.unwrap_or_default(), "");
    drop(run);
}

/// Guards against a group without a leader for seconds: the answer to the acquisition of the duty is lost,
/// and the host takes its own row for that of another holder until it expires.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn duty_whose_acquisition_is_not_answered_is_used() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.platform.borrow_mut().unanswered.push(fleet::DUTY_KEY.into());
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    let began = Instant::now();
    until(|| !fleet.platform.borrow().promoted.is_empty()).await;
    assert!(began.elapsed() < duty::DUTY_TTL, "{:?}", began.elapsed());
    drop(run);
}

/// Guards against promotions in the wrong order: a call is answered with a failure of which the platform
/// may still perform the promotion, and the duty is released, so that another call overtakes it.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn duty_is_not_released_after_an_answer_without_an_outcome() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.platform.borrow_mut().answers = [Some(StatusCode::GATEWAY_TIMEOUT)].into();
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| !fleet.platform.borrow().promoted.is_empty()).await;
    monoio::time::sleep(Duration::from_millis(500)).await;
    assert!(!fleet.view().await.duty.unwrap().value.free);
    drop(run);
}

/// Guards against the replacement of a leader that runs, and by a server that lacks acknowledged
/// commits: all entries have expired in an outage of the store, and a host that starts finds the entry
/// of a replica before that of the leader is back, which takes two seconds.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn leader_whose_entry_is_not_back_after_an_outage_is_kept() {
    let reports = [Report::Primary(TERM), Report::Replica(60), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    let host = &fleet.host;
    for name in ["s1", "s2"] {
        let occurrence = host.backends.catalog.borrow_mut().mark_missing(&id(name), 1).unwrap();
        assert!(host.remove_server(&id(name), occurrence));
    }
    fleet.watch().await;
    monoio::time::sleep(Duration::from_millis(1500)).await;
    assert!(!fleet.group.in_failover.get(), "the leader is replaced");
}

/// Runs an unplanned failover in which s2, whose log is ahead of that of s3, answers with its position
/// only after `delay`, and `first` until then; returns the server that is promoted.
async fn promoted_beside(first: Report, delay: Duration) -> Box<str> {
    let fleet =
        Fleet::start(Rc::new(SystemClock), None, [Report::Silent, first, Report::Replica(50)]);
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(delay).await;
    fleet.report(2, Report::Replica(60));
    until(|| !fleet.platform.borrow().promoted.is_empty()).await;
    drop(run);
    fleet.platform.borrow().promoted[0].clone()
}

/// Guards against the loss of acknowledged commits: the replica that confirmed them has no free slot
/// when the failover reads the positions, and the other one, which lacks them, is promoted.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn busy_replica_with_confirmed_commits_is_not_passed_over() {
    let promoted = promoted_beside(Report::Busy(60), Duration::from_millis(300)).await;
    assert_eq!(&*promoted, "s2");
}

/// Guards against the loss of acknowledged commits: the replica that confirmed them applies them late and
/// has no free slot when the failover reads the positions, so that its answer shows less than the other
/// one has.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn busy_replica_that_has_not_applied_its_log_is_not_passed_over() {
    let promoted = promoted_beside(Report::Busy(40), Duration::from_millis(700)).await;
    assert_eq!(&*promoted, "s2");
}

/// Guards against the loss of acknowledged commits: the replica that confirmed them is silent for
/// longer than one request for its position, and the other one, which lacks them, is promoted.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn silent_replica_with_confirmed_commits_is_not_passed_over() {
    let promoted = promoted_beside(Report::Silent, Duration::from_millis(700)).await;
    assert_eq!(&*promoted, "s2");
}

/// Guards against the loss of acknowledged commits: the replica that confirmed them is leaving and is left
/// out of the choice.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn leaving_replica_with_confirmed_commits_is_not_passed_over() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.set_leaving("s2");
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| !fleet.platform.borrow().promoted.is_empty()).await;
    assert_eq!(fleet.platform.borrow().promoted, ["s2".into()]);
    drop(run);
}

/// Guards against the loss of acknowledged commits: a leaving server was promoted for them, and is
/// replaced before any other server has received its term.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn leaving_leader_is_kept_until_a_replica_has_its_term() {
    let reports = [Report::Primary(TERM), Report::Behind(50), Report::Behind(40)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.set_leaving("s1");
    fleet.watch().await;
    monoio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(fleet.group.leader(), Some(id("s1")));
    assert!(fleet.group.began_failover.get().is_none(), "a failover has begun");
    fleet.report(3, Report::Replica(60));
    until(|| fleet.group.began_failover.get().is_some()).await;
}

/// Guards against the loss of acknowledged commits: the leader and the replica that has them crash, and
/// the leader is back while the failover waits for that replica, but its position is not read.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn former_leader_that_is_back_is_kept_if_no_successor_is_complete() {
    let reports = [Report::Silent, Report::Silent, Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(Duration::from_millis(1500)).await;
    fleet.report(1, Report::Primary(TERM));
    run.await.unwrap();
    assert_eq!(fleet.leadership().await, steady(&[]));
    assert!(fleet.platform.borrow().promoted.is_empty());
}

/// Guards against the loss of acknowledged commits: the leader and the replica that has them are away for
/// longer than the failover waits for positions, and the replica that lacks them is promoted.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn incomplete_replica_is_not_promoted_after_any_time_if_completeness_is_required() {
    let reports = [Report::Silent, Report::Silent, Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(Duration::from_secs(5)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    assert_eq!(fleet.host.metrics.incomplete_failovers.get(), 1);
    fleet.platform.borrow_mut().answers = [Some(StatusCode::OK)].into();
    fleet.report(2, Report::Replica(60));
    until(|| fleet.platform.borrow().promoted == ["s2".into()]).await;
    fleet.report(2, Report::Primary(TERM + 1));
    run.await.unwrap();
    assert_eq!(fleet.host.metrics.incomplete_failovers.get(), 0);
    let recorded = recorded_set(&["s1", "s2", "s3"]);
    let successor = Leadership::Steady { leader: id("s2"), term: Term(TERM + 1), recorded };
    assert_eq!(fleet.leadership().await, successor);
}

/// Guards against the loss of acknowledged commits: a host that has just started takes a failover over before
/// it has the configuration, and promotes the newest log after 4 s.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn incomplete_replica_is_not_promoted_by_a_host_without_a_configuration() {
    let reports = [Report::Silent, Report::Silent, Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    *fleet.host.plan.borrow_mut() = None;
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(Duration::from_secs(5)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    drop(run);
}

/// Guards against the loss of acknowledged commits: the wait for a host that is gone outlasts the time for
/// which positions are awaited, and the replica that has them is away for the second after it.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn replica_that_is_away_as_the_wait_for_a_host_ends_is_not_passed_over() {
    let reports = [Report::Silent, Report::Silent, Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    let gone = hosts::id("h3");
    fleet.write(fleet::member_key(&gone), &fleet::own_row(&fleet.host.settings)).await;
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(view::LEASE_TTL + view::LEASE_MARGIN + Duration::from_secs(1)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    fleet.report(2, Report::Replica(60));
    until(|| fleet.platform.borrow().promoted == ["s2".into()]).await;
    drop(run);
}

/// Guards against the loss of acknowledged commits: a replica whose log ends before that of the former
/// leader is promoted, while the former leader runs in a closed term and has them.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn former_leader_of_a_closed_term_is_promoted_if_no_replica_receives_its_log() {
    let reports = [Report::Primary(TERM - 1), Report::Silent, Report::Behind(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    let closed = fleet::closed_key(&fleet.group.id);
    fleet.write(closed, &Term(TERM - 1)).await;
    let value = Leadership::Steady {
        leader: id("s2"),
        term: Term(TERM),
        recorded: recorded_set(&["s1", "s2", "s3"]),
    };
    let failover = fleet.begin_from(false, value).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| !fleet.platform.borrow().promoted.is_empty()).await;
    assert_eq!(fleet.platform.borrow().promoted, ["s1".into()]);
    drop(run);
}

/// Guards against an operator who is not informed that a group has no leader because of an evacuation: the
/// only server that may have all commits is in the evacuated failure domain.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn failover_beside_an_evacuated_server_with_commits_is_in_the_metrics() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    fleet.evacuate("s2", true);
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    let metrics = &fleet.host.metrics;
    until(|| metrics.evacuated_failovers.get() == 1 && metrics.incomplete_failovers.get() == 1)
        .await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    fleet.platform.borrow_mut().answers = [Some(StatusCode::OK)].into();
    fleet.evacuate("s2", false);
    until(|| fleet.platform.borrow().promoted == ["s2".into()]).await;
    fleet.report(2, Report::Primary(TERM + 1));
    run.await.unwrap();
    assert_eq!((metrics.evacuated_failovers.get(), metrics.incomplete_failovers.get()), (0, 0));
    assert!(metrics.encode().contains("failover_seconds"));
}

/// Guards against a failover that waits for a host's contact to expire, although the host has released
/// the leader and reaches the store: the links are cut between the request for the release and the answer.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn release_whose_answer_is_lost_is_published() {
    let reports = [Report::Primary(TERM), Report::Replica(60), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    let host = &fleet.host;
    let me = &host.settings.host;
    fleet.write(fleet::member_key(me), &fleet::own_row(&host.settings)).await;
    fleet::apply_view(host, fleet.view().await, host.now());
    let value = Leadership::Moving {
        from: Some(id("s1")),
        holder: hosts::id("h1"),
        since: Duration::ZERO,
        planned: false,
        term: Term(TERM),
        recorded: RecordedSet::default(),
    };
    let intent = fleet.write(fleet::group_key(&fleet.group.id), &value).await;
    // As a request of the host that runs the failover does.
    fleet.group.release_requested.set(intent);
    fleet::apply_row(host, &fleet.group.id, Versioned { version: intent, value });
    monoio::spawn(fleet::follow(host.clone()));
    let end = Instant::now() + CONTACT_TTL;
    while fleet.view().await.members[me].value.released < intent {
        assert!(Instant::now() < end, "the release is not published");
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
}
