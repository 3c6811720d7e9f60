//! A budget of retries, so that a fault does not multiply the work.

/// Allows retries as a share of the requests.
///
/// At most `reserve + share * requests` retries are ever allowed, so that in
/// a fault the servers see little more work than the callers ask for.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries earned by each request.
    share: f64,
    /// The most retries that can be saved up.
    reserve: f64,
    /// Retries allowed now; at most `reserve`.
    saved: f64,
}

impl RetryBudget {
    /// A budget with a full reserve.
    pub fn new(share: f64, reserve: f64) -> Self {
        Self { share, reserve, saved: reserve }
    }

    /// Notes a request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.share).min(self.reserve);
    }

    /// Takes one retry; false when the budget is used up.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}

impl Default for RetryBudget {
    /// One retry for ten requests.
    fn default() -> Self {
        Self::new(0.1, 10.0)
    }
}
