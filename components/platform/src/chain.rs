//! Chain of revisions in the table service, extended by compare-and-swap.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
};

use anyhow::Context;
use bergamottrack_contract::RevisionDoc;
use bergamottrack_coordination::{Revision, SubmitId};
use serde::{Deserialize, Serialize};

use crate::client::{Check, Commit, Machine, Outcome, Platform, Put, Row};

/// Key of the row with the [`Head`] of the chain.
const HEAD: &str = "head";

/// Key of the row with the newest revision known to have been propagated to the majorities. A
/// host that cannot reach its peers reads from it when it may use its share of the rates.
const PROPAGATED: &str = "told";

/// Head of the chain: the newest revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Number of the revision.
    pub number: Revision,
    /// Key of the object that holds the revision.
    pub object: Box<str>,
}

/// Outcome of an attempt to append a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The revision is in the chain: it is the newest one, or was.
    Accepted,
    /// Another revision was appended first.
    Conflict,
}

/// Entry of the history, one for each revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Number of the revision.
    pub number: Revision,
    /// Submit that made the revision.
    pub submit: SubmitId,
    /// Author of the revision.
    pub author: Box<str>,
    /// Time at which the revision was made, in seconds since 1970.
    pub at: u64,
    /// Revision that introduced the configuration of this one.
    pub config_revision: Revision,
    /// Key of the object that holds the revision.
    pub object: Box<str>,
}

/// Chain of revisions in the table service.
#[derive(Clone, Debug)]
pub struct Chain {
    platform: Rc<Platform>,
}

impl Chain {
    /// Creates a client of the chain stored in `platform`.
    pub fn new(platform: Rc<Platform>) -> Self {
        Self { platform }
    }

    /// Reads the head of the chain; `None` before the first revision.
    pub async fn head(&self) -> anyhow::Result<Option<Head>> {
        let row = self.platform.row(HEAD).await.context("reading the head of the chain")?;
        parse_head(&row)
    }

    /// Reads the revision at `head`.
    pub async fn load(&self, head: &Head) -> anyhow::Result<RevisionDoc> {
        let bytes = self.platform.object(&head.object).await;
        let bytes = bytes.with_context(|| format!("reading revision {}", head.number))?;
        let doc: RevisionDoc = serde_json::from_slice(&bytes)
            .with_context(|| format!("reading revision {}", head.number))?;
        anyhow::ensure!(
            doc.number == head.number,
            "object {} holds revision {}, not {}",
            head.object,
            doc.number,
            head.number
        );
        Ok(doc)
    }

    /// Appends `doc` if the newest revision is still its predecessor.
    ///
    /// After an error the revision may have been appended; the call can be repeated with the same
    /// document. The platform never applies a commit id twice, and a revision that was not
    /// appended gets [`AppendOutcome::Conflict`] once the head has advanced.
    pub async fn append(&self, doc: &RevisionDoc) -> anyhow::Result<AppendOutcome> {
        let row = self.platform.row(HEAD).await.context("reading the head of the chain")?;
        let newest = parse_head(&row)?.map(|head| head.number).unwrap_or_default();
        let bytes = serde_json::to_vec(doc).context("writing a revision")?;
        let object = object_key(doc, &bytes);
        if newest.next() != doc.number {
            return self.resolve(doc, &object).await;
        }
        self.platform.put_object(&object, bytes.into()).await?;
        let outcome = self.platform.commit(&append_commit(doc, &row, object)?).await?;
        Ok(match outcome {
            Outcome::Applied => AppendOutcome::Accepted,
            Outcome::Conflict => AppendOutcome::Conflict,
        })
    }

    /// Determines whether `doc` is in the chain at its number. The key of its object distinguishes
    /// an append whose answer was lost from a conflict.
    async fn resolve(&self, doc: &RevisionDoc, object: &str) -> anyhow::Result<AppendOutcome> {
        let entry = self.entry(doc.number).await?;
        Ok(match entry {
            Some(entry) if &*entry.object == object => AppendOutcome::Accepted,
            _ => AppendOutcome::Conflict,
        })
    }

    /// Returns the revision that a submit made; `None` if it has made none.
    pub async fn submitted(&self, submit: &SubmitId) -> anyhow::Result<Option<Revision>> {
        let row = self.platform.row(&submit_key(submit)).await.context("reading a submit")?;
        if row.version == 0 {
            return Ok(None);
        }
        row.value.parse().map(Some).context("reading a submit")
    }

    /// Returns the newest revision marked as propagated to the majorities.
    pub async fn propagated(&self) -> anyhow::Result<Revision> {
        let row = self.platform.row(PROPAGATED).await.context("reading the propagated revision")?;
        parse_propagated(&row)
    }

    /// Marks a revision as propagated to the majorities, unless it or a newer one is marked.
    ///
    /// A conflict is not an error: the other host marked this revision or a newer one, or the next
    /// call marks it.
    pub async fn mark_propagated(&self, number: Revision) -> anyhow::Result<()> {
        let row = self.platform.row(PROPAGATED).await.context("reading the propagated revision")?;
        if parse_propagated(&row)? >= number {
            return Ok(());
        }
        let put = Put { key: PROPAGATED.into(), value: number.to_string().into() };
        let check = Check { key: PROPAGATED.into(), version: row.version };
        let id = format!("told-{number}-{}", row.version).into();
        let commit = Commit { id, checks: vec![check], puts: vec![put] };
        self.platform.commit(&commit).await.context("marking the propagated revision").map(drop)
    }

    /// Returns the platform's list of machines, which lags behind.
    pub async fn listed(&self) -> anyhow::Result<Vec<Machine>> {
        self.platform.listed().await.context("reading the list of machines")
    }

    /// Returns the history entry of a revision; `None` if there is none.
    pub async fn entry(&self, number: Revision) -> anyhow::Result<Option<Entry>> {
        let row = self.platform.row(&entry_key(number)).await.context("reading the history")?;
        if row.version == 0 {
            return Ok(None);
        }
        serde_json::from_str(&row.value).context("reading the history").map(Some)
    }
}

/// Returns the key of a revision's object. Two runs of one submit may write different documents
/// with the same number, so the key contains a hash of the content.
fn object_key(doc: &RevisionDoc, bytes: &[u8]) -> String {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    format!("revision-{}-{}-{:016x}", doc.number, doc.submit, hasher.finish())
}

fn entry_key(number: Revision) -> String {
    format!("revision-{:012}", number.0)
}

fn submit_key(submit: &SubmitId) -> String {
    format!("submit-{submit}")
}

fn parse_propagated(row: &Row) -> anyhow::Result<Revision> {
    if row.version == 0 {
        return Ok(Revision::default());
    }
    row.value.parse().context("reading the propagated revision")
}

fn parse_head(row: &Row) -> anyhow::Result<Option<Head>> {
    if row.version == 0 {
        return Ok(None);
    }
    serde_json::from_str(&row.value).context("reading the head of the chain").map(Some)
}

/// Builds the commit that appends `doc` to the chain with the head row `head`.
fn append_commit(doc: &RevisionDoc, head: &Row, object: String) -> anyhow::Result<Commit> {
    let object: Box<str> = object.into();
    let entry = Entry {
        number: doc.number,
        submit: doc.submit.clone(),
        author: doc.author.clone(),
        at: doc.at,
        config_revision: doc.config_revision,
        object: object.clone(),
    };
    let next = Head { number: doc.number, object: object.clone() };
    Ok(Commit {
        id: object,
        checks: vec![
            Check { key: HEAD.into(), version: head.version },
            // A submit that runs twice concurrently is accepted once.
            Check { key: submit_key(&doc.submit).into(), version: 0 },
        ],
        puts: vec![
            Put { key: HEAD.into(), value: serde_json::to_string(&next)?.into() },
            Put { key: submit_key(&doc.submit).into(), value: doc.number.to_string().into() },
            Put { key: entry_key(doc.number).into(), value: serde_json::to_string(&entry)?.into() },
        ],
    })
}
