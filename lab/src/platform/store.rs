//! State of the platform stand-in.

use std::{
    collections::{BTreeMap, HashMap},
    ops::Bound,
    time::{Duration, Instant},
};

use bergamottrack_operator::Reply;
use bergamottrack_platform::{Commit, Outcome, Row, client::Machine};
use bytes::Bytes;
use hyper::StatusCode;
use serde::Deserialize;

/// Faults of the platform, set by a request to `/faults` with a JSON body.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Whether all requests stay without an answer.
    pub down: bool,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: u64,
    /// Number of coming writes that take effect but get no answer.
    pub lose_answers: u32,
    /// Number of coming commits that take effect but get no answer.
    pub lose_commits: u32,
    /// Whether reads of a row return its value before the last change.
    pub old_rows: bool,
    /// Age of the machine list that is returned, in milliseconds.
    pub list_lag_ms: u64,
}

/// Tables, objects and machine lists of the platform.
#[derive(Default)]
pub struct Store {
    pub faults: Faults,
    /// Version and value of each row by key.
    rows: BTreeMap<Box<str>, (u64, Box<str>)>,
    /// Version and value of each row before its last change.
    previous_rows: BTreeMap<Box<str>, (u64, Box<str>)>,
    /// Outcomes of applied commits by id.
    commits: HashMap<Box<str>, Outcome>,
    objects: HashMap<Box<str>, Bytes>,
    /// All machine lists with the time at which each was set, in this order.
    machine_lists: Vec<(Instant, Vec<Machine>)>,
}

impl Store {
    pub fn set_faults(&mut self, body: &[u8]) -> Reply {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.faults = faults;
                Reply::text(StatusCode::OK, "set\n")
            }
            Err(error) => bad_request(&error),
        }
    }

    /// Returns whether the answer to a write must be lost; consumes one such fault.
    pub fn drops_answer(&mut self, path: &str) -> bool {
        let faults = &mut self.faults;
        let mut lose = consume(&mut faults.lose_answers);
        if path == "/table/commit" {
            lose |= consume(&mut faults.lose_commits);
        }
        lose
    }

    /// Returns a row, or its previous version while `old_rows` is set.
    pub fn read(&self, key: &str) -> Row {
        if !self.faults.old_rows {
            return self.row(key);
        }
        let (version, value) = self.previous_rows.get(key).cloned().unwrap_or_default();
        Row { key: key.into(), version, value }
    }

    /// Returns the current version of a row; version 0 if there is none.
    pub fn row(&self, key: &str) -> Row {
        let (version, value) = self.rows.get(key).cloned().unwrap_or_default();
        Row { key: key.into(), version, value }
    }

    /// Returns all rows whose key starts with a prefix, in the order of keys.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let from = self.rows.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        from.take_while(|(key, _)| key.starts_with(prefix)).map(|(key, _)| self.row(key)).collect()
    }

    /// Applies a commit if the versions of all its checks match. A commit that was applied
    /// before has no further effect.
    pub fn commit(&mut self, body: &[u8]) -> Reply {
        let commit: Commit = match serde_json::from_slice(body) {
            Ok(commit) => commit,
            Err(error) => return bad_request(&error),
        };
        if self.commits.get(&commit.id) == Some(&Outcome::Applied) {
            return Reply::json(StatusCode::OK, &Outcome::Applied);
        }
        let holds = commit.checks.iter().all(|c| self.row(&c.key).version == c.version);
        let outcome = if holds { Outcome::Applied } else { Outcome::Conflict };
        if holds {
            for put in commit.puts {
                let row = self.rows.entry(put.key.clone()).or_default();
                self.previous_rows.insert(put.key, row.clone());
                *row = (row.0 + 1, put.value);
            }
            self.commits.insert(commit.id, outcome);
        }
        Reply::json(StatusCode::OK, &outcome)
    }

    /// Stores an object; fails if one with this key exists.
    pub fn put_object(&mut self, key: &str, body: Bytes) -> Reply {
        if self.objects.contains_key(key) {
            return Reply::text(StatusCode::PRECONDITION_FAILED, "the object exists\n");
        }
        self.objects.insert(key.into(), body);
        Reply::text(StatusCode::CREATED, "written\n")
    }

    pub fn object(&self, key: &str) -> Reply {
        match self.objects.get(key) {
            Some(body) => Reply {
                status: StatusCode::OK,
                kind: "application/octet-stream",
                body: body.clone(),
            },
            None => Reply::text(StatusCode::NOT_FOUND, "no such object\n"),
        }
    }

    pub fn set_machines(&mut self, body: &[u8]) -> Reply {
        match serde_json::from_slice(body) {
            Ok(list) => {
                self.machine_lists.push((Instant::now(), list));
                Reply::text(StatusCode::OK, "set\n")
            }
            Err(error) => bad_request(&error),
        }
    }

    /// Returns the machine list as of `list_lag_ms` ago.
    pub fn machines(&self) -> Vec<Machine> {
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        let old = self.machine_lists.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// Decrements a count unless it is 0; returns whether it was above 0.
fn consume(count: &mut u32) -> bool {
    let available = *count > 0;
    *count = count.saturating_sub(1);
    available
}

fn bad_request(error: &serde_json::Error) -> Reply {
    Reply::text(StatusCode::BAD_REQUEST, format!("{error}\n"))
}
