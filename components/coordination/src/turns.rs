//! Turns in which the messages of clients are processed.
//!
//! One thread serves all clients, the other hosts and the servers. A client with many messages ahead would
//! occupy it for as long as they last, and the leases and reports of the host would be late. The messages of
//! an account that takes a large part of the thread's time wait for their turns: the total work of those is
//! bounded, and the account and then the client with the least work lately come first.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use crate::AccountId;

/// Work of a message besides that of its bytes, in the bytes whose work is the same.
pub const MESSAGE_COST: usize = 16 << 10;

/// Part of the work of all clients that an account may do without waiting for turns.
const FREE_SHARE: f64 = 0.25;

/// Usage with which a client begins: one that connects anew for each message is not before others.
const NEW_CLIENT_COST: f64 = 4.0 * MESSAGE_COST as f64;

/// Messages that a client may have processed one right after the other.
const MAX_STREAK: u32 = 8;

/// Time without a message after which a streak has ended.
const STREAK_GAP: Duration = Duration::from_millis(5);

/// Work that may be done at once after a pause, as a time at the full rate.
const BURST: Duration = Duration::from_millis(50);

/// Work that was done without a turn or in excess of one, and that is made up for, as such a time.
const MAX_DEBT: Duration = Duration::from_millis(500);

/// Work for which turns are granted before all other tasks run, as such a time. A machine that is slower than
/// its limits state would otherwise do all waiting work first.
const PASS: Duration = Duration::from_millis(4);

/// Number of accounts at which those without recent work are removed.
const MIN_SWEEP_SIZE: usize = 64;

/// Recent work in bytes, of which a part expires continuously: after a second, 0.37 of it is left.
#[derive(Clone, Copy, Debug)]
struct Work {
    cost: f64,
    updated: Instant,
}

impl Work {
    fn add(&mut self, cost: usize, now: Instant) {
        self.cost = self.at(now) + cost as f64;
        self.updated = now;
    }

    fn at(&self, now: Instant) -> f64 {
        self.cost * (-now.saturating_duration_since(self.updated).as_secs_f64()).exp()
    }
}

/// Recent work of one client.
#[derive(Debug)]
pub struct Usage {
    work: Work,
    /// Messages in a row for which the client did not wait.
    streak: u32,
}

impl Usage {
    /// Returns the usage of a new client.
    pub fn new(now: Instant) -> Self {
        Self { work: Work { cost: NEW_CLIENT_COST, updated: now }, streak: 0 }
    }
}

/// Key of a client that waits for its turn: the work of its account and its own in bytes, and a number that
/// makes the key unique.
pub type TurnKey = (u64, u64, u64);

/// Result of a request for a turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// The message may be processed.
    Granted,
    /// The message waits until [`Turns::next`] returns this key.
    Queued(TurnKey),
}

/// Turns of all clients.
#[derive(Debug)]
pub struct Turns {
    /// Work in bytes that may be done in a second.
    rate: f64,
    /// Work that may be done now; negative if more was done than allowed.
    left: f64,
    updated: Instant,
    /// Work for which turns may be granted in the current pass.
    pass: f64,
    /// Work by account; `None` stands for clients without one.
    accounts: HashMap<Option<AccountId>, Work>,
    sweep_size: usize,
    /// Cost of each message that waits.
    waiting: BTreeMap<TurnKey, usize>,
    next_number: u64,
}

impl Turns {
    /// Creates turns for work of `rate` bytes a second.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            left: rate * BURST.as_secs_f64(),
            updated: now,
            pass: rate * PASS.as_secs_f64(),
            accounts: HashMap::new(),
            sweep_size: MIN_SWEEP_SIZE,
            waiting: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Requests a turn for a message or a part of one, of `cost` bytes, of a client of the account.
    pub fn request(
        &mut self,
        account: Option<&AccountId>,
        usage: &mut Usage,
        cost: usize,
        now: Instant,
    ) -> Turn {
        let account_work = self.account_work(account, cost, now);
        if now.saturating_duration_since(usage.work.updated) > STREAK_GAP {
            usage.streak = 0;
        }
        usage.work.add(cost, now);
        self.refill(now);
        let is_small = account_work <= self.rate * FREE_SHARE;
        let is_free = is_small || (self.waiting.is_empty() && self.left > 0.0);
        if is_free && usage.streak < MAX_STREAK {
            usage.streak += 1;
            self.left -= cost as f64;
            return Turn::Granted;
        }
        usage.streak = 0;
        let key = (account_work as u64, usage.work.cost as u64, self.next_number);
        self.next_number += 1;
        self.waiting.insert(key, cost);
        Turn::Queued(key)
    }

    /// Adds work to an account's, and returns the sum.
    fn account_work(&mut self, account: Option<&AccountId>, cost: usize, now: Instant) -> f64 {
        if self.accounts.len() >= self.sweep_size {
            self.accounts.retain(|_, work| work.at(now) >= 1.0);
            self.sweep_size = MIN_SWEEP_SIZE.max(2 * self.accounts.len());
        }
        let new = Work { cost: 0.0, updated: now };
        let work = self.accounts.entry(account.cloned()).or_insert(new);
        work.add(cost, now);
        work.cost
    }

    /// Begins a pass: all other tasks have run since the last one.
    pub fn begin_pass(&mut self) {
        self.pass = self.rate * PASS.as_secs_f64();
    }

    /// Returns the next client whose turn has come; `None` if no client waits or no work may be done now.
    pub fn next(&mut self, now: Instant) -> Option<TurnKey> {
        self.refill(now);
        if self.left <= 0.0 || self.pass <= 0.0 {
            return None;
        }
        let (key, cost) = self.waiting.pop_first()?;
        self.pass -= cost as f64;
        self.left -= cost as f64;
        Some(key)
    }

    /// Removes a client that no longer waits.
    pub fn leave(&mut self, key: TurnKey) {
        self.waiting.remove(&key);
    }

    /// Returns whether no client waits.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let (burst, debt) = (self.rate * BURST.as_secs_f64(), self.rate * MAX_DEBT.as_secs_f64());
        self.left = (self.left.max(-debt) + elapsed * self.rate).min(burst);
        self.updated = now;
    }
}
