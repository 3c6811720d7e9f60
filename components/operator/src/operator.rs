//! Data source of the pages, and access to them.

use std::{pin::Pin, rc::Rc};

use bergamottrack_coordination::{Clock, token::Secret};
use bergamottrack_fleet::Fleet;
use bergamottrack_home::Homes;
use bergamottrack_metrics::{HostReport, Metrics};
use bergamottrack_platform::Platform;
use hyper::StatusCode;
use tokio::sync::Notify;

use crate::{
    api::Verdict,
    pages,
    serve::{Handler, Reply, Request},
};

/// Key for the authentication of operators, stored as a keyed hash under a random secret.
///
/// Guards against a timing attack that guesses the key character by character: the hashes are
/// compared in constant time.
pub struct OperatorKey {
    secret: Secret,
    hash: [u8; 32],
}

impl OperatorKey {
    /// Stores the hash of a key.
    pub fn new(key: &str) -> Self {
        let secret = Secret::new(&rand::random::<[u8; 32]>());
        let hash = secret.sign(&[key.as_bytes()]);
        Self { secret, hash }
    }

    /// Returns whether the given key is the same.
    pub fn matches(&self, key: &str) -> bool {
        self.secret.verify(&[key.as_bytes()], &self.hash)
    }
}

/// Data source of the pages.
pub struct Operator {
    /// State of the fleet as seen by this host.
    pub fleet: Rc<Fleet>,
    /// Groups whose home is this host.
    pub homes: Rc<Homes>,
    /// Metrics of this host.
    pub metrics: Rc<Metrics>,
    /// Platform client, for the number of calls.
    pub platform: Rc<Platform>,
    /// Clock of this host.
    pub clock: Rc<dyn Clock>,
    /// Key for the authentication of operators; without one only `/metrics` is available.
    pub key: Option<OperatorKey>,
    /// Notified when an operator requests that this host be drained.
    pub drain: Rc<Notify>,
}

impl Operator {
    /// Returns the report of this host.
    pub fn report(&self) -> HostReport {
        let (current, me) = (&self.fleet.current, &self.fleet.me);
        let (doc, now) = (current.get(), self.clock.now());
        let config = doc.as_ref().and_then(|doc| doc.config.as_ref());
        HostReport {
            host: me.id.clone(),
            domain: me.domain.clone(),
            revision: current.number(),
            fresh: current.age(now),
            acts: current.is_fresh(now),
            draining: self.fleet.is_leaving(),
            callers: self.metrics.callers(),
            platform_calls: self.platform.calls.get(),
            groups: self.homes.reports(),
            accounts: config.map(|config| self.metrics.accounts(config)).unwrap_or_default(),
        }
    }

    /// Drops the metrics of accounts and groups that are removed from the configuration; runs
    /// until the process ends.
    pub async fn prune_metrics(self: Rc<Self>) {
        loop {
            self.fleet.current.changed().await;
            if let Some(config) = self.fleet.current.get().and_then(|doc| doc.config.clone()) {
                self.metrics.retain(&config);
            }
        }
    }

    /// Returns the handler of requests by operators.
    pub fn handler(self: Rc<Self>) -> Rc<Handler> {
        Rc::new(move |request: Request| -> Pin<Box<dyn Future<Output = Reply>>> {
            let operator = self.clone();
            Box::pin(async move { operator.answer(&request).await })
        })
    }

    /// Answers a request. `/metrics` needs no key, so that a scraper does not have one that also
    /// permits changes.
    async fn answer(&self, request: &Request) -> Reply {
        if &*request.path == "/metrics" {
            return pages::metrics::show(self);
        }
        let Some(key) = &self.key else {
            let message = "this host was given no operator key, so it answers no operator";
            return Reply::error(StatusCode::FORBIDDEN, Verdict::Refused, message);
        };
        if !request.key.as_deref().is_some_and(|given| key.matches(given)) {
            let message = "the operator key is missing or wrong";
            return Reply::error(StatusCode::UNAUTHORIZED, Verdict::Refused, message);
        }
        pages::answer(self, request).await
    }
}
