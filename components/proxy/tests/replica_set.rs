//! Servers that count for the confirmation of a commit and for the choice of a successor.

mod hosts;
mod platform;
mod replicas;

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{
    ManualClock, Point, Revision, SystemClock, Term,
    view::{LEASE_MARGIN, LEASE_TTL, Leadership, RecordedSet, Versioned},
};
use bergamottrack_model::{ListedServer, plan::Plan};
use bergamottrack_proxy::{
    confirm, failover::Failover, fleet, follow::MISSING_ENTRY_TTL, monitor, release, replica_set,
};
use bytes::Bytes;
use replicas::{
    Fleet, Report, STARTED_MS, TERM, TIMEOUT, id, recorded, recorded_set, start_server, steady,
    until,
};

/// Guards against a set of servers that does not hold the acknowledged commits twice: it is recorded, or a
/// server without an entry is removed from it, although no replica has received the leader's log.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn servers_are_recorded_and_removed_once_a_replica_has_the_leaders_log() {
    let reports = [Report::Primary(TERM), Report::Replica(50), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    fleet.watch().await;
    monoio::spawn(fleet::follow(fleet.host.clone()));
    let row = |servers: &[&str], version| Leadership::Steady {
        leader: id("s1"),
        term: Term(TERM),
        recorded: RecordedSet {
            servers: recorded(servers),
            exhaustive: false,
            revision: Revision(version),
        },
    };
    let until_row = async |expected: Leadership| {
        let end = Instant::now() + TIMEOUT;
        while fleet.leadership().await != expected {
            assert!(Instant::now() < end, "not recorded: {:?}", fleet.leadership().await);
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let until_recorded = async |servers: &[&str]| until_row(row(servers, 1)).await;
    monoio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(fleet.leadership().await, steady(&[]));
    fleet.report(2, Report::Replica(60));
    until_recorded(&["s1", "s2"]).await;
    fleet.report(3, Report::Replica(60));
    until_recorded(&["s1", "s2", "s3"]).await;
    fleet.report(2, Report::Replica(50));
    fleet.remove("s3");
    monoio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.leadership().await, row(&["s1", "s2", "s3"], 1));
    fleet.report(2, Report::Replica(60));
    until_recorded(&["s1", "s2"]).await;
    let joined = Rc::new(RefCell::new(Report::Replica(10)));
    start_server(&fleet.host, "s4", joined.clone());
    monoio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.leadership().await, row(&["s1", "s2"], 1));
    *joined.borrow_mut() = Report::Replica(60);
    until_recorded(&["s1", "s2", "s4"]).await;
    // Without the requirement any server confirms commits, and an outdated set must not count later.
    fleet.host.set_plan(Plan { version: Revision(2), ..Plan::default() }, Bytes::new());
    until_row(row(&[], 2)).await;
}

/// Guards against the loss of acknowledged commits: a server has started again under its id without its
/// log, and its report counts as that of the process that confirmed them.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn report_of_a_server_that_has_started_again_does_not_count() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    let listed = fleet.host.server(&id("s2")).unwrap().listed.borrow().clone();
    let started_ms = STARTED_MS + 1;
    assert!(fleet.host.upsert_server(ListedServer { started_ms, ..listed }, 2));
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(Duration::from_secs(1)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    drop(run);
}

/// Guards against the loss of acknowledged commits: a server confirms them of which a failover on another
/// host does not know.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn confirmation_of_a_server_that_is_not_recorded_does_not_count() {
    let reports = [Report::Primary(TERM), Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    let key = fleet::group_key(&fleet.group.id);
    fleet.write(key, &steady(&["s1", "s2"])).await;
    fleet::apply_view(&fleet.host, fleet.view().await, fleet.host.now());
    let counts = |name| replica_set::counts(&fleet.host, &fleet.group, &id(name));
    assert!(counts("s3"));
    fleet.require_complete();
    assert!(counts("s2") && !counts("s3"));
}

/// Guards against the loss of acknowledged commits: the entry of the replica that has them has lapsed,
/// and the failover takes only listed servers into account.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn recorded_server_without_an_entry_is_not_passed_over() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    fleet.remove("s2");
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(Duration::from_secs(1)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    drop(run);
}

/// Guards against the loss of acknowledged commits: the only recorded replica has no entry any more, and a
/// commit that only a server outside of the recorded ones has received is acknowledged.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn commit_without_a_listed_replica_is_not_acknowledged_if_one_is_required() {
    let reports = [Report::Primary(TERM), Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    let key = fleet::group_key(&fleet.group.id);
    fleet.write(key, &steady(&["s1", "s2"])).await;
    fleet::apply_view(&fleet.host, fleet.view().await, fleet.host.now());
    let commit = Point::new(TERM, 60);
    assert!(!confirm::is_stalled(&fleet.host, &fleet.group));
    assert_eq!(confirm::wait(&fleet.host, &fleet.group, commit).await, Ok(()));
    fleet.remove("s2");
    let next = Point::new(TERM, 61);
    assert!(confirm::wait(&fleet.host, &fleet.group, next).await.is_err());
    assert!(confirm::is_stalled(&fleet.host, &fleet.group), "a write is sent");
}

/// Guards against the loss of acknowledged commits: a host is suspended during its read of the view, dates
/// the leader's position by a time that the store's clock has not reached, and the position counts as one
/// that contains the commits acknowledged until then.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn position_of_the_leader_is_not_reported_as_later_than_it_was_read() {
    let clock = Rc::new(ManualClock::new());
    let reports = [Report::Primary(TERM), Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(clock.clone(), None, reports);
    let host = &fleet.host;
    fleet.write(fleet::group_key(&fleet.group.id), &steady(&["s1", "s2"])).await;
    fleet.write(fleet::member_key(&host.settings.host), &fleet::own_row(&host.settings)).await;
    fleet.platform.borrow_mut().read_delay = Duration::from_millis(300);
    monoio::spawn(fleet::follow(host.clone()));
    host.view_wakeup.notify_one();
    monoio::time::sleep(Duration::from_millis(150)).await;
    clock.advance(Duration::from_secs(5));
    until(|| fleet.group.leader().is_some()).await;
    fleet.group.note_position(host.now(), Point::new(TERM, 60));
    let report = release::acknowledged(host, &fleet.group).unwrap();
    let (at, _) = report.leader.unwrap();
    assert!(at.as_millis() <= fleet.platform.borrow().now_ms().into(), "{at:?}");
}

/// Returns a row with the leader s1 and recorded servers that may not be all that confirm commits.
fn partial(names: &[&str]) -> Leadership {
    let recorded = RecordedSet { exhaustive: false, ..recorded_set(names) };
    Leadership::Steady { leader: id("s1"), term: Term(TERM), recorded }
}

/// Guards against the loss of acknowledged commits: a host that has not read the row without a removed server
/// counts its confirmation, and a failover of which this host is no part any more promotes another server
/// by the reports of the remaining ones.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn server_is_not_promoted_by_reports_of_a_set_that_is_not_exhaustive() {
    let reports = [Report::Silent, Report::Replica(50), Report::Silent];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    let failover = fleet.begin_from(false, partial(&["s1", "s2"])).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(Duration::from_secs(1)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    fleet.report(1, Report::Primary(TERM));
    run.await.unwrap();
    assert_eq!(fleet.leadership().await, partial(&["s1", "s2"]));
}

/// Guards against the loss of acknowledged commits: a set without a removed server counts as exhaustive
/// while a host may still count that server's confirmations, or before a replica has the commits.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn set_is_exhaustive_once_no_host_goes_by_an_earlier_row() {
    let clock = Rc::new(ManualClock::new());
    let reports = [Report::Primary(TERM), Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(clock.clone(), None, reports);
    fleet.require_complete();
    fleet.watch_from(steady(&["s1", "s2", "s3"])).await;
    monoio::spawn(fleet::follow(fleet.host.clone()));
    let until_exhaustive = async |servers: &[&str], exhaustive| {
        let end = Instant::now() + TIMEOUT;
        loop {
            let row = fleet.leadership().await;
            let set = row.recorded();
            let known = fleet.host.leased_view.borrow().leadership(&fleet.group.id).cloned();
            let is_known = known.is_some_and(|known| known.value == row);
            if set.servers == recorded(servers) && set.exhaustive == exhaustive && is_known {
                // The monitor of the host has also found the row.
                return monoio::time::sleep(monitor::CHECK_INTERVAL * 2).await;
            }
            assert!(Instant::now() < end, "not recorded: {row:?}");
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    clock.advance(MISSING_ENTRY_TTL);
    fleet.remove("s3");
    until_exhaustive(&["s1", "s2"], false).await;
    clock.advance(LEASE_TTL - Duration::from_secs(1));
    fleet.host.view_wakeup.notify_one();
    monoio::time::sleep(Duration::from_secs(1)).await;
    until_exhaustive(&["s1", "s2"], false).await;
    fleet.report(2, Report::Replica(50));
    clock.advance(LEASE_MARGIN + Duration::from_secs(1));
    fleet.host.view_wakeup.notify_one();
    monoio::time::sleep(Duration::from_secs(1)).await;
    until_exhaustive(&["s1", "s2"], false).await;
    fleet.report(2, Report::Replica(60));
    until_exhaustive(&["s1", "s2"], true).await;
    start_server(&fleet.host, "s4", Rc::new(RefCell::new(Report::Replica(60))));
    until_exhaustive(&["s1", "s2", "s4"], true).await;
}

/// Guards against the loss of acknowledged commits: a replica is removed from the recorded ones while this
/// host polls it, and its confirmation counts.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn confirmation_by_a_replica_that_was_removed_meanwhile_does_not_count() {
    let reports = [Report::Primary(TERM), Report::Replica(50), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    let (host, group) = (&fleet.host, &fleet.group);
    let key = fleet::group_key(&group.id);
    fleet.write(key.clone(), &steady(&["s1", "s2", "s3"])).await;
    fleet::apply_view(host, fleet.view().await, host.now());
    let remove = async {
        monoio::time::sleep(Duration::from_millis(100)).await;
        let value = steady(&["s1", "s2"]);
        let version = fleet.write(key, &value).await;
        fleet::apply_row(host, &group.id, Versioned { version, value });
        fleet.report(3, Report::Replica(60));
    };
    let (confirmed, ()) = monoio::join!(confirm::wait(host, group, Point::new(TERM, 60)), remove);
    assert!(confirmed.is_err());
}

/// Guards against the loss of acknowledged commits: a host that does not have the configuration yet by which
/// the servers are recorded promotes the newest log after 4 s.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn incomplete_replica_is_not_promoted_by_a_host_with_an_outdated_configuration() {
    let reports = [Report::Silent, Report::Silent, Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    let recorded = RecordedSet { revision: Revision(3), ..recorded_set(&["s1", "s2", "s3"]) };
    let row = Leadership::Steady { leader: id("s1"), term: Term(TERM), recorded };
    fleet.write(fleet::group_key(&fleet.group.id), &row).await;
    fleet::apply_view(&fleet.host, fleet.view().await, fleet.host.now());
    assert!(replica_set::is_required(&fleet.host, &fleet.group));
    let failover = fleet.begin_from(false, row).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(Duration::from_secs(5)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    // An operator accepts the loss by a later configuration.
    fleet.host.set_plan(Plan { version: Revision(4), ..Plan::default() }, Bytes::new());
    until(|| fleet.platform.borrow().promoted == ["s3".into()]).await;
    drop(run);
}

/// Guards against the loss of acknowledged commits: a server has started again without its log, has received a
/// part of the leader's, and its report counts as that of the process that confirmed them, since the list of
/// this host does not show the start yet.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn report_of_a_server_that_has_started_again_does_not_count_before_it_is_listed() {
    let reports = [Report::Silent, Report::Replica(55), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    fleet.platform.borrow_mut().entries.insert("s2".into(), STARTED_MS + 1);
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(hosts::ENTRY_TTL + Duration::from_secs(1)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    fleet.report(1, Report::Primary(TERM));
    run.await.unwrap();
}

/// Guards against the loss of acknowledged commits: as above, and the server cannot write its entry, so that
/// that of the earlier process is there until it has missed its heartbeats.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn report_of_a_server_does_not_count_while_its_entry_may_be_of_an_earlier_process() {
    let reports = [Report::Silent, Report::Replica(55), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(hosts::ENTRY_TTL / 2).await;
    fleet.platform.borrow_mut().entries.remove("s2");
    monoio::time::sleep(hosts::ENTRY_TTL + Duration::from_secs(1)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    fleet.platform.borrow_mut().entries.insert("s2".into(), STARTED_MS);
    until(|| fleet.platform.borrow().promoted == ["s2".into()]).await;
    drop(run);
}

/// Guards against the loss of acknowledged commits during a rolling restart: a failover on a host of an earlier
/// build writes rows without a set, a later host takes them for a group without servers, or counts the set
/// that it records itself before the earlier rows are out of use.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn rows_of_earlier_builds_are_no_evidence_until_the_servers_are_recorded_anew() {
    let clock = Rc::new(ManualClock::new());
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(50)];
    let fleet = Fleet::start(clock.clone(), None, reports);
    fleet.require_complete();
    let host = &fleet.host;
    let decode = |text: &str| serde_json::from_str::<Leadership>(text).unwrap();
    let intent = decode(
        r#"{"Moving":{"from":"s1","holder":"h1","since":{"secs":1,"nanos":0},"planned":false,"term":5}}"#,
    );
    let key = fleet::group_key(&fleet.group.id);
    let version = fleet.write(key.clone(), &intent).await;
    let before = Some(Versioned { version, value: intent });
    let taken_over = Failover::begin(host, &fleet.group, before, Some(id("s1")), false).await;
    let run = monoio::spawn({
        let (host, group) = (host.clone(), fleet.group.clone());
        let failover = taken_over.unwrap().unwrap();
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(Duration::from_secs(1)).await;
    assert!(fleet.platform.borrow().promoted.is_empty(), "two of three reports are counted");
    fleet.report(1, Report::Primary(TERM));
    run.await.unwrap();
    assert_eq!(fleet.leadership().await, steady(&[]));
    // A row of the build that first recorded servers does not state whether they are all.
    let row = decode(r#"{"Steady":{"leader":"s1","term":5,"servers":{"s1":1,"s2":1,"s3":1}}}"#);
    fleet.report(1, Report::Silent);
    let failover = fleet.begin_from(false, row.clone()).await;
    let run = monoio::spawn({
        let (host, group) = (host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(hosts::ENTRY_TTL + Duration::from_secs(1)).await;
    assert!(fleet.platform.borrow().promoted.is_empty(), "the set counts as exhaustive");
    fleet.report(1, Report::Primary(TERM));
    run.await.unwrap();
    assert_eq!(fleet.leadership().await, row);
    fleet.watch_from(row).await;
    monoio::spawn(fleet::follow(host.clone()));
    clock.advance(MISSING_ENTRY_TTL);
    monoio::time::sleep(monitor::CHECK_INTERVAL * 5).await;
    clock.advance(LEASE_TTL + LEASE_MARGIN);
    host.view_wakeup.notify_one();
    let end = Instant::now() + TIMEOUT;
    while !fleet.leadership().await.recorded().exhaustive {
        assert!(Instant::now() < end, "not recorded: {:?}", fleet.leadership().await);
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a group without a leader for seconds although all hosts state what they have acknowledged: its
/// leader fails before it has returned a position, and that of the leader before is forgotten.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn position_of_the_leader_before_covers_commits_until_the_next_one_returns_a_position() {
    let clock = Rc::new(ManualClock::new());
    let reports = [Report::Silent, Report::Behind(60), Report::Behind(50)];
    let fleet = Fleet::start(clock.clone(), None, reports);
    fleet.require_complete();
    let (host, group) = (&fleet.host, &fleet.group);
    let row = |leader: &str, term| Leadership::Steady {
        leader: id(leader),
        term: Term(term),
        recorded: recorded_set(&["s1", "s2", "s3"]),
    };
    let key = fleet::group_key(&group.id);
    fleet.write(fleet::member_key(&host.settings.host), &fleet::own_row(&host.settings)).await;
    fleet.write(key.clone(), &row("s3", TERM - 1)).await;
    monoio::spawn(fleet::follow(host.clone()));
    host.view_wakeup.notify_one();
    until(|| group.leader() == Some(id("s3"))).await;
    clock.advance(Duration::from_secs(3));
    group.note_position(host.now(), Point::new(TERM - 1, 60));
    fleet.write(key, &row("s1", TERM)).await;
    host.view_wakeup.notify_one();
    until(|| group.leader() == Some(id("s1"))).await;
    // The processes of the servers are not identified in this time.
    fleet.platform.borrow_mut().entries.clear();
    let failover = fleet.begin_from(false, row("s1", TERM)).await;
    let run = monoio::spawn({
        let (host, group) = (host.clone(), group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| fleet.platform.borrow().promoted == ["s2".into()]).await;
    drop(run);
}

/// Guards against a group without a leader for as long as an entry outlives its process, beside a host that has
/// started again with the failure of the leader: the holder of the servers' connections has known the
/// processes before.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn processes_are_identified_before_a_failover_by_the_holder_of_their_connections() {
    let reports = [Report::Primary(TERM), Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    fleet.watch_from(steady(&["s1", "s2", "s3"])).await;
    monoio::spawn(fleet::follow(fleet.host.clone()));
    until(|| fleet.group.probes().started(&id("s2")) == Some(STARTED_MS)).await;
    until(|| fleet.group.probes().started(&id("s3")) == Some(STARTED_MS)).await;
    fleet.report(1, Report::Silent);
    fleet.platform.borrow_mut().entries.clear();
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| !fleet.platform.borrow().promoted.is_empty()).await;
    drop(run);
}
