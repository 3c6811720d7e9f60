//! Rate and burst over all hosts are never exceeded, whatever becomes of the
//! messages and of the hosts.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{
    AccountId, Allotment, Bucket, Burst, HostId, Lenders, Rate, Revision, Share, Shares,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const FRESH: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(1);
const RUN: Duration = Duration::from_secs(20);
/// Rounding of the sums.
const SLACK: f64 = 1e-6;

fn share(rate: f64, burst: f64) -> Share {
    Share { rate: Rate(rate), burst: Burst(burst) }
}

fn account() -> AccountId {
    "baobab".parse().unwrap()
}

enum Body {
    Lend { no: u64, tokens: f64, over: Vec<u64> },
    Lent { no: u64, tokens: f64, spare: f64 },
    Told(Revision),
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
    known: usize,
    /// When it adopts the next revision at the earliest.
    adopts: Instant,
    frozen: Instant,
}

/// Hosts that serve one account, with faults drawn from a seed.
struct Fleet {
    rng: StdRng,
    now: Instant,
    names: Vec<HostId>,
    hosts: Vec<Host>,
    messages: Vec<Message>,
    /// All revisions; the last is the newest.
    revisions: Vec<Allotment>,
    /// When each was told to a majority.
    told: Vec<Option<Instant>>,
    served: Vec<Instant>,
    /// Whether messages are lost, doubled and late.
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
            known: 0,
            adopts: now,
            frozen: now,
        };
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            hosts: names.iter().map(host).collect(),
            names,
            messages: Vec::new(),
            revisions: vec![allotment(0, &[], None)],
            told: vec![Some(now)],
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

    /// A new revision; hosts come to know it at times of their own.
    fn revise(&mut self, roster: &[HostId], contract: Share) {
        let number = self.revisions.len() as u64;
        self.revisions.push(allotment(number, roster, Some(contract)));
        self.told.push(None);
        for host in &mut self.hosts {
            host.adopts = self.now + Duration::from_millis(self.rng.random_range(0..1500));
        }
    }

    fn restart(&mut self, i: usize) {
        let shares = Shares::new(self.names[i].clone());
        let no = self.rng.random();
        let bucket = Bucket::new(Share::NONE, no, self.now);
        let newest = self.revisions.len() - 1;
        let host = &mut self.hosts[i];
        (host.shares, host.bucket, host.known) = (shares, bucket, newest);
        host.shares.advance(self.revisions[newest].clone());
        let share = host.shares.share(&account());
        host.bucket.set_share(share, self.now);
        for known in 0..self.told.len() {
            if self.told[known].is_some() {
                self.send(i, i, Body::Told(Revision(known as u64)));
            }
        }
    }

    fn adopt(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        if self.now < host.adopts || host.known + 1 == self.revisions.len() {
            return;
        }
        host.known = self.revisions.len() - 1;
        host.shares.advance(self.revisions[host.known].clone());
        let share = host.shares.share(&account());
        host.bucket.set_share(share, self.now);
    }

    /// A revision is told when majorities of its roster and of the one before know it.
    fn tell(&mut self) {
        let newest = self.revisions.len() - 1;
        if self.told[newest].is_some() {
            return;
        }
        let knows = |name: &HostId| {
            let i = self.names.iter().position(|n| n == name).unwrap();
            self.hosts[i].known == newest
        };
        let holds = |r: &[HostId]| r.iter().filter(|n| knows(n)).count() > r.len() / 2;
        if holds(&self.revisions[newest].roster) && holds(&self.revisions[newest - 1].roster) {
            self.told[newest] = Some(self.now);
            for i in 0..self.hosts.len() {
                self.send(i, i, Body::Told(Revision(newest as u64)));
            }
        }
    }

    /// The latest that freshness may last: until some time after a newer one was told.
    fn is_fresh(&self, i: usize) -> bool {
        let newer = &self.told[self.hosts[i].known + 1..];
        newer.iter().flatten().all(|told| self.now < *told + FRESH)
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        let due = self.now + Duration::from_millis(self.rng.random_range(0..30));
        self.messages.push(Message { due, from, to, body });
    }

    /// Sends a message that may be lost, doubled or late.
    fn send_badly(&mut self, from: usize, to: usize, body: impl Fn() -> Body) {
        let copies = match self.rng.random_range(0..10) {
            0 if self.faults => 0,
            1 if self.faults => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = self.faults && self.rng.random_range(0..20) == 0;
            let ms = self.rng.random_range(0..if late { 900 } else { 5 });
            let due = self.now + Duration::from_millis(ms);
            self.messages.push(Message { due, from, to, body: body() });
        }
    }

    fn step(&mut self, load: &[f64]) {
        self.now += STEP;
        let now = self.now;
        let hosts = &self.hosts;
        let ready = |m: &mut Message| m.due <= now && hosts[m.to].frozen <= now;
        let due: Vec<Message> = self.messages.extract_if(.., ready).collect();
        due.into_iter().for_each(|message| self.deliver(message));
        for (i, load) in load.iter().enumerate() {
            if self.hosts[i].frozen > now {
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
        self.tell();
    }

    fn deliver(&mut self, message: Message) {
        let (now, i) = (self.now, message.to);
        let fresh = self.is_fresh(i);
        let host = &mut self.hosts[i];
        match message.body {
            Body::Told(revision) => host.shares.acknowledged(revision, now),
            Body::Lent { no, tokens, spare } => {
                host.bucket.receive(no, tokens, now);
                host.lenders.answered(&self.names[message.from], spare, now);
            }
            Body::Lend { no, tokens, over } => {
                let borrower = &self.names[message.from];
                let tokens = match fresh {
                    true => host.bucket.lend(borrower, no, tokens, &over, now),
                    false => 0.0,
                };
                let spare = host.bucket.spare(now);
                self.send_badly(i, message.from, || Body::Lent { no, tokens, spare });
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
            let (no, over) = self.hosts[i].bucket.ask(&lender, now);
            let to = self.names.iter().position(|name| *name == lender).unwrap();
            self.send_badly(i, to, || Body::Lend { no, tokens, over: over.clone() });
        }
    }

    /// A token bucket of the whole contract that every served request came
    /// from: it runs empty exactly when some window held too many.
    fn check(&self, contract: Share) {
        let Some(mut at) = self.served.first().copied() else { return };
        let mut level = contract.burst.0;
        for served in &self.served {
            level += (*served - at).as_secs_f64() * contract.rate.0;
            level = level.min(contract.burst.0) - 1.0;
            at = *served;
            assert!(level > -SLACK, "too many were served by {:?}", at - self.served[0]);
        }
    }
}

fn allotment(number: u64, roster: &[HostId], contract: Option<Share>) -> Allotment {
    let contracts: HashMap<_, _> = contract.map(|share| (account(), share)).into_iter().collect();
    Allotment { revision: Revision(number), fresh: FRESH, roster: roster.to_vec(), contracts }
}

fn loads(rng: &mut StdRng, hosts: usize, total: f64) -> Vec<f64> {
    let mut loads = vec![total * 0.02; hosts];
    loads[rng.random_range(0..hosts)] = total;
    loads
}

/// One host gets nearly all requests, and it is another one every second. Hosts
/// borrow, and messages are lost, doubled and late; hosts freeze and wake with
/// old loans in hand. A loan spent twice or too late would serve too many.
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
        for step in 0..RUN.as_millis() {
            if step % 1000 == 0 {
                load = loads(&mut fleet.rng, 5, contract.rate.0 * 3.0);
            }
            if fleet.rng.random_range(0..2000) == 0 {
                let i = fleet.rng.random_range(0..5);
                let ms = fleet.rng.random_range(10..1500);
                fleet.hosts[i].frozen = fleet.now + Duration::from_millis(ms);
            }
            fleet.step(&load);
        }
        assert!(fleet.served.len() > 50, "seed {seed} served {}", fleet.served.len());
        fleet.check(contract);
    }
}

/// Hosts restart, join and leave, and the rate changes, while hosts know of it
/// at different times. A host that used its new part while another still used
/// the old one would serve too many.
#[test]
fn changes_of_the_roster_and_the_rate_never_exceed_the_contract() {
    for seed in 100..140 {
        let most = share(100.0, if seed % 2 == 0 { 40.0 } else { 12.0 });
        let mut fleet = Fleet::new(seed, 6, most);
        let load = vec![most.rate.0; 6];
        for step in 1..RUN.as_millis() {
            let settled = fleet.told.last().is_some_and(|told| told.is_some());
            if step % 700 == 0 && settled {
                let mut roster = fleet.names.clone();
                let out = fleet.rng.random_range(0..4);
                roster.rotate_left(out);
                roster.truncate(fleet.rng.random_range(3..=6));
                let contract = if fleet.rng.random_bool(0.3) { share(60.0, 12.0) } else { most };
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
        fleet.check(most);
    }
}

/// All requests come to one host and no message is lost: nearly the whole rate
/// must be served there, also when each host's part holds but two tokens.
#[test]
fn one_host_can_serve_nearly_the_whole_rate() {
    for (rate, burst, hosts) in [(200.0, 80.0, 8), (100.0, 16.0, 8), (50.0, 4.0, 5)] {
        let mut fleet = Fleet::new(7, hosts, share(rate, burst));
        fleet.faults = false;
        let mut load = vec![0.0; hosts];
        load[0] = rate * 2.0;
        for _ in 0..RUN.as_millis() {
            fleet.step(&load);
        }
        let served = fleet.served.len() as f64 / (rate * RUN.as_secs_f64());
        assert!(served > 0.5, "of {rate}/s burst {burst} over {hosts} hosts: {served:.2}");
        println!("{rate}/s burst {burst} over {hosts} hosts, all at one: {served:.2} of the rate");
    }
}
