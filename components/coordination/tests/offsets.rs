//! Moments that hosts send each other.

use std::time::{Duration, Instant};

use bergamottrack_coordination::offsets;
use rand::{Rng, SeedableRng, rngs::StdRng};

const LONGEST_DELAY_MS: u64 = 5000;

/// A position seen 1 ms later than it was could let a read miss a commit.
#[test]
fn a_moment_is_never_taken_for_later_than_it_was() {
    let mut rng = StdRng::seed_from_u64(1);
    let start = Instant::now() + Duration::from_secs(60);
    let mut ms = |most: u64| Duration::from_micros(rng.random_range(0..=most * 1000));
    for _ in 0..10_000 {
        // One true clock stands for both hosts, so that moments can be compared.
        let asked = start;
        let made = asked + ms(LONGEST_DELAY_MS);
        let seen = made - ms(2000);
        let taken = offsets::instant(asked, offsets::offset_ms(seen, made)).unwrap();
        assert!(taken <= seen, "in an answer");
        assert!(seen - taken <= made - asked + Duration::from_millis(4), "by more than the delay");

        let stamped = start;
        let received = stamped + ms(LONGEST_DELAY_MS);
        let seen = received + ms(2000) - ms(1000);
        let taken = offsets::instant(stamped, offsets::offset_ms(seen, received)).unwrap();
        assert!(taken <= seen, "in a question");
    }
}
