//! The platform's services as this program uses them: HTTP/1.1 with JSON.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use anyhow::{Context, bail};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http;

/// A row of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Its key.
    pub key: Box<str>,
    /// Grows with each change; 0 for a row that does not exist.
    pub version: u64,
    /// Its value, as text.
    pub value: Box<str>,
}

/// A condition of a commit: the row still has this version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Check {
    /// The row's key.
    pub key: Box<str>,
    /// The version wanted; 0 for a row that must not exist.
    pub version: u64,
}

/// A row to write.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Put {
    /// The row's key.
    pub key: Box<str>,
    /// Its new value.
    pub value: Box<str>,
}

/// A change of several rows, all or none.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Commit {
    /// Names the change, so that a lost answer can be asked for again: the same
    /// id is never applied twice.
    pub id: Box<str>,
    /// What must hold.
    pub checks: Vec<Check>,
    /// What is written.
    pub puts: Vec<Put>,
}

/// What became of a commit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Applied, now or by an earlier call of the same id.
    Applied,
    /// A check failed; nothing was changed.
    Conflict,
}

/// A machine as the platform's list shows it, some time late.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Machine {
    /// Name of the host or backend server.
    pub id: Box<str>,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// Client of the platform.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    timeout: Duration,
    /// Calls made, for the metrics.
    pub calls: Cell<u64>,
}

impl Platform {
    /// A client that waits at most `timeout` for each answer.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout, calls: Cell::new(0) }
    }

    /// Reads a row; version 0 when there is none.
    pub async fn row(&self, key: &str) -> anyhow::Result<Row> {
        let path = format!("/table/row/{key}");
        parse(&self.call(Method::GET, &path, &[], Bytes::new()).await?)
    }

    /// Reads all rows whose keys start with `prefix`, in order of their keys.
    pub async fn rows(&self, prefix: &str) -> anyhow::Result<Vec<Row>> {
        let path = format!("/table/rows/{prefix}");
        parse(&self.call(Method::GET, &path, &[], Bytes::new()).await?)
    }

    /// Changes several rows, all or none.
    ///
    /// After an error the change may have been applied: call again with the same id.
    pub async fn commit(&self, commit: &Commit) -> anyhow::Result<Outcome> {
        let body = serde_json::to_vec(commit).context("writing a commit")?;
        let response = self.call(Method::POST, "/table/commit", &[], body.into());
        parse(&response.await?)
    }

    /// Reads an object.
    pub async fn object(&self, key: &str) -> anyhow::Result<Bytes> {
        let path = format!("/objects/{key}");
        Ok(self.call(Method::GET, &path, &[], Bytes::new()).await?.body)
    }

    /// Writes an object that does not exist yet; one with the same bytes is well too.
    pub async fn put_object(&self, key: &str, body: Bytes) -> anyhow::Result<()> {
        let path = format!("/objects/{key}");
        match self.call(Method::PUT, &path, &[("if-none-match", "*")], body.clone()).await {
            Ok(_) => Ok(()),
            Err(error) => match self.object(key).await {
                Ok(there) if there == body => Ok(()),
                _ => Err(error),
            },
        }
    }

    /// The list of machines, some time late.
    pub async fn listed(&self) -> anyhow::Result<Vec<Machine>> {
        parse(&self.call(Method::GET, "/hosts", &[], Bytes::new()).await?)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> anyhow::Result<http::Response> {
        self.calls.set(self.calls.get() + 1);
        let call = http::Call { method, path, headers, body };
        let response = http::call(self.address, call, self.timeout).await?;
        match response.status {
            StatusCode::OK | StatusCode::CREATED => Ok(response),
            status => bail!("the platform answered {status} for {path}"),
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(response: &http::Response) -> anyhow::Result<T> {
    serde_json::from_slice(&response.body).context("reading the platform's answer")
}
