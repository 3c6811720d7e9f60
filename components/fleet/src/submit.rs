//! An operator's change of the configuration.

use std::time::Duration;

use bergamottrack_contract::{Config, RevisionDoc};
use bergamottrack_coordination::{HostId, Revision, SubmitId};
use bergamottrack_platform::chain::{AppendOutcome, Entry};

use crate::{fleet::Fleet, rounds};

/// How often a submit is tried against roster changes that come between.
const MAX_ATTEMPTS: usize = 10;

/// How often a change whose answer was lost is sent again.
const MAX_SENDS: usize = 3;

/// How often the hosts that lack an accepted revision are told again.
const STRAGGLER_ROUNDS: usize = 5;

const STRAGGLER_INTERVAL: Duration = Duration::from_millis(100);

/// The most changes that a lost race lists.
const MAX_CHANGES: usize = 20;

/// A submit that was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// The revision that holds the configuration.
    pub revision: Revision,
    /// The hosts that have it, or a newer one, in force.
    pub in_force: Vec<HostId>,
    /// The hosts that do not have it yet; they serve nobody, or will within
    /// `fresh_ms`, until they have it.
    pub missing: Vec<HostId>,
}

/// Why a submit was not accepted, or is not known to be.
#[derive(Debug, thiserror::Error)]
pub enum SubmitError {
    /// The configuration changed since the operator looked.
    #[error(
        "not accepted, nothing changed: the configuration of revision {base} has been changed \
         since{}",
        list_changes(changes)
    )]
    Conflict {
        /// What the submit was made against.
        base: Revision,
        /// What changed it since, newest first.
        changes: Vec<Entry>,
    },
    /// The revision that it names does not exist.
    #[error(
        "not accepted, nothing changed: there is no revision {base} to make it against, the newest \
         is {newest}"
    )]
    UnknownBase {
        /// What the submit was made against.
        base: Revision,
        /// The newest revision.
        newest: Revision,
    },
    /// The platform could not be read, so nothing was sent to it.
    #[error(
        "not accepted, this run changed nothing: the platform cannot be used: {0:#}; if an \
         earlier run of the same submit ended unknown, run it again later"
    )]
    Platform(anyhow::Error),
    /// The revision in force was not told to a majority, so none may follow it.
    #[error("not accepted, this run changed nothing: {0:#}")]
    NoMajority(anyhow::Error),
    /// Other changes came first again and again.
    #[error("not accepted, nothing changed: other changes came first; run the same submit again")]
    Busy,
    /// The change was sent and no answer came.
    #[error("not yet known whether it was accepted; run the same submit again: {0:#}")]
    Unknown(anyhow::Error),
    /// The chain has it, but no majority of the hosts does.
    #[error(
        "revision {revision} holds it, but no majority of the hosts has it in force yet; run the \
         same submit again"
    )]
    NotPropagated {
        /// The revision that holds it.
        revision: Revision,
    },
}

fn list_changes(changes: &[Entry]) -> String {
    let line = |e: &Entry| format!("; revision {} by {} at {}", e.number, e.author, e.at);
    changes.iter().map(line).collect()
}

impl Fleet {
    /// Accepts a configuration made against the revision `base`.
    ///
    /// Changes of the roster since `base` are no conflict, changes of the
    /// configuration are. The same submit id is accepted at most once: run
    /// again, it says truthfully whether it was.
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

    /// Refuses a submit whose base is not the configuration in force: it would
    /// undo the other operator's change without a word.
    async fn check_base(
        &self,
        newest: Option<&RevisionDoc>,
        base: Revision,
    ) -> Result<(), SubmitError> {
        // A number that was mistyped must not pass for one that is newer than all.
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

    /// Moves the chain on; an answer that was lost is asked for again.
    async fn append_with_retries(&self, doc: &RevisionDoc) -> Result<AppendOutcome, SubmitError> {
        let mut tries = 0;
        loop {
            tries += 1;
            match self.chain.append(doc).await {
                Ok(appended) => return Ok(appended),
                Err(error) if tries == MAX_SENDS => return Err(SubmitError::Unknown(error)),
                Err(_) => {}
            }
        }
    }

    /// Tells all hosts of an accepted revision; it is in force when majorities have it.
    async fn complete(&self, revision: Revision) -> Result<Accepted, SubmitError> {
        let mut tally = self.propagate().await;
        if !tally.propagated {
            return Err(SubmitError::NotPropagated { revision });
        }
        let mut roster = self.roster_ids();
        for _ in 0..STRAGGLER_ROUNDS {
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
