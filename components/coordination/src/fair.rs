//! Weighted fair queueing of client accounts into the slots of one server.
//!
//! Start-time fair queueing: each account's requests carry start tags on a
//! common virtual time, and the least tag goes first. An account that sends
//! several times its share only lengthens its own queue.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::AccountId;

/// The least time that a request is counted with, so that none is free.
const MIN_COST: Duration = Duration::from_micros(50);

/// How much a new measurement moves the mean, as one part of so many.
const MEAN_SAMPLES: f64 = 32.0;

/// A request that waits for a slot.
#[derive(Debug)]
struct Queued<T> {
    deadline: Instant,
    item: T,
}

/// The requests of one account.
#[derive(Debug)]
struct Flow<T> {
    weight: f64,
    /// Start tag of the account's next request: what it has used so far, and
    /// no less than the virtual time at which it began to wait.
    start_tag: f64,
    waiting: VecDeque<Queued<T>>,
}

/// A request that leaves the queue for a slot.
#[derive(Debug)]
pub struct Granted<T> {
    /// The account that it runs for.
    pub account: AccountId,
    /// The time that it was counted with.
    pub cost: Duration,
    /// What was queued.
    pub item: T,
}

/// The queue of one server.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Requests that run at once.
    slots: usize,
    running: usize,
    /// Start tag of the last request that left; never falls.
    virtual_time: f64,
    flows: BTreeMap<AccountId, Flow<T>>,
    /// Running mean of the time that a request has its slot.
    mean: f64,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The account that it runs for.
    pub account: AccountId,
    /// The account's share beside others; at least 1.
    pub weight: u32,
    /// When it must be done.
    pub deadline: Instant,
    /// Whether it goes before the account's other requests, because a
    /// transaction that is open holds a connection and perhaps locks.
    pub urgent: bool,
}

/// The queue cannot serve a request before its deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Infeasible {
    /// When the queue will be short enough for such a request.
    pub retry: Duration,
}

impl<T> FairQueue<T> {
    /// A queue into so many slots; `mean` is the first guess of a request's time.
    pub fn new(slots: usize, mean: Duration) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            virtual_time: 0.0,
            flows: BTreeMap::new(),
            mean: mean.as_secs_f64(),
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.waiting.len()).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.flows.values().all(|flow| flow.waiting.is_empty())
    }

    /// Requests that have a slot.
    pub fn running(&self) -> usize {
        self.running
    }

    /// The mean time that a request has its slot.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// How long a new request of the account would wait.
    ///
    /// The accounts that wait share the slots by weight, so the account's own
    /// queue empties at its share of the slots' pace.
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
        let pace = self.slots as f64 / self.mean.max(MIN_COST.as_secs_f64());
        Duration::from_secs_f64((ahead + 1) as f64 / (pace * share))
    }

    /// Queues a request, unless it could not be done before its deadline: that
    /// is said at once, with the time after which the queue is short enough.
    ///
    /// Guards against serving late what its caller has given up: without the
    /// bound a queue beyond saturation grows until nothing is served in time.
    pub fn push(&mut self, ticket: &Ticket, now: Instant, item: T) -> Result<(), (Infeasible, T)> {
        let wait = self.wait(ticket);
        let left = ticket.deadline.saturating_duration_since(now);
        let need = wait + self.mean();
        if need > left {
            let retry = (need - left).max(self.mean());
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
            // An account that was idle saves up nothing.
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

    /// Gives the next request its slot, if one is free.
    pub fn pop(&mut self) -> Option<Granted<T>> {
        if self.running >= self.slots {
            return None;
        }
        let busy = self.flows.iter().filter(|(_, flow)| !flow.waiting.is_empty());
        let (account, _) =
            busy.min_by(|a, b| a.1.start_tag.total_cmp(&b.1.start_tag).then(a.0.cmp(b.0)))?;
        let account = account.clone();
        let cost = self.mean().max(MIN_COST);
        let flow = self.flows.get_mut(&account)?;
        let waiting = flow.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.start_tag += cost.as_secs_f64() / flow.weight;
        self.running += 1;
        Some(Granted { account, cost, item: waiting.item })
    }

    /// Takes back a slot after `took`; the account is charged what it really used.
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

    /// Takes a slot beyond the limit, for a transaction that is already open.
    ///
    /// It may hold locks for which all that run now wait: made to wait for a
    /// slot, it and they would wait for each other until their deadlines. What
    /// runs beyond the limit delays the next that comes by the queue.
    pub fn force(&mut self, account: &AccountId) -> Duration {
        self.running += 1;
        let cost = self.mean().max(MIN_COST);
        if let Some(flow) = self.flows.get_mut(account) {
            flow.start_tag += cost.as_secs_f64() / flow.weight;
        }
        cost
    }

    /// Takes back a slot that was given to a request which no longer wanted it.
    pub fn release_unused(&mut self, account: &AccountId, cost: Duration) {
        self.running = self.running.saturating_sub(1);
        if let Some(flow) = self.flows.get_mut(account) {
            flow.start_tag -= cost.as_secs_f64() / flow.weight;
        }
    }

    /// Takes out all that waits.
    pub fn clear(&mut self) -> Vec<T> {
        let flows = self.flows.values_mut();
        flows.flat_map(|flow| flow.waiting.drain(..).map(|waiting| waiting.item)).collect()
    }

    /// Takes out what can no longer be done in time, with when to come back.
    ///
    /// A server that slows down makes earlier promises void; whoever waits in
    /// vain is told now and not at the deadline.
    pub fn shed(&mut self, now: Instant) -> Vec<(Infeasible, T)> {
        let total: f64 =
            self.flows.values().filter(|f| !f.waiting.is_empty()).map(|f| f.weight).sum();
        let pace = self.slots as f64 / self.mean.max(MIN_COST.as_secs_f64());
        let mean = self.mean();
        let mut out = Vec::new();
        for flow in self.flows.values_mut() {
            let pace = pace * flow.weight / total.max(flow.weight);
            let mut kept = VecDeque::with_capacity(flow.waiting.len());
            for waiting in flow.waiting.drain(..) {
                let wait = Duration::from_secs_f64(kept.len() as f64 / pace);
                let left = waiting.deadline.saturating_duration_since(now);
                if wait >= left {
                    let retry = (wait + mean).saturating_sub(left).max(mean);
                    out.push((Infeasible { retry }, waiting.item));
                } else {
                    kept.push_back(waiting);
                }
            }
            flow.waiting = kept;
        }
        out
    }
}
