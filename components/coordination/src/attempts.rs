//! Attempts of one statement at backend servers, and the tokens of the account's rate limit that
//! they need.
//!
//! A token pays for one run. An attempt that did not run leaves its token to the next one; an
//! attempt without an answer may have run, so that the next one needs another token. Otherwise
//! servers run more than the account's rate whenever answers are lost.

/// Attempts of one statement that was admitted with one token.
#[derive(Clone, Debug)]
pub struct Attempts {
    /// Maximum number of attempts.
    limit: usize,
    /// Attempts begun; at most `limit`.
    made: usize,
    /// Attempts that may have run; at most `tokens`.
    runs: usize,
    /// Tokens taken for the statement.
    tokens: usize,
}

impl Attempts {
    /// Creates the state of a statement that was admitted and not sent yet; `limit` is the maximum
    /// number of attempts.
    pub fn new(limit: usize) -> Self {
        Self { limit, made: 0, runs: 0, tokens: 1 }
    }

    /// Returns the number of attempts begun.
    pub fn made(&self) -> usize {
        self.made
    }

    /// Returns the number of attempts that may still be begun.
    pub fn left(&self) -> usize {
        self.limit - self.made
    }

    /// Returns whether the next attempt needs another token, because each token taken so far may
    /// have been used by a run.
    pub fn needs_token(&self) -> bool {
        self.runs >= self.tokens
    }

    /// Records a token that was taken for the statement.
    pub fn add_token(&mut self) {
        self.tokens += 1;
    }

    /// Records the begin of an attempt.
    pub fn begin(&mut self) {
        self.made += 1;
    }

    /// Records that the last attempt has no answer and may have run.
    pub fn may_have_run(&mut self) {
        self.runs += 1;
    }
}
