//! JSON types in the replies of the pages.

use bergamottrack_contract::{Config, Host, RevisionDoc};
use bergamottrack_coordination::{
    AccountId, FailureDomain, GroupId, HostId, RequestId, Revision, outcome::Outcome,
};
use bergamottrack_metrics::HostReport;
use serde::{Deserialize, Serialize};

/// A revision of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigPage {
    /// Number of the revision; it may have changed only the roster.
    pub revision: Revision,
    /// Revision that introduced the configuration.
    pub config_revision: Revision,
    /// Author of the revision.
    pub author: Box<str>,
    /// Time of its creation in seconds since 1970.
    pub at: u64,
    /// Configuration; `None` before the first submit.
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

/// An accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedPage {
    /// Revision that contains the change.
    pub revision: Revision,
    /// Hosts that have it in force.
    pub in_force: Vec<HostId>,
    /// Hosts that do not have it yet; they serve no requests until they have it.
    pub missing: Vec<HostId>,
    /// Additional notes for the operator.
    pub notes: Vec<Box<str>>,
}

/// Outcome of a caller's request that runs at most once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomePage {
    /// Database group.
    pub group: GroupId,
    /// Client account.
    pub account: AccountId,
    /// Id that the caller gave to the request.
    pub request: RequestId,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Outcome of a request to a page that failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// Not accepted; it changed nothing.
    Refused,
    /// The request itself is invalid.
    Faulty,
    /// The outcome is not yet known; the same request may be sent again.
    Unknown,
}

/// Reply to a request to a page that failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorPage {
    /// Outcome of the request.
    pub verdict: Verdict,
    /// Message for the operator.
    pub message: Box<str>,
}

/// State of the fleet as seen by one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusPage {
    /// Host that created this page.
    pub from: HostId,
    /// Name of the site; `None` before the first submit.
    pub site: Option<Box<str>>,
    /// Revision in force on that host.
    pub revision: Revision,
    /// Revision that introduced the configuration.
    pub config_revision: Revision,
    /// Author of the revision.
    pub author: Box<str>,
    /// Time of its creation in seconds since 1970.
    pub at: u64,
    /// Database groups in the configuration.
    pub groups: Vec<GroupId>,
    /// Hosts of the roster.
    pub hosts: Vec<HostLine>,
}

/// A host of the roster.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostLine {
    /// Id of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Report of the host; `None` if it did not answer.
    pub report: Option<HostReport>,
}

impl HostLine {
    /// Creates the entry of a host.
    pub fn new(host: &Host, report: Option<HostReport>) -> Self {
        Self { host: host.id.clone(), domain: host.domain.clone(), report }
    }
}
