//! The chain of revisions in the table service, moved on by compare-and-swap.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
};

use anyhow::Context;
use bergamottrack_contract::RevisionDoc;
use bergamottrack_coordination::{Revision, SubmitId};
use serde::{Deserialize, Serialize};

use crate::client::{Check, Commit, Machine, Outcome, Platform, Put, Row};

const HEAD: &str = "head";

/// The row with the newest revision known to majorities. A host that cannot
/// reach its peers learns from it when it may use its part of the rates.
const PROPAGATED: &str = "told";

/// The row that names the newest revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Its number.
    pub number: Revision,
    /// The object that holds it.
    pub object: Box<str>,
}

/// What became of an attempt to move the chain on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The revision is the newest, or was.
    Accepted,
    /// Another came first.
    Conflict,
}

/// A line of the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Number of the revision.
    pub number: Revision,
    /// The submit that made it.
    pub submit: SubmitId,
    /// Who made it.
    pub author: Box<str>,
    /// When, in seconds since 1970.
    pub at: u64,
    /// The revision that brought the configuration in it.
    pub config_revision: Revision,
    /// The object that holds it.
    pub object: Box<str>,
}

/// The chain of revisions.
#[derive(Clone, Debug)]
pub struct Chain {
    platform: Rc<Platform>,
}

impl Chain {
    /// The chain that stands in this platform.
    pub fn new(platform: Rc<Platform>) -> Self {
        Self { platform }
    }

    /// The newest revision's head; `None` before the first revision.
    pub async fn head(&self) -> anyhow::Result<Option<Head>> {
        let row = self.platform.row(HEAD).await.context("reading the head of the chain")?;
        parse_head(&row)
    }

    /// Reads the revision that a head names.
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

    /// Moves the chain on to `doc` if the newest is still the one before it.
    ///
    /// After an error it may have moved: call again with the same document. The
    /// same id is never applied twice, and a change that was not applied is
    /// answered as lost once the head has moved on.
    pub async fn append(&self, doc: &RevisionDoc) -> anyhow::Result<AppendOutcome> {
        let row = self.platform.row(HEAD).await.context("reading the head of the chain")?;
        let newest = parse_head(&row)?.map(|head| head.number).unwrap_or_default();
        let bytes = serde_json::to_vec(doc).context("writing a revision")?;
        let object = object_key(doc, &bytes);
        if newest.next() != doc.number {
            return self.settle(doc, &object).await;
        }
        self.platform.put_object(&object, bytes.into()).await?;
        let outcome = self.platform.commit(&step(doc, &row, object)?).await?;
        Ok(match outcome {
            Outcome::Applied => AppendOutcome::Accepted,
            Outcome::Conflict => AppendOutcome::Conflict,
        })
    }

    /// Settles whether `doc` came into the chain at its number: a lost answer is
    /// told from a lost race by the document's own object.
    async fn settle(&self, doc: &RevisionDoc, object: &str) -> anyhow::Result<AppendOutcome> {
        let entry = self.entry(doc.number).await?;
        Ok(match entry {
            Some(entry) if &*entry.object == object => AppendOutcome::Accepted,
            _ => AppendOutcome::Conflict,
        })
    }

    /// The revision that a submit made, if it has made one.
    pub async fn submitted(&self, submit: &SubmitId) -> anyhow::Result<Option<Revision>> {
        let row = self.platform.row(&submit_key(submit)).await.context("reading a submit")?;
        if row.version == 0 {
            return Ok(None);
        }
        row.value.parse().map(Some).context("reading a submit")
    }

    /// The newest revision that was told to majorities, as far as marked.
    pub async fn propagated(&self) -> anyhow::Result<Revision> {
        let row = self.platform.row(PROPAGATED).await.context("reading what was told")?;
        parse_propagated(&row)
    }

    /// Marks a revision as told to majorities, unless a newer one is.
    ///
    /// Losing a race is well: the other host marked this one or a newer one, or
    /// the next call does.
    pub async fn mark_propagated(&self, number: Revision) -> anyhow::Result<()> {
        let row = self.platform.row(PROPAGATED).await.context("reading what was told")?;
        if parse_propagated(&row)? >= number {
            return Ok(());
        }
        let put = Put { key: PROPAGATED.into(), value: number.to_string().into() };
        let check = Check { key: PROPAGATED.into(), version: row.version };
        let id = format!("told-{number}-{}", row.version).into();
        let commit = Commit { id, checks: vec![check], puts: vec![put] };
        self.platform.commit(&commit).await.context("marking what was told").map(drop)
    }

    /// The platform's list of machines, some time late.
    pub async fn listed(&self) -> anyhow::Result<Vec<Machine>> {
        self.platform.listed().await.context("reading the list of machines")
    }

    /// The history's line of one revision.
    pub async fn entry(&self, number: Revision) -> anyhow::Result<Option<Entry>> {
        let row = self.platform.row(&entry_key(number)).await.context("reading the history")?;
        if row.version == 0 {
            return Ok(None);
        }
        serde_json::from_str(&row.value).context("reading the history").map(Some)
    }
}

/// The object of a revision. Two runs of one submit may write different
/// documents at the same number, so its name depends on what it holds.
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
    row.value.parse().context("reading what was told")
}

fn parse_head(row: &Row) -> anyhow::Result<Option<Head>> {
    if row.version == 0 {
        return Ok(None);
    }
    serde_json::from_str(&row.value).context("reading the head of the chain").map(Some)
}

fn step(doc: &RevisionDoc, head: &Row, object: String) -> anyhow::Result<Commit> {
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
            // A submit run twice at once is accepted once.
            Check { key: submit_key(&doc.submit).into(), version: 0 },
        ],
        puts: vec![
            Put { key: HEAD.into(), value: serde_json::to_string(&next)?.into() },
            Put { key: submit_key(&doc.submit).into(), value: doc.number.to_string().into() },
            Put { key: entry_key(doc.number).into(), value: serde_json::to_string(&entry)?.into() },
        ],
    })
}
