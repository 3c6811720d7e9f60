//! Points in time that hosts send each other.

use std::time::{Duration, Instant};

use bergamottrack_coordination::offsets;
use rand::{Rng, SeedableRng, rngs::StdRng};

const MAX_DELAY_MS: u64 = 5000;

/// Guards against a read that misses a commit because a position appears to be observed 1 ms
/// later than it was.
#[test]
fn received_time_is_never_too_late() {
    let mut rng = StdRng::seed_from_u64(1);
    let start = Instant::now() + Duration::from_secs(60);
    let mut random_time = |max_ms: u64| Duration::from_micros(rng.random_range(0..=max_ms * 1000));
    for _ in 0..10_000 {
        // Both hosts use one clock here, so that their times can be compared.
        let requested = start;
        let answered = requested + random_time(MAX_DELAY_MS);
        let observed = answered - random_time(2000);
        let converted =
            offsets::instant(requested, offsets::offset_ms(observed, answered)).unwrap();
        assert!(converted <= observed, "too late in an answer");
        assert!(
            observed - converted <= answered - requested + Duration::from_millis(4),
            "too early by more than the delay"
        );

        let sent = start;
        let received = sent + random_time(MAX_DELAY_MS);
        let observed = received + random_time(2000) - random_time(1000);
        let converted = offsets::instant(sent, offsets::offset_ms(observed, received)).unwrap();
        assert!(converted <= observed, "too late in a request");
    }
}
