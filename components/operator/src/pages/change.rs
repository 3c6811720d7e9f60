//! Pages that change the configuration.

use std::time::UNIX_EPOCH;

use bergamottrack_contract::{Config, diff};
use bergamottrack_coordination::{AccountId, KeyId, OperatorId, Revision, SubmitId};
use bergamottrack_fleet::{SubmitError, fleet};
use bergamottrack_platform::chain::Entry;
use hyper::StatusCode;
use tracing::info;

use super::PageResult;
use crate::{
    api::AcceptedPage,
    operator::Operator,
    serve::{Reply, Request},
};

/// Maximum number of attempts to withdraw a key while other changes conflict with it.
const MAX_WITHDRAW_ATTEMPTS: usize = 5;

/// Maximum number of differences listed in a conflict.
const MAX_DIFFERENCES: usize = 20;

/// A change submitted by an operator.
struct Change {
    config: Config,
    author: OperatorId,
    submit: SubmitId,
    base: Revision,
    /// Description for the log.
    description: Box<str>,
    notes: Vec<Box<str>>,
}

impl Change {
    /// Creates a change from the parameters of a request.
    fn read(
        operator: &Operator,
        request: &Request,
        config: Config,
        description: impl Into<Box<str>>,
    ) -> Result<Self, Reply> {
        let author = super::query_param(request, "author")?;
        Ok(Self {
            config,
            author: author.unwrap_or_else(|| "operator".parse().expect("a name")),
            submit: super::query_param(request, "submit")?.unwrap_or_else(fleet::new_submit_id),
            base: super::query_param(request, "base")?
                .unwrap_or_else(|| operator.fleet.current.number()),
            description: description.into(),
            notes: Vec::new(),
        })
    }

    /// Refuses a change that makes a withdrawn key valid again because the operator's files still
    /// have it as valid; a caller could then log in with a key that had been withdrawn by phone.
    ///
    /// The revision in force was read immediately before, so it contains the withdrawal;
    /// otherwise the submit conflicts with the revision that made it.
    fn check_withdrawn(&self, operator: &Operator) -> Result<(), Reply> {
        let Some(doc) = operator.fleet.current.get() else { return Ok(()) };
        // A change based on an older configuration is a conflict anyway, or was accepted before.
        if self.base < doc.config_revision {
            return Ok(());
        }
        let restored = doc.config.iter().flat_map(|now| diff::restored_keys(now, &self.config));
        let names: Vec<String> =
            restored.map(|(account, key)| format!("{}.{}", account.id, key.id)).collect();
        if names.is_empty() {
            return Ok(());
        }
        Err(super::refused(format!(
            "not accepted, nothing changed: it would let withdrawn keys work again: {}; set \
             withdrawn = true for them in the files, or submit with --restore-keys",
            names.join(", ")
        )))
    }

    /// Submits the change.
    async fn send(self, operator: &Operator) -> Result<AcceptedPage, SubmitError> {
        let Self { config, author, submit, base, description, notes } = self;
        let accepted = operator.fleet.submit(config, author.as_str(), submit, base).await?;
        info!("operator: {author} {description}: revision {} was accepted.", accepted.revision);
        let (mut in_force, mut missing) = (accepted.in_force, accepted.missing);
        in_force.sort();
        missing.sort();
        Ok(AcceptedPage { revision: accepted.revision, in_force, missing, notes })
    }
}

/// Reads the newest revision, so that a change is not checked against an older one than the
/// operator has seen on another host.
async fn refresh_revision(operator: &Operator) -> Result<(), Reply> {
    let newest = operator.fleet.refresh().await;
    newest.map_err(|error| super::refused(SubmitError::Platform(error).to_string()))?;
    Ok(())
}

/// Puts a complete configuration into force.
pub async fn submit(operator: &Operator, request: &Request) -> PageResult {
    let text = String::from_utf8_lossy(&request.body);
    let config = Config::parse(&text).map_err(|faults| super::faulty(faults.to_string()))?;
    refresh_revision(operator).await?;
    let restore_keys: bool = super::query_param(request, "restore")?.unwrap_or_default();
    let change = Change::read(operator, request, config, "submitted a configuration")?;
    if !restore_keys {
        change.check_withdrawn(operator)?;
    }
    reply(operator, change.send(operator).await).await
}

/// Puts an earlier configuration into force as a new revision; withdrawn keys stay withdrawn.
pub async fn rollback(operator: &Operator, request: &Request) -> PageResult {
    let to: Revision = super::required_param(request, "to")?;
    refresh_revision(operator).await?;
    let doc = operator.fleet.load(to).await;
    let doc = doc.map_err(|error| {
        let message = format!("not accepted, nothing changed: reading revision {to}: {error:#}");
        super::refused(message)
    })?;
    let config = doc.and_then(|doc| doc.config).ok_or_else(|| {
        super::refused(format!("not accepted, nothing changed: revision {to} has no configuration"))
    })?;
    let description = format!("went back to the configuration of revision {to}");
    let mut change = Change::read(operator, request, config, description)?;
    if let Some(now) = operator.fleet.current.get().and_then(|doc| doc.config.clone()) {
        change.notes = keep_withdrawn(&now, &mut change.config);
    }
    reply(operator, change.send(operator).await).await
}

/// Withdraws the keys in `config` that are withdrawn in `now`; returns a note for each.
fn keep_withdrawn(now: &Config, config: &mut Config) -> Vec<Box<str>> {
    let restored = diff::restored_keys(now, config);
    let names: Vec<_> =
        restored.iter().map(|(account, key)| (account.id.clone(), key.id.clone())).collect();
    let mut notes = Vec::new();
    for (account, key) in names {
        withdraw_key(config, &account, &key);
        notes.push(format!("key {account}.{key} stays withdrawn").into());
    }
    notes
}

/// Withdraws a key, also if other changes are made concurrently.
pub async fn withdraw(operator: &Operator, request: &Request) -> PageResult {
    let account: AccountId = super::required_param(request, "account")?;
    let key: KeyId = super::required_param(request, "key")?;
    let mut attempts = 0;
    loop {
        attempts += 1;
        let doc = operator.fleet.current.get();
        let doc = doc.ok_or_else(|| super::refused("this host knows no revision yet"))?;
        let mut config = doc.config.clone();
        let found = config.as_mut().is_some_and(|config| withdraw_key(config, &account, &key));
        let config = config.filter(|_| found).ok_or_else(|| {
            let message = format!("account {account} has no key {key}");
            super::refused(format!("not accepted, nothing changed: {message}"))
        })?;
        let description = format!("withdrew key {account}.{key}");
        let mut change = Change::read(operator, request, config, description)?;
        change.base = doc.number;
        match change.send(operator).await {
            Err(SubmitError::Conflict { .. }) if attempts < MAX_WITHDRAW_ATTEMPTS => {}
            result => return reply(operator, result).await,
        }
    }
}

/// Marks a key as withdrawn; returns `false` if there is no such key.
fn withdraw_key(config: &mut Config, account: &AccountId, key: &KeyId) -> bool {
    let accounts = config.accounts.iter_mut().filter(|known| known.id == *account);
    let key = accounts.flat_map(|account| &mut account.keys).find(|known| known.id == *key);
    key.map(|key| key.withdrawn = true).is_some()
}

/// Creates the reply to a submit from its result.
async fn reply(operator: &Operator, result: Result<AcceptedPage, SubmitError>) -> PageResult {
    match result {
        Ok(page) => Ok(Reply::json(StatusCode::OK, &page)),
        Err(SubmitError::Conflict { base, changes }) => {
            Err(super::refused(describe_conflict(operator, base, &changes).await))
        }
        Err(error @ (SubmitError::Unknown(_) | SubmitError::NotPropagated { .. })) => {
            Err(super::unknown(error.to_string()))
        }
        Err(error) => Err(super::refused(error.to_string())),
    }
}

/// Lists the revisions since the base revision of a submit and the differences they made.
async fn describe_conflict(operator: &Operator, base: Revision, changes: &[Entry]) -> String {
    let mut text = format!(
        "not accepted, nothing changed: the configuration has been changed since revision {base}:"
    );
    let now = operator.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    for Entry { number, author, at, .. } in changes {
        text += &format!("\n  revision {number} by {author}, {}s ago", now.saturating_sub(*at));
    }
    // The authors of the changes are listed even if the platform is unavailable.
    let before = operator.fleet.load(base).await.ok().flatten();
    let after = operator.fleet.current.get();
    if let (Some(before), Some(after)) = (before, after.and_then(|doc| doc.config.clone())) {
        for change in diff::diff(before.config.as_ref(), &after).iter().take(MAX_DIFFERENCES) {
            text += &format!("\n  {change}");
        }
    }
    text
}
