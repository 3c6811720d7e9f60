//! Promotions beside primaries that run, but are taken for ended because a network refuses the
//! connections to them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bergamottrack_coordination::{
    Point, Term,
    leadership::{self, Cause, FailureDetector, Observation, Role, Status, Verdict},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SERVERS: usize = 3;
const HOMES: usize = 2;
const SILENCE_TIMEOUT: Duration = Duration::from_millis(450);
const STEP: Duration = Duration::from_millis(20);
const STEPS: usize = 1000;

/// Steps after which an attempt to promote is given up.
const ATTEMPT_STEPS: usize = 40;

/// Term and number of a record; the number is unique.
type Record = (u64, u64);

/// Backend server that keeps its promises as assumed in `docs/ASSUMPTIONS.md`.
#[derive(Clone, Debug)]
struct Server {
    role: Role,
    term: u64,
    promised: u64,
    /// Attempt to which the term was promised.
    promoter: u64,
    log: Vec<Record>,
}

impl Server {
    fn new(role: Role) -> Self {
        Self { role, term: 1, promised: 1, promoter: 0, log: vec![(1, 0)] }
    }

    fn status(&self) -> Status {
        let held = Point::new(self.log.last().unwrap().0, self.log.len() as u64);
        let (term, promised) = (Term(self.term), Term(self.promised));
        Status { role: self.role, term, promised, held, applied: held }
    }

    fn promise(&mut self, term: u64, promoter: u64) -> bool {
        let promises = term > self.promised;
        if promises {
            (self.promised, self.promoter) = (term, promoter);
        }
        promises
    }

    /// Receives up to `records` records from a primary, unless a later term is promised.
    fn receive(&mut self, primary: &Self, records: usize) {
        if primary.role != Role::Primary || primary.term < self.promised {
            return;
        }
        (self.role, self.term, self.promised) = (Role::Replica, primary.term, primary.term);
        let equal = self.log.iter().zip(&primary.log).take_while(|(a, b)| a == b).count();
        let end = (equal + records).min(primary.log.len());
        self.log.truncate(equal);
        self.log.extend_from_slice(&primary.log[equal..end]);
    }
}

/// State of the network between two parties.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Route {
    Open,
    Refused,
    Silent,
}

/// Attempt of a home to promote a server.
struct Attempt {
    cause: Cause,
    term: Term,
    id: u64,
    /// Servers that have promised the term, with the last record of each.
    promises: Vec<(usize, Point)>,
    steps: usize,
}

struct Home {
    routes: [Route; SERVERS],
    observations: [Observation; SERVERS],
    detector: FailureDetector,
    attempt: Option<Attempt>,
    /// Writes that are not acknowledged yet, each with its server and record.
    pending: Vec<(usize, Point, Record)>,
}

impl Home {
    fn new(now: Instant) -> Self {
        Self {
            routes: [Route::Open; SERVERS],
            observations: [Observation::default(); SERVERS],
            detector: FailureDetector::new(SILENCE_TIMEOUT, now),
            attempt: None,
            pending: Vec::new(),
        }
    }

    fn observe(&mut self, servers: &[Server], now: Instant) -> Verdict {
        for (server, observation) in self.observations.iter_mut().enumerate() {
            match self.routes[server] {
                Route::Open => {
                    observation.status = Some(servers[server].status());
                    (observation.last_seen, observation.refused_since) = (Some(now), None);
                }
                Route::Refused => drop(observation.refused_since.get_or_insert(now)),
                Route::Silent => {}
            }
        }
        self.detector.observe(now, &self.observations)
    }

    /// Returns the server that leads in the greatest term, by the last status of each.
    fn leader(&self) -> Option<usize> {
        let status = |server: &usize| self.observations[*server].status;
        let leads = |server: &usize| status(server).is_some_and(|status| status.leads());
        (0..SERVERS).filter(leads).max_by_key(|server| status(server).map(|status| status.term))
    }

    fn is_confirmed(&self, primary: usize, point: Point) -> bool {
        let others = (0..SERVERS).filter(|server| *server != primary);
        let mut statuses = others.filter_map(|server| self.observations[server].status);
        statuses.any(|status| status.confirms(point))
    }
}

/// Group of servers with its homes, which observe and promote independently of each other.
struct World {
    rng: StdRng,
    servers: Vec<Server>,
    homes: Vec<Home>,
    /// Whether each server receives the logs of the others.
    receives: [bool; SERVERS],
    acknowledged: Vec<Record>,
    leaders: HashMap<u64, usize>,
    next_id: u64,
    /// Number of running primaries replaced because connections to them were refused.
    replaced: usize,
}

impl World {
    fn new(seed: u64, now: Instant) -> Self {
        let roles = [Role::Primary, Role::Replica, Role::Replica];
        Self {
            rng: StdRng::seed_from_u64(seed),
            servers: roles.map(Server::new).to_vec(),
            homes: (0..HOMES).map(|_| Home::new(now)).collect(),
            receives: [true; SERVERS],
            acknowledged: Vec::new(),
            leaders: [(1, 0)].into(),
            next_id: 1,
            replaced: 0,
        }
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn change_network(&mut self) {
        for home in &mut self.homes {
            for route in &mut home.routes {
                if self.rng.random_bool(0.02) {
                    *route = match self.rng.random_range(0..5) {
                        0 | 1 => Route::Refused,
                        2 => Route::Silent,
                        _ => Route::Open,
                    };
                }
            }
        }
        for receives in &mut self.receives {
            if self.rng.random_bool(0.02) {
                *receives = self.rng.random_bool(0.8);
            }
        }
    }

    fn replicate(&mut self) {
        for replica in 0..SERVERS {
            let primary = self.rng.random_range(0..SERVERS);
            if primary != replica && self.receives[replica] && self.receives[primary] {
                let from = self.servers[primary].clone();
                let records = self.rng.random_range(1..4);
                self.servers[replica].receive(&from, records);
            }
        }
    }

    fn write(&mut self, home: usize) {
        let Some(leader) = self.homes[home].leader() else { return };
        let server = &self.servers[leader];
        if self.homes[home].routes[leader] != Route::Open || !server.status().leads() {
            return;
        }
        let record = (server.term, self.next_id());
        let server = &mut self.servers[leader];
        server.log.push(record);
        let point = server.status().held;
        self.homes[home].pending.push((leader, point, record));
    }

    fn acknowledge(&mut self, home: usize) {
        let pending = std::mem::take(&mut self.homes[home].pending);
        for (primary, point, record) in pending {
            if !self.homes[home].is_confirmed(primary, point) {
                self.homes[home].pending.push((primary, point, record));
                continue;
            }
            self.acknowledged.push(record);
            let later = self
                .servers
                .iter()
                .filter(|server| server.status().leads() && Term(server.term) > point.term);
            for server in later {
                assert!(server.log.contains(&record), "acknowledged after the loss: {record:?}");
            }
        }
    }

    fn promote(&mut self, home: usize, verdict: Verdict) {
        if self.homes[home].attempt.is_none() {
            let Verdict::Promote(cause) = verdict else { return };
            let statuses: Vec<Status> =
                self.homes[home].observations.iter().filter_map(|s| s.status).collect();
            let (term, id) = (leadership::next_term(&statuses), self.next_id());
            self.homes[home].attempt =
                Some(Attempt { cause, term, id, promises: Vec::new(), steps: 0 });
        }
        let Some(mut attempt) = self.homes[home].attempt.take() else { return };
        attempt.steps += 1;
        for server in 0..SERVERS {
            let is_open = self.homes[home].routes[server] == Route::Open;
            if is_open
                && self.rng.random_bool(0.4)
                && self.servers[server].promise(attempt.term.0, attempt.id)
            {
                attempt.promises.push((server, self.servers[server].status().held));
            }
        }
        let chosen = leadership::successor(&attempt.promises, SERVERS);
        match chosen.filter(|_| self.rng.random_bool(0.3)) {
            Some(chosen) if self.homes[home].routes[chosen] == Route::Open => {
                self.install(chosen, &attempt);
            }
            _ if attempt.steps < ATTEMPT_STEPS => self.homes[home].attempt = Some(attempt),
            _ => {}
        }
    }

    fn install(&mut self, chosen: usize, attempt: &Attempt) {
        let (term, server) = (attempt.term.0, &self.servers[chosen]);
        if (server.promised, server.promoter) != (term, attempt.id) {
            return;
        }
        let others = self.servers.iter().enumerate().filter(|(other, _)| *other != chosen);
        let others_lead = others.into_iter().any(|(_, other)| other.role == Role::Primary);
        self.replaced += usize::from(attempt.cause == Cause::Refused && others_lead);
        let record = (term, self.next_id());
        let server = &mut self.servers[chosen];
        (server.role, server.term) = (Role::Primary, term);
        for acknowledged in &self.acknowledged {
            assert!(server.log.contains(acknowledged), "lost by term {term}: {acknowledged:?}");
        }
        server.log.push(record);
        let other = self.leaders.insert(term, chosen);
        assert!(other.is_none_or(|other| other == chosen), "two servers lead term {term}");
    }
}

/// Guards against lost acknowledged writes and against two primaries of one term after a network
/// refused connections to a primary that runs: the detector takes it for ended and replaces it,
/// while the other home still writes there.
#[test]
fn replacement_of_a_running_primary_loses_no_acknowledged_write() {
    let (mut acknowledged, mut replaced) = (0, 0);
    for seed in 0..30 {
        let mut now = Instant::now();
        let mut world = World::new(seed, now);
        for _ in 0..STEPS {
            now += STEP;
            world.change_network();
            world.replicate();
            for home in 0..HOMES {
                let verdict = world.homes[home].observe(&world.servers, now);
                world.write(home);
                world.acknowledge(home);
                world.promote(home, verdict);
            }
        }
        acknowledged += world.acknowledged.len();
        replaced += world.replaced;
    }
    assert!(acknowledged > 1000, "only {acknowledged} writes were acknowledged");
    assert!(replaced > 30, "only {replaced} running primaries were replaced");
}
