//! Contact with the fleet, without which a host uses no leader, and the wait of a failover for it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use bergamottrack_coordination::{
    GroupId, HostId, Term,
    contact::{self, CONTACT_TTL, Contact, MAX_ROWS},
    view::{
        LEASE_MARGIN, LEASE_TTL, Leadership, LeaseRelease, LocalView, Member, RecordedSet,
        Versioned, View,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const DOMAINS: [&str; 3] = ["north", "east", "south"];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn id(n: usize) -> HostId {
    format!("host-{n:02}").parse().unwrap()
}

fn group() -> GroupId {
    "bookings".parse().unwrap()
}

fn member(n: usize) -> Member {
    Member {
        peer: "192.0.2.1:7000".parse().unwrap(),
        domain: DOMAINS[n % DOMAINS.len()].parse().unwrap(),
        row_hash: 1,
        left: None,
        released: 0,
        power: 250,
        contact: true,
    }
}

fn steady(term: u64) -> Leadership {
    Leadership::Steady {
        leader: format!("i-{term}").parse().unwrap(),
        term: Term(term),
        recorded: RecordedSet::default(),
    }
}

fn moving(holder: usize, since: Duration) -> Leadership {
    Leadership::Moving {
        from: None,
        holder: id(holder),
        since,
        planned: false,
        term: Term(1),
        recorded: RecordedSet::default(),
    }
}

fn view(version: u64, hosts: usize) -> View {
    let members = (0..hosts).map(|n| (id(n), Versioned { version: 1, value: member(n) }));
    let groups = [(group(), Versioned { version: 1, value: steady(1) })];
    View {
        version,
        clock: ms(version),
        members: members.collect(),
        groups: groups.into(),
        ..View::default()
    }
}

/// Guards against callers that notice an outage of the store: the hosts answer each other, so they use
/// leaders for the whole lease.
#[test]
fn host_answered_by_a_majority_uses_leaders_for_its_whole_lease() {
    let start = Instant::now();
    let mut local = LocalView::new(id(0), 1);
    local.replace(view(5, 6), start);
    for beat in 0..20 {
        let now = start + ms(400 * beat);
        (1..4).for_each(|n| local.note_contact(&id(n), now, None));
        assert_eq!(local.leased(now + ms(399)), now + ms(399) < start + LEASE_TTL);
    }
}

/// Guards against a host that reads at a former leader while it is cut off from the fleet: answers of
/// less than a majority, itself included, do not count.
#[test]
fn host_without_a_majority_stops_when_its_contact_expires() {
    let start = Instant::now();
    let mut local = LocalView::new(id(0), 1);
    local.replace(view(5, 6), start);
    for beat in 0..8 {
        (1..3).for_each(|n| local.note_contact(&id(n), start + ms(400 * beat), None));
    }
    assert!(local.leased(start + CONTACT_TTL - ms(1)));
    assert!(!local.leased(start + CONTACT_TTL));
    assert_eq!(local.lease_expiry(start + ms(10)), Some(start + CONTACT_TTL));
}

/// Guards against a hub that passes on contact which it has lost itself, and against a host that is
/// no witness doing so.
#[test]
fn contact_through_a_witness_is_as_old_as_the_contact_of_the_witness() {
    let start = Instant::now();
    let mut contact = Contact::default();
    contact.set_witnesses(&id(9), (0..6).map(id).collect());
    contact.note(&id(8), start + ms(900), Some(ms(0)));
    assert_eq!(contact.last(start + ms(900)), None);
    contact.note(&id(1), start + ms(900), Some(ms(300)));
    assert_eq!(contact.last(start + ms(900)), Some(start + ms(600)));
    contact.note(&id(1), start + ms(1300), Some(ms(800)));
    assert_eq!(contact.last(start + ms(1300)), Some(start + ms(600)));
}

/// Guards against contact by the answer of a host whose newer rows do not fit into it.
#[test]
fn answer_contains_all_newer_rows_or_gives_no_contact() {
    let mut local = LocalView::new(id(0), 1);
    let mut view = view(5, 3);
    for n in 0..=MAX_ROWS as u64 {
        let row = Versioned { version: 2 + n, value: steady(1) };
        view.groups.insert(format!("g{n}").parse().unwrap(), row);
    }
    local.replace(View { version: 200, ..view }, Instant::now());
    assert_eq!(local.rows_since(1), None);
    assert_eq!(local.rows_since(2).unwrap().len(), MAX_ROWS);
    assert_eq!(local.rows_since(200), Some(Vec::new()));
}

/// Guards against a failover that waits for a whole lease beside a host that has crashed, and against
/// one that does not wait for a host that refuses connections while it still reaches the leader.
#[test]
fn failover_waits_for_the_contact_of_an_unreachable_host() {
    let now = Instant::now();
    let mut release = LeaseRelease::new(&view(7, 6), &id(0), 7, now);
    (1..5).for_each(|n| assert!(release.mark_released(&id(n), now + ms(10 * n as u64))));
    // The other three hosts are no majority once two have answered.
    let cut_off = now + ms(20) + CONTACT_TTL + LEASE_MARGIN;
    assert!(!release.is_over(cut_off - ms(1)));
    assert!(release.is_over(cut_off));
    assert!(release.mark_released(&id(5), now + ms(50)));
    assert!(release.is_over(now + ms(50)));
}

/// Guards against a promotion while hosts that lack the intent are a majority and keep each other in
/// contact.
#[test]
fn failover_waits_for_the_whole_lease_of_a_majority_without_the_intent() {
    let now = Instant::now();
    let mut release = LeaseRelease::new(&view(7, 6), &id(0), 7, now);
    assert!(release.mark_released(&id(1), now));
    assert!(!release.is_over(now + LEASE_TTL));
    assert!(release.is_over(now + LEASE_TTL + LEASE_MARGIN));
}

/// Guards against a shorter wait for a host of an earlier build, which uses leaders for its whole
/// lease whether it has contact or not.
#[test]
fn failover_waits_for_the_whole_lease_of_a_host_without_contact() {
    let now = Instant::now();
    let mut view = view(7, 6);
    view.members.get_mut(&id(5)).unwrap().value.contact = false;
    let mut release = LeaseRelease::new(&view, &id(0), 7, now);
    (1..5).for_each(|n| assert!(release.mark_released(&id(n), now)));
    assert!(!release.is_over(now + LEASE_TTL));
    assert!(release.is_over(now + LEASE_TTL + LEASE_MARGIN));
}

/// Guards against a majority of hosts that have just joined: a host with a valid lease on the view
/// from before counts a majority of fewer witnesses.
#[test]
fn hosts_that_joined_within_a_lease_complete_no_majority() {
    let now = Instant::now();
    let mut view = view(20, 9);
    (3..9).for_each(|n| view.members.get_mut(&id(n)).unwrap().version = 19);
    let mut release = LeaseRelease::new(&view, &id(0), 10, now);
    (3..9).for_each(|n| assert!(release.mark_released(&id(n), now)));
    assert!(!release.is_over(now + LEASE_TTL));
    assert!(release.mark_released(&id(1), now));
    assert!(release.is_over(now + CONTACT_TTL + LEASE_MARGIN));
}

/// Guards against versions that count as older than a lease too soon, or never.
#[test]
fn version_is_settled_after_the_longest_lease() {
    let start = Instant::now();
    let mut history = contact::VersionHistory::default();
    let longest = LEASE_TTL + LEASE_MARGIN;
    history.note(4, start);
    history.note(9, start + ms(3000));
    assert_eq!(history.settled(start + longest - ms(1)), 0);
    assert_eq!(history.settled(start + longest), 4);
    history.note(12, start + ms(9000));
    assert_eq!(history.settled(start + longest + ms(3000)), 9);
}

/// Guards against a promotion beside a host that uses the former leader: the host received the intent of
/// another group alone, and its release of that one counted for all intents up to its version.
#[test]
fn release_is_published_only_once_all_intents_up_to_it_are_released() {
    let start = Instant::now();
    let other: GroupId = "payments".parse().unwrap();
    let mut host = LocalView::new(id(5), 1);
    host.replace(view(30, 6), start);
    host.replace_group(&other, Versioned { version: 35, value: moving(2, ms(35)) });
    let released = |ours: u64| {
        let other = other.clone();
        move |id: &GroupId| if *id == other { 35 } else { ours }
    };
    assert!(!host.has_released(35, released(0)), "an intent up to 35 may be missing");
    let mut newer = view(36, 6);
    newer.groups.insert(group(), Versioned { version: 31, value: moving(1, ms(31)) });
    newer.groups.insert(other.clone(), Versioned { version: 35, value: moving(2, ms(35)) });
    host.replace(newer, start);
    assert!(!host.has_released(35, released(0)), "intent 31 is not released");
    assert!(host.has_released(35, released(31)));
}

/// Guards against contact by a witness whose view is older than any lease: the quorum of a failover
/// does not cover it.
#[test]
fn host_without_a_lease_passes_on_no_contact() {
    let start = Instant::now();
    let mut alone = LocalView::new(id(0), 1);
    alone.replace(view(1, 1), start);
    assert_eq!(alone.relayed_age(start + ms(100)), Some(ms(0)));
    let later = start + LEASE_TTL;
    assert_eq!(alone.contact_age(later), Some(ms(0)));
    assert_eq!(alone.relayed_age(later), None);
}

/// Guards against failovers that wait for a whole lease for seconds after hosts were lost, because the
/// lost hosts were evicted.
#[test]
fn eviction_of_lost_hosts_does_not_lengthen_a_failover() {
    let now = Instant::now();
    let is_short = |view: &View| {
        let mut release = LeaseRelease::new(view, &id(0), 7, now);
        for n in 1..5 {
            release.mark_released(&id(n), now);
        }
        release.is_over(now + CONTACT_TTL + LEASE_MARGIN)
    };
    let mut lost = view(7, 8);
    assert!(is_short(&lost));
    for n in 5..8 {
        let value = Member { left: Some(ms(9)), ..member(n) };
        lost.members.insert(id(n), Versioned { version: 9, value });
    }
    assert!(is_short(&View { version: 9, ..lost }));
}

/// Message between two hosts of the model.
enum Message {
    Heartbeat {
        since: u64,
        sent_at: Instant,
    },
    Answer {
        rows: Vec<(GroupId, Versioned<Leadership>)>,
        age: Option<Duration>,
        sent_at: Instant,
    },
    /// View with the latest time at which it was proven to be the newest.
    View(Box<View>, Instant),
}

struct Host {
    local: LocalView,
    /// Time at which the process runs again; later than the current time while it is suspended.
    runs_at: Instant,
    beat_at: Instant,
    read_at: Instant,
    reaches_store: bool,
    /// Time at which the release of the newest intent is written to the store.
    publish_at: Option<(u64, Instant)>,
}

/// Fleet with a store, in steps of 20 ms, without a network.
struct Model {
    random: StdRng,
    start: Instant,
    now: Instant,
    store: View,
    hosts: BTreeMap<usize, Host>,
    /// Pairs of sender and receiver between which messages are lost.
    cut: BTreeSet<(usize, usize)>,
    messages: Vec<(Instant, usize, usize, Message)>,
    next: usize,
}

impl Model {
    fn new(seed: u64, hosts: usize) -> Self {
        let start = Instant::now();
        let mut model = Self {
            random: StdRng::seed_from_u64(seed),
            start,
            now: start,
            store: view(1, hosts),
            hosts: BTreeMap::new(),
            cut: BTreeSet::new(),
            messages: Vec::new(),
            next: hosts,
        };
        (0..hosts).for_each(|n| model.start_host(n));
        model
    }

    fn start_host(&mut self, n: usize) {
        let mut local = LocalView::new(id(n), 1);
        local.replace(self.read(), self.now);
        local.note_version(self.now);
        let phase = ms(self.random.random_range(0..400));
        self.hosts.insert(
            n,
            Host {
                local,
                runs_at: self.now,
                beat_at: self.now + phase,
                read_at: self.now + phase,
                reaches_store: true,
                publish_at: None,
            },
        );
    }

    fn read(&mut self) -> View {
        self.store.clock = self.now - self.start;
        self.store.clone()
    }

    fn write(&mut self, change: impl FnOnce(&mut View, u64)) -> u64 {
        self.store.version += 1;
        let version = self.store.version;
        change(&mut self.store, version);
        version
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let at = self.now + ms(self.random.random_range(0..120));
        self.messages.push((at, from, to, message));
    }

    fn any_host(&mut self) -> usize {
        let hosts: Vec<_> = self.hosts.keys().copied().collect();
        hosts[self.random.random_range(0..hosts.len())]
    }

    /// Disturbs links, hosts and the membership.
    fn disturb(&mut self) {
        let (n, now) = (self.any_host(), self.now);
        match self.random.random_range(0..12) {
            0 | 1 => self.cut.clear(),
            2 | 3 => {
                // Some hosts are cut off from all others, in both directions or one.
                let count = self.random.random_range(1..=self.hosts.len() / 2);
                let side: BTreeSet<_> = (0..count).map(|_| self.any_host()).collect();
                let one_way = self.random.random_bool(0.3);
                let with_store = self.random.random_bool(0.5);
                let hosts: Vec<_> = self.hosts.keys().copied().collect();
                for (a, b) in side.iter().flat_map(|a| hosts.iter().map(move |b| (*a, *b))) {
                    if !side.contains(&b) {
                        self.cut.insert((a, b));
                        if !one_way {
                            self.cut.insert((b, a));
                        }
                    }
                }
                for host in side {
                    self.hosts.get_mut(&host).unwrap().reaches_store = with_store;
                }
            }
            4 => self.hosts.values_mut().for_each(|host| host.reaches_store = true),
            5 => self.hosts.values_mut().for_each(|host| host.reaches_store = false),
            6 | 7 => {
                let pause = ms(self.random.random_range(100..6000));
                self.hosts.get_mut(&n).unwrap().runs_at = now + pause;
            }
            8 => self.start_host(n),
            9 if self.hosts.len() < 14 => {
                let new = self.next;
                self.next += 1;
                self.write(|store, version| {
                    store.members.insert(id(new), Versioned { version, value: member(new) });
                });
                self.start_host(new);
            }
            10 if self.hosts.len() > 4 => {
                self.hosts.remove(&n);
                self.write(|store, _| drop(store.members.remove(&id(n))));
            }
            11 => {
                let clock = now - self.start;
                self.write(|store, version| {
                    if let Some(row) = store.members.get_mut(&id(n)) {
                        row.version = version;
                        row.value.left.get_or_insert(clock);
                    }
                });
            }
            _ => {}
        }
    }

    /// Applies a row at a host, which then writes its release to the store after a while.
    fn apply(&mut self, n: usize, row: Versioned<Leadership>) {
        let host = self.hosts.get_mut(&n).unwrap();
        if host.local.replace_group(&group(), row.clone()) {
            host.publish_at = Some((row.version, self.now + ms(400)));
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        if self.cut.contains(&(from, to)) || !self.hosts.contains_key(&to) {
            return;
        }
        let host = self.hosts.get_mut(&to).unwrap();
        match message {
            Message::Heartbeat { since, sent_at } => {
                let rows = host.local.rows_since(since).unwrap();
                let age = host.local.relayed_age(self.now);
                let confirmed = host.local.age(self.now).map(|age| self.now - age);
                let known = host.local.view().clone();
                self.send(to, from, Message::Answer { rows, age, sent_at });
                if let Some(confirmed) = confirmed.filter(|_| self.random.random_bool(0.1)) {
                    self.send(to, from, Message::View(Box::new(known), confirmed));
                }
            }
            Message::Answer { rows, age, sent_at } => {
                for (_, row) in rows {
                    self.apply(to, row);
                }
                let host = self.hosts.get_mut(&to).unwrap();
                host.local.note_contact(&id(from), sent_at, age);
            }
            Message::View(view, confirmed) => {
                host.local.renew(view.stamp(), view.clock, confirmed);
                host.local.replace(*view, confirmed);
                host.local.note_version(self.now);
            }
        }
    }

    fn step(&mut self) {
        self.now += ms(20);
        if self.random.random_bool(0.02) {
            self.disturb();
        }
        let now = self.now;
        let hosts = &self.hosts;
        let is_due = |(at, _, to, _): &(Instant, usize, usize, Message)| {
            *at <= now && hosts.get(to).is_none_or(|host| host.runs_at <= now)
        };
        let messages = std::mem::take(&mut self.messages);
        let (due, later): (Vec<_>, Vec<_>) = messages.into_iter().partition(is_due);
        self.messages = later;
        for (_, from, to, message) in due {
            self.deliver(from, to, message);
        }
        let running = self.hosts.iter().filter(|(_, host)| host.runs_at <= now);
        for n in running.map(|(n, _)| *n).collect::<Vec<_>>() {
            self.run_host(n);
        }
    }

    fn run_host(&mut self, n: usize) {
        let now = self.now;
        let others: Vec<_> = self.hosts.keys().copied().filter(|other| *other != n).collect();
        // A host sends its heartbeats to its hub alone, or to all hosts.
        let hub = others[n % others.len()];
        let host = self.hosts.get_mut(&n).unwrap();
        let since = host.local.view().version;
        let lacks_contact = host.local.contact_age(now).is_none_or(|age| age > ms(1000));
        if host.beat_at <= now {
            host.beat_at = now + ms(400);
            let to_all = n.is_multiple_of(2) || lacks_contact;
            for other in others.into_iter().filter(|other| to_all || *other == hub) {
                self.send(n, other, Message::Heartbeat { since, sent_at: now });
            }
        }
        let host = &self.hosts[&n];
        if host.reaches_store && (host.read_at <= now || lacks_contact) {
            let view = self.read();
            let host = self.hosts.get_mut(&n).unwrap();
            host.read_at = now + ms(2400);
            host.local.replace(view, now);
            host.local.note_version(now);
            let row = host.local.leadership(&group()).cloned().unwrap();
            if matches!(row.value, Leadership::Moving { .. }) && host.publish_at.is_none() {
                host.publish_at = Some((row.version, now + ms(400)));
            }
        }
        let host = self.hosts.get_mut(&n).unwrap();
        if let Some((released, _)) = host.publish_at.take_if(|(_, at)| *at <= now)
            && host.reaches_store
        {
            self.write(|store, version| {
                if let Some(row) = store.members.get_mut(&id(n)) {
                    row.version = version;
                    row.value.released = released;
                }
            });
        }
    }

    /// Runs a failover on a host that reaches the store, until another server may be promoted.
    /// Returns the version of the intent and whether the failover ended before every lease expired;
    /// `None` if no host can run it.
    fn fail_over(&mut self) -> Option<(u64, bool)> {
        let now = self.now;
        let able = |(_, host): &(&usize, &Host)| {
            host.reaches_store && host.runs_at <= now && host.local.leased(now)
        };
        let holder = *self.hosts.iter().filter(able).map(|(n, _)| n).next()?;
        let since = now - self.start;
        let intent = self.write(|store, version| {
            let value = moving(holder, since);
            store.groups.insert(group(), Versioned { version, value });
        });
        let view = self.read();
        let row = view.groups[&group()].clone();
        let local = &mut self.hosts.get_mut(&holder).unwrap().local;
        local.replace(view.clone(), now);
        local.note_version(now);
        let settled = local.settled(now);
        let mut release = LeaseRelease::new(&view, &id(holder), settled, now);
        while !release.is_over(self.now) {
            self.step();
            for n in self.hosts.keys().copied().collect::<Vec<_>>() {
                let reachable =
                    !self.cut.contains(&(holder, n)) && !self.cut.contains(&(n, holder));
                let running = self.hosts[&n].runs_at <= self.now;
                if reachable && running && release.waiting().contains(&id(n)) {
                    self.apply(n, row.clone());
                    release.mark_released(&id(n), self.now);
                }
            }
            // A read of the store by the host that runs the failover.
            if self.random.random_bool(0.04) {
                let view = self.read();
                release.note(&view, intent, self.now);
            }
        }
        Some((intent, self.now < release.deadline))
    }

    /// Panics if a host may use a leader by a row that is older than the intent.
    fn check(&self, seed: u64, intent: u64) {
        for (n, host) in &self.hosts {
            let version = host.local.leadership(&group()).map_or(0, |row| row.version);
            let uses_former = host.local.leased(self.now) && version < intent;
            assert!(
                !uses_former,
                "seed {seed}: host {n} uses the leader of row {version} after {intent}"
            );
        }
    }
}

/// Guards against a read at a former leader in any order of cuts of both kinds, suspensions, restarts,
/// outages of the store and changes of the membership: once a failover may promote a server, no host
/// uses the former leader, nor does one later.
#[test]
fn no_host_uses_the_former_leader_once_a_failover_may_promote() {
    let (mut failovers, mut early) = (0, 0);
    for seed in 0..150 {
        let mut model = Model::new(seed, 6 + seed as usize % 5);
        for _ in 0..500 {
            model.step();
        }
        for term in 2..6 {
            let Some((intent, is_early)) = model.fail_over() else {
                (0..50).for_each(|_| model.step());
                continue;
            };
            (failovers, early) = (failovers + 1, early + usize::from(is_early));
            model.check(seed, intent);
            for _ in 0..100 {
                model.step();
                model.check(seed, intent);
            }
            model.write(|store, version| {
                store.groups.insert(group(), Versioned { version, value: steady(term) });
            });
            (0..100).for_each(|_| model.step());
        }
    }
    assert!(failovers > 300, "{failovers} failovers");
    assert!(early * 2 > failovers, "{early} of {failovers} failovers ended before a whole lease");
}
