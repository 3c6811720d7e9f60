//! Tokens of the accounts' rate limits: requests for tokens, admission of requests by this host,
//! and the choice of hosts that report admitted requests.

use std::{rc::Rc, time::Duration};

use bergamottrack_coordination::{
    HostId,
    claims::{self, Claim},
    demand::{Ruling, TokenRequest},
};
use bergamottrack_model::Account;
use bergamottrack_peer::{Answer, Link, Question};
use tracing::{info, warn};

use crate::host::Host;

/// Timeout of a token request to another host.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(150);

/// Duration for which a host reports after it last admitted a request, even if it is not a hub by
/// then: time for three reports, some of which may be lost with a link.
const REPORT_DURATION: Duration = Duration::from_millis(1500);

/// Requests a token of the account's rate limit for the request `id`; returns `None` if no host
/// that admits requests can be reached.
///
/// In a small fleet this host admits requests itself. In a large fleet the request goes to the hub
/// candidates of this host's failure domain in turn, then to the hubs of other failure domains.
/// Every host reports the requests that it admitted, so the limit holds whichever host decides.
pub async fn acquire(host: &Host, id: &str, account: &Account, priority: u32) -> Option<Ruling> {
    if host.neighbours.borrow().mesh {
        return Some(admit_own(host, account, priority));
    }
    let candidates = host.neighbours.borrow().candidates.clone();
    for candidate in &candidates {
        if *candidate == host.settings.host {
            return Some(admit_own(host, account, priority));
        }
        let Some(link) = host.mesh.link(candidate) else { continue };
        if let Some(ruling) = request_token(host, &link, id, account, priority).await {
            return Some(ruling);
        }
    }
    let other_hubs = host.neighbours.borrow().remote_hubs.clone();
    for hub in &other_hubs {
        let Some(link) = host.reach(hub) else { continue };
        if let Some(ruling) = request_token(host, &link, id, account, priority).await {
            return Some(ruling);
        }
    }
    None
}

/// Decides on this host whether the account's rate limit admits a request.
pub fn admit(host: &Host, request: &TokenRequest<'_>) -> Ruling {
    let now = host.now();
    host.last_admission.set(Some(now));
    host.demand.borrow_mut().admit(request, now)
}

/// Decides on a request of this host's own caller.
fn admit_own(host: &Host, account: &Account, priority: u32) -> Ruling {
    let (now, own) = (host.now(), &host.settings.host);
    let claim = host.held_claims.borrow().present(&account.id, own, now);
    host.held_claims.borrow_mut().note_sent(own, now);
    let request = TokenRequest {
        account: &account.id,
        rate: account.rate,
        burst: account.burst,
        host: None,
        claim,
        priority: Some(priority),
    };
    let ruling = admit(host, &request);
    host.held_claims.borrow_mut().hold(&account.id, own, ruling.claim, claim);
    ruling
}

/// Decides on a request of the host `from`. A claim that is not a part of a rate is ignored.
pub fn admit_for(host: &Host, from: &HostId, request: &TokenRequest<'_>) -> Ruling {
    let invalid = request.claim.filter(|claim| !claims::is_valid(claim.part));
    if let Some(Claim { part, .. }) = invalid {
        warn_invalid_claim(host, from, part);
    }
    admit(host, request)
}

/// Logs that claims of another host are ignored, once per host.
pub fn warn_invalid_claim(host: &Host, from: &HostId, part: f32) {
    if host.invalid_claims.borrow_mut().insert(from.clone()) {
        warn!(%from, part, min = 0, max = 1, "rates: claims ignored, one is not a part of a rate");
    }
}

async fn request_token(
    host: &Host,
    link: &Rc<Link>,
    id: &str,
    account: &Account,
    priority: u32,
) -> Option<Ruling> {
    if !link.is_responsive(TOKEN_TIMEOUT) {
        return None;
    }
    let now = host.now();
    let claim = host.held_claims.borrow().present(&account.id, &link.host, now);
    host.held_claims.borrow_mut().note_sent(&link.host, now);
    let question = Question::TakeToken {
        account: account.id.clone(),
        rate: account.rate,
        burst: account.burst,
        claim,
        priority: Some(priority),
    };
    match link.query(question, TOKEN_TIMEOUT).await {
        Ok(Answer::Ruling(ruling)) => {
            host.held_claims.borrow_mut().hold(&account.id, &link.host, ruling.claim, claim);
            Some(ruling)
        }
        Ok(_) => None,
        Err(error) => {
            let error = format_args!("{error:#}");
            info!(id, hub = %link.host, account = %account.id, %error, "rates: no answer from hub, asking the next host");
            None
        }
    }
}

/// Returns whether this host reports the requests that it admitted: always as a hub, otherwise for
/// `REPORT_DURATION` after it last admitted a request.
pub fn is_reporter(host: &Host) -> bool {
    let recent = |at| host.now().saturating_duration_since(at) < REPORT_DURATION;
    host.is_hub() || host.last_admission.get().is_some_and(recent)
}

/// Records the last contact with each hub candidate, from which this host derives its side's part
/// of every rate. A candidate that refuses connections counts as silent: a network that rejects
/// connections refuses for a candidate that runs and admits requests.
pub fn record_contacts(host: &Host) {
    if host.neighbours.borrow().mesh || !host.is_hub_candidate() {
        return;
    }
    let links = host.neighbours.borrow().links.clone();
    let links: Vec<_> = links.iter().filter_map(|id| host.mesh.link(id)).collect();
    let contacts = links.iter().map(|link| (link.host.clone(), link.last_contact()));
    let (now, mut demand) = (host.now(), host.demand.borrow_mut());
    demand.set_contacts(contacts, now);
    let silent = demand.silent_candidates(now);
    let before = host.silent_candidates.replace(silent);
    host.metrics.silent_candidates.set(silent as i64);
    if !host.is_hub() {
        return;
    }
    let candidates = links.len();
    if silent > 0 && before == 0 {
        info!(silent, candidates, "rates: hub candidates silent, claims divide the rates");
    } else if silent == 0 && before > 0 {
        info!(
            candidates,
            "rates: all hub candidates in contact, claims no longer divide the rates"
        );
    }
}
