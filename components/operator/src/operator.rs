//! What the pages are made of, and who may see them.

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

/// The key that operators show, kept as a keyed hash under a random secret.
///
/// Guards against a key that is guessed letter by letter from the time of the
/// answer: the hashes are compared in constant time.
pub struct OperatorKey {
    secret: Secret,
    hash: [u8; 32],
}

impl OperatorKey {
    /// Keeps a key.
    pub fn new(key: &str) -> Self {
        let secret = Secret::new(&rand::random::<[u8; 32]>());
        let hash = secret.sign(&[key.as_bytes()]);
        Self { secret, hash }
    }

    /// Whether the key is the same.
    pub fn matches(&self, key: &str) -> bool {
        self.secret.verify(&[key.as_bytes()], &self.hash)
    }
}

/// What the pages are made of.
pub struct Operator {
    /// What this host knows of the fleet.
    pub fleet: Rc<Fleet>,
    /// The groups whose home this host is.
    pub homes: Rc<Homes>,
    /// What this host measures.
    pub metrics: Rc<Metrics>,
    /// The platform, for the number of calls.
    pub platform: Rc<Platform>,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The key that operators show; without one all pages but `/metrics` are closed.
    pub key: Option<OperatorKey>,
    /// Woken when an operator wants this host drained.
    pub drain: Rc<Notify>,
}

impl Operator {
    /// What this host reports of itself.
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

    /// Drops what was measured of what leaves the configuration; until the process ends.
    pub async fn prune_metrics(self: Rc<Self>) {
        loop {
            self.fleet.current.changed().await;
            if let Some(config) = self.fleet.current.get().and_then(|doc| doc.config.clone()) {
                self.metrics.keep(&config);
            }
        }
    }

    /// Answers the requests of operators.
    pub fn handler(self: Rc<Self>) -> Rc<Handler> {
        Rc::new(move |request: Request| -> Pin<Box<dyn Future<Output = Reply>>> {
            let operator = self.clone();
            Box::pin(async move { operator.answer(&request).await })
        })
    }

    /// `/metrics` is open, so that a scraper needs no key that may also change things.
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
