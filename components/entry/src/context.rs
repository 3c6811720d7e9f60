//! State shared by all callers' connections of a host.

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
use bergamottrack_turns::TurnQueue;
use tokio::sync::Notify;

use crate::{callers::Callers, tls::Tls};

/// Retry delay for callers of a host that has no configuration yet.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// State shared by all callers' connections of a host.
pub struct Entry {
    /// Clock of the host.
    pub clock: Rc<dyn Clock>,
    /// Configuration revision in effect on this host.
    pub current: Rc<Current>,
    /// Links to the other hosts.
    pub mesh: Rc<Mesh>,
    /// Rate limits of all accounts.
    pub limits: Rc<Limits>,
    /// Database groups whose home is this host.
    pub homes: Rc<Homes>,
    /// Secret shared by all hosts.
    pub secret: Secret,
    /// Metrics of this host.
    pub metrics: Rc<Metrics>,
    /// TLS configuration for callers, if TLS is enabled.
    pub tls: Option<Rc<Tls>>,
    /// Connected callers.
    pub callers: Rc<Callers>,
    /// Cancel handles of open connections, by process number.
    pub cancels: RefCell<HashMap<i32, Rc<CancelHandle>>>,
    /// Counter from which the last process number was derived.
    pub last_pid: Cell<u32>,
    /// Turns of the callers' messages.
    pub turns: Rc<TurnQueue>,
}

/// Handle through which the running request of a connection is cancelled.
#[derive(Default)]
pub struct CancelHandle {
    /// Secret that a cancel request must present.
    pub secret: i32,
    /// Whether a request is running.
    running: Cell<bool>,
    /// Whether cancellation of the running request is requested.
    requested: Cell<bool>,
    notify: Notify,
}

impl CancelHandle {
    /// Requests cancellation of the running request. Without one, nothing is recorded: a late
    /// cancel request would otherwise hit the next request, which it was not meant for.
    pub fn request(&self) {
        if self.running.get() {
            self.requested.set(true);
            self.notify.notify_one();
        }
    }

    /// Marks a request as running.
    pub fn begin(&self) {
        self.running.set(true);
        self.requested.set(false);
    }

    /// Marks the request as ended.
    pub fn end(&self) {
        self.running.set(false);
    }

    /// Waits until cancellation of the running request is requested.
    pub async fn cancel_requested(&self) {
        while !self.requested.take() {
            // The notification may be left over from an earlier request, so the flag decides.
            self.notify.notified().await;
        }
    }
}

impl Entry {
    /// Returns the revision in effect on this host, which contains a configuration.
    pub fn config(&self) -> Result<Rc<RevisionDoc>, Refusal> {
        let doc = self.current.get().filter(|doc| doc.config.is_some());
        doc.ok_or_else(|| {
            let message = "this host has no configuration yet";
            Refusal::not_run(Reason::Stale, Some(RETRY_DELAY), message)
        })
    }

    /// Checks that the key exists and is not revoked. Called for every request.
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

    /// Assigns a process number and a cancel handle to a new connection.
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

    /// Cancels the running request of a connection to this host. Returns whether a connection
    /// with this process number and secret exists.
    pub fn cancel(&self, pid: i32, secret: i32) -> bool {
        let known = self.cancels.borrow().get(&pid).filter(|c| c.secret == secret).cloned();
        known.inspect(|cancel| cancel.request()).is_some()
    }

    /// Opens an exchange with the group's home.
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
