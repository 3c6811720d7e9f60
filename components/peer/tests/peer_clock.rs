//! Estimate of the clock of a link's accepting end.

use std::time::{Duration, Instant};

use bergamottrack_peer::peer_clock::PeerClock;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against fresh statements that are refused as too old: one reading was delayed in a cut, and the
/// clock of the peer is taken to be that far behind.
#[test]
fn delayed_reading_does_not_replace_one_with_a_shorter_transit() {
    let (clock, start) = (PeerClock::default(), Instant::now());
    assert_eq!(clock.earliest(start), None);
    clock.note(ms(100), start + ms(2));
    assert_eq!(clock.earliest(start + ms(52)), Some(ms(150)));
    clock.note(ms(1100), start + ms(2500));
    assert_eq!(clock.earliest(start + ms(2502)), Some(ms(2600)));
    clock.note(ms(3000), start + ms(2901));
    assert_eq!(clock.earliest(start + ms(2901)), Some(ms(3000)));
}

/// Guards against statements that are refused as too old on a link that is up for days, as the clocks of
/// two hosts do not run at the same rate.
#[test]
fn old_reading_is_replaced() {
    let (clock, start) = (PeerClock::default(), Instant::now());
    clock.note(ms(0), start);
    clock.note(ms(59_000), start + ms(60_000));
    assert_eq!(clock.earliest(start + ms(60_000)), Some(ms(59_000)));
}
