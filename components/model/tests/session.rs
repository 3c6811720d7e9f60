//! Sessions on connections that other sessions used before.

use std::collections::BTreeMap;

use bergamottrack_model::{
    Access,
    session::{ConnectionState, Step, shared_name},
    statement::Shape,
};

fn values(pairs: &[(&str, &str)]) -> BTreeMap<Box<str>, Box<str>> {
    pairs.iter().map(|(name, value)| ((*name).into(), (*value).into())).collect()
}

fn shape(text: &str) -> Shape {
    Shape { access: Access::Read, text: text.into() }
}

/// Guards against a statement that runs with a value set by another caller: the connection was used
/// by a session with an additional value, and only missing values were set.
#[test]
fn values_of_another_session_are_removed() {
    let mut connection = ConnectionState::default();
    connection.reconcile(&values(&[("lang", "wo"), ("zone", "utc")]), Some(&shape("q1")));
    let steps = connection.reconcile(&values(&[("lang", "fr")]), Some(&shape("q1")));
    let name = shared_name(&shape("q1"));
    let expected =
        [Step::Reset, Step::Set("lang".into(), "fr".into()), Step::Prepare(name, shape("q1"))];
    assert_eq!(steps, expected, "a reset also drops prepared statements");
}

#[test]
fn matching_connection_needs_no_steps() {
    let mut connection = ConnectionState::default();
    let own = values(&[("lang", "wo")]);
    assert_eq!(connection.reconcile(&own, Some(&shape("q1"))).len(), 2);
    assert_eq!(connection.reconcile(&own, Some(&shape("q1"))), []);
    assert_eq!(connection.distance(&own), 0);
    assert!(connection.distance(&values(&[])) > 0);
}

/// Guards against a caller that runs another caller's statement: two callers may give the same name
/// to different statements, or prepare the same text for reading and for writing.
#[test]
fn same_name_for_different_statements_does_not_collide() {
    let write = Shape { access: Access::Write, text: "q1".into() };
    assert_ne!(shared_name(&shape("q1")), shared_name(&shape("q2")));
    assert_ne!(shared_name(&shape("q1")), shared_name(&write));
}

/// Guards against a connection that keeps a prepared statement for each one that sessions have used, without
/// a limit: a session may prepare a new one for each statement.
#[test]
fn connection_drops_its_prepared_statements_at_a_limit() {
    let mut connection = ConnectionState::default();
    let mut resets = 0;
    for number in 0..5_000 {
        let shape = Shape { access: Access::Read, text: format!("q{number}").into() };
        let steps = connection.reconcile(&BTreeMap::new(), Some(&shape));
        resets += steps.iter().filter(|step| **step == Step::Reset).count();
        assert!(matches!(steps.last(), Some(Step::Prepare(..))));
        assert!(connection.prepared.len() <= 1024, "{} are kept", connection.prepared.len());
    }
    assert_eq!(resets, 4);
}
