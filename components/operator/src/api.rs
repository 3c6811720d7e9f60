//! What the pages answer, as JSON.

use bergamottrack_contract::{Config, Host, RevisionDoc};
use bergamottrack_coordination::{
    AccountId, FailureDomain, GroupId, HostId, RequestId, Revision, outcome::Outcome,
};
use bergamottrack_metrics::HostReport;
use serde::{Deserialize, Serialize};

/// A revision of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigPage {
    /// The revision; it may have changed the roster only.
    pub revision: Revision,
    /// The revision that brought the configuration.
    pub config_revision: Revision,
    /// Who made the revision.
    pub author: Box<str>,
    /// When, in seconds since 1970.
    pub at: u64,
    /// The configuration; none before the first submit.
    pub config: Option<Config>,
}

impl From<&RevisionDoc> for ConfigPage {
    fn from(doc: &RevisionDoc) -> Self {
        Self {
            revision: doc.number,
            config_revision: doc.config_revision,
            author: doc.author.clone(),
            at: doc.at,
            config: doc.config.clone(),
        }
    }
}

/// A change that was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedPage {
    /// The revision that holds it.
    pub revision: Revision,
    /// The hosts that have it in force.
    pub in_force: Vec<HostId>,
    /// The hosts that do not have it yet; they serve nobody before they have it.
    pub missing: Vec<HostId>,
    /// What a person should know besides.
    pub notes: Vec<Box<str>>,
}

/// What became of a caller's request that runs at most once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomePage {
    /// The database group.
    pub group: GroupId,
    /// The client account.
    pub account: AccountId,
    /// The caller's id of the request.
    pub request: RequestId,
    /// What became of it.
    pub outcome: Outcome,
}

/// What became of a request that was not carried out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// Not accepted; it changed nothing.
    Refused,
    /// The request itself is faulty.
    Faulty,
    /// Not known yet; the same request may be sent again.
    Unknown,
}

/// Why a request was not carried out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorPage {
    /// What became of it.
    pub verdict: Verdict,
    /// What a person should know.
    pub message: Box<str>,
}

/// The fleet as one host sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusPage {
    /// The host that answers.
    pub from: HostId,
    /// The name of the site; none before the first submit.
    pub site: Option<Box<str>>,
    /// The revision in force at the host that answers.
    pub revision: Revision,
    /// The revision that brought the configuration.
    pub config_revision: Revision,
    /// Who made the revision.
    pub author: Box<str>,
    /// When, in seconds since 1970.
    pub at: u64,
    /// The database groups of the configuration.
    pub groups: Vec<GroupId>,
    /// All hosts of the roster.
    pub hosts: Vec<HostLine>,
}

/// A host of the roster.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostLine {
    /// The host.
    pub host: HostId,
    /// The failure domain it stands in.
    pub domain: FailureDomain,
    /// What it reports; `None` when it did not answer.
    pub report: Option<HostReport>,
}

impl HostLine {
    /// The line of a host.
    pub fn new(host: &Host, report: Option<HostReport>) -> Self {
        Self { host: host.id.clone(), domain: host.domain.clone(), report }
    }
}
