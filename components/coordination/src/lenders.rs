//! Whom a host asks for tokens, so that few messages are needed.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{HostId, shares::Share};

/// How long a host's word on its tokens is believed: longer than that its own
/// demand may have ended.
const SPARE_TTL: Duration = Duration::from_millis(50);

/// How long a host that did not answer is passed over.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// What was last heard of a lender.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// Tokens that it could still lend.
    spare: f64,
    received: Instant,
    answered: bool,
}

/// What is known of the hosts that may lend.
#[derive(Debug, Default)]
pub struct Lenders {
    contacts: HashMap<HostId, Contact>,
}

impl Lenders {
    /// Notes that a host answered, and what it could still lend.
    pub fn answered(&mut self, host: &HostId, spare: f64, now: Instant) {
        self.contacts.insert(host.clone(), Contact { spare, received: now, answered: true });
    }

    /// Notes that a host did not answer.
    pub fn failed(&mut self, host: &HostId, now: Instant) {
        self.contacts.insert(host.clone(), Contact { spare: 0.0, received: now, answered: false });
    }

    /// The fewest hosts that may have `want` tokens together, the richest
    /// first, and how many to ask of each. Empty when no host is known to have
    /// a whole one; then asking is not worth it.
    pub fn choose(
        &self,
        hosts: impl IntoIterator<Item = HostId>,
        share: Share,
        want: f64,
        now: Instant,
    ) -> Vec<(HostId, f64)> {
        let guess = |host: &HostId| self.guess(host, share, now);
        let mut hosts: Vec<_> = hosts.into_iter().map(|host| (guess(&host), host)).collect();
        hosts.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        let mut left = want;
        let mut chosen = Vec::new();
        for (guess, host) in hosts {
            if guess < 1.0 || left <= 0.0 {
                break;
            }
            let tokens = guess.min(left);
            left -= tokens;
            chosen.push((host, tokens));
        }
        chosen
    }

    fn guess(&self, host: &HostId, share: Share, now: Instant) -> f64 {
        let Some(contact) = self.contacts.get(host) else { return share.burst.0 };
        let since = now.saturating_duration_since(contact.received);
        match contact.answered {
            false if since < RETRY_DELAY => 0.0,
            true if since < SPARE_TTL => contact.spare + share.rate.0 * since.as_secs_f64(),
            _ => share.burst.0,
        }
    }
}
