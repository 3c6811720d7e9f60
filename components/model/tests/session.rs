//! Sessions on connections that others used before.

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

/// A statement runs with a value that another caller has set. The connection was
/// used by a session with one value more, and only missing values were set.
#[test]
fn no_value_of_another_session_stays() {
    let mut carried = ConnectionState::default();
    carried.reconcile(&values(&[("lang", "wo"), ("zone", "utc")]), Some(&shape("q1")));
    let steps = carried.reconcile(&values(&[("lang", "fr")]), Some(&shape("q1")));
    let name = shared_name(&shape("q1"));
    let expected =
        [Step::Reset, Step::Set("lang".into(), "fr".into()), Step::Prepare(name, shape("q1"))];
    assert_eq!(steps, expected, "a reset drops the names too");
}

#[test]
fn a_connection_that_fits_needs_no_step() {
    let mut carried = ConnectionState::default();
    let own = values(&[("lang", "wo")]);
    assert_eq!(carried.reconcile(&own, Some(&shape("q1"))).len(), 2);
    assert_eq!(carried.reconcile(&own, Some(&shape("q1"))), []);
    assert_eq!(carried.distance(&own), 0);
    assert!(carried.distance(&values(&[])) > 0);
}

/// Two callers give the same name to two statements. Each must run its own.
#[test]
fn names_of_callers_do_not_collide() {
    let write = Shape { access: Access::Write, text: "q1".into() };
    assert_ne!(shared_name(&shape("q1")), shared_name(&shape("q2")));
    assert_ne!(shared_name(&shape("q1")), shared_name(&write));
}
