//! Changes of the configuration.

use bergamottrack_contract::{Config, diff};
use bergamottrack_coordination::{AccountId, KeyId, OperatorId, Revision, SubmitId};
use bergamottrack_fleet::{SubmitError, fleet};
use hyper::StatusCode;
use tracing::info;

use super::Shown;
use crate::{
    api::AcceptedPage,
    operator::Operator,
    serve::{Reply, Request},
};

/// How often a withdrawal is made again on top of other changes.
const WITHDRAW_TRIES: usize = 5;

/// A change as an operator sent it.
struct Change {
    config: Config,
    author: OperatorId,
    submit: SubmitId,
    base: Revision,
    notes: Vec<Box<str>>,
}

impl Change {
    fn read(operator: &Operator, request: &Request, config: Config) -> Result<Self, Reply> {
        let author = super::setting(request, "author")?;
        Ok(Self {
            config,
            author: author.unwrap_or_else(|| "operator".parse().expect("a name")),
            submit: super::setting(request, "submit")?.unwrap_or_else(fleet::new_submit),
            base: super::setting(request, "base")?
                .unwrap_or_else(|| operator.fleet.current.number()),
            notes: Vec::new(),
        })
    }

    /// Guards against a withdrawn key that works again because the operator's files
    /// still have it standing: it shows as a caller that gets in after the phone call
    /// that withdrew it. What is in force here knows of the withdrawal, or else the
    /// submit loses against the revision that made it.
    async fn check_withdrawn(&self, operator: &Operator) -> Result<(), Reply> {
        let doc = operator.fleet.current.get();
        let before = doc.as_ref().and_then(|doc| doc.config.as_ref());
        let restored = before.iter().flat_map(|before| diff::restored(before, &self.config));
        let names: Vec<String> =
            restored.map(|(account, key)| format!("{}.{}", account.id, key.id)).collect();
        if names.is_empty() || self.was_accepted(operator).await? {
            return Ok(());
        }
        Err(super::refused(format!(
            "not accepted, nothing changed: it would let withdrawn keys work again: {}; set \
             withdrawn = true for them in the files, or submit with --restore-keys",
            names.join(", ")
        )))
    }

    /// A submit that was accepted before the key was withdrawn is told so.
    async fn was_accepted(&self, operator: &Operator) -> Result<bool, Reply> {
        let number = operator.fleet.submitted(&self.submit).await;
        let number = number.map_err(|error| {
            let message = "not yet known whether it was accepted; run the same submit again";
            super::unknown(format!("{message}: {error:#}"))
        })?;
        Ok(number.is_some())
    }

    async fn send(self, operator: &Operator) -> Result<AcceptedPage, SubmitError> {
        let Self { config, author, submit, base, notes } = self;
        let accepted = operator.fleet.submit(config, author.as_str(), submit, base).await?;
        info!("operator: {author} made revision {}.", accepted.revision);
        let (mut in_force, mut missing) = (accepted.in_force, accepted.missing);
        in_force.sort();
        missing.sort();
        Ok(AcceptedPage { revision: accepted.revision, in_force, missing, notes })
    }
}

/// Puts a whole configuration in force.
pub async fn submit(operator: &Operator, request: &Request) -> Shown {
    let text = String::from_utf8_lossy(&request.body);
    let config = Config::parse(&text).map_err(|faults| super::faulty(faults.to_string()))?;
    let restores: bool = super::setting(request, "restore")?.unwrap_or_default();
    let change = Change::read(operator, request, config)?;
    if !restores {
        change.check_withdrawn(operator).await?;
    }
    shown(change.send(operator).await)
}

/// Puts an earlier configuration in force as a new revision; withdrawn keys stay withdrawn.
pub async fn rollback(operator: &Operator, request: &Request) -> Shown {
    let to: Revision = super::needed(request, "to")?;
    let doc = operator.fleet.load(to).await;
    let doc = doc.map_err(|error| {
        let message = format!("not accepted, nothing changed: reading revision {to}: {error:#}");
        super::refused(message)
    })?;
    let config = doc.and_then(|doc| doc.config).ok_or_else(|| {
        super::refused(format!("not accepted, nothing changed: revision {to} has no configuration"))
    })?;
    let mut change = Change::read(operator, request, config)?;
    if let Some(now) = operator.fleet.current.get().and_then(|doc| doc.config.clone()) {
        change.notes = keep_withdrawn(&now, &mut change.config);
    }
    shown(change.send(operator).await)
}

fn keep_withdrawn(now: &Config, config: &mut Config) -> Vec<Box<str>> {
    let restored = diff::restored(now, config);
    let names: Vec<_> =
        restored.iter().map(|(account, key)| (account.id.clone(), key.id.clone())).collect();
    let mut notes = Vec::new();
    for (account, key) in names {
        withdraw_key(config, &account, &key);
        notes.push(format!("key {account}.{key} stays withdrawn").into());
    }
    notes
}

/// Withdraws a key, whatever else changes at the same time.
pub async fn withdraw(operator: &Operator, request: &Request) -> Shown {
    let account: AccountId = super::needed(request, "account")?;
    let key: KeyId = super::needed(request, "key")?;
    let mut tries = 0;
    loop {
        tries += 1;
        let doc = operator.fleet.current.get();
        let doc = doc.ok_or_else(|| super::refused("this host knows no revision yet"))?;
        let mut config = doc.config.clone();
        let found = config.as_mut().is_some_and(|config| withdraw_key(config, &account, &key));
        let config = config.filter(|_| found).ok_or_else(|| {
            let message = format!("account {account} has no key {key}");
            super::refused(format!("not accepted, nothing changed: {message}"))
        })?;
        let mut change = Change::read(operator, request, config)?;
        change.base = doc.number;
        match change.send(operator).await {
            Err(SubmitError::Lost { .. }) if tries < WITHDRAW_TRIES => {}
            result => return shown(result),
        }
    }
}

/// Marks a key as withdrawn; false when there is no such key.
fn withdraw_key(config: &mut Config, account: &AccountId, key: &KeyId) -> bool {
    let accounts = config.accounts.iter_mut().filter(|known| known.id == *account);
    let key = accounts.flat_map(|account| &mut account.keys).find(|known| known.id == *key);
    key.map(|key| key.withdrawn = true).is_some()
}

fn shown(result: Result<AcceptedPage, SubmitError>) -> Shown {
    match result {
        Ok(page) => Ok(Reply::json(StatusCode::OK, &page)),
        Err(error @ (SubmitError::Unknown(_) | SubmitError::NotTold { .. })) => {
            Err(super::unknown(error.to_string()))
        }
        Err(error) => Err(super::refused(error.to_string())),
    }
}
