//! Test of the first command in the README.

use std::process::Command;

/// Guards against a demo that loses data: a booking is written through one host and its primary is
/// killed. The booking must still be readable and its request must be reported as done.
#[test]
fn a_booking_survives_the_failover_of_the_demo() {
    let output = Command::new(env!("CARGO_BIN_EXE_lab"))
        .arg("demo")
        // The programs are already built; without `CARGO` the lab does not run cargo within cargo.
        .env_remove("CARGO")
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}\n{error}");
    assert!(text.contains("read through host h3: chapel|tuesday"), "{text}");
    assert!(text.contains("in group appointments-1: done"), "{text}");
}
