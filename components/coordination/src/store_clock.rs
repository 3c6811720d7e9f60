//! The store's steady clock, as a host's own clock shows it.
//!
//! Hosts tell each other "nothing newer existed at this time of the store's
//! clock". Such a statement stays true however long it is under way, which one
//! by age does not: a message held back by a cut would make old knowledge look new.

use std::time::{Duration, Instant};

/// How far two clocks may drift apart, as a part of the time passed. Machine
/// clocks keep within a tenth of this.
const DRIFT: f64 = 0.001;

/// Maps times of the store's clock to the latest local time at which they cannot
/// yet have been reached.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// A local time, and a store time that was read at that local time or later.
    best: Option<(Instant, Duration)>,
}

impl StoreClock {
    /// Notes that a call which was sent at `asked` was answered with `store`.
    ///
    /// Kept is what bounds the store's clock most tightly: of all calls the one
    /// with the least way there.
    pub fn note(&mut self, asked: Instant, store: Duration) {
        let tighter = match self.local(store) {
            Some(bound) => asked >= bound,
            None => true,
        };
        if tighter {
            self.best = Some((asked, store));
        }
    }

    /// A local time before which the store's clock did not show `store`.
    ///
    /// None until a call was answered: without that nothing is known.
    pub fn local(&self, store: Duration) -> Option<Instant> {
        let (at, then) = self.best?;
        let apart = store.abs_diff(then);
        let drift = apart.mul_f64(DRIFT);
        if store >= then { Some(at + apart - drift) } else { at.checked_sub(apart + drift) }
    }
}
