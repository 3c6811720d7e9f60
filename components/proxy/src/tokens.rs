//! Tokens of the accounts' rates: where a host gets them, and who reports them.

use std::{rc::Rc, time::Duration};

use bergamottrack_coordination::{AccountId, Burst, HostId, Rate, demand::Ruling};
use bergamottrack_model::Account;
use bergamottrack_peer::{Answer, Link, Question};
use tracing::info;

use crate::host::Host;

/// How long an answer for a token may take.
const TOKEN_WITHIN: Duration = Duration::from_millis(150);

/// How long a host that has admitted requests goes on reporting them, though others are
/// asked now: three reports, of which some may be lost with a link.
const REPORTED_FOR: Duration = Duration::from_millis(1500);

/// A token of the account's rate for the request `id`; `None` when no host that admits
/// requests can be reached.
///
/// In a large fleet the candidates for the hub of this host's failure domain are asked in
/// turn, and hubs of other failure domains after them. Each reports what it admitted, so
/// that it does not matter to the limit which one is asked.
pub async fn take(host: &Host, id: &str, account: &Account) -> Option<Ruling> {
    if host.neighbours.borrow().mesh {
        return Some(admit(host, &account.id, account.rate, account.burst));
    }
    let candidates = host.neighbours.borrow().candidates.clone();
    for candidate in &candidates {
        if *candidate == host.settings.host {
            return Some(admit(host, &account.id, account.rate, account.burst));
        }
        let Some(link) = host.mesh.link(candidate) else { continue };
        if let Some(ruling) = ask(&link, id, account).await {
            return Some(ruling);
        }
    }
    let elsewhere = host.neighbours.borrow().elsewhere.clone();
    for hub in &elsewhere {
        let Some(link) = host.reach(hub) else { continue };
        if let Some(ruling) = ask(&link, id, account).await {
            return Some(ruling);
        }
    }
    None
}

/// Admits a request here, if the account's rate allows it.
pub fn admit(host: &Host, account: &AccountId, rate: Rate, burst: Burst) -> Ruling {
    let now = host.now();
    host.last_admission.set(Some(now));
    host.demand.borrow_mut().take(account, rate, burst, now)
}

async fn ask(link: &Rc<Link>, id: &str, account: &Account) -> Option<Ruling> {
    if !link.is_prompt(TOKEN_WITHIN) {
        return None;
    }
    let question =
        Question::Take { account: account.id.clone(), rate: account.rate, burst: account.burst };
    match link.ask(question, TOKEN_WITHIN).await {
        Ok(Answer::Ruling(ruling)) => Some(ruling),
        Ok(_) => None,
        Err(error) => {
            let error = format_args!("{error:#}");
            info!(id, hub = %link.host, account = %account.id, %error, "rates: no answer, asking the next host");
            None
        }
    }
}

/// Whether this host reports requests that it admitted: as hub, and for a while after it
/// admitted some in place of one.
pub fn reports(host: &Host) -> bool {
    let lately = |at| host.now().saturating_duration_since(at) < REPORTED_FOR;
    host.is_hub() || host.last_admission.get().is_some_and(lately)
}

/// Frees the share of candidates whose process is gone, so that this host can use the whole
/// part of its failure domain at once.
pub fn free_shares(host: &Host) {
    let candidates = host.neighbours.borrow().candidates.clone();
    let gone = |id: &HostId| host.mesh.link(id).is_some_and(|link| link.is_refused());
    let mut demand = host.demand.borrow_mut();
    candidates.iter().filter(|id| gone(id)).for_each(|id| demand.idle(id));
}
