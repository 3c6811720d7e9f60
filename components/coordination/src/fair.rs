//! Weighted fair queueing of client accounts for the slots of one server.
//!
//! Start-time fair queueing: the requests of each account carry start tags on a shared
//! virtual time, and the request with the smallest tag is granted next. An account that
//! sends several times its share only lengthens its own queue.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::AccountId;

/// Minimum time charged for a request, so that no request is free.
const MIN_COST: Duration = Duration::from_micros(50);

/// Smoothing of the mean slot time: inverse of the weight of each new slot time.
const MEAN_SAMPLES: f64 = 32.0;

/// A request that waits for a slot.
#[derive(Debug)]
struct Queued<T> {
    deadline: Instant,
    item: T,
}

/// Queue and virtual-time accounting of one account.
#[derive(Debug)]
struct Flow<T> {
    weight: f64,
    /// Start tag of the account's next request, in seconds of virtual time: the weighted
    /// usage charged so far, and never less than the virtual time at which the account's
    /// queue last became non-empty.
    start_tag: f64,
    waiting: VecDeque<Queued<T>>,
}

/// A request that was granted a slot.
#[derive(Debug)]
pub struct Granted<T> {
    /// Account that the request runs for.
    pub account: AccountId,
    /// Slot time charged in advance; [`FairQueue::release`] corrects it to the time used.
    pub cost: Duration,
    /// Item passed to [`FairQueue::push`].
    pub item: T,
}

/// Fair queue for the slots of one server.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Maximum number of requests that run at the same time.
    slots: usize,
    /// Requests that hold a slot; may exceed `slots` by forced requests.
    running: usize,
    /// Largest start tag granted so far, in seconds; never decreases.
    virtual_time: f64,
    flows: BTreeMap<AccountId, Flow<T>>,
    /// Exponential moving mean of the time that a request holds its slot, in seconds.
    mean: f64,
}

/// Scheduling parameters of a request.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Account that the request runs for.
    pub account: AccountId,
    /// Weight of the account relative to other accounts; 0 counts as 1.
    pub weight: u32,
    /// Time at which the request must be done.
    pub deadline: Instant,
    /// Whether the request precedes the account's other requests, because its open
    /// transaction holds a connection and possibly locks.
    pub urgent: bool,
}

/// Error: the queue cannot serve a request before its deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Infeasible {
    /// Time after which the queue is expected to be short enough for such a request.
    pub retry: Duration,
}

impl<T> FairQueue<T> {
    /// Creates a queue for `slots` slots (at least 1); `mean` is the initial estimate of
    /// the time that a request holds its slot.
    pub fn new(slots: usize, mean: Duration) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            virtual_time: 0.0,
            flows: BTreeMap::new(),
            mean: mean.as_secs_f64(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.waiting.len()).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.flows.values().all(|flow| flow.waiting.is_empty())
    }

    /// Returns the number of requests that hold a slot, forced requests included.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the mean time that a request holds its slot.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Estimates the wait of a new request for a slot; zero if a slot is free and the queue is
    /// empty. An urgent request precedes the account's queue.
    ///
    /// Slots are shared by weight among the accounts with waiting requests, so the
    /// account's own queue drains at its share of the throughput of all slots.
    pub fn wait(&self, ticket: &Ticket) -> Duration {
        if self.running < self.slots && self.is_empty() {
            return Duration::ZERO;
        }
        let others: f64 = self
            .flows
            .iter()
            .filter(|(account, flow)| **account != ticket.account && !flow.waiting.is_empty())
            .map(|(_, flow)| flow.weight)
            .sum();
        let weight = f64::from(ticket.weight.max(1));
        let share = weight / (weight + others);
        let ahead = match self.flows.get(&ticket.account) {
            Some(flow) if !ticket.urgent => flow.waiting.len(),
            _ => 0,
        };
        let throughput = self.slots as f64 / self.mean.max(MIN_COST.as_secs_f64());
        Duration::from_secs_f64((ahead + 1) as f64 / (throughput * share))
    }

    /// Queues a request, or returns its item with a retry delay if the request could not be
    /// done before its deadline.
    ///
    /// Guards against serving requests after their callers have timed out: without this
    /// bound the queue of a saturated server grows until no request is served in time.
    pub fn push(&mut self, ticket: &Ticket, now: Instant, item: T) -> Result<(), (Infeasible, T)> {
        let wait = self.wait(ticket);
        let remaining = ticket.deadline.saturating_duration_since(now);
        let required = wait + self.mean();
        if required > remaining {
            let retry = (required - remaining).max(self.mean());
            return Err((Infeasible { retry }, item));
        }
        let virtual_time = self.virtual_time;
        let weight = f64::from(ticket.weight.max(1));
        let flow = self.flows.entry(ticket.account.clone()).or_insert_with(|| Flow {
            weight,
            start_tag: virtual_time,
            waiting: VecDeque::new(),
        });
        flow.weight = weight;
        if flow.waiting.is_empty() {
            // An account earns no credit while it has no waiting requests.
            flow.start_tag = flow.start_tag.max(virtual_time);
        }
        let waiting = Queued { deadline: ticket.deadline, item };
        if ticket.urgent {
            flow.waiting.push_front(waiting);
        } else {
            flow.waiting.push_back(waiting);
        }
        Ok(())
    }

    /// Grants a slot to the next request; `None` if no slot is free or no request waits.
    pub fn pop(&mut self) -> Option<Granted<T>> {
        if self.running >= self.slots {
            return None;
        }
        let backlogged = self.flows.iter().filter(|(_, flow)| !flow.waiting.is_empty());
        let (account, _) =
            backlogged.min_by(|a, b| a.1.start_tag.total_cmp(&b.1.start_tag).then(a.0.cmp(b.0)))?;
        let account = account.clone();
        let cost = self.mean().max(MIN_COST);
        let flow = self.flows.get_mut(&account)?;
        let waiting = flow.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.start_tag += cost.as_secs_f64() / flow.weight;
        self.running += 1;
        Some(Granted { account, cost, item: waiting.item })
    }

    /// Releases a slot that was held for `took`, and corrects the account's charge from
    /// `cost` to `took`.
    pub fn release(&mut self, account: &AccountId, cost: Duration, took: Duration) {
        self.running = self.running.saturating_sub(1);
        self.mean += (took.as_secs_f64() - self.mean) / MEAN_SAMPLES;
        let virtual_time = self.virtual_time;
        if let Some(flow) = self.flows.get_mut(account) {
            flow.start_tag += (took.as_secs_f64() - cost.as_secs_f64()) / flow.weight;
            if flow.waiting.is_empty() && flow.start_tag <= virtual_time {
                self.flows.remove(account);
            }
        }
    }

    /// Takes a slot, even above the limit, for a transaction that is already open; returns
    /// the cost, which is not charged to an account without recent requests in the queue.
    ///
    /// The transaction may hold locks that all running requests wait for. If it waited for
    /// a slot, both would block each other until their deadlines. A slot above the limit
    /// delays the next request that is granted from the queue.
    pub fn force(&mut self, account: &AccountId) -> Duration {
        self.running += 1;
        let cost = self.mean().max(MIN_COST);
        if let Some(flow) = self.flows.get_mut(account) {
            flow.start_tag += cost.as_secs_f64() / flow.weight;
        }
        cost
    }

    /// Releases a slot that its request did not use, and refunds the cost.
    pub fn release_unused(&mut self, account: &AccountId, cost: Duration) {
        self.running = self.running.saturating_sub(1);
        if let Some(flow) = self.flows.get_mut(account) {
            flow.start_tag -= cost.as_secs_f64() / flow.weight;
        }
    }

    /// Removes and returns all waiting requests.
    pub fn clear(&mut self) -> Vec<T> {
        let flows = self.flows.values_mut();
        flows.flat_map(|flow| flow.waiting.drain(..).map(|waiting| waiting.item)).collect()
    }

    /// Removes and returns the waiting requests that can no longer be done in time, each
    /// with its retry delay.
    ///
    /// When a server slows down, the estimates made in [`push`](Self::push) no longer hold;
    /// affected requests are rejected early instead of at their deadlines.
    pub fn shed(&mut self, now: Instant) -> Vec<(Infeasible, T)> {
        let total: f64 =
            self.flows.values().filter(|f| !f.waiting.is_empty()).map(|f| f.weight).sum();
        let throughput = self.slots as f64 / self.mean.max(MIN_COST.as_secs_f64());
        let mean = self.mean();
        let mut rejected = Vec::new();
        for flow in self.flows.values_mut() {
            let throughput = throughput * flow.weight / total.max(flow.weight);
            let mut kept = VecDeque::with_capacity(flow.waiting.len());
            for waiting in flow.waiting.drain(..) {
                let wait = Duration::from_secs_f64(kept.len() as f64 / throughput);
                let remaining = waiting.deadline.saturating_duration_since(now);
                if wait >= remaining {
                    let retry = (wait + mean).saturating_sub(remaining).max(mean);
                    rejected.push((Infeasible { retry }, waiting.item));
                } else {
                    kept.push_back(waiting);
                }
            }
            flow.waiting = kept;
        }
        rejected
    }
}
