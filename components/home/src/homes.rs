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
    Answer, HomeSide, Mesh, Open, OutcomeOf, Question, ToEntry, accept::Replier,
};
use bergamottrack_platform::Platform;
use tracing::{debug, info};

use crate::{
    group::{GroupHome, LONG_RETRY_DELAY, RETRY_DELAY},
    outcome::{self, RequestKey},
    serve,
};

/// How often the ranking of the hosts is looked at.
const RANK_INTERVAL: Duration = Duration::from_millis(50);

/// How often the platform's list of machines is read.
const MACHINES_INTERVAL: Duration = Duration::from_secs(1);

/// How long a home that does not rank first is kept after its last exchange.
const UNUSED_HOME_TTL: Duration = Duration::from_secs(2);

/// The groups whose home this host is, or was asked to be.
pub struct Homes {
    /// This host.
    host: HostId,
    clock: Rc<dyn Clock>,
    routes: Routes,
    metrics: Rc<Metrics>,
    groups: RefCell<HashMap<GroupId, (Group, Rc<GroupHome>)>>,
    /// Backend servers that leave, by the platform's list.
    leaving_servers: RefCell<HashSet<Box<str>>>,
}

impl Homes {
    /// A host that is home to no group yet.
    pub fn new(
        host: HostId,
        clock: Rc<dyn Clock>,
        routes: Routes,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        Rc::new(Self {
            host,
            clock,
            routes,
            metrics,
            groups: RefCell::default(),
            leaving_servers: RefCell::default(),
        })
    }

    /// The home of a group, started if it is not there yet.
    pub fn get_or_start(&self, config: &Config, id: &GroupId) -> Option<Rc<GroupHome>> {
        let contract = config.group(id)?;
        let mut groups = self.groups.borrow_mut();
        if let Some((known, home)) = groups.get(id)
            && same_servers(known, contract)
        {
            return Some(home.clone());
        }
        let mut routed = contract.clone();
        for server in &mut routed.servers {
            server.address = self.routes.to(server.address);
        }
        let home = GroupHome::start(
            &routed,
            config.policy.clone(),
            self.clock.clone(),
            self.host.clone(),
            self.metrics.clone(),
        );
        home.apply_config(&config.policy, contract, &self.leaving_servers.borrow());
        let previous = groups.insert(id.clone(), (contract.clone(), home.clone()));
        if let Some((_, previous)) = previous {
            home.ranks_first.set(previous.ranks_first.get());
            previous.closed.set(true);
        }
        Some(home)
    }

    /// All homes on this host.
    pub fn all(&self) -> Vec<Rc<GroupHome>> {
        self.groups.borrow().values().map(|(_, home)| home.clone()).collect()
    }

    /// Keeps the homes of the groups for which this host ranks first, so that
    /// they are watched also when no caller comes; ends with the process.
    pub async fn maintain(self: Rc<Self>, current: Rc<Current>, mesh: Rc<Mesh>) {
        let mut previous = None;
        loop {
            let inputs = Inputs::of(&current, &mesh, &self.leaving_servers.borrow());
            if previous.as_ref() != Some(&inputs) {
                self.update_homes(&current, &mesh);
                previous = Some(inputs);
            }
            self.close_unused();
            monoio::time::sleep(RANK_INTERVAL).await;
        }
    }

    /// What became of a request, asked of the home of its group wherever it is.
    ///
    /// Works as long as the group has a primary and the hosts reach each other,
    /// also while the platform is down.
    pub async fn outcome(&self, config: &Config, mesh: &Mesh, of: OutcomeOf) -> Outcome {
        for host in mesh.homes(&of.group) {
            if host == self.host {
                return self.local_outcome(config, &of).await;
            }
            let Some(link) = mesh.link(&host) else { continue };
            match link.ask(Question::Outcome(Box::new(of.clone())), of.within).await {
                Ok(Answer::Outcome(outcome)) => return outcome,
                Ok(other) => debug!("home: {host} answered {other:?} for an outcome."),
                Err(error) => debug!("home: an outcome is not known: {error:#}."),
            }
            // Asked again soon, the question finds the next home.
            return Outcome::Unknown { again: RETRY_DELAY };
        }
        self.local_outcome(config, &of).await
    }

    async fn local_outcome(&self, config: &Config, of: &OutcomeOf) -> Outcome {
        let Some(home) = self.get_or_start(config, &of.group) else {
            return Outcome::Unknown { again: LONG_RETRY_DELAY };
        };
        let _active = home.begin_exchange();
        let deadline = self.clock.now() + of.within;
        let key = RequestKey { account: of.account.clone(), request: of.request.clone() };
        outcome::resolve(&home, &key, deadline).await
    }

    /// Answers a peer's question in a task of its own.
    pub fn reply_outcome(self: Rc<Self>, doc: Option<Rc<RevisionDoc>>, of: OutcomeOf, to: Replier) {
        monoio::spawn(async move {
            let outcome = match doc.as_ref().and_then(|doc| doc.config.as_ref()) {
                Some(config) => self.local_outcome(config, &of).await,
                None => Outcome::Unknown { again: LONG_RETRY_DELAY },
            };
            to.reply(Answer::Outcome(outcome));
        });
    }

    /// Follows the platform's list of machines; ends with the process. While the
    /// platform is down the last list stands.
    pub async fn poll_machines(self: Rc<Self>, platform: Rc<Platform>) {
        loop {
            match platform.listed().await {
                Ok(list) => {
                    let leaving = list.into_iter().filter(|machine| machine.leaving);
                    self.leaving_servers.replace(leaving.map(|machine| machine.id).collect());
                }
                Err(error) => debug!("home: the list of machines cannot be read: {error:#}."),
            }
            monoio::time::sleep(MACHINES_INTERVAL).await;
        }
    }

    fn update_homes(&self, current: &Current, mesh: &Mesh) {
        let doc = current.get();
        let Some(config) = doc.as_ref().and_then(|doc| doc.config.as_ref()) else { return };
        for group in &config.groups {
            let ranks_first = mesh.homes(&group.id).first() == Some(&self.host);
            let known = self.groups.borrow().contains_key(&group.id);
            if !ranks_first && !known {
                continue;
            }
            if let Some(home) = self.get_or_start(config, &group.id) {
                if home.ranks_first.replace(ranks_first) != ranks_first {
                    let rank = if ranks_first { "first for" } else { "no longer first for" };
                    info!("home: this host ranks {rank} group {}.", group.id);
                }
                home.apply_config(&config.policy, group, &self.leaving_servers.borrow());
            }
        }
        self.groups.borrow_mut().retain(|id, (_, home)| {
            let retained = config.group(id).is_some();
            home.closed.set(home.closed.get() || !retained);
            retained
        });
    }

    /// Whether nothing has run here for `time`.
    pub fn is_idle(&self, time: Duration) -> bool {
        self.groups.borrow().values().all(|(_, home)| home.is_idle(time))
    }

    fn close_unused(&self) {
        self.groups.borrow_mut().retain(|_, (_, home)| {
            let retained = home.ranks_first.get() || !home.is_idle(UNUSED_HOME_TTL);
            home.closed.set(home.closed.get() || !retained);
            retained
        });
    }

    /// Serves an exchange in a task of its own.
    pub fn serve(&self, config: Option<&Config>, open: Open, side: HomeSide) {
        let home = config.and_then(|config| self.get_or_start(config, &open.group));
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
struct Inputs {
    revision: Revision,
    /// The hosts that answer, in order.
    available: Vec<HostId>,
    /// Backend servers that leave, by the platform's list.
    leaving_servers: HashSet<Box<str>>,
}

impl Inputs {
    fn of(current: &Current, mesh: &Mesh, leaving_servers: &HashSet<Box<str>>) -> Self {
        let links = mesh.links();
        let mut available: Vec<_> = links
            .iter()
            .filter(|link| link.is_up() && !link.is_leaving())
            .map(|link| link.host.clone())
            .collect();
        available.sort();
        Self { revision: current.number(), available, leaving_servers: leaving_servers.clone() }
    }
}

/// Whether two contracts are of the same servers; one that leaves stays the same.
fn same_servers(a: &Group, b: &Group) -> bool {
    let without_leaving = |group: &Group| {
        let mut group = group.clone();
        group.servers.iter_mut().for_each(|server| server.leaving = false);
        group
    };
    without_leaving(a) == without_leaving(b)
}
