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
pub const SPENT_WITHIN: Duration = Duration::from_millis(400);

/// How long a host that lends counts a loan against its ceiling, from when it
/// lent. Longer than [`SPENT_WITHIN`] by what two clocks may differ; the loan
/// was asked for before it was lent.
pub const HELD_FOR: Duration = Duration::from_millis(500);

/// The time over which demand is measured and for which tokens are borrowed ahead.
pub const AHEAD: Duration = Duration::from_millis(200);

/// Number of a loan; each question of a host has its own.
pub type LoanNo = u64;

/// Tokens lent to another host.
#[derive(Clone, Debug)]
struct Lent {
    borrower: HostId,
    no: LoanNo,
    tokens: f64,
    /// Until when it counts against the ceiling.
    until: Instant,
}

/// Tokens borrowed from another host.
#[derive(Clone, Debug)]
struct Borrowed {
    lender: HostId,
    no: LoanNo,
    tokens: f64,
    /// Until when it may be spent.
    until: Instant,
}

/// A question that waits for its answer.
#[derive(Clone, Debug)]
struct Asked {
    lender: HostId,
    at: Instant,
}

/// One account's tokens at one host.
#[derive(Debug)]
pub struct Bucket {
    share: Share,
    /// Own tokens; with `lent` at most the share's burst.
    level: f64,
    /// Up to when `level` has been refilled.
    filled: Instant,
    /// Loans that may still be spent elsewhere, in order of their ends.
    lent: VecDeque<Lent>,
    /// Loans that may be spent here, in order of their ends.
    borrowed: Vec<Borrowed>,
    asked: HashMap<LoanNo, Asked>,
    /// Loans of which nothing will be spent any more, by lender.
    finished: HashMap<HostId, Vec<LoanNo>>,
    next_no: LoanNo,
    /// Tokens wanted, fading over [`AHEAD`].
    demand: f64,
    wanted: Instant,
}

impl Bucket {
    /// An empty bucket. `first_no` is random, so that a restarted host's loans
    /// are not taken for those of before.
    pub fn new(share: Share, first_no: LoanNo, now: Instant) -> Self {
        Self {
            share,
            level: 0.0,
            filled: now,
            lent: VecDeque::new(),
            borrowed: Vec::new(),
            asked: HashMap::new(),
            finished: HashMap::new(),
            next_no: first_no,
            demand: 0.0,
            wanted: now,
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
        self.wanted = now;
        self.retake(now)
    }

    /// Takes one token for a request that has been counted as demand.
    pub fn retake(&mut self, now: Instant) -> bool {
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
        self.finish(|loan| loan.tokens <= 0.0);
        true
    }

    /// Tokens that can be spent now.
    pub fn tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.finish(|loan| now >= loan.until);
        self.level + self.borrowed.iter().map(|loan| loan.tokens).sum::<f64>()
    }

    /// Tokens to borrow for `waiting` requests and those expected soon.
    pub fn want(&mut self, waiting: usize, now: Instant) -> f64 {
        let soon = self.demand(now) - self.share.rate.0 * AHEAD.as_secs_f64();
        (waiting as f64 + soon.max(0.0) - self.tokens(now)).max(0.0).ceil()
    }

    /// Begins to ask `lender`; gives the loan's number, and the numbers of that
    /// lender's loans that are over.
    pub fn ask(&mut self, lender: &HostId, now: Instant) -> (LoanNo, Vec<LoanNo>) {
        let no = self.next_no;
        self.next_no = self.next_no.wrapping_add(1);
        self.asked.insert(no, Asked { lender: lender.clone(), at: now });
        (no, self.finished.remove(lender).unwrap_or_default())
    }

    /// Receives a loan. One that was not asked for, was received before or
    /// comes too late is dropped.
    pub fn receive(&mut self, no: LoanNo, tokens: f64, now: Instant) {
        let Some(asked) = self.asked.remove(&no) else { return };
        let until = asked.at + SPENT_WITHIN;
        if now >= until || tokens <= 0.0 {
            return self.finished.entry(asked.lender).or_default().push(no);
        }
        let place = self.borrowed.partition_point(|loan| loan.until <= until);
        self.borrowed.insert(place, Borrowed { lender: asked.lender, no, tokens, until });
    }

    /// Gives a question up: its answer will be dropped.
    pub fn abandon(&mut self, no: LoanNo) {
        if let Some(asked) = self.asked.remove(&no) {
            self.finished.entry(asked.lender).or_default().push(no);
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
        no: LoanNo,
        wanted: f64,
        over: &[LoanNo],
        now: Instant,
    ) -> f64 {
        self.refill(now);
        self.lent.retain(|loan| loan.borrower != *borrower || !over.contains(&loan.no));
        let tokens = self.spare(now).min(wanted).floor();
        if tokens.is_nan() || tokens < 1.0 {
            return 0.0;
        }
        self.level -= tokens;
        let (borrower, until) = (borrower.clone(), now + HELD_FOR);
        self.lent.push_back(Lent { borrower, no, tokens, until });
        tokens
    }

    /// Own tokens that are not expected to be wanted here soon.
    pub fn spare(&mut self, now: Instant) -> f64 {
        self.refill(now);
        let soon = self.demand(now) - self.share.rate.0 * AHEAD.as_secs_f64();
        (self.level - soon.max(0.0)).max(0.0)
    }

    /// How long until this host's own tokens make a whole one.
    pub fn until_next(&mut self, now: Instant) -> Option<Duration> {
        let lacking = (1.0 - self.tokens(now)).max(0.0);
        let rate = self.share.rate.0;
        (rate > 0.0).then(|| Duration::from_secs_f64((lacking / rate).min(3600.0)))
    }

    fn demand(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.wanted);
        self.demand * (-since.as_secs_f64() / AHEAD.as_secs_f64()).exp()
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
        let since = until.saturating_duration_since(self.filled);
        let level = self.level + self.share.rate.0 * since.as_secs_f64();
        self.level = level.min(self.ceiling());
        self.filled = self.filled.max(until);
    }

    fn finish(&mut self, over: impl Fn(&Borrowed) -> bool) {
        let finished = &mut self.finished;
        self.borrowed.retain(|loan| {
            let over = over(loan);
            if over {
                finished.entry(loan.lender.clone()).or_default().push(loan.no);
            }
            !over
        });
    }
}
