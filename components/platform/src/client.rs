//! Client of the platform's table service, object store and host list, over HTTP/1.1 with JSON.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use anyhow::{Context, bail};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http;

/// A row of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Key of the row.
    pub key: Box<str>,
    /// Version, which increases with each change; 0 for a row that does not exist.
    pub version: u64,
    /// Value of the row, as text.
    pub value: Box<str>,
}

/// Precondition of a commit: the row still has this version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Check {
    /// Key of the row.
    pub key: Box<str>,
    /// Required version; 0 for a row that must not exist.
    pub version: u64,
}

/// A row to write.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Put {
    /// Key of the row.
    pub key: Box<str>,
    /// New value of the row.
    pub value: Box<str>,
}

/// Atomic change of several rows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Commit {
    /// Id of the change. The same id is never applied twice, so a commit whose answer was lost can
    /// be repeated.
    pub id: Box<str>,
    /// Preconditions, all of which must hold.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
}

/// Outcome of a commit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The commit was applied, by this call or by an earlier one with the same id.
    Applied,
    /// A precondition failed; nothing was changed.
    Conflict,
}

/// Machine in the platform's list, which lags behind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Machine {
    /// Name of the host or backend server.
    pub id: Box<str>,
    /// Whether the machine is about to leave.
    pub leaving: bool,
}

/// Client of the platform.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    timeout: Duration,
    /// Number of calls made, exported as a metric.
    pub calls: Cell<u64>,
}

impl Platform {
    /// Creates a client whose calls have `timeout` as in [`http::call`].
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout, calls: Cell::new(0) }
    }

    /// Reads a row; its version is 0 if it does not exist.
    pub async fn row(&self, key: &str) -> anyhow::Result<Row> {
        let path = format!("/table/row/{key}");
        parse(&self.call(Method::GET, &path, &[], Bytes::new()).await?)
    }

    /// Reads all rows whose keys start with `prefix`, ordered by key.
    pub async fn rows(&self, prefix: &str) -> anyhow::Result<Vec<Row>> {
        let path = format!("/table/rows/{prefix}");
        parse(&self.call(Method::GET, &path, &[], Bytes::new()).await?)
    }

    /// Applies a commit.
    ///
    /// After an error the commit may have been applied; the call can be repeated with the same id.
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

    /// Creates an object. An existing object with the same bytes is not an error.
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

    /// Returns the list of machines, which lags behind.
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
