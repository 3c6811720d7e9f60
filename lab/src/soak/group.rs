//! Stand-in for database groups: logs, terms and asynchronous replication, and
//! what is checked of every statement that a server runs.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

/// How long a promotion takes.
const PROMOTION_DURATION: Duration = Duration::from_millis(150);

/// How long an old leader goes on beside a new one that it can reach.
const DEMOTION_DELAY: Duration = Duration::from_millis(400);

/// A write in a log.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The statement's id.
    pub id: Box<str>,
    /// What it wrote to.
    pub item: Box<str>,
    /// What it wrote.
    pub data: Box<str>,
    term: u64,
    at: Instant,
}

/// A server of a group.
pub struct Server {
    /// Its name.
    pub id: Box<str>,
    /// Its group.
    pub group: usize,
    /// Whether its process runs.
    pub up: bool,
    /// Whether it leads, as it sees itself.
    pub is_leader: bool,
    /// Its term.
    pub term: u64,
    /// Its log.
    pub log: Vec<Entry>,
    /// How much of its log its reads show.
    pub applied: usize,
    /// How late it shows what it has received.
    pub lag: Duration,
    /// Part of its answers that are lost.
    pub loss: f64,
    /// Whether nothing passes between it and the other servers of its group.
    pub isolated: bool,
    /// Whether it says that it leaves.
    pub draining: bool,
    /// Statements of callers that it has run.
    pub statements_run: usize,
}

/// What a read must show: the number and the term of the newest commit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Must {
    number: usize,
    term: u64,
}

/// What a server answered.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Drawn for each answer.
    pub signature: Box<str>,
    /// Its rows.
    pub rows: Vec<Box<str>>,
}

/// What a caller was about when it sent a statement.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The account of its key.
    pub account: Box<str>,
    /// Its text, with the definition in place of a prepared name.
    pub text: Box<str>,
    /// The values of its session.
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// Which session, and which operation of it.
    pub operation: (u64, u64),
    /// What it must be shown, if it reads.
    pub must: Must,
}

#[derive(Debug)]
struct Ack {
    at: Instant,
    must: Must,
}

/// All groups, and all that was seen of them.
#[derive(Default)]
pub struct Groups {
    /// The servers of all groups.
    pub servers: Vec<Server>,
    /// What callers asked, by statement id.
    pub sent: HashMap<Box<str>, Sent>,
    /// What each statement was answered, by its id.
    pub answers: HashMap<Box<str>, Vec<Answer>>,
    /// Broken promises, each with its story.
    pub broken: Vec<String>,
    /// Operations that ran: when, and for which account.
    pub operations: BTreeMap<(u64, u64), (Instant, Box<str>)>,
    /// Commits that promotions rolled back though they were acknowledged.
    pub rolled_back: usize,
    /// Promotions.
    pub promotions: usize,
    acks: HashMap<usize, Vec<Ack>>,
    not_kept: HashSet<Box<str>>,
    /// Servers that are about to lead, and when.
    pending: Vec<(usize, Instant)>,
    /// Statements committed by a leader that had been replaced.
    replaced_commits: HashSet<Box<str>>,
}

impl Groups {
    /// The newest leader of a group.
    pub fn leader(&self, group: usize) -> Option<usize> {
        let is_leader = |i: &usize| self.servers[*i].group == group && self.servers[*i].is_leader;
        (0..self.servers.len()).filter(is_leader).max_by_key(|i| self.servers[*i].term)
    }

    /// The longest time within the last `window` without an acknowledged write of a
    /// group, its start and its end included.
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

    /// Has a server lead soon; false when it does not run.
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

    /// Lets time pass: promotions take effect and logs travel. True when a role changed.
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

    fn complete_promotion(&mut self, i: usize) -> bool {
        let group = self.servers[i].group;
        if !self.servers[i].up {
            return false;
        }
        let of_group = self.servers.iter().filter(|server| server.group == group);
        let term = of_group.map(|server| server.term).max().unwrap_or(0) + 1;
        let server = &mut self.servers[i];
        (server.term, server.is_leader, server.applied) = (term, true, server.log.len());
        let kept = server.log.len();
        let acks = self.acks.entry(group).or_default();
        let before = acks.len();
        acks.retain(|ack| ack.must.number <= kept);
        self.rolled_back += before - acks.len();
        for sent in self.sent.values_mut().filter(|sent| sent.must.number > kept) {
            sent.must = Must::default();
        }
        self.promotions += 1;
        true
    }

    fn replicate(&mut self, i: usize, now: Instant) -> bool {
        let Some(leader) = self.leader(self.servers[i].group) else { return false };
        if leader == i || !self.servers[leader].up || !self.servers[i].up {
            return false;
        }
        if self.servers[leader].isolated || self.servers[i].isolated {
            return false;
        }
        let (from, term) = (self.servers[leader].log.clone(), self.servers[leader].term);
        let server = &mut self.servers[i];
        let mut changed = false;
        if server.is_leader {
            let newest = from.last().is_some_and(|entry| now > entry.at + DEMOTION_DELAY);
            if !newest {
                return false;
            }
            server.is_leader = false;
            changed = true;
        }
        let same = server.log.iter().zip(&from).take_while(|(a, b)| a.id == b.id).count();
        server.log.truncate(same);
        server.log.extend_from_slice(&from[same..]);
        server.term = term;
        let lag = server.lag;
        let shown = server.log.iter().take_while(|entry| now >= entry.at + lag).count();
        server.applied = server.applied.min(same).max(shown);
        changed
    }

    /// Notes what a caller is about to send. A read must show what was acknowledged
    /// before `since`, if that is given.
    pub fn ask(&mut self, id: &str, mut sent: Sent, group: usize, since: Option<Instant>) {
        if let Some(since) = since {
            let acks = self.acks.get(&group).into_iter().flatten();
            let old = acks.filter(|ack| ack.at < since).map(|ack| ack.must);
            let newest = old.max_by_key(|must| (must.term, must.number)).unwrap_or_default();
            if newest.number > sent.must.number {
                sent.must = newest;
            }
        }
        self.sent.insert(id.into(), sent);
    }

    /// Notes that a caller was told that its write is kept; what it must see from now on.
    pub fn acknowledge(&mut self, id: &str, group: usize) -> Must {
        if self.replaced_commits.contains(id) {
            self.broken.push(format!("{id} was acknowledged by a replaced leader"));
        }
        let Some(leader) = self.leader(group) else { return Must::default() };
        let log = &self.servers[leader].log;
        let Some(at) = log.iter().position(|entry| &*entry.id == id) else {
            return Must::default();
        };
        let must = Must { number: at + 1, term: log[at].term };
        self.acks.entry(group).or_default().push(Ack { at: Instant::now(), must });
        must
    }

    /// Notes that a caller was promised that nothing of a statement is kept.
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

    /// Checks a statement that a server runs, and notes it.
    pub fn run(&mut self, i: usize, run: &Execution<'_>) {
        let Execution { id, account, text, values, rows, signature } = run;
        self.servers[i].statements_run += 1;
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
        let must = sent.must;
        if server.applied < must.number || (must.number > 0 && server.term < must.term) {
            let (shown, term) = (server.applied, server.term);
            let story = format!("{id} read {term}.{shown} at {}, it must see {must:?}", server.id);
            self.broken.push(story);
        }
        let account = (*account).into();
        self.operations.entry(sent.operation).or_insert((Instant::now(), account));
        self.answers
            .entry((*id).into())
            .or_default()
            .push(Answer { signature: (*signature).into(), rows: rows.to_vec() });
    }

    /// Keeps writes at a leader.
    pub fn commit(&mut self, i: usize, writes: &[(Box<str>, Box<str>, Box<str>)]) {
        let replaced = self.leader(self.servers[i].group) != Some(i);
        for (id, item, data) in writes {
            if self.servers[i].log.iter().any(|entry| entry.id == *id) {
                self.broken.push(format!("{id} was kept twice"));
            }
            if self.not_kept.contains(id) {
                self.broken.push(format!("{id} was kept after its caller was told it is not"));
            }
            if replaced {
                self.replaced_commits.insert(id.clone());
            }
            let (id, item, data) = (id.clone(), item.clone(), data.clone());
            let term = self.servers[i].term;
            self.servers[i].log.push(Entry { id, item, data, term, at: Instant::now() });
        }
        self.servers[i].applied = self.servers[i].log.len();
    }

    /// The most operations of an account within any such window.
    pub fn max_operations(&self, account: &str, window: Duration) -> usize {
        let of_account = self.operations.values().filter(|(_, of)| &**of == account);
        let mut times: Vec<Instant> = of_account.map(|(at, _)| *at).collect();
        times.sort();
        let within = |from: Instant| {
            let until = from + window;
            times.iter().filter(|at| **at >= from && **at < until).count()
        };
        times.iter().map(|from| within(*from)).max().unwrap_or(0)
    }
}

/// A statement as a server runs it.
pub struct Execution<'a> {
    /// Its id.
    pub id: &'a str,
    /// Whose connection it runs on.
    pub account: &'a str,
    /// Its text, with the definition in place of a prepared name.
    pub text: &'a str,
    /// The values of the connection.
    pub values: &'a BTreeMap<Box<str>, Box<str>>,
    /// What it answers.
    pub rows: &'a [Box<str>],
    /// What it signs the answer with.
    pub signature: &'a str,
}
