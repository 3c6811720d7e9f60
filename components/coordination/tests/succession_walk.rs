//! All orders of events around the choice of a leader, up to a number of events: three servers, two hosts.

use std::collections::{HashSet, VecDeque};

use bergamottrack_coordination::{
    Point, ServerId, Term,
    succession::{self, Completeness, Evidence, Next, Order, Process, ReplicaSet, Standing, Terms},
};

const SERVERS: usize = 3;
const HOSTS: usize = 2;

/// Maximum number of writes in one order of events.
const MAX_WRITES: usize = 3;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Server {
    up: bool,
    leads: bool,
    /// Whether it has lost its log since it was recorded.
    restarted: bool,
    /// Whether its entry in the list shows its last start.
    registered: bool,
    term: u8,
    /// Ids of its records.
    log: Vec<u8>,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Host {
    /// Term and length of the log of the last commit that it has acknowledged.
    confirmed: Option<(u8, u8)>,
    /// Whether it has started again and forgotten what it had acknowledged.
    restarted: bool,
    /// Servers whose confirmations it counts: those recorded in the row that it has read.
    counted: [bool; SERVERS],
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    servers: [Server; SERVERS],
    hosts: [Host; HOSTS],
    /// Leader in the store, or the one that a failover replaces.
    leader: usize,
    moving: bool,
    planned: bool,
    known: u8,
    closed: u8,
    /// Newest term of any promotion.
    promoted: u8,
    recorded: [bool; SERVERS],
    /// Whether no other server than the recorded ones counts.
    exhaustive: bool,
    /// Ids of the acknowledged records.
    acknowledged: Vec<u8>,
    /// Term of each record, in the order of their ids.
    terms: Vec<u8>,
}

/// Fate of a promotion call.
#[derive(Clone, Copy, Debug)]
enum Call {
    Answered,
    PerformedWithoutAnswer,
    Lost,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A write through a host that the replica confirms.
    Commit {
        host: usize,
        replica: usize,
    },
    /// A write that only the leader receives.
    Append,
    /// The server receives the log of the newest leader.
    Receive(usize),
    /// The server receives the next record of the newest leader.
    ReceiveRecord(usize),
    Crash(usize),
    /// The server is back with its log.
    Return(usize),
    /// The server is back under its id without its log.
    ReturnEmpty(usize),
    /// The list shows the last start of the server.
    Register(usize),
    HostRestarts(usize),
    /// The host reads the group's row.
    ReadRow(usize),
    /// The entry of the server has lapsed, whether it runs or not, and it leaves the recorded set.
    Remove(usize),
    /// The recorded set becomes exhaustive.
    Complete,
    /// The server joins the recorded set.
    Add(usize),
    Begin {
        planned: bool,
    },
    /// The failover reads the servers of the mask and acts.
    Choose {
        mask: u8,
        call: Call,
    },
}

/// Rule that a state of the world breaks.
type Fault = &'static str;

fn id(server: usize) -> ServerId {
    format!("s{server}").parse().unwrap()
}

impl World {
    fn new() -> Self {
        let server = |leads| Server {
            up: true,
            leads,
            restarted: false,
            registered: true,
            term: 1,
            log: Vec::new(),
        };
        let host = Host { counted: [true; SERVERS], ..Host::default() };
        Self {
            servers: [server(true), server(false), server(false)],
            hosts: [host.clone(), host],
            leader: 0,
            moving: false,
            planned: false,
            known: 1,
            closed: 0,
            promoted: 1,
            recorded: [true; SERVERS],
            exhaustive: true,
            acknowledged: Vec::new(),
            terms: Vec::new(),
        }
    }

    /// Leader that hosts use, if it runs.
    fn used_leader(&self) -> Option<&Server> {
        let server = &self.servers[self.leader];
        (!self.moving && server.up && server.leads).then_some(server)
    }

    fn newest_leader(&self) -> Option<usize> {
        let leaders = (0..SERVERS).filter(|&n| self.servers[n].up && self.servers[n].leads);
        leaders.max_by_key(|&n| self.servers[n].term)
    }

    /// Whether a server has all that the leader has.
    fn is_up_to_date(&self, server: usize) -> bool {
        let Some(leader) = self.used_leader() else { return false };
        let other = &self.servers[server];
        server != self.leader && other.up && other.term == leader.term && other.log == leader.log
    }

    /// Writes a record at the leader and returns its id.
    fn append(&mut self) -> u8 {
        let leader = &mut self.servers[self.leader];
        self.terms.push(leader.term);
        let record = self.terms.len() as u8;
        leader.log.push(record);
        record
    }

    fn copy_log(&mut self, from: usize, to: usize) {
        let Server { term, log, .. } = self.servers[from].clone();
        let target = &mut self.servers[to];
        (target.term, target.log, target.leads) = (term, log, false);
    }

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let others = || (0..SERVERS).filter(|&n| n != self.leader);
        if self.used_leader().is_some() {
            if self.terms.len() < MAX_WRITES {
                events.push(Event::Append);
                for replica in others().filter(|&n| self.servers[n].up) {
                    let counts = |&host: &usize| self.hosts[host].counted[replica];
                    let hosts = (0..HOSTS).filter(counts);
                    events.extend(hosts.map(|host| Event::Commit { host, replica }));
                }
            }
            let holds = |n: usize| self.recorded[n] && self.is_up_to_date(n);
            let has_replica = |gone| others().any(|n| n != gone && holds(n));
            let removable = |&n: &usize| self.recorded[n] && has_replica(n);
            events.extend(others().filter(removable).map(Event::Remove));
            let joins = |&n: &usize| {
                let Server { restarted, registered, .. } = self.servers[n];
                (!self.recorded[n] || restarted) && registered && self.is_up_to_date(n)
            };
            events.extend(others().filter(joins).map(Event::Add));
            let outdated = |host: &Host| (0..SERVERS).any(|n| host.counted[n] && !self.recorded[n]);
            if !self.exhaustive && others().any(holds) && !self.hosts.iter().any(outdated) {
                events.push(Event::Complete);
            }
        }
        let behind = |&n: &usize| self.hosts[n].counted != self.recorded;
        events.extend((0..HOSTS).filter(behind).map(Event::ReadRow));

        for n in 0..SERVERS {
            match self.servers[n].up {
                true => events.push(Event::Crash(n)),
                false => events.extend([Event::Return(n), Event::ReturnEmpty(n)]),
            }
            let follows =
                |leader: usize| leader != n && self.servers[leader].term >= self.servers[n].term;
            if self.servers[n].up && self.newest_leader().is_some_and(follows) {
                events.extend([Event::Receive(n), Event::ReceiveRecord(n)]);
            }
            if !self.servers[n].registered {
                events.push(Event::Register(n));
            }
        }
        let running = (0..HOSTS).filter(|&n| !self.hosts[n].restarted);
        events.extend(running.map(Event::HostRestarts));
        if self.moving {
            let up = (0..SERVERS).filter(|&n| self.servers[n].up);
            let up: u8 = up.map(|n| 1 << n).sum();
            for mask in (0..1 << SERVERS).filter(|mask| mask & up == *mask) {
                let calls = [Call::Answered, Call::PerformedWithoutAnswer, Call::Lost];
                events.extend(calls.map(|call| Event::Choose { mask, call }));
            }
        } else {
            events.extend([true, false].map(|planned| Event::Begin { planned }));
        }
        events
    }

    fn standing(&self, n: usize) -> Standing {
        let Server { leads, restarted, registered, term, ref log, .. } = self.servers[n];
        let process = match (restarted && self.recorded[n], registered) {
            (false, _) => Process::Recorded,
            (true, true) => Process::Restarted,
            (true, false) => Process::Unknown,
        };
        Standing {
            id: id(n),
            leads,
            leaving: false,
            evacuated: false,
            served: 1,
            cold: false,
            term: Term(term.into()),
            received: Point::new(term.into(), log.len() as u64),
            busy: false,
            process,
        }
    }

    /// Returns the step that a failover takes which reads the servers of the mask.
    fn choose(&self, mask: u8, completeness: Completeness) -> Next {
        let states = (0..SERVERS).filter(|n| mask & 1 << n != 0).map(|n| self.standing(n));
        let states: Vec<_> = states.collect();
        let recorded = (0..SERVERS).filter(|&n| self.recorded[n] || n == self.leader);
        let confirmed = self.hosts.iter().filter_map(|host| host.confirmed).max();
        let confirmed = confirmed.map(|(term, length)| Point::new(term.into(), length.into()));
        let remembered = self.hosts.iter().all(|host| !host.restarted);
        let evidence = Evidence {
            terms: Terms { known: Term(self.known.into()), closed: Term(self.closed.into()) },
            replica_set: ReplicaSet {
                servers: recorded.map(id).collect(),
                exhaustive: self.exhaustive,
            },
            confirmed,
            coverage: remembered.then_some(confirmed.unwrap_or_default()),
            completeness,
        };
        let retiring = Some(id(self.leader)).filter(|_| self.planned);
        let order = if self.planned { Order::Placement } else { Order::Log };
        let next = succession::next(&states, &evidence, retiring.as_ref(), order);
        match &next {
            Next::Promote { successor, last: Some(last), .. }
                if states.iter().any(|s| s.id == *successor && s.received < *last) =>
            {
                succession::next(&states, &evidence, retiring.as_ref(), Order::Stalled)
            }
            _ => next,
        }
    }

    fn lacks_acknowledged(&self, server: usize) -> bool {
        let log = &self.servers[server].log;
        self.acknowledged.iter().any(|record| !log.contains(record))
    }

    fn number(&self, id: &ServerId) -> usize {
        (0..SERVERS).find(|&n| self::id(n) == *id).unwrap()
    }

    fn apply(&mut self, event: Event, completeness: Completeness) -> Result<(), Fault> {
        match event {
            Event::Append => {
                self.append();
            }
            Event::Commit { host, replica } => {
                let record = self.append();
                self.copy_log(self.leader, replica);
                self.acknowledged.push(record);
                let Server { term, ref log, .. } = self.servers[self.leader];
                self.hosts[host].confirmed = Some((term, log.len() as u8));
            }
            Event::Receive(n) => self.copy_log(self.newest_leader().unwrap(), n),
            Event::ReceiveRecord(n) => {
                let leader = self.servers[self.newest_leader().unwrap()].clone();
                let server = &mut self.servers[n];
                let equal = |(own, sent): &(&u8, &u8)| own == sent;
                let common = server.log.iter().zip(&leader.log).take_while(equal).count();
                server.log = leader.log.iter().copied().take(common + 1).collect();
                // A server has a term once it has received the log with which the term began.
                let last = server.log.last().filter(|_| server.log != leader.log);
                server.term = last.map_or(leader.term, |record| self.terms[*record as usize - 1]);
                server.leads = false;
            }
            Event::Crash(n) => self.servers[n].up = false,
            Event::Return(n) => {
                let newest = self.servers.iter().map(|server| server.term).max().unwrap();
                self.servers[n].up = true;
                self.servers[n].leads &= self.servers[n].term == newest;
            }
            Event::ReturnEmpty(n) => {
                self.servers[n] = Server {
                    up: true,
                    leads: false,
                    restarted: true,
                    registered: false,
                    term: 0,
                    log: Vec::new(),
                };
            }
            Event::Register(n) => self.servers[n].registered = true,
            Event::HostRestarts(n) => {
                self.hosts[n] = Host { confirmed: None, restarted: true, counted: self.recorded };
            }
            Event::ReadRow(n) => self.hosts[n].counted = self.recorded,
            Event::Remove(n) => (self.recorded[n], self.exhaustive) = (false, false),
            Event::Complete => self.exhaustive = true,
            Event::Add(n) => {
                self.recorded[n] = true;
                self.servers[n].restarted = false;
            }
            Event::Begin { planned } => (self.moving, self.planned) = (true, planned),
            Event::Choose { mask, call } => return self.run_step(mask, call, completeness),
        }
        Ok(())
    }

    fn run_step(&mut self, mask: u8, call: Call, completeness: Completeness) -> Result<(), Fault> {
        match self.choose(mask, completeness) {
            Next::Nobody => {}
            Next::Adopt(leader, term) => {
                let leader = self.number(&leader);
                if term <= Term(self.closed.into()) {
                    return Err("the leader of a closed term is adopted");
                }
                if self.lacks_acknowledged(leader) {
                    return Err("the adopted leader lacks an acknowledged commit");
                }
                self.lead(leader, self.servers[leader].term);
            }
            Next::Promote { successor, after, .. } => {
                let successor = self.number(&successor);
                let terms =
                    Terms { known: Term(self.known.into()), closed: Term(self.closed.into()) };
                self.closed = terms.close(after).0 as u8;
                if matches!(call, Call::Lost) {
                    return Ok(());
                }
                if self.lacks_acknowledged(successor) {
                    return Err("the promoted server lacks an acknowledged commit");
                }
                self.promoted += 1;
                let term = self.promoted;
                (self.servers[successor].term, self.servers[successor].leads) = (term, true);
                if matches!(call, Call::Answered) {
                    self.lead(successor, term);
                }
            }
        }
        Ok(())
    }

    /// Ends the failover.
    fn lead(&mut self, leader: usize, term: u8) {
        (self.leader, self.known, self.moving) = (leader, term, false);
        self.recorded[leader] = true;
        self.servers[leader].restarted = false;
        // A host uses the next leader by its row.
        self.hosts.iter_mut().for_each(|host| host.counted = self.recorded);
    }

    /// Returns whether a failover finds no leader although all servers report with their logs.
    fn is_stuck(&self, completeness: Completeness) -> bool {
        let all_report = self.servers.iter().all(|server| server.up && !server.restarted);
        let mask = (1 << SERVERS) - 1;
        self.moving && all_report && self.choose(mask, completeness) == Next::Nobody
    }
}

/// Walks all orders of up to `depth` events; returns the number of states, or the shortest order that breaks a
/// rule.
fn walk(depth: usize, completeness: Completeness) -> Result<usize, (Fault, Vec<Event>)> {
    let mut seen = HashSet::from([World::new()]);
    let mut queue = VecDeque::from([(World::new(), Vec::new())]);
    while let Some((world, events)) = queue.pop_front() {
        if world.is_stuck(completeness) {
            return Err(("no leader although all servers report", events));
        }
        if events.len() == depth {
            continue;
        }
        for event in world.events() {
            let mut next = world.clone();
            let mut order = events.clone();
            order.push(event);
            if let Err(fault) = next.apply(event, completeness) {
                return Err((fault, order));
            }
            if seen.insert(next.clone()) {
                queue.push_back((next, order));
            }
        }
    }
    Ok(seen.len())
}

/// Returns the number of events to walk, by default few enough for each run of the tests.
fn depth() -> usize {
    let depth = std::env::var("WALK_DEPTH").ok();
    depth.map_or(6, |depth| depth.parse().expect("a number of events"))
}

/// Guards against the loss of acknowledged commits, the use of a leader of a closed term, and a failover that
/// never ends, in any order of crashes, returns, changes of the recorded set, restarts of hosts, failovers
/// and lost answers.
#[test]
fn no_order_of_events_loses_a_commit_or_a_leader() {
    match walk(depth(), Completeness::Required) {
        Ok(states) => println!("{states} states"),
        Err((fault, order)) => panic!("{fault}: {order:#?}"),
    }
}

/// Guards against a walk that finds nothing: without evidence, acknowledged commits are lost.
#[test]
fn a_choice_without_evidence_loses_a_commit() {
    let (fault, order) = walk(depth(), Completeness::Waived).unwrap_err();
    println!("{fault}: {order:?}");
    assert!(fault.ends_with("lacks an acknowledged commit"), "{fault}: {order:?}");
}
