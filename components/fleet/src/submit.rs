//! Submission of configuration changes by operators.

use std::time::Duration;

use bergamottrack_contract::{Config, RevisionDoc};
use bergamottrack_coordination::{HostId, Revision, SubmitId};
use bergamottrack_platform::chain::{AppendOutcome, Entry};

use crate::{fleet::Fleet, rounds};

/// Maximum number of attempts to append a submit while roster changes conflict with it.
const MAX_ATTEMPTS: usize = 10;

/// Maximum number of times that a change is sent if the answer is lost.
const MAX_SENDS: usize = 3;

/// Maximum number of further rounds for hosts that lack an accepted revision.
const MAX_STRAGGLER_ROUNDS: usize = 5;

/// Interval between these rounds.
const STRAGGLER_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of changes listed in a conflict.
const MAX_CHANGES: usize = 20;

/// An accepted submit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// Revision that contains the configuration.
    pub revision: Revision,
    /// Hosts that have this revision or a newer one in force.
    pub in_force: Vec<HostId>,
    /// Hosts that do not have it yet; within `fresh_ms` at the latest they refuse all requests
    /// until they have it.
    pub missing: Vec<HostId>,
}

/// Reason why a submit was not accepted or its outcome is unknown.
#[derive(Debug, thiserror::Error)]
pub enum SubmitError {
    /// The configuration changed after the base revision.
    #[error(
        "not accepted, nothing changed: the configuration of revision {base} has been changed \
         since{}",
        list_changes(changes)
    )]
    Conflict {
        /// Base revision of the submit.
        base: Revision,
        /// Changes since the base revision, newest first.
        changes: Vec<Entry>,
    },
    /// The base revision does not exist.
    #[error(
        "not accepted, nothing changed: there is no revision {base} to make it against, the newest \
         is {newest}"
    )]
    UnknownBase {
        /// Base revision of the submit.
        base: Revision,
        /// Newest revision.
        newest: Revision,
    },
    /// The platform could not be read, so nothing was sent to it.
    #[error(
        "not accepted, this run changed nothing: the platform cannot be used: {0:#}; if an \
         earlier run of the same submit ended unknown, run it again later"
    )]
    Platform(anyhow::Error),
    /// The revision in force was not propagated to a majority, so it may not get a successor.
    #[error("not accepted, this run changed nothing: {0:#}")]
    NoMajority(anyhow::Error),
    /// Every attempt conflicted with another change.
    #[error("not accepted, nothing changed: other changes came first; run the same submit again")]
    Busy,
    /// The change was sent, but the answer was lost.
    #[error("not yet known whether it was accepted; run the same submit again: {0:#}")]
    Unknown(anyhow::Error),
    /// The change is in the chain, but was not propagated to a majority of the hosts.
    #[error(
        "revision {revision} holds it, but no majority of the hosts has it in force yet; run the \
         same submit again"
    )]
    NotPropagated {
        /// Revision that contains the change.
        revision: Revision,
    },
}

fn list_changes(changes: &[Entry]) -> String {
    let line = |e: &Entry| format!("; revision {} by {} at {}", e.number, e.author, e.at);
    changes.iter().map(line).collect()
}

impl Fleet {
    /// Submits a configuration that is based on the revision `base`.
    ///
    /// Changes of the configuration since `base` are a conflict, changes of the roster are not. A
    /// submit id is accepted at most once; if repeated, the result states whether it was accepted.
    pub async fn submit(
        &self,
        config: Config,
        author: &str,
        submit: SubmitId,
        base: Revision,
    ) -> Result<Accepted, SubmitError> {
        for _ in 0..MAX_ATTEMPTS {
            let submitted = self.chain.submitted(&submit).await.map_err(SubmitError::Platform)?;
            let before = self.refresh().await.map_err(SubmitError::Platform)?;
            if let Some(number) = submitted {
                return self.complete(number).await;
            }
            self.check_base(before.as_deref(), base).await?;
            self.ensure_propagated().await.map_err(SubmitError::NoMajority)?;
            let doc = self.draft_config(before.as_deref(), submit.clone(), author, config.clone());
            let number = doc.number;
            if self.append_with_retries(&doc).await? == AppendOutcome::Accepted {
                self.adopt(doc);
                return self.complete(number).await;
            }
        }
        Err(SubmitError::Busy)
    }

    /// Refuses a submit that is not based on the configuration in force: it would silently undo
    /// another operator's change.
    async fn check_base(
        &self,
        newest: Option<&RevisionDoc>,
        base: Revision,
    ) -> Result<(), SubmitError> {
        // A mistyped number must not count as newer than all revisions.
        let number = newest.map(|doc| doc.number).unwrap_or_default();
        if base > number {
            return Err(SubmitError::UnknownBase { base, newest: number });
        }
        let Some(newest) = newest.filter(|doc| doc.config_revision > base) else {
            return Ok(());
        };
        let mut changes = Vec::new();
        let mut number = newest.number;
        while number > base && changes.len() < MAX_CHANGES {
            let entry = self.chain.entry(number).await.map_err(SubmitError::Platform)?;
            changes.extend(entry.filter(|entry| entry.config_revision == entry.number));
            number = Revision(number.0 - 1);
        }
        Err(SubmitError::Conflict { base, changes })
    }

    /// Appends a revision to the chain, and sends it again if the answer is lost.
    async fn append_with_retries(&self, doc: &RevisionDoc) -> Result<AppendOutcome, SubmitError> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.chain.append(doc).await {
                Ok(appended) => return Ok(appended),
                Err(error) if attempts == MAX_SENDS => return Err(SubmitError::Unknown(error)),
                Err(_) => {}
            }
        }
    }

    /// Propagates an accepted revision to all hosts; it is in force once majorities have it.
    async fn complete(&self, revision: Revision) -> Result<Accepted, SubmitError> {
        let mut tally = self.propagate().await;
        if !tally.propagated {
            return Err(SubmitError::NotPropagated { revision });
        }
        let mut roster = self.roster_ids();
        for _ in 0..MAX_STRAGGLER_ROUNDS {
            if tally.in_force.len() == roster.len() {
                break;
            }
            monoio::time::sleep(STRAGGLER_INTERVAL).await;
            tally = self.run_round().await.unwrap_or_default();
            roster = self.roster_ids();
        }
        let (in_force, missing) =
            roster.into_iter().partition(|host| tally.in_force.contains(host));
        Ok(Accepted { revision, in_force, missing })
    }

    fn roster_ids(&self) -> Vec<HostId> {
        self.current.get().map(|doc| rounds::host_ids(&doc.roster)).unwrap_or_default()
    }
}
