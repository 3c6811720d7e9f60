//! Selection of the hosts from which rate-limit tokens are borrowed, with few messages.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{HostId, bucket, shares::Share};

/// Time for which the last reported number of a host's spare tokens is used. After that, the
/// demand at that host may have ended, and the host is again expected to have the full burst.
const SPARE_TTL: Duration = Duration::from_millis(50);

/// Time for which a host that did not answer is skipped.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time after which another host is asked beside one that has not answered yet.
const HEDGE_DELAY: Duration = Duration::from_millis(50);

/// State of the last request to a lender.
#[derive(Clone, Copy, Debug)]
enum State {
    /// No answer yet; `tokens` were requested.
    Pending { tokens: f64 },
    /// The host could still lend this number of tokens.
    Answered { spare: f64 },
    /// The host answered that it may not lend at present.
    Unable,
    /// The request has failed.
    Failed,
}

/// Last request to a lender.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// Time of the request while it is pending, of its end afterwards.
    updated: Instant,
    state: State,
}

/// Reason why a request gets no token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// The hosts that hold the account's tokens have none to spare.
    Spent,
    /// No host that may lend tokens has answered, so the rate cannot be checked.
    NoAnswer,
}

/// Next step for requests that wait for tokens.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Request this number of tokens from each of these hosts.
    Ask(Vec<(HostId, f64)>),
    /// Wait for an answer, or for this duration if there is none.
    Wait(Duration),
    /// Refuse the requests.
    Refuse(Shortage),
}

/// Results of the last requests to the hosts that may lend tokens.
#[derive(Debug, Default)]
pub struct Lenders {
    contacts: HashMap<HostId, Contact>,
}

impl Lenders {
    fn set(&mut self, host: &HostId, state: State, now: Instant) {
        self.contacts.insert(host.clone(), Contact { updated: now, state });
    }

    /// Records a request to a host.
    pub fn asked(&mut self, host: &HostId, tokens: f64, now: Instant) {
        self.set(host, State::Pending { tokens }, now);
    }

    /// Records a host's answer, with the number of tokens that it could still lend.
    pub fn answered(&mut self, host: &HostId, spare: f64, now: Instant) {
        self.set(host, State::Answered { spare }, now);
    }

    /// Records that a host may not lend at present.
    pub fn unable(&mut self, host: &HostId, now: Instant) {
        self.set(host, State::Unable, now);
    }

    /// Records that a request to a host has failed.
    pub fn failed(&mut self, host: &HostId, now: Instant) {
        self.set(host, State::Failed, now);
    }

    /// Returns the next step for requests that wait for `want` tokens, which the connected `hosts`
    /// may lend.
    ///
    /// A loan counts for as long as it can be spent: a slow answer makes the requests wait or
    /// another host be asked, and does not refuse them. Without that, a pause of all lenders
    /// would refuse callers that are within their rate.
    pub fn next(&self, hosts: &[HostId], share: Share, want: f64, now: Instant) -> Step {
        let pending = hosts.iter().filter_map(|host| self.pending(host, now));
        let (mut expected, mut wait) = (0.0, None::<Duration>);
        for (tokens, age) in pending {
            let hedges = age < HEDGE_DELAY;
            expected += if hedges { tokens } else { 0.0 };
            let left = if hedges { HEDGE_DELAY - age } else { bucket::LOAN_TTL - age };
            wait = Some(wait.map_or(left, |wait| wait.min(left)));
        }
        let chosen = self.choose(hosts.iter().cloned(), share, want - expected, now);
        match wait {
            _ if !chosen.is_empty() => Step::Ask(chosen),
            Some(wait) => Step::Wait(wait),
            None => Step::Refuse(self.shortage(hosts, now)),
        }
    }

    /// Returns the tokens and the age of a request to the host that may still be answered in time.
    fn pending(&self, host: &HostId, now: Instant) -> Option<(f64, Duration)> {
        let contact = self.contacts.get(host)?;
        let age = now.saturating_duration_since(contact.updated);
        match contact.state {
            State::Pending { tokens } if age < bucket::LOAN_TTL => Some((tokens, age)),
            _ => None,
        }
    }

    /// Returns why no host lends a token, by the last answer of each.
    fn shortage(&self, hosts: &[HostId], now: Instant) -> Shortage {
        let states = hosts.iter().filter_map(|host| self.contacts.get(host));
        let recent = states.filter(|contact| now < contact.updated + RETRY_DELAY);
        let has_answered = |contact: &Contact| matches!(contact.state, State::Answered { .. });
        let (answered, silent): (Vec<&Contact>, Vec<&Contact>) =
            recent.partition(|contact| has_answered(contact));
        match answered.is_empty() && !silent.is_empty() {
            true => Shortage::NoAnswer,
            false => Shortage::Spent,
        }
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
        match contact.state {
            State::Pending { .. } if age < bucket::LOAN_TTL => 0.0,
            State::Pending { .. } | State::Failed if age < RETRY_DELAY => 0.0,
            State::Unable if age < SPARE_TTL => 0.0,
            State::Answered { spare } if age < SPARE_TTL => {
                spare + share.rate.0 * age.as_secs_f64()
            }
            _ => share.burst.0,
        }
    }
}
