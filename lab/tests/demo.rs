//! README's first command.

use std::process::Command;

/// What a newcomer sees: a booking is taken through one host, its primary is
/// killed, and the booking is still there and its request is known as done.
#[test]
fn the_demo_shows_a_booking_kept_over_a_failover() {
    let output = Command::new(env!("CARGO_BIN_EXE_lab"))
        .arg("demo")
        // The programs have been built: the lab must not call cargo within cargo.
        .env_remove("CARGO")
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}\n{error}");
    assert!(text.contains("read through host h3: chapel|tuesday"), "{text}");
    assert!(text.contains("in group appointments-1: done"), "{text}");
}
