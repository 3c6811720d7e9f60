//! Admission checks of requests: key, configuration freshness and rate limit.

use std::{rc::Rc, time::Duration};

use bergamottrack_contract::RevisionDoc;
use bergamottrack_coordination::{AccountId, KeyId, Reason, Refusal};

use crate::context::Entry;

/// Retry delay for callers of a host that cannot prove its configuration is fresh; another host
/// may serve them at once.
const STALE_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Entry {
    /// Admits one transaction, or one statement outside a transaction, at the cost of one token
    /// of the account's rate. Called for each of them, not once per connection.
    pub async fn admit(
        &self,
        account: &AccountId,
        key: &KeyId,
    ) -> Result<Rc<RevisionDoc>, Refusal> {
        self.check(account, key)?;
        self.limits.take(account).await?;
        // Checked again: borrowing a token takes time, during which the key may be revoked.
        self.check(account, key)
    }

    /// Admits a further statement of an open transaction, at no cost in tokens.
    pub fn check(&self, account: &AccountId, key: &KeyId) -> Result<Rc<RevisionDoc>, Refusal> {
        self.check_fresh()?;
        self.check_key(account, key)
    }

    /// Refuses requests unless the host can prove that its revision is the newest.
    ///
    /// A partitioned host would otherwise keep accepting a revoked key and using a rate share
    /// that has been reassigned to another host.
    fn check_fresh(&self) -> Result<(), Refusal> {
        if self.current.is_fresh(self.clock.now()) {
            return Ok(());
        }
        let message = "this host cannot show that its configuration is the newest";
        Err(Refusal::not_run(Reason::Stale, Some(STALE_RETRY_DELAY), message))
    }
}
