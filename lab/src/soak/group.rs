//! Stand-in for database groups: logs, terms and asynchronous replication, with the
//! checks of every statement that a server runs.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

/// Time from the promotion call until the server is leader.
const PROMOTION_DURATION: Duration = Duration::from_millis(150);

/// Age of the newest entry in the new leader's log from which a replaced leader that can reach the
/// new one steps down. Until then both act as leader.
const DEMOTION_DELAY: Duration = Duration::from_millis(400);

/// A write in a server's log.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Id of the statement that wrote it.
    pub id: Box<str>,
    /// Key of the item written.
    pub item: Box<str>,
    /// Value written.
    pub data: Box<str>,
    term: u64,
    at: Instant,
}

/// State of a server of a group.
pub struct Server {
    /// Server id.
    pub id: Box<str>,
    /// Index of its group.
    pub group: usize,
    /// Whether its process is running.
    pub up: bool,
    /// Whether it acts as leader; a replaced leader may still do so.
    pub is_leader: bool,
    /// Replication term.
    pub term: u64,
    /// Writes received, in order.
    pub log: Vec<Rc<Entry>>,
    /// Number of log entries visible to reads.
    pub applied: usize,
    /// Delay between the commit of an entry and its visibility on this replica.
    pub lag: Duration,
    /// Fraction of answers that are lost, 0 to 1.
    pub loss: f64,
    /// Whether replication between it and the other servers of its group is blocked.
    pub isolated: bool,
    /// Whether its entry in the store says that it is draining.
    pub draining: bool,
    /// Number of callers' statements executed.
    pub statements_run: usize,
}

/// Position that a read must show: the log index, counted from 1, and the term of a commit. The
/// default requires nothing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Must {
    number: usize,
    term: u64,
}

/// A server's answer to a statement.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Random value that identifies the answer.
    pub signature: Box<str>,
    /// Rows returned.
    pub rows: Vec<Box<str>>,
}

/// A statement that a caller has sent, with the session state that its execution must match.
#[derive(Clone, Debug)]
pub struct Statement {
    /// Client account of the caller's key.
    pub account: Box<str>,
    /// Statement text, with the definition in place of a prepared name.
    pub text: Box<str>,
    /// Variables of the caller's session.
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// Session number, and the number of the operation within the session.
    pub operation: (u64, u64),
    /// Required position of a read.
    pub required: Must,
}

#[derive(Debug)]
struct Ack {
    at: Instant,
    required: Must,
}

/// State of all groups, and the record of statements that the checks compare.
#[derive(Default)]
pub struct Groups {
    /// Servers of all groups.
    pub servers: Vec<Server>,
    /// Statements sent by callers, by statement id.
    pub sent: HashMap<Box<str>, Statement>,
    /// Times at which callers stopped waiting for an answer, mostly as they had it, by statement id.
    ended_at: HashMap<Box<str>, Instant>,
    /// Answers that servers gave to each statement, by statement id.
    pub answers: HashMap<Box<str>, Vec<Answer>>,
    /// Violated guarantees, one description each.
    pub broken: Vec<String>,
    /// Time of the first execution and client account of each operation.
    pub operations: BTreeMap<(u64, u64), (Instant, Box<str>)>,
    /// Number of acknowledged commits that promotions discarded.
    pub rolled_back: usize,
    /// Number of completed promotions.
    pub promotions: usize,
    /// Acknowledged writes by group.
    acks: HashMap<usize, Vec<Ack>>,
    /// Statements whose callers received an error guaranteeing that nothing of them is kept.
    not_kept: HashSet<Box<str>>,
    /// Promotions in progress: server index and time of completion.
    pending: Vec<(usize, Instant)>,
    /// Replicas that must have a commit before it is acknowledged; if it is not 0, no promotion may discard
    /// an acknowledged commit.
    pub sync_replicas: usize,
    /// Ids of writes committed by a leader that had already been replaced.
    replaced_commits: HashSet<Box<str>>,
    /// Whether statements are neither checked nor recorded, and of the values only those of items whose
    /// names begin with [`KEPT_PREFIX`] are kept: for callers whose statements would fill the memory.
    pub unrecorded: bool,
}

/// Begin of the names of items whose values are kept while statements are not recorded.
pub const KEPT_PREFIX: &str = "row";

/// Time for which a statement that was tried elsewhere as well may wait at a server itself, which is not
/// aware of timeouts.
const QUEUE_ALLOWANCE: Duration = Duration::from_secs(1);

impl Groups {
    /// Returns the index of the group's leader with the highest term.
    pub fn leader(&self, group: usize) -> Option<usize> {
        let is_leader = |i: &usize| self.servers[*i].group == group && self.servers[*i].is_leader;
        (0..self.servers.len()).filter(is_leader).max_by_key(|i| self.servers[*i].term)
    }

    /// Returns the longest interval without an acknowledged write of a group within the last
    /// `window`. The start and the end of the window bound intervals too.
    pub fn longest_gap(&self, group: usize, window: Duration) -> Duration {
        let now = Instant::now();
        let acks = self.acks.get(&group).into_iter().flatten().map(|ack| ack.at);
        let mut times: Vec<Instant> = acks.filter(|at| now - *at < window).collect();
        times.extend([now - window, now]);
        times.sort();
        times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(window)
    }

    fn find(&self, id: &str) -> Option<usize> {
        self.servers.iter().position(|server| &*server.id == id)
    }

    /// Starts the promotion of a server. Returns whether the server is running.
    pub fn promote(&mut self, id: &str) -> bool {
        match self.find(id) {
            Some(i) if self.servers[i].up => {
                if !self.servers[i].is_leader && !self.pending.iter().any(|(other, _)| *other == i)
                {
                    self.pending.push((i, Instant::now() + PROMOTION_DURATION));
                }
                true
            }
            _ => false,
        }
    }

    /// Completes due promotions and replicates logs. Returns whether a role changed.
    pub fn tick(&mut self) -> bool {
        let now = Instant::now();
        let mut changed = false;
        let due: Vec<usize> =
            self.pending.iter().filter(|(_, at)| *at <= now).map(|(i, _)| *i).collect();
        self.pending.retain(|(_, at)| *at > now);
        for i in due {
            changed |= self.complete_promotion(i);
        }
        for i in 0..self.servers.len() {
            changed |= self.replicate(i, now);
        }
        changed
    }

    /// Makes a server the leader of a new term. Acknowledged commits that its log lacks count as
    /// rolled back, and reads no longer require them.
    fn complete_promotion(&mut self, i: usize) -> bool {
        let group = self.servers[i].group;
        if !self.servers[i].up {
            return false;
        }
        let members = self.servers.iter().filter(|server| server.group == group);
        let term = members.map(|server| server.term).max().unwrap_or(0) + 1;
        let server = &mut self.servers[i];
        (server.term, server.is_leader, server.applied) = (term, true, server.log.len());
        let kept = server.log.len();
        let acks = self.acks.entry(group).or_default();
        let before = acks.len();
        acks.retain(|ack| ack.required.number <= kept);
        let lost = before - acks.len();
        self.rolled_back += lost;
        if self.sync_replicas > 0 && lost > 0 {
            let id = &self.servers[i].id;
            self.broken.push(format!("{lost} acknowledged commits are not in the log of {id}"));
        }
        for sent in self.sent.values_mut().filter(|sent| sent.required.number > kept) {
            sent.required = Must::default();
        }
        self.promotions += 1;
        true
    }

    /// Copies the leader's log to a server. Returns whether the server stopped being leader.
    fn replicate(&mut self, i: usize, now: Instant) -> bool {
        let Some(leader) = self.leader(self.servers[i].group) else { return false };
        if leader == i || !self.servers[leader].up || !self.servers[i].up {
            return false;
        }
        if self.servers[leader].isolated || self.servers[i].isolated {
            return false;
        }
        let (leader_log, term) = (self.servers[leader].log.clone(), self.servers[leader].term);
        let server = &mut self.servers[i];
        let mut changed = false;
        if server.is_leader {
            let due = leader_log.last().is_some_and(|entry| now > entry.at + DEMOTION_DELAY);
            if !due {
                return false;
            }
            server.is_leader = false;
            changed = true;
        }
        let common = server.log.iter().zip(&leader_log).take_while(|(a, b)| a.id == b.id).count();
        server.log.truncate(common);
        server.log.extend_from_slice(&leader_log[common..]);
        server.term = term;
        let lag = server.lag;
        let visible = server.log.iter().take_while(|entry| now >= entry.at + lag).count();
        server.applied = server.applied.min(common).max(visible);
        changed
    }

    /// Records a statement before its caller sends it. If `since` is given, the statement must
    /// show all writes that were acknowledged before that time.
    pub fn record_sent(
        &mut self,
        id: &str,
        mut sent: Statement,
        group: usize,
        since: Option<Instant>,
    ) {
        if let Some(since) = since {
            let acks = self.acks.get(&group).into_iter().flatten();
            let old = acks.filter(|ack| ack.at < since).map(|ack| ack.required);
            let newest = old.max_by_key(|must| (must.term, must.number)).unwrap_or_default();
            if newest.number > sent.required.number {
                sent.required = newest;
            }
        }
        self.sent.insert(id.into(), sent);
    }

    /// Records that a statement's caller has its answer, or waits for it no longer.
    pub fn record_end(&mut self, id: &str) {
        self.ended_at.insert(id.into(), Instant::now());
    }

    /// Records that a write was acknowledged to its caller. Returns the position that the caller's
    /// later reads must show, or the default if the leader's log lacks the write.
    pub fn acknowledge(&mut self, id: &str, group: usize) -> Must {
        if self.replaced_commits.contains(id) {
            self.broken.push(format!("{id} was acknowledged by a replaced leader"));
        }
        let Some(leader) = self.leader(group) else { return Must::default() };
        let log = &self.servers[leader].log;
        let Some(at) = log.iter().position(|entry| &*entry.id == id) else {
            return Must::default();
        };
        let required = Must { number: at + 1, term: log[at].term };
        self.acks.entry(group).or_default().push(Ack { at: Instant::now(), required });
        required
    }

    /// Records that a caller received an error guaranteeing that nothing of a statement is kept.
    pub fn record_not_kept(&mut self, id: &str) {
        self.not_kept.insert(id.into());
        let kept = self
            .servers
            .iter()
            .any(|server| server.is_leader && server.log.iter().any(|entry| &*entry.id == id));
        if kept {
            self.broken.push(format!("{id} is kept, its caller was told that nothing is"));
        }
    }

    /// Checks a server's execution of a statement against the statement sent, and records the
    /// answer.
    pub fn check_execution(&mut self, i: usize, execution: &Execution<'_>) {
        let Execution { id, account, text, values, rows, signature } = execution;
        self.servers[i].statements_run += 1;
        if self.unrecorded {
            return;
        }
        let Some(sent) = self.sent.get(*id).cloned() else {
            return self.broken.push(format!("{id} was run and never asked: {text}"));
        };
        if *sent.account != **account {
            self.broken.push(format!("{id} of {} ran for {account}", sent.account));
        }
        if *sent.text != **text {
            self.broken.push(format!("{id} asked {:?} and ran as {text:?}", sent.text));
        }
        if sent.values != **values {
            let wanted = &sent.values;
            self.broken.push(format!("{id} ran with values {values:?} instead of {wanted:?}"));
        }
        let server = &self.servers[i];
        let required = sent.required;
        if server.applied < required.number || (required.number > 0 && server.term < required.term)
        {
            let (shown, term) = (server.applied, server.term);
            let story =
                format!("{id} read {term}.{shown} at {}, it must see {required:?}", server.id);
            self.broken.push(story);
        }
        let late = self.ended_at.get(*id).map(Instant::elapsed).unwrap_or_default();
        if late > QUEUE_ALLOWANCE {
            let late = late.as_millis();
            self.broken.push(format!("{id} was run {late} ms after its caller had the answer"));
        }
        let account = (*account).into();
        self.operations.entry(sent.operation).or_insert((Instant::now(), account));
        self.answers
            .entry((*id).into())
            .or_default()
            .push(Answer { signature: (*signature).into(), rows: rows.to_vec() });
    }

    /// Appends writes, as (statement id, item, data), to the log of a server.
    pub fn commit(&mut self, i: usize, writes: &[(Box<str>, Box<str>, Box<str>)]) {
        let replaced = self.leader(self.servers[i].group) != Some(i);
        for (id, item, data) in writes {
            if !self.unrecorded && self.servers[i].log.iter().any(|entry| entry.id == *id) {
                self.broken.push(format!("{id} was kept twice"));
            }
            if self.not_kept.contains(id) {
                self.broken.push(format!("{id} was kept after its caller was told it is not"));
            }
            if replaced {
                self.replaced_commits.insert(id.clone());
            }
            let (id, item) = (id.clone(), item.clone());
            let is_kept = !self.unrecorded || item.starts_with(KEPT_PREFIX);
            let data = if is_kept { data.clone() } else { Box::default() };
            let term = self.servers[i].term;
            let entry = Entry { id, item, data, term, at: Instant::now() };
            self.servers[i].log.push(Rc::new(entry));
        }
        self.servers[i].applied = self.servers[i].log.len();
    }

    /// Returns the highest number of operations of a client account within any interval of length
    /// `window`.
    pub fn max_operations(&self, account: &str, window: Duration) -> usize {
        let operations = self.operations.values().filter(|(_, of)| &**of == account);
        let mut times: Vec<Instant> = operations.map(|(at, _)| *at).collect();
        times.sort();
        let within = |from: Instant| {
            let until = from + window;
            times.iter().filter(|at| **at >= from && **at < until).count()
        };
        times.iter().map(|from| within(*from)).max().unwrap_or(0)
    }
}

/// A server's execution of a statement.
pub struct Execution<'a> {
    /// Statement id.
    pub id: &'a str,
    /// Client account of the connection.
    pub account: &'a str,
    /// Statement text, with the definition in place of a prepared name.
    pub text: &'a str,
    /// Session variables of the connection.
    pub values: &'a BTreeMap<Box<str>, Box<str>>,
    /// Rows of the answer.
    pub rows: &'a [Box<str>],
    /// Signature of the answer.
    pub signature: &'a str,
}
