//! Whether a request may run at all: key, freshness and rate.

use std::{rc::Rc, time::Instant};

use bergamottrack_contract::RevisionDoc;
use bergamottrack_coordination::{AccountId, KeyId, Refusal};

use crate::context::Entry;

impl Entry {
    /// Admits one request of the account; asked for every request, not at connect.
    pub async fn admit(
        &self,
        account: &AccountId,
        key: &KeyId,
        _deadline: Instant,
    ) -> Result<Rc<RevisionDoc>, Refusal> {
        self.standing(account, key)
    }
}
