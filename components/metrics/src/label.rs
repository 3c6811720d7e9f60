//! Label sets. All are bounded: their values are from the configuration in force or from a fixed
//! list, never from a caller's input.

use std::fmt::{self, Write};

use bergamottrack_coordination::{AccountId, GroupId, Reason};
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};

/// Value of a label.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Label(Box<str>);

impl Label {
    /// Creates a label value from the value's text.
    pub fn new(value: &impl fmt::Display) -> Self {
        Self(value.to_string().into())
    }
}

impl EncodeLabelValue for Label {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        encoder.write_str(&self.0)
    }
}

/// Labels of the metrics of a client account.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AccountLabels {
    account: Label,
}

impl AccountLabels {
    /// Creates the labels of an account.
    pub fn new(account: &AccountId) -> Self {
        Self { account: Label::new(account) }
    }
}

/// Labels of the metrics of a database group.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct GroupLabels {
    group: Label,
}

impl GroupLabels {
    /// Creates the labels of a group.
    pub fn new(group: &GroupId) -> Self {
        Self { group: Label::new(group) }
    }
}

/// Labels of refusals.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RefusalLabels {
    account: Label,
    reason: Label,
}

impl RefusalLabels {
    /// Creates the labels of an account's refusals for one reason.
    pub fn new(account: &AccountId, reason: Reason) -> Self {
        Self { account: Label::new(account), reason: Label::new(&reason) }
    }
}

/// Labels of reads.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ReadLabels {
    group: Label,
    server: Label,
}

impl ReadLabels {
    /// Creates the labels of a group's reads from replicas or from the primary.
    pub fn new(group: &GroupId, replica: bool) -> Self {
        let server = if replica { "replica" } else { "primary" };
        Self { group: Label::new(group), server: Label::new(&server) }
    }
}

/// Labels of a phase of promotions.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PhaseLabels {
    group: Label,
    phase: Label,
}

impl PhaseLabels {
    /// Creates the labels of one phase of a group's promotions.
    pub fn new(group: &GroupId, phase: &impl fmt::Display) -> Self {
        Self { group: Label::new(group), phase: Label::new(phase) }
    }
}

/// Labels of the metrics of a backend server.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServerLabels {
    /// Database group.
    pub group: Label,
    /// Backend server.
    pub server: Label,
}
