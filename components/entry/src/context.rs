//! What all callers' connections of one host share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use bergamottrack_contract::{Config, Current, RevisionDoc};
use bergamottrack_coordination::{
    AccountId, Clock, KeyId, Reason, Refusal, process, token::Secret,
};
use bergamottrack_fleet::Limits;
use bergamottrack_home::Homes;
use bergamottrack_metrics::Metrics;
use bergamottrack_peer::{Exchange, Mesh, Open, open_local};
use tokio::sync::Notify;

use crate::{callers::Callers, tls::Tls};

/// When a caller may come back while a host lacks its configuration.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// What all callers' connections of one host share.
pub struct Entry {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The revision in force here.
    pub current: Rc<Current>,
    /// Links to the other hosts.
    pub mesh: Rc<Mesh>,
    /// The rates of all accounts.
    pub limits: Rc<Limits>,
    /// The groups whose home this host is.
    pub homes: Rc<Homes>,
    /// The secret that all hosts share.
    pub secret: Secret,
    /// What this host measures.
    pub metrics: Rc<Metrics>,
    /// The certificate for callers, if connections may be encrypted.
    pub tls: Option<Rc<Tls>>,
    /// The callers that are there.
    pub callers: Rc<Callers>,
    /// Cancels of running connections, by process number.
    pub cancels: RefCell<HashMap<i32, Rc<CancelHandle>>>,
    /// The last process number given out.
    pub last_pid: Cell<u32>,
}

/// How what a connection runs is cancelled.
#[derive(Default)]
pub struct CancelHandle {
    /// What the caller must know to cancel.
    pub secret: i32,
    /// Whether a request runs.
    running: Cell<bool>,
    /// Whether the running request is to be cancelled.
    requested: Cell<bool>,
    notify: Notify,
}

impl CancelHandle {
    /// Cancels the running request. Nothing is kept for a later one: a cancel
    /// that comes late would hit a request that nobody wants cancelled.
    pub fn request(&self) {
        if self.running.get() {
            self.requested.set(true);
            self.notify.notify_one();
        }
    }

    /// Notes that a request runs.
    pub fn begin(&self) {
        self.running.set(true);
        self.requested.set(false);
    }

    /// Notes that it ended.
    pub fn end(&self) {
        self.running.set(false);
    }

    /// Waits until the running request is to be cancelled.
    pub async fn cancel_requested(&self) {
        while !self.requested.take() {
            // May be left over from an earlier request, so the flag decides.
            self.notify.notified().await;
        }
    }
}

impl Entry {
    /// The configuration in force here.
    pub fn config(&self) -> Result<Rc<RevisionDoc>, Refusal> {
        let doc = self.current.get().filter(|doc| doc.config.is_some());
        doc.ok_or_else(|| {
            let message = "this host has no configuration yet";
            Refusal::not_run(Reason::Stale, Some(RETRY_DELAY), message)
        })
    }

    /// Checks that the key still stands; done again for every request.
    pub fn check_key(&self, account: &AccountId, key: &KeyId) -> Result<Rc<RevisionDoc>, Refusal> {
        let doc = self.config()?;
        let config = doc.config.as_ref();
        let known = config.and_then(|c| c.account(account)).and_then(|a| a.key(key));
        if known.is_none() {
            let message = format!("the key {key} of account {account} does not stand");
            return Err(Refusal::not_run(Reason::Denied, None, message));
        }
        Ok(doc)
    }

    /// Gives a new connection its process number.
    pub fn register(&self) -> (i32, Rc<CancelHandle>) {
        let mut pid;
        loop {
            self.last_pid.set(self.last_pid.get().wrapping_add(1));
            pid = process::number(&self.mesh.me.id, self.last_pid.get());
            if !self.cancels.borrow().contains_key(&pid) {
                break;
            }
        }
        let cancel = Rc::new(CancelHandle { secret: rand::random(), ..CancelHandle::default() });
        self.cancels.borrow_mut().insert(pid, cancel.clone());
        (pid, cancel)
    }

    /// Cancels what a connection to this host runs; whether there is one with that secret.
    pub fn cancel(&self, pid: i32, secret: i32) -> bool {
        let known = self.cancels.borrow().get(&pid).filter(|c| c.secret == secret).cloned();
        known.inspect(|cancel| cancel.request()).is_some()
    }

    /// Begins an exchange with the home of the group.
    pub fn open(&self, config: &Config, open: Open) -> Exchange {
        for host in self.mesh.homes(&open.group) {
            if host == self.mesh.me.id {
                break;
            }
            let exchange = self.mesh.link(&host).and_then(|link| link.open(open.clone()));
            if let Some(exchange) = exchange {
                return exchange;
            }
        }
        open_local(open, |open, side| self.homes.serve(Some(config), open, side))
    }
}
