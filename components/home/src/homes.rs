//! The groups whose home this host is, or was asked to be.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use bergamottrack_contract::{Config, Current, Group, RevisionDoc, Routes};
use bergamottrack_coordination::{
    Clock, GroupId, HostId, Reason, Refusal, Revision, outcome::Outcome,
};
use bergamottrack_metrics::Metrics;
use bergamottrack_peer::{
    Answer, HomeSide, Mesh, Open, OutcomeQuery, Question, ToEntry, accept::Replier,
};
use bergamottrack_platform::Platform;
use tracing::{debug, info};

use crate::{
    group::{COME_BACK, COME_BACK_LATER, GroupHome},
    outcome::{self, Key},
    serve,
};

/// How often the ranking of the hosts is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// How often the platform's list of machines is read.
const LIST_EVERY: Duration = Duration::from_secs(1);

/// How long a home that does not rank first is kept after its last exchange.
const KEEP_FOR: Duration = Duration::from_secs(2);

/// The groups whose home this host is, or was asked to be.
pub struct Homes {
    /// This host.
    me: HostId,
    clock: Rc<dyn Clock>,
    routes: Routes,
    metrics: Rc<Metrics>,
    groups: RefCell<HashMap<GroupId, (Group, Rc<GroupHome>)>>,
    /// Backend servers that leave, by the platform's list.
    listed: RefCell<HashSet<Box<str>>>,
}

impl Homes {
    /// A host that is home to no group yet.
    pub fn new(me: HostId, clock: Rc<dyn Clock>, routes: Routes, metrics: Rc<Metrics>) -> Rc<Self> {
        Rc::new(Self {
            me,
            clock,
            routes,
            metrics,
            groups: RefCell::default(),
            listed: RefCell::default(),
        })
    }

    /// The home of a group, started if it is not there yet.
    pub fn home(&self, config: &Config, id: &GroupId) -> Option<Rc<GroupHome>> {
        let contract = config.group(id)?;
        let mut groups = self.groups.borrow_mut();
        if let Some((known, home)) = groups.get(id)
            && is_same(known, contract)
        {
            return Some(home.clone());
        }
        let mut reached = contract.clone();
        for server in &mut reached.servers {
            server.address = self.routes.to(server.address);
        }
        let home = GroupHome::start(
            &reached,
            config.policy.clone(),
            self.clock.clone(),
            self.me.clone(),
            self.metrics.clone(),
        );
        home.take_over(&config.policy, contract, &self.listed.borrow());
        let before = groups.insert(id.clone(), (contract.clone(), home.clone()));
        if let Some((_, before)) = before {
            home.first.set(before.first.get());
            before.closed.set(true);
        }
        Some(home)
    }

    /// All homes on this host.
    pub fn all(&self) -> Vec<Rc<GroupHome>> {
        self.groups.borrow().values().map(|(_, home)| home.clone()).collect()
    }

    /// Keeps the homes of the groups for which this host ranks first, so that
    /// they are watched also when no caller comes; ends with the process.
    pub async fn keep(self: Rc<Self>, current: Rc<Current>, mesh: Rc<Mesh>) {
        let mut before = None;
        loop {
            let view = View::of(&current, &mesh, &self.listed.borrow());
            if before.as_ref() != Some(&view) {
                self.rank(&current, &mesh);
                before = Some(view);
            }
            self.close_unused();
            monoio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// What became of a request, asked of the home of its group wherever it is.
    ///
    /// Works as long as the group has a primary and the hosts reach each other,
    /// also while the platform is down.
    pub async fn outcome(&self, config: &Config, mesh: &Mesh, of: OutcomeQuery) -> Outcome {
        for host in mesh.homes(&of.group) {
            if host == self.me {
                return self.outcome_here(config, &of).await;
            }
            let Some(link) = mesh.link(&host) else { continue };
            match link.query(Question::Outcome(Box::new(of.clone())), of.timeout).await {
                Ok(Answer::Outcome(outcome)) => return outcome,
                Ok(other) => debug!("home: {host} answered {other:?} for an outcome."),
                Err(error) => debug!("home: an outcome is not known: {error:#}."),
            }
            // Asked again soon, the question finds the next home.
            return Outcome::Unknown { again: COME_BACK };
        }
        self.outcome_here(config, &of).await
    }

    async fn outcome_here(&self, config: &Config, of: &OutcomeQuery) -> Outcome {
        let Some(home) = self.home(config, &of.group) else {
            return Outcome::Unknown { again: COME_BACK_LATER };
        };
        let _active = home.enter();
        let deadline = self.clock.now() + of.timeout;
        let key = Key { account: of.account.clone(), request: of.request.clone() };
        outcome::ask(&home, &key, deadline).await
    }

    /// Answers a peer's question in a task of its own.
    pub fn tell_outcome(
        self: Rc<Self>,
        doc: Option<Rc<RevisionDoc>>,
        of: OutcomeQuery,
        to: Replier,
    ) {
        monoio::spawn(async move {
            let outcome = match doc.as_ref().and_then(|doc| doc.config.as_ref()) {
                Some(config) => self.outcome_here(config, &of).await,
                None => Outcome::Unknown { again: COME_BACK_LATER },
            };
            to.reply(Answer::Outcome(outcome));
        });
    }

    /// Follows the platform's list of machines; ends with the process. While the
    /// platform is down the last list stands.
    pub async fn follow_list(self: Rc<Self>, platform: Rc<Platform>) {
        loop {
            match platform.listed().await {
                Ok(list) => {
                    let leaving = list.into_iter().filter(|machine| machine.leaving);
                    self.listed.replace(leaving.map(|machine| machine.id).collect());
                }
                Err(error) => debug!("home: the list of machines cannot be read: {error:#}."),
            }
            monoio::time::sleep(LIST_EVERY).await;
        }
    }

    fn rank(&self, current: &Current, mesh: &Mesh) {
        let doc = current.get();
        let Some(config) = doc.as_ref().and_then(|doc| doc.config.as_ref()) else { return };
        for group in &config.groups {
            let first = mesh.homes(&group.id).first() == Some(&self.me);
            let known = self.groups.borrow().contains_key(&group.id);
            if !first && !known {
                continue;
            }
            if let Some(home) = self.home(config, &group.id) {
                if home.first.replace(first) != first {
                    let part = if first { "first for" } else { "no longer first for" };
                    info!("home: this host ranks {part} group {}.", group.id);
                }
                home.take_over(&config.policy, group, &self.listed.borrow());
            }
        }
        self.groups.borrow_mut().retain(|id, (_, home)| {
            let stays = config.group(id).is_some();
            home.closed.set(home.closed.get() || !stays);
            stays
        });
    }

    /// Whether nothing has run here for `time`.
    pub fn is_idle(&self, time: Duration) -> bool {
        self.groups.borrow().values().all(|(_, home)| home.is_idle(time))
    }

    fn close_unused(&self) {
        self.groups.borrow_mut().retain(|_, (_, home)| {
            let stays = home.first.get() || !home.is_idle(KEEP_FOR);
            home.closed.set(home.closed.get() || !stays);
            stays
        });
    }

    /// Serves an exchange in a task of its own.
    pub fn serve(&self, config: Option<&Config>, open: Open, side: HomeSide) {
        let home = config.and_then(|config| self.home(config, &open.group));
        let account = config.and_then(|config| config.account(&open.account));
        let weight = account.map_or(1, |account| account.weight);
        match home {
            Some(home) => {
                monoio::spawn(serve::serve(home, open, weight, side));
            }
            None => {
                let message = format!("group {} is not known here", open.group);
                let refusal = Refusal::not_run(Reason::Denied, None, message);
                side.send(ToEntry::Refused(refusal));
            }
        }
    }
}

/// What the homes depend on.
#[derive(PartialEq)]
struct View {
    revision: Revision,
    /// The hosts that answer, in order.
    up: Vec<HostId>,
    /// Backend servers that leave, by the platform's list.
    listed: HashSet<Box<str>>,
}

impl View {
    fn of(current: &Current, mesh: &Mesh, listed: &HashSet<Box<str>>) -> Self {
        let links = mesh.links();
        let mut up: Vec<_> = links
            .iter()
            .filter(|link| link.is_up() && !link.is_draining())
            .map(|link| link.host.clone())
            .collect();
        up.sort();
        Self { revision: current.number(), up, listed: listed.clone() }
    }
}

/// Whether two contracts are of the same servers; one that leaves stays the same.
fn is_same(a: &Group, b: &Group) -> bool {
    let plain = |group: &Group| {
        let mut group = group.clone();
        group.servers.iter_mut().for_each(|server| server.leaving = false);
        group
    };
    plain(a) == plain(b)
}
