//! What the platform keeps.

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

/// Faults, set by a PUT of JSON to `/faults`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Nothing is answered.
    pub down: bool,
    /// Each answer takes this long.
    pub slow_ms: u64,
    /// So many answers to writes are lost after the change took effect.
    pub lose_answers: u32,
    /// So many answers to commits are lost after the change took effect.
    pub lose_commits: u32,
    /// Reads show each row as it was before its last change.
    pub old_rows: bool,
    /// The list of machines is so late.
    pub list_lag_ms: u64,
}

/// What the platform keeps.
#[derive(Default)]
pub struct Store {
    pub faults: Faults,
    rows: BTreeMap<Box<str>, (u64, Box<str>)>,
    /// Each row before its last change.
    previous_rows: BTreeMap<Box<str>, (u64, Box<str>)>,
    commits: HashMap<Box<str>, Outcome>,
    objects: HashMap<Box<str>, Bytes>,
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

    pub fn drops_answer(&mut self, path: &str) -> bool {
        let faults = &mut self.faults;
        let mut lose = consume(&mut faults.lose_answers);
        if path == "/table/commit" {
            lose |= consume(&mut faults.lose_commits);
        }
        lose
    }

    /// A row as a reader sees it.
    pub fn read(&self, key: &str) -> Row {
        if !self.faults.old_rows {
            return self.row(key);
        }
        let (version, value) = self.previous_rows.get(key).cloned().unwrap_or_default();
        Row { key: key.into(), version, value }
    }

    pub fn row(&self, key: &str) -> Row {
        let (version, value) = self.rows.get(key).cloned().unwrap_or_default();
        Row { key: key.into(), version, value }
    }

    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let from = self.rows.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        from.take_while(|(key, _)| key.starts_with(prefix)).map(|(key, _)| self.row(key)).collect()
    }

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

    /// The list as it stood some time ago.
    pub fn machines(&self) -> Vec<Machine> {
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        let old = self.machine_lists.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// Counts one down; whether there was one.
fn consume(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

fn bad_request(error: &serde_json::Error) -> Reply {
    Reply::text(StatusCode::BAD_REQUEST, format!("{error}\n"))
}
