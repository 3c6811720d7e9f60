//! Selection of the next leader of a group.

use std::collections::BTreeSet;

use bergamottrack_coordination::{
    Point, ServerId, Term,
    succession::{self, Completeness, Evidence, Next, Order, Process, ReplicaSet, Standing, Terms},
};

fn id(name: &str) -> ServerId {
    name.parse().unwrap()
}

fn server(name: &str, leads: bool, term: u64, received: (u64, u64)) -> Standing {
    let received = Point::new(received.0, received.1);
    Standing {
        id: id(name),
        leads,
        leaving: false,
        evacuated: false,
        served: 1,
        cold: false,
        term: Term(term),
        received,
        busy: false,
        process: Process::Recorded,
    }
}

/// Returns evidence for a group of the given servers, and of a former leader `gone` that does not report
/// if no server leads.
fn evidence(states: &[Standing], terms: Terms) -> Evidence {
    let mut servers: BTreeSet<_> = states.iter().map(|server| server.id.clone()).collect();
    if !states.iter().any(|server| server.leads) {
        servers.insert(id("gone"));
    }
    let replica_set = ReplicaSet { servers, exhaustive: true };
    Evidence {
        terms,
        replica_set,
        confirmed: None,
        coverage: None,
        completeness: Completeness::Required,
    }
}

fn select(states: &[Standing], terms: Terms, retiring: Option<&ServerId>, order: Order) -> Next {
    succession::next(states, &evidence(states, terms), retiring, order)
}

fn terms(known: u64, closed: u64) -> Terms {
    Terms { known: Term(known), closed: Term(closed) }
}

/// Guards against adopting a former leader again. It returns after a failover and still reports
/// that it leads, just when its successor fails; it would acknowledge writes that are lost, and
/// show a log without the newer ones.
#[test]
fn former_leader_is_not_adopted_if_a_replica_has_a_newer_term() {
    let states = [server("old", true, 2, (2, 9)), server("replica", false, 3, (3, 4))];
    let promote = Next::Promote { successor: id("replica"), after: Term(3), last: None };
    assert_eq!(select(&states, terms(2, 1), None, Order::Log), promote);
    let states = [
        server("old", true, 2, (2, 9)),
        server("new", true, 3, (3, 5)),
        server("replica", false, 3, (3, 4)),
    ];
    assert_eq!(select(&states, terms(2, 1), None, Order::Log), Next::Adopt(id("new"), Term(3)));
    let states = [server("only", true, 1, (1, 9)), server("replica", false, 1, (1, 4))];
    assert_eq!(select(&states, terms(0, 0), None, Order::Log), Next::Adopt(id("only"), Term(1)));
}

/// Guards against a write that is lost a second after its acknowledgement: a leader is replaced
/// while no replica receives anything, its successor stops answering before any replica has its
/// term, and the first leader is adopted again because all reachable servers report its term.
#[test]
fn former_leader_is_not_adopted_if_no_replica_has_its_successors_term() {
    let states = [server("old", true, 1, (1, 206)), server("deaf", false, 1, (1, 183))];
    // In a group of these two, no commit that only the former leader holds is acknowledged.
    let promote = |after| Next::Promote { successor: id("deaf"), after: Term(after), last: None };
    assert_eq!(select(&states, terms(2, 1), None, Order::Log), promote(2));
    assert_eq!(select(&states, terms(1, 1), None, Order::Log), promote(1));
    // The promotion may have taken effect although no host knows the new leader.
    for known in [1, 2] {
        for order in [Order::Log, Order::Stalled] {
            let next = select(&states, terms(known, 1), None, order);
            assert!(!matches!(next, Next::Adopt(..)), "{next:?}");
        }
    }
}

/// Guards against the loss of acknowledged commits: a leader is replaced as planned, its successor
/// crashes, and a replica that has received nothing for a second is promoted beside the former leader,
/// which runs and has them.
#[test]
fn leader_of_a_closed_term_with_commits_that_no_replica_receives_is_promoted() {
    let old = Standing { leaving: true, ..server("old", true, 1, (1, 1746)) };
    let states = [old, server("deaf", false, 1, (1, 1615))];
    let mut evidence = evidence(&states, terms(2, 1));
    evidence.replica_set.servers.insert(id("successor"));
    let next = |order| succession::next(&states, &evidence, None, order);
    let promote = |name, last| Next::Promote { successor: id(name), after: Term(2), last };
    assert_eq!(next(Order::Log), promote("deaf", Some(Point::new(1, 1746))));
    assert_eq!(next(Order::Stalled), promote("old", None));
}

/// Guards against a group without a leader: a planned failover has closed the term of the leader by a
/// promotion that was not performed, the replicas lack its last record and receive nothing, and a server that
/// is not recorded may have confirmed this record.
#[test]
fn retiring_leader_of_a_closed_term_stays_if_no_replica_is_complete() {
    let states = [
        server("old", true, 1, (1, 9)),
        server("deaf", false, 1, (1, 8)),
        server("other", false, 1, (1, 8)),
    ];
    let mut evidence = evidence(&states, terms(1, 1));
    evidence.replica_set.exhaustive = false;
    let old = id("old");
    let next = |order| succession::next(&states, &evidence, Some(&old), order);
    let last = Some(Point::new(1, 9));
    let receives = Next::Promote { successor: id("other"), after: Term(1), last };
    assert_eq!(next(Order::Placement), receives);
    let stays = Next::Promote { successor: id("old"), after: Term(1), last: None };
    assert_eq!(next(Order::Stalled), stays);
    evidence.completeness = Completeness::Awaited;
    assert_eq!(succession::next(&states, &evidence, Some(&old), Order::Stalled), Next::Nobody);
}

/// Guards against a group without a leader: the platform has not performed the promotion for which a
/// term was closed, so it would change nothing to promote the former leader, and a replica has its log.
#[test]
fn replica_with_the_log_of_a_closed_terms_leader_precedes_it() {
    let states = [server("old", true, 1, (1, 9)), server("replica", false, 1, (1, 9))];
    let mut evidence = evidence(&states, terms(1, 1));
    evidence.replica_set.servers.insert(id("silent"));
    let promote = Next::Promote { successor: id("replica"), after: Term(1), last: None };
    assert_eq!(succession::next(&states, &evidence, None, Order::Log), promote);
}

/// Guards against losing records in a planned failover: the successor must first receive the last
/// record that the leader given as `retiring` reports, and that leader is not adopted again.
#[test]
fn planned_failover_waits_for_the_leaders_last_record() {
    let states = [
        server("leader", true, 4, (4, 50)),
        server("near", false, 4, (4, 48)),
        server("far", false, 4, (4, 40)),
    ];
    let promote =
        Next::Promote { successor: id("near"), after: Term(4), last: Some(Point::new(4, 50)) };
    assert_eq!(select(&states, terms(4, 3), Some(&id("leader")), Order::Log), promote);
}

/// Guards against promoting a server that is being removed, and against adopting the leader of a
/// closed term because no replica is left.
#[test]
fn group_without_an_eligible_server_gets_no_leader() {
    let mut leaving = server("leaving", false, 1, (1, 3));
    leaving.leaving = true;
    assert_eq!(select(&[leaving], terms(1, 0), None, Order::Log), Next::Nobody);
    assert_eq!(select(&[], terms(1, 0), None, Order::Log), Next::Nobody);
    let states = [server("old", true, 1, (1, 3))];
    let mut evidence = evidence(&states, terms(1, 1));
    evidence.replica_set.servers.extend([id("silent"), id("replica")]);
    evidence.terms.known = Term(2);
    assert_eq!(succession::next(&states, &evidence, None, Order::Log), Next::Nobody);
    // The only server of its group has every commit; it leads again in a new term.
    let promote = Next::Promote { successor: id("old"), after: Term(1), last: None };
    assert_eq!(select(&states, terms(1, 1), None, Order::Log), promote);
}

/// Guards against the loss of acknowledged commits that only a leaving replica has confirmed: it is left
/// out of the choice, and a replica that has received nothing for seconds is promoted.
#[test]
fn leaving_server_with_records_that_no_other_shows_is_promoted() {
    let leaving = Standing { leaving: true, ..server("leaving", false, 1, (1, 304)) };
    let deaf = server("deaf", false, 1, (1, 162));
    let states = [leaving.clone(), deaf];
    let promote = |name| Next::Promote { successor: id(name), after: Term(1), last: None };
    for order in [Order::Log, Order::Placement] {
        assert_eq!(select(&states, terms(1, 0), None, order), promote("leaving"));
    }
    let equal = server("equal", false, 1, (1, 304));
    let states = [leaving, equal];
    assert_eq!(select(&states, terms(1, 0), None, Order::Log), promote("equal"));
}

/// Guards against the loss of acknowledged commits: a busy replica, whose answer shows only what it has
/// applied, has received more than the one that is selected.
#[test]
fn no_successor_is_complete_while_another_replica_is_busy_or_silent() {
    let busy = |server: Standing| Standing { busy: true, ..server };
    let next = |states: &[Standing]| select(states, terms(1, 0), None, Order::Log);
    let promote = |name| Next::Promote { successor: id(name), after: Term(1), last: None };
    let shown = server("shown", false, 1, (1, 50));
    let states = [busy(server("late", false, 1, (1, 40))), shown.clone()];
    assert_eq!(next(&states), Next::Nobody);
    let states = [busy(server("ahead", false, 1, (1, 60))), shown.clone()];
    assert_eq!(next(&states), promote("ahead"));
    let mut silent = evidence(&states, terms(1, 0));
    silent.replica_set.servers.insert(id("silent"));
    assert_eq!(succession::next(&states, &silent, None, Order::Log), Next::Nobody);
    let states = [server("late", false, 1, (1, 40)), shown];
    assert_eq!(next(&states), promote("shown"));
}

/// Guards against the loss of acknowledged commits: the leader that a failover has just promoted crashes
/// before the other replica has received its term, and that replica is the only one that reports.
#[test]
fn replica_without_the_known_term_is_not_promoted_while_two_servers_are_missing() {
    let states = [server("deaf", false, 1, (1, 1615))];
    let mut evidence = evidence(&states, terms(2, 1));
    evidence.replica_set.servers.insert(id("first"));
    let next = |evidence: &Evidence| succession::next(&states, evidence, None, Order::Log);
    assert_eq!(next(&evidence), Next::Nobody);
    evidence.completeness = Completeness::Awaited;
    assert_eq!(next(&evidence), Next::Nobody);
    evidence.completeness = Completeness::Waived;
    let promote = Next::Promote { successor: id("deaf"), after: Term(2), last: None };
    assert_eq!(next(&evidence), promote);
}

/// Guards against the loss of acknowledged commits: two servers of five are missing, and a majority has
/// reported without the one replica that confirmed them.
#[test]
fn reports_of_a_majority_do_not_show_a_complete_successor() {
    let states = ["a", "b", "c"].map(|name| server(name, false, 1, (1, 40)));
    let mut evidence = evidence(&states, terms(1, 0));
    evidence.replica_set.servers.insert(id("silent"));
    assert_eq!(succession::next(&states, &evidence, None, Order::Log), Next::Nobody);
}

/// Guards against a leader that is kept although it is cut off from its replicas: its last records, which
/// no other server holds, are not acknowledged.
#[test]
fn records_that_only_one_of_all_reporting_servers_holds_are_not_required() {
    let states = [
        server("leader", true, 4, (4, 50)),
        server("ahead", false, 4, (4, 42)),
        server("behind", false, 4, (4, 40)),
    ];
    let promote = Next::Promote { successor: id("ahead"), after: Term(4), last: None };
    let retiring = Some(&id("leader"));
    assert_eq!(select(&states, terms(4, 3), retiring, Order::Stalled), promote);
}

/// Guards against the loss of acknowledged commits: the row of the group was written by a host that does
/// not record its servers, and a server that is no longer listed may have confirmed a commit.
#[test]
fn unrecorded_replica_set_counts_as_one_with_a_further_missing_server() {
    let replicas = [server("ahead", false, 1, (1, 50)), server("behind", false, 1, (1, 40))];
    let mut open = evidence(&replicas, terms(1, 0));
    open.replica_set.exhaustive = false;
    assert_eq!(succession::next(&replicas, &open, None, Order::Log), Next::Nobody);
    // All listed servers report, and the newest log has what any two of them and the further one hold.
    let [ahead, behind] = replicas;
    let states = [ahead, behind, server("gone", false, 1, (1, 45))];
    let promote = Next::Promote { successor: id("ahead"), after: Term(1), last: None };
    assert_eq!(succession::next(&states, &open, None, Order::Log), promote);
}

/// Guards against a group that gets no leader for good: two servers crash together and do not return under
/// their ids, while all hosts show which commits they have acknowledged.
#[test]
fn server_with_all_commits_that_hosts_have_acknowledged_is_promoted_beside_missing_ones() {
    let states = [server("ahead", false, 1, (1, 50)), server("behind", false, 1, (1, 40))];
    let mut evidence = evidence(&states, terms(1, 0));
    evidence.replica_set.servers.insert(id("silent"));
    let next = |evidence: &Evidence| succession::next(&states, evidence, None, Order::Log);
    assert_eq!(next(&evidence), Next::Nobody);
    evidence.coverage = Some(Point::new(1, 50));
    let promote = Next::Promote { successor: id("ahead"), after: Term(1), last: None };
    assert_eq!(next(&evidence), promote);
    evidence.coverage = Some(Point::new(1, 51));
    assert_eq!(next(&evidence), Next::Nobody);
}

/// Guards against the loss of all commits: a server starts again under its id without its log, and
/// reports that it leads.
#[test]
fn leader_without_acknowledged_commits_is_not_adopted() {
    let states = [server("restarted", true, 1, (1, 0)), server("replica", false, 1, (1, 50))];
    let mut evidence = evidence(&states, terms(1, 0));
    evidence.confirmed = Some(Point::new(1, 50));
    let promote = Next::Promote { successor: id("replica"), after: Term(1), last: None };
    assert_eq!(succession::next(&states, &evidence, None, Order::Log), promote);
}

/// Guards against the loss of acknowledged commits: a retiring leader that is being removed is given up
/// although no complete successor is shown.
#[test]
fn leaving_leader_is_kept_if_its_successor_lacks_commits() {
    let leader = Standing { leaving: true, ..server("leader", true, 4, (4, 50)) };
    let states = [leader, server("deaf", false, 4, (4, 20))];
    let mut evidence = evidence(&states, terms(4, 3));
    evidence.replica_set.servers.insert(id("silent"));
    let next = |evidence: &Evidence| {
        succession::next(&states, evidence, Some(&id("leader")), Order::Stalled)
    };
    assert_eq!(next(&evidence), Next::Adopt(id("leader"), Term(4)));
    evidence.completeness = Completeness::Awaited;
    assert_eq!(next(&evidence), Next::Nobody);
}

/// Guards against the loss of acknowledged commits in a planned failover: the successor does not receive
/// the leader's log, and a leaving replica, which does, is left out of the second choice.
#[test]
fn leaving_server_is_promoted_if_the_successor_receives_nothing_of_the_leader() {
    let leader = server("leader", true, 4, (4, 50));
    let leaving = Standing { leaving: true, ..server("leaving", false, 4, (4, 50)) };
    let states = [leader, leaving, server("deaf", false, 4, (4, 20))];
    let retiring = Some(&id("leader"));
    let last = Some(Point::new(4, 50));
    let promote = |name, last| Next::Promote { successor: id(name), after: Term(4), last };
    for order in [Order::Log, Order::Placement] {
        let next = select(&states, terms(4, 3), retiring, order);
        assert_eq!(next, promote("deaf", last));
    }
    let next = select(&states, terms(4, 3), retiring, Order::Stalled);
    assert_eq!(next, promote("leaving", None));
}

/// Guards against the loss of acknowledged commits that a leader brought from an earlier term: it is
/// replaced, as it is leaving, before any other server has received its term.
#[test]
fn leader_is_not_replaced_by_a_replica_without_its_term() {
    let leader = server("leader", true, 5, (5, 60));
    let states = [leader.clone(), server("deaf", false, 4, (4, 20))];
    let retiring = Some(&id("leader"));
    for order in [Order::Log, Order::Placement, Order::Stalled] {
        let next = select(&states, terms(5, 4), retiring, order);
        assert_eq!(next, Next::Adopt(id("leader"), Term(5)));
        let leaving = Standing { leaving: true, ..leader.clone() };
        let states = [leaving, states[1].clone()];
        let mut evidence = evidence(&states, terms(5, 4));
        let next = |evidence: &Evidence| succession::next(&states, evidence, retiring, order);
        assert_eq!(next(&evidence), Next::Adopt(id("leader"), Term(5)));
        evidence.completeness = Completeness::Waived;
        assert_eq!(next(&evidence), Next::Nobody);
    }
}

/// Guards against the loss of acknowledged commits in a planned failover: the replica that confirmed them
/// has left the list, the successor receives nothing, and only the leader has them.
#[test]
fn leader_is_not_replaced_by_a_replica_without_the_confirmed_record() {
    let leader = server("leader", true, 4, (4, 50));
    let states = [leader, server("deaf", false, 4, (4, 20))];
    let next = |confirmed, order| {
        let confirmed = Some(Point::new(4, confirmed));
        let evidence = Evidence { confirmed, ..evidence(&states, terms(4, 3)) };
        succession::next(&states, &evidence, Some(&id("leader")), order)
    };
    assert_eq!(next(40, Order::Stalled), Next::Adopt(id("leader"), Term(4)));
    let promote = |last| Next::Promote { successor: id("deaf"), after: Term(4), last };
    assert_eq!(next(20, Order::Stalled), promote(None));
    assert_eq!(next(40, Order::Placement), promote(Some(Point::new(4, 50))));
}

/// Guards against the loss of acknowledged commits: the replica that confirmed them has left the list for
/// a moment, as the leader crashes.
#[test]
fn successor_without_the_last_acknowledged_commit_is_not_complete() {
    let states = [server("behind", false, 1, (1, 50))];
    let next = |number| {
        let confirmed = Some(Point::new(1, number));
        let evidence = Evidence { confirmed, ..evidence(&states, terms(1, 0)) };
        succession::next(&states, &evidence, None, Order::Log)
    };
    assert_eq!(next(51), Next::Nobody);
    let promote = Next::Promote { successor: id("behind"), after: Term(1), last: None };
    assert_eq!(next(50), promote);
}

/// Guards against a leader that stays in an evacuated failure domain, and against a successor in
/// one.
#[test]
fn servers_in_evacuated_domains_are_not_selected() {
    let evacuated = |server: Standing| Standing { evacuated: true, ..server };
    let leader = evacuated(server("leader", true, 4, (4, 50)));
    let ahead = evacuated(server("ahead", false, 4, (4, 50)));
    let behind = server("behind", false, 4, (4, 48));
    let states = [leader.clone(), ahead.clone(), behind];
    let last = Some(Point::new(4, 50));
    let promote = Next::Promote { successor: id("behind"), after: Term(4), last };
    for order in [Order::Log, Order::Placement] {
        assert_eq!(select(&states, terms(4, 3), None, order), promote);
    }
    // If all are evacuated the leader stays, and serves again once the evacuation is cancelled.
    let adopt = Next::Adopt(id("leader"), Term(4));
    assert_eq!(select(&[leader, ahead], terms(4, 3), None, Order::Log), adopt);
}

/// Guards against a planned failover to a server that may serve fewer databases or is cold, and
/// against an unplanned one that loses acknowledged commits for the sake of placement.
#[test]
fn placement_precedes_the_log_only_in_a_planned_failover() {
    let outside = Standing { served: 0, ..server("outside", false, 4, (4, 50)) };
    let cold = Standing { cold: true, ..server("cold", false, 4, (4, 50)) };
    let home = server("home", false, 4, (4, 48));
    let states = [server("leader", true, 4, (4, 50)), outside, cold, home];
    let leaves = Some(&id("leader"));
    let last = Some(Point::new(4, 50));
    let promote = |name| Next::Promote { successor: id(name), after: Term(4), last };
    assert_eq!(select(&states, terms(4, 3), leaves, Order::Placement), promote("home"));
    assert_eq!(select(&states, terms(4, 3), leaves, Order::Log), promote("cold"));
}

/// Guards against acknowledged commits that a planned failover loses: the leader ends, or its failure
/// domain is closed to all statements, before its state is read, so that nothing shows which records a
/// successor chosen by placement lacks.
#[test]
fn log_precedes_placement_if_the_leader_does_not_report() {
    let cold = Standing { cold: true, ..server("cold", false, 4, (4, 50)) };
    let outside = Standing { served: 0, ..server("outside", false, 4, (4, 50)) };
    let behind = server("behind", false, 4, (4, 48));
    for ahead in [cold, outside] {
        let promote = Next::Promote { successor: ahead.id.clone(), after: Term(4), last: None };
        let states = [ahead, behind.clone()];
        let leaves = Some(&id("leader"));
        assert_eq!(select(&states, terms(4, 3), leaves, Order::Placement), promote);
    }
}
