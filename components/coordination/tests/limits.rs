//! All hosts together never exceed an account's rate and burst, whatever faults affect messages
//! and hosts.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{
    AccountId, Allotment, Bucket, Burst, HostId, Lenders, Rate, Revision, Share, Shares,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const FRESHNESS_PERIOD: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(1);
const RUN_TIME: Duration = Duration::from_secs(20);
/// Tolerance for rounding errors in sums, in tokens.
const SLACK: f64 = 1e-6;

fn share(rate: f64, burst: f64) -> Share {
    Share { rate: Rate(rate), burst: Burst(burst) }
}

fn account() -> AccountId {
    "baobab".parse().unwrap()
}

enum Body {
    LoanRequest { id: u64, tokens: f64, ended: Vec<u64> },
    Loan { id: u64, tokens: f64, spare: f64 },
    Acknowledged(Revision),
}

struct Message {
    due: Instant,
    from: usize,
    to: usize,
    body: Body,
}

struct Host {
    shares: Shares,
    bucket: Bucket,
    lenders: Lenders,
    /// Index of the adopted revision.
    adopted: usize,
    /// Earliest time at which the host adopts the next revision.
    adopts_at: Instant,
    /// Time until which the host neither receives messages nor serves requests.
    frozen_until: Instant,
}

/// Simulated hosts that serve one account, with random faults from a seed.
struct Fleet {
    rng: StdRng,
    now: Instant,
    names: Vec<HostId>,
    hosts: Vec<Host>,
    messages: Vec<Message>,
    /// All revisions, newest last.
    revisions: Vec<Allotment>,
    /// Time at which majorities had acknowledged each revision; none before.
    acknowledged_at: Vec<Option<Instant>>,
    served: Vec<Instant>,
    /// Whether messages are lost, duplicated and delayed.
    faults: bool,
}

impl Fleet {
    fn new(seed: u64, hosts: usize, contract: Share) -> Self {
        let now = Instant::now();
        let names: Vec<HostId> = (1..=hosts).map(|i| format!("h{i}").parse().unwrap()).collect();
        let host = |name: &HostId| Host {
            shares: Shares::new(name.clone()),
            bucket: Bucket::new(Share::NONE, 0, now),
            lenders: Lenders::default(),
            adopted: 0,
            adopts_at: now,
            frozen_until: now,
        };
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            hosts: names.iter().map(host).collect(),
            names,
            messages: Vec::new(),
            revisions: vec![allotment(0, &[], None)],
            acknowledged_at: vec![Some(now)],
            served: Vec::new(),
            faults: true,
        };
        let all = fleet.names.clone();
        fleet.revisions = vec![allotment(0, &all, Some(contract))];
        for host in &mut fleet.hosts {
            host.shares.begin();
            host.shares.advance(fleet.revisions[0].clone());
            host.bucket = Bucket::new(host.shares.share(&account()), 0, now);
            host.bucket.fill();
        }
        fleet
    }

    /// Creates a revision, which each host adopts after a random delay of its own.
    fn revise(&mut self, roster: &[HostId], contract: Share) {
        let number = self.revisions.len() as u64;
        self.revisions.push(allotment(number, roster, Some(contract)));
        self.acknowledged_at.push(None);
        for host in &mut self.hosts {
            host.adopts_at = self.now + Duration::from_millis(self.rng.random_range(0..1500));
        }
    }

    fn restart(&mut self, i: usize) {
        let shares = Shares::new(self.names[i].clone());
        let first_id = self.rng.random();
        let bucket = Bucket::new(Share::NONE, first_id, self.now);
        let newest = self.revisions.len() - 1;
        let host = &mut self.hosts[i];
        (host.shares, host.bucket, host.adopted) = (shares, bucket, newest);
        host.shares.advance(self.revisions[newest].clone());
        let share = host.shares.share(&account());
        host.bucket.set_share(share, self.now);
        for index in 0..self.acknowledged_at.len() {
            if self.acknowledged_at[index].is_some() {
                self.send(i, i, Body::Acknowledged(Revision(index as u64)));
            }
        }
    }

    fn adopt(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        if self.now < host.adopts_at || host.adopted + 1 == self.revisions.len() {
            return;
        }
        host.adopted = self.revisions.len() - 1;
        host.shares.advance(self.revisions[host.adopted].clone());
        let share = host.shares.share(&account());
        host.bucket.set_share(share, self.now);
    }

    /// Notifies all hosts of the newest revision's acknowledgement, once majorities of its roster
    /// and of the preceding one have adopted it.
    fn acknowledge(&mut self) {
        let newest = self.revisions.len() - 1;
        if self.acknowledged_at[newest].is_some() {
            return;
        }
        let has_adopted = |name: &HostId| {
            let i = self.names.iter().position(|n| n == name).unwrap();
            self.hosts[i].adopted == newest
        };
        let has_majority = |r: &[HostId]| r.iter().filter(|n| has_adopted(n)).count() > r.len() / 2;
        if has_majority(&self.revisions[newest].roster)
            && has_majority(&self.revisions[newest - 1].roster)
        {
            self.acknowledged_at[newest] = Some(self.now);
            for i in 0..self.hosts.len() {
                self.send(i, i, Body::Acknowledged(Revision(newest as u64)));
            }
        }
    }

    /// Returns whether the host may act on its revision: at the latest until the freshness period
    /// after the acknowledgement of a newer one.
    fn is_fresh(&self, i: usize) -> bool {
        let newer = &self.acknowledged_at[self.hosts[i].adopted + 1..];
        newer.iter().flatten().all(|at| self.now < *at + FRESHNESS_PERIOD)
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        let due = self.now + Duration::from_millis(self.rng.random_range(0..30));
        self.messages.push(Message { due, from, to, body });
    }

    /// Sends a message that may be lost, duplicated or delayed.
    fn send_with_faults(&mut self, from: usize, to: usize, body: impl Fn() -> Body) {
        let copies = match self.rng.random_range(0..10) {
            0 if self.faults => 0,
            1 if self.faults => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delayed = self.faults && self.rng.random_range(0..20) == 0;
            let ms = self.rng.random_range(0..if delayed { 900 } else { 5 });
            let due = self.now + Duration::from_millis(ms);
            self.messages.push(Message { due, from, to, body: body() });
        }
    }

    fn step(&mut self, load: &[f64]) {
        self.now += STEP;
        let now = self.now;
        let hosts = &self.hosts;
        let ready = |m: &mut Message| m.due <= now && hosts[m.to].frozen_until <= now;
        let due: Vec<Message> = self.messages.extract_if(.., ready).collect();
        due.into_iter().for_each(|message| self.deliver(message));
        for (i, load) in load.iter().enumerate() {
            if self.hosts[i].frozen_until > now {
                continue;
            }
            self.adopt(i);
            if let Some(at) = self.hosts[i].shares.settle(now) {
                let share = self.hosts[i].shares.share(&account());
                self.hosts[i].bucket.set_share(share, at);
            }
            if self.rng.random_bool(load * STEP.as_secs_f64()) {
                self.request(i);
            }
        }
        self.acknowledge();
    }

    fn deliver(&mut self, message: Message) {
        let (now, i) = (self.now, message.to);
        let fresh = self.is_fresh(i);
        let host = &mut self.hosts[i];
        match message.body {
            Body::Acknowledged(revision) => host.shares.acknowledged(revision, now),
            Body::Loan { id, tokens, spare } => {
                host.bucket.receive(id, tokens, now);
                host.lenders.answered(&self.names[message.from], spare, now);
            }
            Body::LoanRequest { id, tokens, ended } => {
                let borrower = &self.names[message.from];
                let tokens = match fresh {
                    true => host.bucket.lend(borrower, id, tokens, &ended, now),
                    false => 0.0,
                };
                let spare = host.bucket.spare(now);
                self.send_with_faults(i, message.from, || Body::Loan { id, tokens, spare });
            }
        }
    }

    fn request(&mut self, i: usize) {
        let now = self.now;
        if !self.is_fresh(i) {
            return;
        }
        let host = &mut self.hosts[i];
        if host.bucket.take(now) {
            self.served.push(now);
            return;
        }
        let want = host.bucket.want(1, now);
        let newest = host.shares.newest().unwrap();
        let lenders = newest.holders(&account()).into_iter().filter(|id| **id != self.names[i]);
        let typical = newest.typical(&account());
        let chosen = host.lenders.choose(lenders.cloned(), typical, want, now);
        for (lender, tokens) in chosen {
            let (id, ended) = self.hosts[i].bucket.request_loan(&lender, now);
            let to = self.names.iter().position(|name| *name == lender).unwrap();
            self.send_with_faults(i, to, || Body::LoanRequest { id, tokens, ended: ended.clone() });
        }
    }

    /// Asserts that a token bucket with the whole contract could have admitted all served
    /// requests: it is overdrawn exactly if some window contained too many.
    fn assert_within_contract(&self, contract: Share) {
        let Some(mut at) = self.served.first().copied() else { return };
        let mut level = contract.burst.0;
        for served in &self.served {
            level += (*served - at).as_secs_f64() * contract.rate.0;
            level = level.min(contract.burst.0) - 1.0;
            at = *served;
            assert!(
                level > -SLACK,
                "contract exceeded {:?} after the first served request",
                at - self.served[0]
            );
        }
    }
}

fn allotment(number: u64, roster: &[HostId], contract: Option<Share>) -> Allotment {
    let contracts: HashMap<_, _> = contract.map(|share| (account(), share)).into_iter().collect();
    Allotment {
        revision: Revision(number),
        fresh: FRESHNESS_PERIOD,
        roster: roster.to_vec(),
        contracts,
    }
}

/// Returns the requests per second at each host: `total` at a random one, 2 % of it at the others.
fn loads(rng: &mut StdRng, hosts: usize, total: f64) -> Vec<f64> {
    let mut loads = vec![total * 0.02; hosts];
    loads[rng.random_range(0..hosts)] = total;
    loads
}

/// Guards against a loan that is spent twice or too late. Nearly all requests arrive at one host,
/// another one every second, so hosts borrow; messages are lost, duplicated and delayed, and
/// hosts freeze and resume with old loans.
#[test]
fn loans_never_exceed_the_contract() {
    for seed in 0..40 {
        let contract = match seed % 4 {
            0 => share(100.0, 40.0),
            1 => share(50.0, 3.0),
            2 => share(20.0, 1.0),
            _ => share(300.0, 10.0),
        };
        let mut fleet = Fleet::new(seed, 5, contract);
        let mut load = loads(&mut fleet.rng, 5, contract.rate.0 * 3.0);
        for step in 0..RUN_TIME.as_millis() {
            if step % 1000 == 0 {
                load = loads(&mut fleet.rng, 5, contract.rate.0 * 3.0);
            }
            if fleet.rng.random_range(0..2000) == 0 {
                let i = fleet.rng.random_range(0..5);
                let ms = fleet.rng.random_range(10..1500);
                fleet.hosts[i].frozen_until = fleet.now + Duration::from_millis(ms);
            }
            fleet.step(&load);
        }
        assert!(fleet.served.len() > 50, "seed {seed} served {}", fleet.served.len());
        fleet.assert_within_contract(contract);
    }
}

/// Guards against a host that uses its new part while another still uses the old one. Hosts
/// restart, join and leave, and the rate changes, while hosts receive these revisions at
/// different times.
#[test]
fn changes_of_roster_and_rate_never_exceed_the_contract() {
    for seed in 100..140 {
        let largest = share(100.0, if seed % 2 == 0 { 40.0 } else { 12.0 });
        let mut fleet = Fleet::new(seed, 6, largest);
        let load = vec![largest.rate.0; 6];
        for step in 1..RUN_TIME.as_millis() {
            let acknowledged = fleet.acknowledged_at.last().is_some_and(|at| at.is_some());
            if step % 700 == 0 && acknowledged {
                let mut roster = fleet.names.clone();
                let shift = fleet.rng.random_range(0..4);
                roster.rotate_left(shift);
                roster.truncate(fleet.rng.random_range(3..=6));
                let contract = if fleet.rng.random_bool(0.3) { share(60.0, 12.0) } else { largest };
                fleet.revise(&roster, contract);
                for i in 0..2 {
                    fleet.restart(i);
                }
            }
            if fleet.rng.random_range(0..1500) == 0 {
                let i = fleet.rng.random_range(0..6);
                fleet.restart(i);
            }
            fleet.step(&load);
        }
        assert!(fleet.served.len() > 50, "seed {seed} served {}", fleet.served.len());
        fleet.assert_within_contract(largest);
    }
}

/// Guards against refusals while other hosts have spare tokens: all requests arrive at one host
/// and no message is lost. Most of the rate must be served there, even if each host's part of the
/// burst is only two tokens.
#[test]
fn one_host_with_all_requests_serves_most_of_the_rate() {
    for (rate, burst, hosts) in [(200.0, 80.0, 8), (100.0, 16.0, 8), (50.0, 4.0, 5)] {
        let mut fleet = Fleet::new(7, hosts, share(rate, burst));
        fleet.faults = false;
        let mut load = vec![0.0; hosts];
        load[0] = rate * 2.0;
        for _ in 0..RUN_TIME.as_millis() {
            fleet.step(&load);
        }
        let served = fleet.served.len() as f64 / (rate * RUN_TIME.as_secs_f64());
        assert!(
            served > 0.5,
            "{served:.2} of the rate of {rate}/s served by one of {hosts} hosts, burst {burst}"
        );
        println!(
            "{served:.2} of the rate of {rate}/s served by one of {hosts} hosts, burst {burst}"
        );
    }
}
