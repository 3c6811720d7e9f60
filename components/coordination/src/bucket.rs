//! Token bucket of one account at one host, with loans between hosts.
//!
//! Invariant: over any time `t` all hosts together hand out at most `rate * t + burst`
//! tokens. Proof: let the stock be the sum of all hosts' own tokens and of all lent tokens
//! that can still be spent. The stock grows only by refilling, by `rate` in total. A lender
//! deducts tokens before it answers, and counts the loan against its own ceiling for as
//! long as the loan can be spent; so the own tokens and loans of a host never exceed its
//! part of the burst, and the stock never exceeds the whole burst. A lost message loses
//! tokens. A duplicated or late message creates none: a loan is received once, under the id
//! of its request, and only while that request is pending.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{HostId, shares::Share};

/// Time after the request during which a loan may be spent.
pub const LOAN_TTL: Duration = Duration::from_millis(400);

/// Time after lending during which the lender counts a loan against its ceiling. Longer
/// than [`LOAN_TTL`] by the possible difference of two clocks; the loan is always requested
/// before it is lent.
pub const LENDER_HOLD_TTL: Duration = Duration::from_millis(500);

/// Time over which demand is measured, and for which tokens are borrowed in advance.
pub const DEMAND_WINDOW: Duration = Duration::from_millis(200);

/// Id of a loan; each loan request of a host has its own.
pub type LoanId = u64;

/// Tokens lent to another host.
#[derive(Clone, Debug)]
struct Lent {
    borrower: HostId,
    id: LoanId,
    tokens: f64,
    /// Time until which the loan counts against the lender's ceiling.
    until: Instant,
}

/// Tokens borrowed from another host.
#[derive(Clone, Debug)]
struct Borrowed {
    lender: HostId,
    id: LoanId,
    tokens: f64,
    /// Time until which the loan may be spent.
    until: Instant,
}

/// A pending loan request.
#[derive(Clone, Debug)]
struct LoanRequest {
    lender: HostId,
    sent: Instant,
}

/// Token bucket of one account at one host.
#[derive(Debug)]
pub struct Bucket {
    share: Share,
    /// Own tokens; at most [`Bucket::ceiling`].
    level: f64,
    /// Time up to which `level` has been refilled.
    refilled: Instant,
    /// Loans to other hosts that count against the ceiling, ordered by end time.
    lent: VecDeque<Lent>,
    /// Loans that may be spent here, ordered by end time.
    borrowed: Vec<Borrowed>,
    pending: HashMap<LoanId, LoanRequest>,
    /// Loans that are no longer used here and whose end has not been reported, by lender.
    ended: HashMap<HostId, Vec<LoanId>>,
    next_id: LoanId,
    /// Demand in tokens, decaying with time constant [`DEMAND_WINDOW`].
    demand: f64,
    /// Time of the last request that counted as demand.
    last_demand: Instant,
}

impl Bucket {
    /// Creates an empty bucket. `first_id` must be random, so that loans of a restarted
    /// host are not mistaken for those before the restart.
    pub fn new(share: Share, first_id: LoanId, now: Instant) -> Self {
        Self {
            share,
            level: 0.0,
            refilled: now,
            lent: VecDeque::new(),
            borrowed: Vec::new(),
            pending: HashMap::new(),
            ended: HashMap::new(),
            next_id: first_id,
            demand: 0.0,
            last_demand: now,
        }
    }

    /// Fills the bucket; allowed only if no host can have used tokens of the account yet.
    pub fn fill(&mut self) {
        self.level = self.ceiling();
    }

    /// Sets this host's part of the contract; tokens above its burst are dropped
    /// immediately.
    pub fn set_share(&mut self, share: Share, now: Instant) {
        self.refill(now);
        self.share = share;
        self.level = self.level.min(self.ceiling());
    }

    /// Returns this host's part of the contract.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Takes one token and returns whether one was available. Each call counts as demand.
    pub fn take(&mut self, now: Instant) -> bool {
        self.demand = self.demand(now) + 1.0;
        self.last_demand = now;
        self.take_counted(now)
    }

    /// Takes one token for a request that was already counted as demand, from borrowed tokens
    /// first; returns whether one was available.
    pub fn take_counted(&mut self, now: Instant) -> bool {
        if self.tokens(now) < 1.0 {
            return false;
        }
        let mut due = 1.0;
        for loan in &mut self.borrowed {
            let spent = loan.tokens.min(due);
            loan.tokens -= spent;
            due -= spent;
        }
        self.level -= due;
        self.end_loans(|loan| loan.tokens <= 0.0);
        true
    }

    /// Returns the number of tokens that can be spent now, borrowed ones included.
    pub fn tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.end_loans(|loan| now >= loan.until);
        self.level + self.borrowed.iter().map(|loan| loan.tokens).sum::<f64>()
    }

    /// Returns the number of tokens to borrow, a whole number: for `waiting` requests and the
    /// demand above the rate expected in the next [`DEMAND_WINDOW`], less the available
    /// tokens.
    pub fn want(&mut self, waiting: usize, now: Instant) -> f64 {
        let shortage = self.demand(now) - self.share.rate.0 * DEMAND_WINDOW.as_secs_f64();
        (waiting as f64 + shortage.max(0.0) - self.tokens(now)).max(0.0).ceil()
    }

    /// Starts a loan request to `lender`; returns the id of the loan, and the ids of ended
    /// loans to report to that lender.
    pub fn request_loan(&mut self, lender: &HostId, now: Instant) -> (LoanId, Vec<LoanId>) {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.pending.insert(id, LoanRequest { lender: lender.clone(), sent: now });
        (id, self.ended.remove(lender).unwrap_or_default())
    }

    /// Adds a loan. A loan that was not requested, was already received or arrives too late
    /// is dropped.
    pub fn receive(&mut self, id: LoanId, tokens: f64, now: Instant) {
        let Some(request) = self.pending.remove(&id) else { return };
        let until = request.sent + LOAN_TTL;
        if now >= until || tokens <= 0.0 {
            return self.ended.entry(request.lender).or_default().push(id);
        }
        let index = self.borrowed.partition_point(|loan| loan.until <= until);
        self.borrowed.insert(index, Borrowed { lender: request.lender, id, tokens, until });
    }

    /// Abandons a loan request; its answer will be dropped.
    pub fn abandon(&mut self, id: LoanId) {
        if let Some(request) = self.pending.remove(&id) {
            self.ended.entry(request.lender).or_default().push(id);
        }
    }

    /// Lends up to `requested` tokens and returns their number, at most [`Bucket::spare`].
    /// Loans in `ended` no longer count against the ceiling.
    ///
    /// Lends whole tokens only: fractions would be spread over several hosts and expire
    /// there before they add up to a whole token.
    pub fn lend(
        &mut self,
        borrower: &HostId,
        id: LoanId,
        requested: f64,
        ended: &[LoanId],
        now: Instant,
    ) -> f64 {
        self.refill(now);
        self.lent.retain(|loan| loan.borrower != *borrower || !ended.contains(&loan.id));
        let tokens = self.spare(now).min(requested).floor();
        if tokens.is_nan() || tokens < 1.0 {
            return 0.0;
        }
        self.level -= tokens;
        let (borrower, until) = (borrower.clone(), now + LENDER_HOLD_TTL);
        self.lent.push_back(Lent { borrower, id, tokens, until });
        tokens
    }

    /// Returns the number of own tokens beyond the demand above the rate expected here in the
    /// next [`DEMAND_WINDOW`].
    pub fn spare(&mut self, now: Instant) -> f64 {
        self.refill(now);
        let shortage = self.demand(now) - self.share.rate.0 * DEMAND_WINDOW.as_secs_f64();
        (self.level - shortage.max(0.0)).max(0.0)
    }

    /// Returns the time until refilling makes a whole token available, at most 1 h; `None`
    /// if the rate is zero.
    pub fn until_next(&mut self, now: Instant) -> Option<Duration> {
        let lacking = (1.0 - self.tokens(now)).max(0.0);
        let rate = self.share.rate.0;
        (rate > 0.0).then(|| Duration::from_secs_f64((lacking / rate).min(3600.0)))
    }

    fn demand(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.last_demand);
        self.demand * (-elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    fn ceiling(&self) -> f64 {
        let lent: f64 = self.lent.iter().map(|loan| loan.tokens).sum();
        (self.share.burst.0 - lent).max(0.0)
    }

    fn refill(&mut self, now: Instant) {
        while let Some(loan) = self.lent.front().filter(|loan| loan.until <= now) {
            let until = loan.until;
            self.grow(until);
            self.lent.pop_front();
        }
        self.grow(now);
    }

    fn grow(&mut self, until: Instant) {
        let elapsed = until.saturating_duration_since(self.refilled);
        let level = self.level + self.share.rate.0 * elapsed.as_secs_f64();
        self.level = level.min(self.ceiling());
        self.refilled = self.refilled.max(until);
    }

    fn end_loans(&mut self, has_ended: impl Fn(&Borrowed) -> bool) {
        let ended = &mut self.ended;
        self.borrowed.retain(|loan| {
            let loan_ended = has_ended(loan);
            if loan_ended {
                ended.entry(loan.lender.clone()).or_default().push(loan.id);
            }
            !loan_ended
        });
    }
}
