//! Rate and burst of every account over the whole fleet, without a leader.
//!
//! Each host holds a part by the revision and borrows from the others on
//! demand, so it works through an outage of the platform of any length. A host
//! keeps one bucket an account (224 bytes and its loans), and sends a message
//! only when its own tokens run out: a question of 70 bytes and an answer of 44.
//! At 1,800 hosts an account of burst 100 is held by 50 of them; a host without a
//! part asks one holder for about 200 ms of demand at a time. What breaks first
//! there is an account spread thinly over all hosts: some 5 questions a second
//! from each to 50 holders, which sticky balancing avoids.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_contract::{Current, RevisionDoc};
use bergamottrack_coordination::{
    AccountId, Allotment, Bucket, Clock, HostId, Lenders, Reason, Refusal, Revision, Share, Shares,
};
use bergamottrack_metrics::Metrics;
use bergamottrack_peer::{Answer, Mesh, Question, message::Lend};
use tokio::sync::Mutex;

use crate::rounds;

/// How long a lender may take to answer.
const LEND_TIMEOUT: Duration = Duration::from_millis(50);

/// The most lenders that are asked for one request.
const MAX_ROUNDS: usize = 8;

/// When to come back to a host that has no part to say it by.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// One account at this host.
struct Account {
    bucket: RefCell<Bucket>,
    lenders: RefCell<Lenders>,
    /// Held by the one request that borrows; the others wait for what it gets.
    borrow_lock: Mutex<()>,
    waiters: Cell<usize>,
}

/// Counts a request that waits for tokens, until it is dropped: the request may
/// end early, when its caller leaves.
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

/// The rates of all accounts at this host.
pub struct Limits {
    current: Rc<Current>,
    mesh: Rc<Mesh>,
    clock: Rc<dyn Clock>,
    metrics: Rc<Metrics>,
    shares: RefCell<Shares>,
    accounts: RefCell<HashMap<AccountId, Rc<Account>>>,
}

impl Limits {
    /// A host that may use nothing yet.
    pub fn new(
        current: Rc<Current>,
        mesh: Rc<Mesh>,
        clock: Rc<dyn Clock>,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let shares = RefCell::new(Shares::new(mesh.me.id.clone()));
        Rc::new(Self { current, mesh, clock, metrics, shares, accounts: RefCell::default() })
    }

    /// Takes one token of the account; refused at once when no host has one.
    pub async fn take(&self, id: &AccountId) -> Result<(), Refusal> {
        let now = self.now();
        let Some(account) = self.accounts.borrow().get(id).cloned() else {
            return Err(self.refusal(id, DEFAULT_RETRY_DELAY));
        };
        if account.bucket.borrow_mut().take(now) {
            return Ok(());
        }
        let waiters = WaitGuard::new(&account.waiters);
        let turn = account.borrow_lock.lock().await;
        let taken = self.borrow_and_take(id, &account).await;
        drop((turn, waiters));
        if taken {
            return Ok(());
        }
        let next = account.bucket.borrow_mut().until_next(self.clock.now());
        Err(self.refusal(id, next.unwrap_or(DEFAULT_RETRY_DELAY)))
    }

    async fn borrow_and_take(&self, id: &AccountId, account: &Account) -> bool {
        for _ in 0..MAX_ROUNDS {
            // Not within the call: it moves parts on, which takes the bucket too.
            let now = self.now();
            if account.bucket.borrow_mut().take_counted(now) {
                return true;
            }
            let want = account.bucket.borrow_mut().want(account.waiters.get(), now);
            let (hosts, share) = self.holders(id);
            let chosen = account.lenders.borrow().choose(hosts, share, want, now);
            if chosen.is_empty() {
                return false;
            }
            let asked =
                chosen.into_iter().map(|(host, tokens)| self.ask(id, account, host, tokens));
            futures_util::future::join_all(asked).await;
        }
        let now = self.now();
        account.bucket.borrow_mut().take_counted(now)
    }

    async fn ask(&self, id: &AccountId, account: &Account, host: HostId, tokens: f64) {
        let (no, over) = account.bucket.borrow_mut().ask(&host, self.clock.now());
        let lend = Lend { account: id.clone(), no, tokens, over };
        let answer = match self.mesh.link(&host) {
            Some(link) => link.ask(Question::Lend(lend), LEND_TIMEOUT).await.ok(),
            None => None,
        };
        let now = self.clock.now();
        match answer {
            Some(Answer::Lent { tokens, spare }) => {
                account.bucket.borrow_mut().receive(no, tokens, now);
                self.metrics.borrowed(id, tokens);
                account.lenders.borrow_mut().answered(&host, spare, now);
            }
            _ => {
                account.bucket.borrow_mut().abandon(no);
                account.lenders.borrow_mut().failed(&host, now);
            }
        }
    }

    /// Lends to another host.
    ///
    /// A host that cannot show freshness lends nothing: by now its part may
    /// belong to another host.
    pub(crate) fn lend(&self, borrower: &HostId, lend: &Lend) -> Answer {
        let now = self.now();
        let account = self.accounts.borrow().get(&lend.account).cloned();
        let Some(account) = account.filter(|_| self.current.is_fresh(now)) else {
            return Answer::Lent { tokens: 0.0, spare: 0.0 };
        };
        let mut bucket = account.bucket.borrow_mut();
        let tokens = bucket.lend(borrower, lend.no, lend.tokens, &lend.over, now);
        self.metrics.lent(&lend.account, tokens);
        Answer::Lent { tokens, spare: bucket.spare(now) }
    }

    /// This host made the first revision of all.
    pub(crate) fn begin(&self) {
        self.shares.borrow_mut().begin();
    }

    /// A newer revision is in force here.
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
                waiters: Cell::default(),
            };
            self.accounts.borrow_mut().insert(id.clone(), Rc::new(account));
        }
    }

    /// The revision is known to majorities.
    pub(crate) fn propagated(&self, revision: Revision) {
        self.shares.borrow_mut().acknowledged(revision, self.clock.now());
    }

    /// The time, after parts that grow by then have grown. It changes all
    /// buckets, so none may be held when it is called.
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

    /// The other hosts that hold a part and can be reached, and such a part.
    fn holders(&self, id: &AccountId) -> (Vec<HostId>, Share) {
        let shares = self.shares.borrow();
        let Some(newest) = shares.newest() else { return (Vec::new(), Share::NONE) };
        let up = |host: &&&HostId| self.mesh.link(host).is_some_and(|link| link.is_up());
        let hosts = newest.holders(id);
        (hosts.iter().filter(up).map(|host| (*host).clone()).collect(), newest.typical(id))
    }

    fn refusal(&self, id: &AccountId, retry: Duration) -> Refusal {
        let message = format!("account {id} is over its rate");
        Refusal::not_run(Reason::Rate, Some(retry), message)
    }
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
