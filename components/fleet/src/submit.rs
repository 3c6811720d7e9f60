//! An operator's change of the configuration.

use bergamottrack_contract::Config;
use bergamottrack_coordination::{Revision, SubmitId};
use bergamottrack_platform::chain::Appended;

use crate::fleet::Fleet;

/// Why a submit was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum SubmitError {
    /// The configuration changed since the operator looked.
    #[error("the configuration has changed: revision {newest} is in force, not {base}")]
    Lost {
        /// What the submit was made against.
        base: Revision,
        /// What is in force.
        newest: Revision,
    },
    /// The platform did not answer; the same submit may be sent again.
    #[error("the platform cannot be used: {0:#}")]
    Platform(anyhow::Error),
}

impl Fleet {
    /// Accepts a configuration; gives the revision that holds it.
    pub async fn submit(
        &self,
        config: Config,
        author: &str,
        submit: SubmitId,
    ) -> Result<Revision, SubmitError> {
        let before = self.current.get();
        let doc = self.draft(before.as_deref(), submit, author, Some(config));
        let number = doc.number;
        match self.chain.append(&doc).await.map_err(SubmitError::Platform)? {
            Appended::Yes => {
                self.adopt(doc);
                Ok(number)
            }
            Appended::Lost => Err(SubmitError::Lost {
                base: before.map(|doc| doc.number).unwrap_or_default(),
                newest: self.current.number(),
            }),
        }
    }
}
