//! Whether a request may run at all: key, freshness and rate.

use std::{rc::Rc, time::Duration};

use bergamottrack_contract::RevisionDoc;
use bergamottrack_coordination::{AccountId, KeyId, Reason, Refusal};

use crate::context::Entry;

/// When a caller may come back to a host that cannot show freshness; another
/// host may serve it at once.
const STALE_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Entry {
    /// Admits one transaction, or one statement outside of any, of the account;
    /// asked for every one, not at connect. It costs one token.
    pub async fn admit(
        &self,
        account: &AccountId,
        key: &KeyId,
    ) -> Result<Rc<RevisionDoc>, Refusal> {
        self.check(account, key)?;
        self.limits.take(account).await?;
        // Borrowing a token takes a while, in which the key may have been withdrawn.
        self.check(account, key)
    }

    /// Admits a further statement of an open transaction.
    pub fn check(&self, account: &AccountId, key: &KeyId) -> Result<Rc<RevisionDoc>, Refusal> {
        self.check_fresh()?;
        self.check_key(account, key)
    }

    /// Guards against a host that is cut off: it would go on honouring a key
    /// that was withdrawn, and a share that another host has by now. It serves
    /// only while it can show that its revision is the newest.
    fn check_fresh(&self) -> Result<(), Refusal> {
        if self.current.is_fresh(self.clock.now()) {
            return Ok(());
        }
        let message = "this host cannot show that its configuration is the newest";
        Err(Refusal::not_run(Reason::Stale, Some(STALE_RETRY_DELAY), message))
    }
}
