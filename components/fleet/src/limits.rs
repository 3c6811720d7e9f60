//! Limits the rate and burst of each account over the whole fleet, without a leader.
//!
//! The revision assigns each host a part, and hosts borrow from each other on demand, so the
//! limits work through an outage of the platform of any length. A host keeps one bucket per
//! account (224 bytes and its loans) and sends a message only when its own tokens run out: a
//! request of 70 bytes, answered with 44. With 1,800 hosts, 50 of them hold a part of an account
//! with a burst of 100; a host without a part borrows about 200 ms of demand at a time from one
//! holder. The first bottleneck at that size is an account whose callers are spread thinly over
//! all hosts: each host then sends about 5 requests per second to the 50 holders. Sticky load
//! balancing avoids this.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_contract::{Current, RevisionDoc};
use bergamottrack_coordination::{
    AccountId, Allotment, Bucket, Clock, HostId, Lenders, Reason, Refusal, Revision, Share, Shares,
    bucket::{self, LoanId},
    lenders::{Shortage, Step},
};
use bergamottrack_metrics::Metrics;
use bergamottrack_peer::{Answer, Mesh, Question, message::Lend};
use tokio::sync::{Mutex, Notify};
use tracing::info;

use crate::rounds;

/// Maximum number of times that one request asks other hosts for tokens.
const MAX_ROUNDS: usize = 8;

/// Retry delay suggested to the caller if the host's part does not determine one.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Rate limit of one account on this host.
struct Account {
    bucket: RefCell<Bucket>,
    lenders: RefCell<Lenders>,
    /// Held by the only request that borrows; the others wait for the tokens that it gets.
    borrow_lock: Mutex<()>,
    /// Notified when a loan request has ended.
    loan_ended: Notify,
    /// Number of requests waiting for tokens.
    waiters: Cell<usize>,
}

/// Counts a request that waits for tokens until the guard is dropped. The request may end early
/// if its caller disconnects.
struct WaitGuard<'a>(&'a Cell<usize>);

impl<'a> WaitGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Rate limits of all accounts on this host.
pub struct Limits {
    current: Rc<Current>,
    mesh: Rc<Mesh>,
    clock: Rc<dyn Clock>,
    metrics: Rc<Metrics>,
    shares: RefCell<Shares>,
    accounts: RefCell<HashMap<AccountId, Rc<Account>>>,
}

impl Limits {
    /// Creates the limits of a host that may not use any tokens yet.
    pub fn new(
        current: Rc<Current>,
        mesh: Rc<Mesh>,
        clock: Rc<dyn Clock>,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let shares = RefCell::new(Shares::new(mesh.me.id.clone()));
        Rc::new(Self { current, mesh, clock, metrics, shares, accounts: RefCell::default() })
    }

    /// Takes one token of the account; refuses as soon as no host can lend one any more.
    pub async fn take(self: &Rc<Self>, id: &AccountId) -> Result<(), Refusal> {
        let now = self.now();
        let Some(account) = self.accounts.borrow().get(id).cloned() else {
            return Err(over_rate(id, DEFAULT_RETRY_DELAY));
        };
        if account.bucket.borrow_mut().take(now) {
            return Ok(());
        }
        let guard = WaitGuard::new(&account.waiters);
        let lock = account.borrow_lock.lock().await;
        let taken = self.borrow_and_take(id, &account).await;
        drop((lock, guard));
        taken.map_err(|shortage| self.refusal(id, &account, shortage))
    }

    async fn borrow_and_take(
        self: &Rc<Self>,
        id: &AccountId,
        account: &Rc<Account>,
    ) -> Result<(), Shortage> {
        let mut rounds = 0;
        loop {
            // Not in the argument list: `now` updates the parts, which borrows the bucket too.
            let now = self.now();
            if account.bucket.borrow_mut().take_counted(now) {
                return Ok(());
            }
            let want = account.bucket.borrow_mut().want(account.waiters.get(), now);
            let (hosts, share) = self.reachable_holders(id);
            let step = account.lenders.borrow().next(&hosts, share, want, now);
            match step {
                Step::Ask(_) if rounds == MAX_ROUNDS => return Err(Shortage::Spent),
                Step::Ask(chosen) => {
                    rounds += 1;
                    for (host, tokens) in chosen {
                        self.request_loan(id, account, host, tokens);
                    }
                }
                Step::Wait(wait) => {
                    // Without an answer in that time, another host is asked.
                    let _ = monoio::time::timeout(wait, account.loan_ended.notified()).await;
                }
                Step::Refuse(shortage) => return Err(shortage),
            }
        }
    }

    /// Requests a loan in a task of its own, which ends when the loan can no longer be spent.
    fn request_loan(
        self: &Rc<Self>,
        id: &AccountId,
        account: &Rc<Account>,
        host: HostId,
        tokens: f64,
    ) {
        let now = self.clock.now();
        let (no, settled) = account.bucket.borrow_mut().request_loan(&host, now);
        account.lenders.borrow_mut().asked(&host, tokens, now);
        let lend = Lend { account: id.clone(), loan: no, tokens, settled };
        let (limits, account, id) = (self.clone(), account.clone(), id.clone());
        monoio::spawn(async move {
            let answer = match limits.mesh.link(&host) {
                Some(link) => link.query(Question::Lend(lend), bucket::LOAN_TTL).await.ok(),
                None => None,
            };
            if let Some(Answer::Lent { tokens, .. }) = answer {
                limits.metrics.borrowed(&id, tokens);
            }
            limits.end_loan_request(&account, &host, no, answer);
            account.loan_ended.notify_waiters();
        });
    }

    fn end_loan_request(
        &self,
        account: &Account,
        host: &HostId,
        no: LoanId,
        answer: Option<Answer>,
    ) {
        let now = self.clock.now();
        let mut lenders = account.lenders.borrow_mut();
        match answer {
            Some(Answer::Lent { tokens, spare }) => {
                account.bucket.borrow_mut().receive(no, tokens, now);
                lenders.answered(host, spare, now);
            }
            Some(_) => {
                account.bucket.borrow_mut().abandon(no);
                lenders.unable(host, now);
            }
            None => {
                account.bucket.borrow_mut().abandon(no);
                lenders.failed(host, now);
            }
        }
    }

    /// Lends tokens to another host.
    ///
    /// A host that cannot prove freshness lends nothing, since its part may have been assigned to
    /// another host. It does not answer that it has no tokens to spare, which would be reported to
    /// callers as an exceeded rate.
    pub(crate) fn lend(&self, borrower: &HostId, lend: &Lend) -> Answer {
        let now = self.now();
        let account = self.accounts.borrow().get(&lend.account).cloned();
        let Some(account) = account.filter(|_| self.current.is_fresh(now)) else {
            return Answer::Pong;
        };
        let mut bucket = account.bucket.borrow_mut();
        let tokens = bucket.lend(borrower, lend.loan, lend.tokens, &lend.settled, now);
        self.metrics.lent(&lend.account, tokens);
        Answer::Lent { tokens, spare: bucket.spare(now) }
    }

    /// Records that this host created the very first revision.
    pub(crate) fn begin(&self) {
        self.shares.borrow_mut().begin();
    }

    /// Applies a newer revision that was put into force on this host.
    pub(crate) fn advance(&self, doc: &RevisionDoc) {
        let now = self.clock.now();
        let mut shares = self.shares.borrow_mut();
        shares.advance(allotment(doc));
        self.update(&shares, now);
        let accounts = doc.config.iter().flat_map(|config| &config.accounts);
        for id in accounts.map(|account| &account.id) {
            if self.accounts.borrow().contains_key(id) {
                continue;
            }
            let mut bucket = Bucket::new(shares.share(id), rand::random(), now);
            if shares.is_new(id) {
                bucket.fill();
            }
            let account = Account {
                bucket: RefCell::new(bucket),
                lenders: RefCell::default(),
                borrow_lock: Mutex::default(),
                loan_ended: Notify::new(),
                waiters: Cell::default(),
            };
            self.accounts.borrow_mut().insert(id.clone(), Rc::new(account));
        }
    }

    /// Records that the revision was propagated to the majorities.
    pub(crate) fn propagated(&self, revision: Revision) {
        self.shares.borrow_mut().acknowledged(revision, self.clock.now());
    }

    /// Returns the current time, after applying increases of parts that are due. It borrows all
    /// buckets mutably, so none may be borrowed by the caller.
    fn now(&self) -> Instant {
        let now = self.clock.now();
        let mut shares = self.shares.borrow_mut();
        if let Some(at) = shares.settle(now) {
            self.update(&shares, at);
        }
        now
    }

    fn update(&self, shares: &Shares, at: Instant) {
        for (id, account) in self.accounts.borrow().iter() {
            account.bucket.borrow_mut().set_share(shares.share(id), at);
        }
    }

    /// Returns the connected hosts that hold a part of the account's rate, and the part of each.
    fn reachable_holders(&self, id: &AccountId) -> (Vec<HostId>, Share) {
        let shares = self.shares.borrow();
        let Some(newest) = shares.newest() else { return (Vec::new(), Share::NONE) };
        let is_up = |host: &&&HostId| self.mesh.link(host).is_some_and(|link| link.is_up());
        let hosts = newest.holders(id);
        (hosts.iter().filter(is_up).map(|host| (*host).clone()).collect(), newest.typical(id))
    }

    fn refusal(&self, id: &AccountId, account: &Account, shortage: Shortage) -> Refusal {
        let now = self.clock.now();
        let next = account.bucket.borrow_mut().until_next(now).unwrap_or(DEFAULT_RETRY_DELAY);
        match shortage {
            Shortage::Spent => over_rate(id, next),
            Shortage::NoAnswer => {
                let rate = account.bucket.borrow().share().rate;
                info!("limits: no host lends tokens of account {id}; its part here is {rate}.");
                let message = format!("no host lends tokens of account {id}");
                Refusal::not_run(Reason::Unavailable, Some(next), message)
            }
        }
    }
}

fn over_rate(id: &AccountId, retry: Duration) -> Refusal {
    Refusal::not_run(Reason::Rate, Some(retry), format!("account {id} is over its rate"))
}

fn allotment(doc: &RevisionDoc) -> Allotment {
    let accounts = doc.config.iter().flat_map(|config| &config.accounts);
    let contract = |account: &bergamottrack_contract::ClientAccount| {
        (account.id.clone(), Share { rate: account.rate, burst: account.burst })
    };
    Allotment {
        revision: doc.number,
        fresh: doc.fresh_limit(),
        roster: rounds::host_ids(&doc.roster),
        contracts: accounts.map(contract).collect(),
    }
}
