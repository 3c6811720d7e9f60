//! Selection of the hosts from which rate-limit tokens are borrowed, with few messages.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{HostId, shares::Share};

/// Time for which the last reported number of a host's spare tokens is used. After that, the
/// demand at that host may have ended, and the host is again expected to have the full burst.
const SPARE_TTL: Duration = Duration::from_millis(50);

/// Time for which a host that did not answer is skipped.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Result of the last request to a lender.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// Tokens that the host could still lend.
    spare: f64,
    /// Time of the answer, or of the failure to answer.
    updated: Instant,
    answered: bool,
}

/// Results of the last requests to the hosts that may lend tokens.
#[derive(Debug, Default)]
pub struct Lenders {
    contacts: HashMap<HostId, Contact>,
}

impl Lenders {
    /// Records a host's answer, with the number of tokens that it could still lend.
    pub fn answered(&mut self, host: &HostId, spare: f64, now: Instant) {
        self.contacts.insert(host.clone(), Contact { spare, updated: now, answered: true });
    }

    /// Records that a host did not answer.
    pub fn failed(&mut self, host: &HostId, now: Instant) {
        self.contacts.insert(host.clone(), Contact { spare: 0.0, updated: now, answered: false });
    }

    /// Selects the fewest of `hosts` whose expected tokens add up to `want` or more, in descending
    /// order of expected tokens, and the number of tokens to request from each. A host whose
    /// spare tokens are not known is expected to have the burst of `share`. Hosts with less than
    /// a whole expected token are left out, so the selection may be too small or empty.
    pub fn choose(
        &self,
        hosts: impl IntoIterator<Item = HostId>,
        share: Share,
        want: f64,
        now: Instant,
    ) -> Vec<(HostId, f64)> {
        let estimate = |host: &HostId| self.estimate(host, share, now);
        let mut hosts: Vec<_> = hosts.into_iter().map(|host| (estimate(&host), host)).collect();
        hosts.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        let mut missing = want;
        let mut chosen = Vec::new();
        for (estimate, host) in hosts {
            if estimate < 1.0 || missing <= 0.0 {
                break;
            }
            let tokens = estimate.min(missing);
            missing -= tokens;
            chosen.push((host, tokens));
        }
        chosen
    }

    fn estimate(&self, host: &HostId, share: Share, now: Instant) -> f64 {
        let Some(contact) = self.contacts.get(host) else { return share.burst.0 };
        let age = now.saturating_duration_since(contact.updated);
        match contact.answered {
            false if age < RETRY_DELAY => 0.0,
            true if age < SPARE_TTL => contact.spare + share.rate.0 * age.as_secs_f64(),
            _ => share.burst.0,
        }
    }
}
