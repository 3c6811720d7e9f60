//! One account's tokens at one host, and the loans between hosts.
//!
//! What is promised: over any time `t` all hosts together hand out at most
//! `rate * t + burst` tokens. Why it holds: call the stock the sum of all
//! hosts' own tokens and of all lent tokens that can still be spent. It grows
//! only by refilling, by `rate` in all. A host that lends deducts before it
//! answers, and counts the loan against its own ceiling for as long as the loan
//! can be spent; so own tokens and loans of a host never exceed its part of the
//! burst, and the stock never exceeds the whole. A lost message loses tokens.
//! A doubled or late one makes none: a loan is received once, under the number
//! that it was asked with, and only while that question is open.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{HostId, shares::Share};

/// How long a loan may be spent, from when it was asked for.
pub const LOAN_TTL: Duration = Duration::from_millis(400);

/// How long a host that lends counts a loan against its ceiling, from when it
/// lent. Longer than [`LOAN_TTL`] by what two clocks may differ; the loan
/// was asked for before it was lent.
pub const LENDER_HOLD_TTL: Duration = Duration::from_millis(500);

/// The time over which demand is measured and for which tokens are borrowed ahead.
pub const DEMAND_WINDOW: Duration = Duration::from_millis(200);

/// Number of a loan; each question of a host has its own.
pub type LoanId = u64;

/// Tokens lent to another host.
#[derive(Clone, Debug)]
struct Lent {
    borrower: HostId,
    id: LoanId,
    tokens: f64,
    /// Until when it counts against the ceiling.
    until: Instant,
}

/// Tokens borrowed from another host.
#[derive(Clone, Debug)]
struct Borrowed {
    lender: HostId,
    id: LoanId,
    tokens: f64,
    /// Until when it may be spent.
    until: Instant,
}

/// A question that waits for its answer.
#[derive(Clone, Debug)]
struct LoanRequest {
    lender: HostId,
    sent: Instant,
}

/// One account's tokens at one host.
#[derive(Debug)]
pub struct Bucket {
    share: Share,
    /// Own tokens; with `lent` at most the share's burst.
    level: f64,
    /// Up to when `level` has been refilled.
    refilled: Instant,
    /// Loans that may still be spent elsewhere, in order of their ends.
    lent: VecDeque<Lent>,
    /// Loans that may be spent here, in order of their ends.
    borrowed: Vec<Borrowed>,
    pending: HashMap<LoanId, LoanRequest>,
    /// Loans of which nothing will be spent any more, by lender.
    ended: HashMap<HostId, Vec<LoanId>>,
    next_id: LoanId,
    /// Tokens wanted, fading over [`DEMAND_WINDOW`].
    demand: f64,
    demanded: Instant,
}

impl Bucket {
    /// An empty bucket. `first_id` is random, so that a restarted host's loans
    /// are not taken for those of before.
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
            demanded: now,
        }
    }

    /// Fills it; only for an account of which nobody can have used anything.
    pub fn fill(&mut self) {
        self.level = self.ceiling();
    }

    /// Sets this host's part; what stands above it is dropped at once.
    pub fn set_share(&mut self, share: Share, now: Instant) {
        self.refill(now);
        self.share = share;
        self.level = self.level.min(self.ceiling());
    }

    /// This host's part.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Takes one token, if there is one. Each call counts as demand.
    pub fn take(&mut self, now: Instant) -> bool {
        self.demand = self.demand(now) + 1.0;
        self.demanded = now;
        self.take_counted(now)
    }

    /// Takes one token for a request that has been counted as demand.
    pub fn take_counted(&mut self, now: Instant) -> bool {
        if self.tokens(now) < 1.0 {
            return false;
        }
        let mut due = 1.0;
        for loan in &mut self.borrowed {
            let part = loan.tokens.min(due);
            loan.tokens -= part;
            due -= part;
        }
        self.level -= due;
        self.end_loans(|loan| loan.tokens <= 0.0);
        true
    }

    /// Tokens that can be spent now.
    pub fn tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.end_loans(|loan| now >= loan.until);
        self.level + self.borrowed.iter().map(|loan| loan.tokens).sum::<f64>()
    }

    /// Tokens to borrow for `waiting` requests and those expected soon.
    pub fn want(&mut self, waiting: usize, now: Instant) -> f64 {
        let soon = self.demand(now) - self.share.rate.0 * DEMAND_WINDOW.as_secs_f64();
        (waiting as f64 + soon.max(0.0) - self.tokens(now)).max(0.0).ceil()
    }

    /// Begins to ask `lender`; gives the loan's number, and the numbers of that
    /// lender's loans that are over.
    pub fn ask(&mut self, lender: &HostId, now: Instant) -> (LoanId, Vec<LoanId>) {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.pending.insert(id, LoanRequest { lender: lender.clone(), sent: now });
        (id, self.ended.remove(lender).unwrap_or_default())
    }

    /// Receives a loan. One that was not asked for, was received before or
    /// comes too late is dropped.
    pub fn receive(&mut self, id: LoanId, tokens: f64, now: Instant) {
        let Some(request) = self.pending.remove(&id) else { return };
        let until = request.sent + LOAN_TTL;
        if now >= until || tokens <= 0.0 {
            return self.ended.entry(request.lender).or_default().push(id);
        }
        let index = self.borrowed.partition_point(|loan| loan.until <= until);
        self.borrowed.insert(index, Borrowed { lender: request.lender, id, tokens, until });
    }

    /// Gives a question up: its answer will be dropped.
    pub fn abandon(&mut self, id: LoanId) {
        if let Some(request) = self.pending.remove(&id) {
            self.ended.entry(request.lender).or_default().push(id);
        }
    }

    /// Lends up to `wanted` tokens, but not what is wanted here soon. The
    /// borrower's loans that are over count against the ceiling no longer.
    ///
    /// Only whole tokens: parts of one would lie at several hosts and run out
    /// there before they make a whole.
    pub fn lend(
        &mut self,
        borrower: &HostId,
        id: LoanId,
        wanted: f64,
        ended: &[LoanId],
        now: Instant,
    ) -> f64 {
        self.refill(now);
        self.lent.retain(|loan| loan.borrower != *borrower || !ended.contains(&loan.id));
        let tokens = self.spare(now).min(wanted).floor();
        if tokens.is_nan() || tokens < 1.0 {
            return 0.0;
        }
        self.level -= tokens;
        let (borrower, until) = (borrower.clone(), now + LENDER_HOLD_TTL);
        self.lent.push_back(Lent { borrower, id, tokens, until });
        tokens
    }

    /// Own tokens that are not expected to be wanted here soon.
    pub fn spare(&mut self, now: Instant) -> f64 {
        self.refill(now);
        let soon = self.demand(now) - self.share.rate.0 * DEMAND_WINDOW.as_secs_f64();
        (self.level - soon.max(0.0)).max(0.0)
    }

    /// How long until this host's own tokens make a whole one.
    pub fn until_next(&mut self, now: Instant) -> Option<Duration> {
        let lacking = (1.0 - self.tokens(now)).max(0.0);
        let rate = self.share.rate.0;
        (rate > 0.0).then(|| Duration::from_secs_f64((lacking / rate).min(3600.0)))
    }

    fn demand(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.demanded);
        self.demand * (-since.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
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
        let since = until.saturating_duration_since(self.refilled);
        let level = self.level + self.share.rate.0 * since.as_secs_f64();
        self.level = level.min(self.ceiling());
        self.refilled = self.refilled.max(until);
    }

    fn end_loans(&mut self, has_ended: impl Fn(&Borrowed) -> bool) {
        let ended = &mut self.ended;
        self.borrowed.retain(|loan| {
            let over = has_ended(loan);
            if over {
                ended.entry(loan.lender.clone()).or_default().push(loan.id);
            }
            !over
        });
    }
}
