//! Retry budget, which keeps retries from multiplying the load during a fault.

/// Budget that limits the retries to a fraction of the requests.
///
/// At most `reserve + share * requests` retries are allowed in total, so that during a fault
/// the load on the servers is only slightly more than the requests of the callers.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries added per request.
    share: f64,
    /// Maximum number of retries that can accumulate.
    reserve: f64,
    /// Retries allowed at present; at most `reserve`.
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget with a full reserve, which adds `share` retries per request.
    pub fn new(share: f64, reserve: f64) -> Self {
        Self { share, reserve, balance: reserve }
    }

    /// Adds the share of one request, up to the reserve.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.share).min(self.reserve);
    }

    /// Withdraws one retry; returns false if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}

impl Default for RetryBudget {
    /// Returns a budget of one retry per ten requests, with a reserve of ten retries.
    fn default() -> Self {
        Self::new(0.1, 10.0)
    }
}
