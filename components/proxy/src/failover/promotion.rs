//! Promotion of a server, under the duty of one host at a time.

use std::time::{Duration, Instant};

use bergamottrack_adapter::{
    promotion::{self, Outcome},
    store::{self, Change, TxOutcome},
};
use bergamottrack_coordination::{
    ServerId, Term,
    duty::{self, CALL_DEADLINE, CALL_TIMEOUT},
    succession::Terms,
    suspicion,
};
use bergamottrack_model::Role;
use tracing::info;

use super::{Failover, STATUS_INTERVAL};
use crate::{fleet, follow::STORE_TIMEOUT, group::Group, host::Host, monitor, pool::Pool};

/// Time for a promoted server to become leader before the promotion is requested again.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(3000);

impl Failover {
    /// Requests the promotion of a server and waits until the server leads in a term after
    /// `after`; `None` if the duty was not acquired, the platform rejects the request, or the
    /// server does not lead within [`PROMOTION_TIMEOUT`].
    pub(super) async fn promote(
        &self,
        host: &Host,
        group: &Group,
        pool: &Pool,
        after: Term,
    ) -> anyhow::Result<Option<(ServerId, Term)>> {
        let server = pool.listed.borrow().id.clone();
        let before = self.terms.get();
        let closed = before.close(after);
        let Some((token, call_by)) = self.acquire_duty(host, group, closed).await? else {
            return Ok(None);
        };
        // Also for the next selection of this failover: the call may take effect without an answer.
        self.terms.set(Terms { closed, ..before });
        // If this host was suspended after the acquisition, also while it connects to the platform,
        // another host may have acquired the duty since.
        let may_begin = || host.now() < call_by;
        anyhow::ensure!(may_begin(), "promotion not requested: time to begin the call is over");
        let may_send = || host.now() < call_by + CALL_TIMEOUT;
        let duty = promotion::Duty { holder: &host.settings.host, token };
        let (address, id) = (host.settings.promoter_address, &group.id);
        let promoted = promotion::promote(address, duty, id, &server, CALL_TIMEOUT, may_send).await;
        let error = promoted.as_ref().err().map(tracing::field::display);
        let answer = promoted.as_ref().ok();
        info!(group = %id, %server, token, ?answer, error, "promotion: requested");
        let rejected = matches!(promoted, Ok(Outcome::Refused | Outcome::Unavailable));
        if matches!(promoted, Ok(outcome) if outcome != Outcome::Unclear) {
            if rejected {
                self.terms.set(before);
            }
            // Not released without an outcome: the call may still be in progress.
            self.release_duty(host, group, token, rejected).await;
        }
        if rejected {
            return Ok(None);
        }
        let deadline = host.now() + PROMOTION_TIMEOUT;
        while host.now() < deadline {
            if let Ok(status) = monitor::status(host, pool, suspicion::PROBE_TIMEOUT).await
                && status.role == Role::Primary
                && status.term > after
            {
                return Ok(Some((server, status.term)));
            }
            monoio::time::sleep(STATUS_INTERVAL).await;
        }
        Ok(None)
    }

    /// Acquires the duty to call for promotions and closes the terms up to `closed`. Returns the
    /// token and the time by which the call must begin; `None` while another host has the duty,
    /// or if the store did not apply the change.
    ///
    /// The terms are closed before the call in case this host dies after the call and another
    /// host takes the failover over: the former leader may not have been notified of the
    /// promotion and still report that it leads, and the other host would adopt it again.
    async fn acquire_duty(
        &self,
        host: &Host,
        group: &Group,
        closed: Term,
    ) -> anyhow::Result<Option<(u64, Instant)>> {
        let began = host.now();
        let view = fleet::read(&self.client).await?;
        // If the answer to an earlier acquisition was lost, no call was made with its token.
        let unused = |duty: &duty::Duty| Some(duty) == self.unanswered_duty.borrow().as_ref();
        let taken = |duty: &duty::Duty| !duty.is_free(view.clock) && !unused(duty);
        if view.duty.as_ref().is_some_and(|row| taken(&row.value)) {
            return Ok(None);
        }
        let since = view.clock + (host.now() - began);
        let acquired = duty::Duty { holder: host.settings.host.clone(), since, free: false };
        let change = Change {
            expect: vec![
                (fleet::DUTY_KEY.into(), view.duty.map_or(0, |row| row.version)),
                (fleet::group_key(&group.id), self.intent),
            ],
            put: vec![
                (fleet::DUTY_KEY.into(), serde_json::to_vec(&acquired)?),
                (fleet::closed_key(&group.id), serde_json::to_vec(&closed)?),
            ],
            remove: Vec::new(),
        };
        *self.unanswered_duty.borrow_mut() = Some(acquired);
        let verdict = store::change(&self.client, &change, STORE_TIMEOUT).await?;
        *self.unanswered_duty.borrow_mut() = None;
        let TxOutcome::Applied(token) = verdict else { return Ok(None) };
        info!(group = %group.id, token, %closed, "duty: acquired");
        Ok(Some((token, began + CALL_DEADLINE)))
    }

    /// Releases the duty acquired with `token`. If the call was `rejected`, also reopens the terms
    /// that were closed for it.
    async fn release_duty(&self, host: &Host, group: &Group, token: u64, rejected: bool) {
        let holder = host.settings.host.clone();
        let released = duty::Duty { holder, since: Duration::ZERO, free: true };
        let mut put = vec![(
            fleet::DUTY_KEY.into(),
            serde_json::to_vec(&released).expect("writing to memory"),
        )];
        if rejected {
            let closed = self.terms.get().closed;
            let closed = serde_json::to_vec(&closed).expect("writing to memory");
            put.push((fleet::closed_key(&group.id), closed));
        }
        let change =
            Change { expect: vec![(fleet::DUTY_KEY.into(), token)], put, remove: Vec::new() };
        if let Err(error) = store::change(&self.client, &change, STORE_TIMEOUT).await {
            // The duty expires after a few seconds.
            info!(
                token, error = %format_args!("{error:#}"),
                "duty: release not written, it will expire"
            );
        }
    }
}
