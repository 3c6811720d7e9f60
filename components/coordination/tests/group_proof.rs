//! Model of a proof by the group itself in place of the lease: a host without contact uses the former
//! leader as long as statuses of the group's servers show that no other leader can have acknowledged
//! anything. Each test explores every interleaving of a bounded set of events, breadth first, so a
//! counterexample is a shortest one. See `docs/design/proof-by-the-group.md`.
//!
//! Nothing happens at a fixed time: a server receives, follows a new leader or answers at any later
//! step or never, which includes each cut, loss, delay and suspension. The times that the rules
//! refer to are the steps at which the contact and the lease of the one modelled host end.

use std::{
    collections::HashSet,
    fmt::{self, Write},
    hash::{BuildHasherDefault, Hash, Hasher},
};

/// Maximum number of servers. Server 0 leads in term 1.
const MAX_SERVERS: usize = 4;

/// Commits, by the term in which they are written.
const BASE: u8 = 1;
const OLD_WRITE: u8 = 2;
const NEW_WRITES: [u8; 2] = [3, 4];

fn bit(commit: u8) -> u8 {
    1 << commit
}

fn term_of(commit: u8) -> u8 {
    if commit <= OLD_WRITE { 1 } else { commit - 1 }
}

/// Log of a server: up to four commits, one in each four bits.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Log(u16);

impl Log {
    fn len(self) -> u32 {
        (16 - self.0.leading_zeros()).div_ceil(4)
    }

    fn push(&mut self, commit: u8) {
        self.0 |= u16::from(commit) << (4 * self.len());
    }

    fn prefix(self, len: u32) -> Self {
        Self(self.0 & ((1_u32 << (4 * len)) - 1) as u16)
    }

    fn common(self, other: Self) -> u32 {
        let len = self.len().min(other.len());
        (0..=len).rev().find(|n| self.prefix(*n) == other.prefix(*n)).unwrap_or(0)
    }

    fn commits(self) -> u8 {
        (0..self.len()).fold(0, |set, n| set | bit((self.0 >> (4 * n) & 15) as u8))
    }

    fn next_after(self, len: u32) -> u8 {
        (self.0 >> (4 * len) & 15) as u8
    }

    /// Order of logs in the selection of a successor: term of the last commit, then length.
    fn point(self) -> u8 {
        let last = self.len().checked_sub(1).map_or(0, |n| term_of(self.next_after(n)));
        1 + last * 8 + self.len() as u8
    }
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Server {
    leads: bool,
    term: u8,
    log: Log,
    /// Number of commits that reads show; less than the log at a replica, which applies later.
    shown: u32,
    /// Whether a PAUSE for a later term holds.
    paused: bool,
    /// Whether the host has a connection to this process that the rules accept for a proof.
    connected: bool,
    running: bool,
}

impl Hash for Server {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let flags = [self.leads, self.paused, self.connected, self.running];
        let flags = flags.into_iter().fold(0, |all, flag| all << 1 | u32::from(flag));
        let (term, log) = (u32::from(self.term), u32::from(self.log.0));
        state.write_u32(log << 16 | self.shown << 8 | term << 4 | flags);
    }
}

/// What the host may do.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Phase {
    /// The host has contact.
    Contact,
    /// The last contact is over, and the host still uses the leader without a proof.
    Aging,
    /// The host uses the leader with proofs only.
    Proofs,
    /// The host does not use the leader.
    Expired,
}

/// A read, or a write in a transaction, of the host at the former leader.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Work {
    Idle,
    /// Sent by the caller; with the commits that were acknowledged before.
    Begun {
        acked: u8,
        in_term: u8,
    },
    /// Answered by the server. `wrong`: a read lacks a commit, or a write was committed after a
    /// promotion. `in_term`: servers that were seen in the former term since the read began or the
    /// write was answered. `holds`: servers that were seen in the former term with the write.
    Answered {
        wrong: bool,
        in_term: u8,
        holds: u8,
    },
    Done,
}

/// State of the failover and of everything else.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct State {
    servers: [Server; MAX_SERVERS],
    phase: Phase,
    read: Work,
    write: Work,
    /// Log of each replica as the host that runs the failover has read it; 0 if it has not.
    statuses: [u8; MAX_SERVERS],
    /// Whether the intent is written and the host that lacks it can get no further contact.
    begun: bool,
    /// Server whose promotion is requested and has not taken effect yet.
    requested: Option<u8>,
    /// Number of promotions that have taken effect.
    promotions: u8,
    /// Commits acknowledged to callers.
    acked: u8,
    /// Commits of which a copy was lost with the memory of a server.
    forgotten: u8,
    /// Commits that a promotion discarded.
    discarded: u8,
    restarts: u8,
    rebirths: u8,
    resumes: u8,
    /// Servers seen in the former term at any time, for [`Since::Ever`].
    seen: u8,
}

/// Hasher for states, which consist of many small fields.
#[derive(Default)]
struct StateHasher(u64);

impl StateHasher {
    fn mix(&mut self, value: u64) {
        self.0 = (self.0 ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
    }
}

impl Hasher for StateHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.mix(u64::from(*byte)));
    }

    fn write_u8(&mut self, value: u8) {
        self.mix(value.into());
    }

    fn write_u16(&mut self, value: u16) {
        self.mix(value.into());
    }

    fn write_u32(&mut self, value: u32) {
        self.mix(value.into());
    }

    fn write_isize(&mut self, value: isize) {
        self.mix(value as u64);
    }

    fn write_usize(&mut self, value: usize) {
        self.mix(value as u64);
    }
}

/// Statuses since the answer that count as a proof.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Proof {
    /// None: the host uses the leader until its lease expires, and promotions wait for that.
    Lease,
    /// One replica.
    One,
    /// The former leader and a replica are a majority of the servers.
    Majority,
    /// All replicas that the host has in its row.
    All,
    /// The former leader itself and all replicas but one.
    AllButOne,
}

/// Connections on which a status counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Connections {
    /// All.
    Any,
    /// Those opened while the host used the leader without proofs.
    OpenedBeforeProofs,
    /// Those opened before the host's last contact.
    OpenedInContact,
}

/// Time from which a status may have been made to count for a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Since {
    /// Any time.
    Ever,
    /// The time at which the caller sent the read.
    Begin,
}

/// When servers are paused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fence {
    /// Never.
    None,
    /// As soon as the host without the intent can get no further contact.
    AtOnce,
    /// After the wait for the hosts that use the leader without proofs.
    AfterWait,
}

/// Rules of a variant and the events that may happen.
#[derive(Clone, Copy, Debug)]
struct Model {
    servers: usize,
    /// Servers in the row of the host, by bit.
    row: u8,
    /// Servers in the row of the host that runs the failover.
    newest_row: u8,
    proof: Proof,
    connections: Connections,
    fence: Fence,
    /// Phase of the host from which the failover promotes.
    wait: Phase,
    /// Whether all replicas of the row must hold a write that is returned with a proof.
    all_hold: bool,
    /// Whether the new leader's commits are confirmed by servers of the row only.
    confirm_by_row: bool,
    /// Whether only servers of the row are promoted.
    promote_from_row: bool,
    /// Whether a commit of the new leader may be acknowledged without a replica.
    leader_only: bool,
    since: Since,
    /// Whether a promotion ends each PAUSE at once, also at servers that do not follow it yet.
    promotion_resumes: bool,
    /// Whether the failover may go on without the replicas that are out of its reach.
    skip_replicas: bool,
    reads: bool,
    writes: bool,
    restarts: u8,
    rebirths: u8,
    /// Number of RESUME commands of an earlier failover that arrive late.
    resumes: u8,
    promotions: u8,
}

/// The rules of today: the host uses the leader without proofs until its lease or contact has expired.
const LEASE: Model = Model {
    servers: 3,
    row: 0b111,
    newest_row: 0b111,
    proof: Proof::Lease,
    connections: Connections::OpenedInContact,
    fence: Fence::None,
    wait: Phase::Expired,
    all_hold: false,
    confirm_by_row: false,
    promote_from_row: false,
    leader_only: false,
    since: Since::Begin,
    promotion_resumes: false,
    skip_replicas: false,
    reads: false,
    writes: false,
    restarts: 0,
    rebirths: 0,
    resumes: 0,
    promotions: 1,
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    LoseContact,
    RequireProofs,
    Expire,
    Open(usize),
    BeginRead,
    Read,
    ReturnRead,
    BeginWrite,
    Write,
    ReturnWrite,
    Status(usize),
    Follow(usize, usize),
    Receive(usize, usize),
    Restart(usize),
    Rebirth(usize),
    Join(usize),
    Intent,
    Pause(usize),
    Resume(usize),
    ReadStatus(usize),
    Request(usize),
    Promoted(usize),
    PromotedAgain(usize),
    NewWrite(usize),
    ConfirmNewWrite(usize, usize),
    AcceptNewWrite(usize),
}

/// A broken rule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Broken {
    /// A read lacks a commit that was acknowledged before it began.
    Stale,
    /// A write was committed at the former leader after a promotion and acknowledged.
    One,
    /// An acknowledged commit is not in the log of the promoted server.
    Lost,
}

struct Counterexample {
    broken: Broken,
    steps: Vec<Step>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let steps = self.steps.iter().fold(String::new(), |mut text, step| {
            let _ = write!(text, " {step:?}");
            text
        });
        write!(f, "{:?} after{steps}", self.broken)
    }
}

/// Next states of one state.
struct Steps(Vec<(Step, State, Option<Broken>)>);

impl Steps {
    fn add(&mut self, step: Step, state: State) {
        self.0.push((step, state, None));
    }
}

impl Model {
    fn start(&self) -> State {
        let mut log = Log::default();
        log.push(BASE);
        let mut servers = [Server::default(); MAX_SERVERS];
        for (n, server) in servers.iter_mut().enumerate() {
            if n < self.servers && self.row >> n & 1 == 1 {
                *server = Server {
                    leads: n == 0,
                    term: 1,
                    log,
                    shown: 1,
                    connected: true,
                    running: true,
                    paused: false,
                };
            }
        }
        State {
            servers,
            phase: Phase::Contact,
            read: Work::Idle,
            write: Work::Idle,
            statuses: [0; MAX_SERVERS],
            begun: false,
            requested: None,
            promotions: 0,
            acked: bit(BASE),
            forgotten: 0,
            discarded: 0,
            restarts: 0,
            rebirths: 0,
            resumes: 0,
            seen: 0,
        }
    }

    fn replicas(&self) -> u8 {
        self.row & !1
    }

    fn is_proven(&self, in_term: u8) -> bool {
        let seen = in_term & self.replicas();
        match self.proof {
            Proof::Lease => false,
            Proof::One => seen != 0,
            Proof::Majority => 2 * (1 + seen.count_ones()) > self.row.count_ones(),
            Proof::All => seen == self.replicas(),
            Proof::AllButOne => {
                in_term & 1 == 1 && seen.count_ones() + 1 >= self.replicas().count_ones()
            }
        }
    }

    /// Returns whether the host returns an answer to its caller. A proof that is complete by the end
    /// of the lease stays one.
    fn returns(&self, phase: Phase, in_term: u8) -> bool {
        match self.proof {
            Proof::Lease => phase < Phase::Expired,
            _ => phase < Phase::Proofs || self.is_proven(in_term),
        }
    }

    /// Returns whether enough replicas hold the write.
    fn holds(&self, phase: Phase, holds: u8) -> bool {
        let strict = self.all_hold && phase >= Phase::Proofs;
        let needed = if strict { self.replicas() } else { holds };
        holds != 0 && holds & needed == needed
    }

    /// Returns the commits that are acknowledged or have all that is needed for it.
    fn confirmed(&self, state: &State) -> u8 {
        match state.write {
            Work::Answered { in_term, holds, .. }
                if self.holds(state.phase, holds) && self.returns(state.phase, in_term) =>
            {
                state.acked | bit(OLD_WRITE)
            }
            _ => state.acked,
        }
    }

    /// Phase from which the failover goes on without the replicas that are out of its reach.
    fn skip_from(&self) -> Phase {
        if self.fence == Fence::None { self.wait } else { Phase::Expired }
    }

    fn steps(&self, state: &State) -> Steps {
        let mut steps = Steps(Vec::with_capacity(32));
        self.host_steps(state, &mut steps);
        self.work_steps(state, &mut steps);
        self.server_steps(state, &mut steps);
        self.failover_steps(state, &mut steps);
        self.new_leader_steps(state, &mut steps);
        steps
    }

    fn host_steps(&self, state: &State, steps: &mut Steps) {
        let next = match state.phase {
            Phase::Contact => Some((Step::LoseContact, Phase::Aging)),
            Phase::Aging => Some((Step::RequireProofs, Phase::Proofs)),
            Phase::Proofs => Some((Step::Expire, Phase::Expired)),
            Phase::Expired => None,
        };
        if let Some((step, phase)) = next {
            steps.add(step, State { phase, ..*state });
        }
        let accepts = match self.connections {
            Connections::Any => state.phase < Phase::Expired,
            Connections::OpenedBeforeProofs => state.phase < Phase::Proofs,
            Connections::OpenedInContact => state.phase == Phase::Contact,
        };
        for n in 0..self.servers {
            let server = state.servers[n];
            if accepts && server.running && !server.connected && self.row >> n & 1 == 1 {
                let mut next = *state;
                next.servers[n].connected = true;
                steps.add(Step::Open(n), next);
            }
        }
    }

    fn work_steps(&self, state: &State, steps: &mut Steps) {
        let leader = &state.servers[0];
        let uses = state.phase < Phase::Expired;
        if self.reads {
            match state.read {
                Work::Idle if uses => {
                    let read = Work::Begun { acked: state.acked, in_term: state.seen };
                    steps.add(Step::BeginRead, State { read, ..*state });
                }
                Work::Begun { acked, in_term } if uses => {
                    let lacks = acked & !leader.log.prefix(leader.shown).commits();
                    let wrong = lacks & !state.discarded != 0;
                    let read = Work::Answered { wrong, in_term, holds: 0 };
                    steps.add(Step::Read, State { read, ..*state });
                }
                Work::Answered { wrong, in_term, .. } if self.returns(state.phase, in_term) => {
                    let next = State { read: Work::Done, ..*state };
                    steps.0.push((Step::ReturnRead, next, wrong.then_some(Broken::Stale)));
                }
                _ => {}
            }
        }
        if self.writes {
            match state.write {
                Work::Idle if uses => {
                    let write = Work::Begun { acked: 0, in_term: 0 };
                    steps.add(Step::BeginWrite, State { write, ..*state });
                }
                Work::Begun { .. } if leader.leads && leader.term == 1 => {
                    let wrong = state.promotions > 0;
                    let write = Work::Answered { wrong, in_term: 0, holds: 0 };
                    let mut next = State { write, ..*state };
                    next.servers[0].log.push(OLD_WRITE);
                    next.servers[0].shown += 1;
                    steps.add(Step::Write, next);
                }
                Work::Answered { wrong, in_term, holds }
                    if self.holds(state.phase, holds) && self.returns(state.phase, in_term) =>
                {
                    let acked = state.acked | bit(OLD_WRITE);
                    let next = State { write: Work::Done, acked, ..*state };
                    let lost = state.discarded & !state.forgotten & bit(OLD_WRITE) != 0;
                    let broken = wrong.then_some(Broken::One);
                    let broken = broken.or(lost.then_some(Broken::Lost));
                    steps.0.push((Step::ReturnWrite, next, broken));
                }
                _ => {}
            }
        }
        for n in 0..self.servers {
            self.status_step(state, n, steps);
        }
    }

    /// A server answers a status request of the host.
    fn status_step(&self, state: &State, n: usize, steps: &mut Steps) {
        let server = state.servers[n];
        // Before the host requires proofs it confirms its writes on any connection.
        let counts = server.connected || state.phase < Phase::Proofs;
        let in_reach = self.row >> n & 1 == 1 && server.running && counts;
        let is_fenced = self.fence != Fence::None && server.paused && state.phase >= Phase::Proofs;
        let in_role = server.leads == (n == 0) && server.term == 1 && !is_fenced;
        if !in_reach || !in_role || state.phase == Phase::Expired {
            return;
        }
        // A status on another connection confirms a write and proves nothing else.
        let proves = if server.connected { 1 << n } else { 0 };
        let mut next = *state;
        if self.since == Since::Ever && self.reads {
            next.seen |= proves;
        }
        match &mut next.read {
            Work::Answered { in_term, .. } | Work::Begun { in_term, .. }
                if self.proof != Proof::Lease =>
            {
                *in_term |= proves;
            }
            _ => {}
        }
        if let Work::Answered { in_term, holds, .. } = &mut next.write {
            *in_term |= proves;
            let confirms = n != 0 && server.log.commits() & bit(OLD_WRITE) != 0;
            *holds |= u8::from(confirms) << n;
        }
        if next != *state {
            steps.add(Step::Status(n), next);
        }
    }

    fn server_steps(&self, state: &State, steps: &mut Steps) {
        for n in 0..self.servers {
            let server = state.servers[n];
            if !server.running {
                // A server that joins knows nothing and follows a leader that it reaches.
                let mut next = *state;
                next.servers[n] = Server { running: true, ..Server::default() };
                steps.add(Step::Join(n), next);
                continue;
            }
            for (from, leader) in state.servers.iter().enumerate().take(self.servers) {
                if !leader.leads || from == n {
                    continue;
                }
                // A PAUSE is for the term of the next promotion.
                if leader.term > server.term && (!server.paused || leader.term > 1) {
                    let common = server.log.common(leader.log);
                    let mut next = *state;
                    next.servers[n] = Server {
                        leads: false,
                        term: leader.term,
                        log: server.log.prefix(common),
                        shown: server.shown.min(common),
                        paused: false,
                        ..server
                    };
                    steps.add(Step::Follow(n, from), next);
                }
                let len = server.log.len();
                let behind = leader.log.len() > len && leader.log.prefix(len) == server.log;
                if !server.leads && server.term == leader.term && !server.paused && behind {
                    let mut next = *state;
                    next.servers[n].log.push(leader.log.next_after(len));
                    steps.add(Step::Receive(n, from), next);
                }
            }
            if state.restarts < self.restarts {
                let newest = state.servers.iter().map(|server| server.term).max().unwrap_or(0);
                let mut next = State { restarts: state.restarts + 1, ..*state };
                next.servers[n].leads &= server.term == newest;
                next.servers[n].paused = false;
                next.servers[n].connected = false;
                steps.add(Step::Restart(n), next);
            }
            if state.rebirths < self.rebirths && n != 0 {
                let forgotten = state.forgotten | server.log.commits();
                let mut next = State { rebirths: state.rebirths + 1, forgotten, ..*state };
                next.servers[n] = Server { running: true, ..Server::default() };
                steps.add(Step::Rebirth(n), next);
            }
        }
    }

    fn failover_steps(&self, state: &State, steps: &mut Steps) {
        if !state.begun {
            if state.phase >= Phase::Aging {
                steps.add(Step::Intent, State { begun: true, ..*state });
            }
            return;
        }
        for n in 1..self.servers {
            if state.resumes < self.resumes && state.servers[n].paused {
                let mut next = State { resumes: state.resumes + 1, ..*state };
                next.servers[n].paused = false;
                steps.add(Step::Resume(n), next);
            }
        }
        if state.promotions == 0 && state.requested.is_none() {
            self.successor_steps(state, steps);
        }
        if let Some(target) = state.requested {
            let target = usize::from(target);
            let mut next = State { requested: None, ..*state };
            let broken = self.promote(&mut next, target);
            steps.0.push((Step::Promoted(target), next, broken));
        }
        // A further failover, run by hosts in contact. It is assumed to select a server with all
        // confirmed commits, whether they have been returned or not.
        if state.promotions == 1 && self.promotions > 1 && state.requested.is_none() {
            for n in 0..self.servers {
                let server = state.servers[n];
                let kept = self.confirmed(state) & !server.log.commits() & !state.forgotten == 0;
                if server.running && !server.leads && kept && state.phase >= Phase::Proofs {
                    let mut next = *state;
                    let broken = self.promote(&mut next, n);
                    steps.0.push((Step::PromotedAgain(n), next, broken));
                }
            }
        }
    }

    fn successor_steps(&self, state: &State, steps: &mut Steps) {
        let fences = match self.fence {
            Fence::None => false,
            Fence::AtOnce => state.phase >= Phase::Aging,
            Fence::AfterWait => state.phase >= Phase::Proofs,
        };
        for n in 1..self.servers {
            let server = state.servers[n];
            if !server.running || server.leads {
                continue;
            }
            let in_row = self.newest_row >> n & 1 == 1;
            let mut next = *state;
            next.statuses[n] = server.log.point();
            // Without a fence if the host has stopped, or at servers that are not in the row.
            let reads = self.fence == Fence::None || !in_row || state.phase == Phase::Expired;
            let eligible = in_row || !self.promote_from_row;
            if reads && eligible && state.phase >= self.wait && next != *state {
                steps.add(Step::ReadStatus(n), next);
            }
            next.servers[n].paused = true;
            if fences && in_row && next != *state {
                steps.add(Step::Pause(n), next);
            }
        }
        let needed = (1..self.servers).filter(|n| self.newest_row >> n & 1 == 1);
        let complete = needed.into_iter().all(|n| state.statuses[n] > 0);
        let enough = complete || self.skip_replicas && state.phase >= self.skip_from();
        let newest = state.statuses.iter().copied().max().unwrap_or(0);
        if enough && newest > 0 && state.phase >= self.wait {
            for n in (1..self.servers).filter(|n| state.statuses[*n] == newest) {
                steps.add(Step::Request(n), State { requested: Some(n as u8), ..*state });
            }
        }
    }

    fn promote(&self, state: &mut State, target: usize) -> Option<Broken> {
        state.promotions += 1;
        let term = 1 + state.promotions;
        let server = &mut state.servers[target];
        let log = server.log;
        *server = Server { leads: true, term, paused: false, shown: log.len(), ..*server };
        if self.promotion_resumes {
            state.servers.iter_mut().for_each(|server| server.paused = false);
        }
        let logs = state.servers.iter().map(|server| server.log.commits());
        let lacks = logs.fold(state.acked, |all, log| all | log) & !log.commits();
        state.discarded |= lacks;
        (lacks & state.acked & !state.forgotten != 0).then_some(Broken::Lost)
    }

    /// Hosts in contact write at the new leader.
    fn new_leader_steps(&self, state: &State, steps: &mut Steps) {
        // Without reads and without a further promotion they cannot break a rule.
        let matter = self.reads || self.promotions > 1;
        for leader in (0..self.servers).filter(|_| matter) {
            let server = state.servers[leader];
            if !server.leads || server.term < 2 {
                continue;
            }
            let commit = NEW_WRITES[usize::from(server.term) - 2];
            let newest = server.term == 1 + state.promotions;
            if server.log.commits() & bit(commit) == 0 && newest {
                let mut next = *state;
                next.servers[leader].log.push(commit);
                next.servers[leader].shown += 1;
                steps.add(Step::NewWrite(leader), next);
            } else if state.acked & bit(commit) == 0 && newest {
                let acked = state.acked | bit(commit);
                for n in (0..self.servers).filter(|n| *n != leader) {
                    let replica = state.servers[n];
                    let allowed = !self.confirm_by_row || self.newest_row >> n & 1 == 1;
                    let in_term = !replica.leads && replica.term == server.term;
                    if allowed && in_term && replica.log.commits() & bit(commit) != 0 {
                        steps.add(Step::ConfirmNewWrite(leader, n), State { acked, ..*state });
                    }
                }
                if self.leader_only {
                    steps.add(Step::AcceptNewWrite(leader), State { acked, ..*state });
                }
            }
        }
    }

    /// Explores all reachable states. Returns their number, or a shortest way to break a rule, of any
    /// kind or of the `wanted` one.
    fn explore(&self, wanted: Option<Broken>) -> Result<usize, Counterexample> {
        let start = self.start();
        let mut known: HashSet<State, BuildHasherDefault<StateHasher>> = HashSet::default();
        known.insert(start);
        let mut states = vec![(start, 0, None)];
        let mut n = 0;
        while n < states.len() {
            for (step, next, broken) in self.steps(&states[n].0).0 {
                if let Some(broken) = broken
                    && wanted.is_none_or(|wanted| wanted == broken)
                {
                    let mut steps = vec![step];
                    let mut at = n;
                    while let (_, before, Some(step)) = states[at] {
                        steps.push(step);
                        at = before;
                    }
                    steps.reverse();
                    return Err(Counterexample { broken, steps });
                }
                if known.insert(next) {
                    states.push((next, n, Some(step)));
                }
            }
            n += 1;
        }
        Ok(states.len())
    }

    /// Panics if a rule can be broken.
    fn assert_holds(&self) {
        match self.explore(None) {
            Ok(states) => println!("{states} states"),
            Err(counterexample) => panic!("{counterexample}"),
        }
    }

    /// Panics unless the rule `broken` can be broken, on a shortest way with the steps `cause`.
    fn assert_falls(&self, broken: Broken, cause: &[Step]) {
        let Err(counterexample) = self.explore(Some(broken)) else {
            panic!("no way to break {broken:?}");
        };
        println!("{counterexample}");
        let has = |step: &Step| counterexample.steps.contains(step);
        assert!(cause.iter().all(has), "{counterexample}");
    }
}

const READS: Model = Model { reads: true, ..LEASE };
const WRITES: Model = Model { writes: true, ..LEASE };

/// Proof by one replica (variant 0).
const fn one(model: Model) -> Model {
    Model { proof: Proof::One, wait: Phase::Proofs, ..model }
}

/// Proof by all replicas of the row, all of which hold a write; only servers of the row are promoted
/// (variant 1).
const fn all(model: Model) -> Model {
    let (proof, connections) = (Proof::All, Connections::OpenedBeforeProofs);
    Model { proof, connections, all_hold: true, promote_from_row: true, ..one(model) }
}

/// Proof by the former leader and all replicas but one; the new leader's commits are confirmed by
/// servers of the row (variant 2).
const fn all_but_one(model: Model) -> Model {
    Model { proof: Proof::AllButOne, confirm_by_row: true, ..all(model) }
}

/// Proof by one replica; all replicas are paused before a promotion (variant 3).
const fn fenced(model: Model) -> Model {
    let connections = Connections::OpenedBeforeProofs;
    Model { connections, fence: Fence::AfterWait, leader_only: true, ..one(model) }
}

/// Guards against a model that breaks rules by itself: with the rules of today none is broken.
#[test]
fn promotion_after_the_lease_breaks_no_rule() {
    for model in [READS, WRITES] {
        let model = Model { leader_only: true, ..model };
        Model { servers: 4, ..model }.assert_holds();
        Model { restarts: 1, ..model }.assert_holds();
        Model { rebirths: 1, ..model }.assert_holds();
    }
    Model { promotions: 2, ..READS }.assert_holds();
}

/// Guards against the belief that the lease alone keeps acknowledged writes: a failover that promotes
/// without the status of the one replica that confirmed a write loses it, with any of the variants.
#[test]
fn promotion_without_the_replica_that_confirmed_loses_the_write() {
    let cause = [Step::ReturnWrite, Step::ReadStatus(2), Step::Request(2)];
    Model { skip_replicas: true, ..WRITES }.assert_falls(Broken::Lost, &cause);
    let cause = [Step::ReturnWrite, Step::ReadStatus(2), Step::Request(2), Step::Expire];
    Model { skip_replicas: true, ..fenced(WRITES) }.assert_falls(Broken::Lost, &cause);
}

/// Guards against a proof by one replica, whose former leader follows the new one and confirms its
/// commits before it shows them.
#[test]
fn read_after_one_replica_is_stale_if_the_former_leader_confirms() {
    one(READS).assert_falls(Broken::Stale, &[Step::Follow(0, 1), Step::ConfirmNewWrite(1, 0)]);
    let majority = Model { proof: Proof::Majority, ..one(READS) };
    majority.assert_falls(Broken::Stale, &[Step::Follow(0, 1), Step::ConfirmNewWrite(1, 0)]);
}

/// Guards against writes confirmed by one replica while another one is being promoted or leads.
#[test]
fn write_after_one_replica_is_lost_or_committed_after_the_promotion() {
    for proof in [Proof::One, Proof::Majority] {
        let model = Model { proof, ..one(WRITES) };
        model.assert_falls(Broken::Lost, &[Step::ReadStatus(1), Step::Status(1), Step::Request(2)]);
        model.assert_falls(Broken::One, &[Step::Promoted(1), Step::Write, Step::Status(2)]);
    }
}

/// Guards against a proof by all replicas that the host has in its row, beside a server that it does not
/// have in it.
#[test]
fn read_after_all_replicas_is_stale_if_a_server_outside_the_row_is_promoted() {
    let model = Model { servers: 4, promote_from_row: false, ..all(READS) };
    model.assert_falls(Broken::Stale, &[Step::Join(3), Step::Promoted(3)]);
    let added = Model { row: 0b011, newest_row: 0b111, ..all(READS) };
    added.assert_falls(Broken::Stale, &[Step::Join(2), Step::Promoted(2)]);
}

/// Guards against a write confirmed by one replica while all are seen in the former term: the status
/// for the selection may be older.
#[test]
fn write_after_all_replicas_is_lost_if_one_lacks_it() {
    let model = Model { all_hold: false, ..all(WRITES) };
    model.assert_falls(Broken::Lost, &[Step::ReadStatus(1), Step::ReturnWrite, Step::Request(1)]);
    model.assert_falls(Broken::Lost, &[Step::Status(1), Step::Status(2)]);
}

/// Guards against a server that was promoted, lost its memory and follows the former leader.
#[test]
fn proof_by_all_replicas_falls_on_connections_to_a_server_that_lost_its_memory() {
    let connections = Connections::Any;
    let cause = [Step::Promoted(1), Step::Rebirth(1), Step::Open(1), Step::Follow(1, 0)];
    for (model, broken) in [(READS, Broken::Stale), (WRITES, Broken::One)] {
        let model = Model { rebirths: 1, connections, leader_only: true, ..all(model) };
        model.assert_falls(broken, &cause);
    }
}

/// Guards against a change of the rules of the proof by all replicas, which no counterexample was found
/// for.
#[test]
fn proof_by_all_replicas_of_the_row_breaks_no_rule() {
    for model in [READS, WRITES] {
        let model = Model { leader_only: true, ..all(model) };
        Model { servers: 2, row: 0b011, newest_row: 0b011, restarts: 1, ..model }.assert_holds();
        Model { servers: 4, row: 0b1111, newest_row: 0b1111, ..model }.assert_holds();
        Model { servers: 4, ..model }.assert_holds();
        Model { restarts: 1, ..model }.assert_holds();
        Model { rebirths: 1, ..model }.assert_holds();
        Model { promotions: 2, ..model }.assert_holds();
    }
    Model { writes: true, leader_only: true, ..all(READS) }.assert_holds();
    // Without a replica that is out of reach, a write of before the proofs is lost as it is today.
    Model { servers: 4, skip_replicas: true, leader_only: true, ..all(READS) }.assert_holds();
}

/// Guards against each rule of the proof by all replicas but one that could be left out.
#[test]
fn proof_by_all_replicas_but_one_falls_without_any_of_its_rules() {
    let model = all_but_one(READS);
    let alone = Model { leader_only: true, ..model };
    alone.assert_falls(Broken::Stale, &[Step::AcceptNewWrite(1)]);
    let outside = Model { servers: 4, confirm_by_row: false, ..model };
    outside.assert_falls(Broken::Stale, &[Step::Join(3), Step::ConfirmNewWrite(1, 3)]);
    let reborn = Model { rebirths: 1, connections: Connections::Any, ..model };
    reborn.assert_falls(Broken::Stale, &[Step::Rebirth(1), Step::Open(1)]);
    let held = Model { all_hold: false, ..all_but_one(WRITES) };
    held.assert_falls(Broken::Lost, &[Step::ReturnWrite]);
}

/// Guards against a change of the rules of the proof by all replicas but one, which no counterexample
/// was found for.
#[test]
fn proof_by_all_replicas_but_one_breaks_no_rule() {
    for model in [READS, WRITES] {
        let model = all_but_one(model);
        Model { servers: 2, row: 0b011, newest_row: 0b011, restarts: 1, ..model }.assert_holds();
        Model { restarts: 1, ..model }.assert_holds();
        Model { rebirths: 1, ..model }.assert_holds();
    }
    let model = all_but_one(READS);
    Model { servers: 4, row: 0b1111, newest_row: 0b1111, ..model }.assert_holds();
    Model { servers: 4, ..model }.assert_holds();
    Model { promotions: 2, ..model }.assert_holds();
}

/// Guards against a RESUME of a suspended or replaced failover.
#[test]
fn fence_falls_with_a_late_resume() {
    for (model, broken) in [(READS, Broken::Stale), (WRITES, Broken::Lost)] {
        Model { resumes: 1, ..fenced(model) }.assert_falls(broken, &[Step::Resume(1)]);
    }
}

/// Guards against a paused replica that restarts, which ends the PAUSE, and against a PAUSE that is
/// confirmed while a restarted replica may still confirm writes without a proof.
#[test]
fn fence_falls_with_a_restarted_replica_on_a_new_connection() {
    let cause = [Step::Pause(1), Step::Restart(1)];
    for (model, broken) in [(READS, Broken::Stale), (WRITES, Broken::Lost)] {
        let model = Model { restarts: 1, ..fenced(model) };
        Model { connections: Connections::Any, ..model }.assert_falls(broken, &cause);
        Model { fence: Fence::AtOnce, ..model }.assert_falls(broken, &cause);
    }
    let strict = Model { connections: Connections::OpenedInContact, ..fenced(WRITES) };
    let strict = Model { restarts: 1, fence: Fence::AtOnce, ..strict };
    strict.assert_falls(Broken::Lost, &cause);
}

/// Guards against a platform on which a promotion ends the PAUSE of a replica that still follows the
/// former leader.
#[test]
fn fence_falls_if_a_promotion_resumes_replicas_that_do_not_follow_it() {
    let model = Model { promotion_resumes: true, ..fenced(READS) };
    model.assert_falls(Broken::Stale, &[Step::Promoted(1), Step::Status(2)]);
    let model = Model { promotion_resumes: true, ..fenced(WRITES) };
    model.assert_falls(Broken::One, &[Step::Promoted(1), Step::Receive(2, 0), Step::Status(2)]);
}

/// Guards against a status that was made before the read began.
#[test]
fn fence_falls_with_a_status_from_before_the_read() {
    let model = Model { since: Since::Ever, ..fenced(READS) };
    model.assert_falls(Broken::Stale, &[Step::Status(1), Step::Pause(1), Step::BeginRead]);
}

/// Guards against a replica that was removed from the row and that a host with the older row still
/// reaches, or that the list of servers has lost.
#[test]
fn fence_falls_without_a_replica_of_an_older_row() {
    for (model, broken) in [(READS, Broken::Stale), (WRITES, Broken::Lost)] {
        let model = Model { servers: 4, newest_row: 0b1101, ..fenced(model) };
        model.assert_falls(broken, &[Step::Status(1), Step::Pause(2), Step::Pause(3)]);
    }
}

/// Guards against a failover that waits no longer for a host of the present build than for one that
/// requires proofs, and against proofs that outlast the wait of a failover without a fence.
#[test]
fn hosts_of_two_builds_need_the_longer_wait() {
    Model { wait: Phase::Proofs, ..READS }.assert_falls(Broken::Stale, &[Step::Promoted(1)]);
    let unfenced = Model { fence: Fence::None, ..fenced(READS) };
    unfenced.assert_falls(Broken::Stale, &[Step::Promoted(1)]);
    for model in [READS, WRITES] {
        let unfenced = Model { fence: Fence::None, wait: Phase::Expired, ..fenced(model) };
        let from_list = Model { promote_from_row: false, wait: Phase::Expired, ..all(model) };
        for model in [unfenced, from_list] {
            Model { servers: 4, ..model }.assert_holds();
            Model { restarts: 1, ..model }.assert_holds();
        }
    }
}

/// Guards against a change of the rules of the fence, which no counterexample was found for.
#[test]
fn fence_breaks_no_rule() {
    for model in [READS, WRITES] {
        let model = fenced(model);
        Model { servers: 2, row: 0b011, newest_row: 0b011, restarts: 1, ..model }.assert_holds();
        Model { servers: 4, row: 0b1111, newest_row: 0b1111, ..model }.assert_holds();
        Model { servers: 4, newest_row: 0b1111, ..model }.assert_holds();
        Model { servers: 4, ..model }.assert_holds();
        Model { restarts: 1, ..model }.assert_holds();
        Model { rebirths: 1, ..model }.assert_holds();
        Model { promotions: 2, ..model }.assert_holds();
    }
    Model { writes: true, ..fenced(READS) }.assert_holds();
    Model { skip_replicas: true, restarts: 1, ..fenced(READS) }.assert_holds();
}
