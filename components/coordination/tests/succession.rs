//! Who leads a group next.

use bergamottrack_coordination::{
    Point, ServerId, Term,
    succession::{self, Next, Order, Standing, Terms},
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
    }
}

fn terms(known: u64, closed: u64) -> Terms {
    Terms { known: Term(known), closed: Term(closed) }
}

/// A leader died and another was promoted; the old one comes back and still thinks
/// that it leads, just when the new one dies. Taken up again, it acknowledged
/// writes that were lost and showed a log without the newer ones.
#[test]
fn an_old_leader_is_not_taken_up_where_a_replica_knows_better() {
    let told = [server("old", true, 2, (2, 9)), server("replica", false, 3, (3, 4))];
    let promote = Next::Promote { successor: id("replica"), after: Term(3), last: None };
    assert_eq!(succession::next(&told, terms(2, 1), None, Order::Log), promote);
    let told = [
        server("old", true, 2, (2, 9)),
        server("new", true, 3, (3, 5)),
        server("replica", false, 3, (3, 4)),
    ];
    assert_eq!(
        succession::next(&told, terms(2, 1), None, Order::Log),
        Next::Adopt(id("new"), Term(3))
    );
    let told = [server("only", true, 1, (1, 9)), server("replica", false, 1, (1, 4))];
    assert_eq!(
        succession::next(&told, terms(0, 0), None, Order::Log),
        Next::Adopt(id("only"), Term(1))
    );
}

/// A booking is acknowledged and gone a second later. The leader was replaced while
/// no replica received anything; its successor went silent at once, before any replica
/// had heard of it. All that could be asked spoke of the first term, so the first
/// leader was taken up again and acknowledged what the next promotion took back.
#[test]
fn an_old_leader_is_not_taken_up_where_nobody_has_heard_of_its_successor() {
    let told = [server("old", true, 1, (1, 206)), server("deaf", false, 1, (1, 183))];
    let promote = Next::Promote { successor: id("deaf"), after: Term(2), last: None };
    assert_eq!(succession::next(&told, terms(2, 1), None, Order::Log), promote);
    // The promotion may have taken effect without anybody knowing the new leader.
    let promote = Next::Promote { successor: id("deaf"), after: Term(1), last: None };
    assert_eq!(succession::next(&told, terms(1, 1), None, Order::Log), promote);
}

/// A leader that leaves as planned is asked for its last record, which its successor
/// has to receive first; it is not taken up again itself.
#[test]
fn a_leaving_leader_is_waited_for() {
    let told = [
        server("leader", true, 4, (4, 50)),
        server("near", false, 4, (4, 48)),
        server("far", false, 4, (4, 40)),
    ];
    let promote =
        Next::Promote { successor: id("near"), after: Term(4), last: Some(Point::new(4, 50)) };
    assert_eq!(succession::next(&told, terms(4, 3), Some(&id("leader")), Order::Log), promote);
}

#[test]
fn nobody_leads_without_a_replica_that_stays() {
    let mut leaving = server("leaving", false, 1, (1, 3));
    leaving.leaving = true;
    assert_eq!(succession::next(&[leaving], terms(1, 0), None, Order::Log), Next::Nobody);
    assert_eq!(succession::next(&[], terms(1, 0), None, Order::Log), Next::Nobody);
    let old = server("old", true, 1, (1, 3));
    assert_eq!(succession::next(&[old], terms(1, 1), None, Order::Log), Next::Nobody);
}

/// Guards against a leader in an evacuated failure domain, or a successor there.
#[test]
fn no_server_of_an_evacuated_domain_leads_next() {
    let evacuated = |server: Standing| Standing { evacuated: true, ..server };
    let leader = evacuated(server("leader", true, 4, (4, 50)));
    let ahead = evacuated(server("ahead", false, 4, (4, 50)));
    let behind = server("behind", false, 4, (4, 48));
    let told = [leader.clone(), ahead.clone(), behind];
    let last = Some(Point::new(4, 50));
    let promote = Next::Promote { successor: id("behind"), after: Term(4), last };
    for order in [Order::Log, Order::Placement] {
        assert_eq!(succession::next(&told, terms(4, 3), None, order), promote);
    }
    // Where all are evacuated the leader stays, and serves again once that is taken back.
    let adopt = Next::Adopt(id("leader"), Term(4));
    assert_eq!(succession::next(&[leader, ahead], terms(4, 3), None, Order::Log), adopt);
}

/// Guards against a planned change to a server that may serve fewer databases, or is cold,
/// and against one without a plan that loses acknowledged commits for that.
#[test]
fn placement_decides_where_the_log_cannot_be_lost() {
    let outside = Standing { served: 0, ..server("outside", false, 4, (4, 50)) };
    let cold = Standing { cold: true, ..server("cold", false, 4, (4, 50)) };
    let home = server("home", false, 4, (4, 48));
    let told = [server("leader", true, 4, (4, 50)), outside, cold, home];
    let leaves = Some(&id("leader"));
    let last = Some(Point::new(4, 50));
    let promote = |name| Next::Promote { successor: id(name), after: Term(4), last };
    assert_eq!(succession::next(&told, terms(4, 3), leaves, Order::Placement), promote("home"));
    assert_eq!(succession::next(&told, terms(4, 3), leaves, Order::Log), promote("cold"));
}
