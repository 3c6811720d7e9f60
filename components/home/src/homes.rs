//! Homes of database groups on this host.

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
    group::{GroupHome, LONG_RETRY_DELAY, RETRY_DELAY},
    outcome::{self, RequestKey},
    serve,
};

/// Interval between two checks of the ranking of the hosts.
const RANK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two reads of the platform's list of machines.
const MACHINES_INTERVAL: Duration = Duration::from_secs(1);

/// Time after its last exchange for which a home is kept if this host does not rank first for the
/// group.
const UNUSED_HOME_TTL: Duration = Duration::from_secs(2);

/// Homes of the groups for which this host ranks first in [`Mesh::homes`] or has received requests.
pub struct Homes {
    /// Id of this host.
    host: HostId,
    clock: Rc<dyn Clock>,
    routes: Routes,
    metrics: Rc<Metrics>,
    /// Configuration and home of each group.
    groups: RefCell<HashMap<GroupId, (Group, Rc<GroupHome>)>>,
    /// Ids of the machines that the platform's list marks as leaving. A database server is leaving
    /// if its id is among them.
    leaving_servers: RefCell<HashSet<Box<str>>>,
}

impl Homes {
    /// Creates an instance without homes.
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

    /// Returns the home of a group. Starts one if there is none, or if the group's configuration
    /// differs from that of the existing home in more than which servers are leaving. Returns
    /// `None` if the group is not configured.
    pub fn get_or_start(&self, config: &Config, id: &GroupId) -> Option<Rc<GroupHome>> {
        let contract = config.group(id)?;
        let mut groups = self.groups.borrow_mut();
        if let Some((known, home)) = groups.get(id)
            && same_servers(known, contract)
        {
            return Some(home.clone());
        }
        // The home connects to the routed addresses; `same_servers` compares those without routes.
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

    /// Returns all homes on this host.
    pub fn all(&self) -> Vec<Rc<GroupHome>> {
        self.groups.borrow().values().map(|(_, home)| home.clone()).collect()
    }

    /// Keeps homes for the groups for which this host ranks first, so that these are monitored
    /// even without callers; closes unused homes. Runs for the lifetime of the process.
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

    /// Returns the outcome of a request, as resolved by the home of its group on any host.
    ///
    /// Requires a primary of the group and links between the hosts, but not the platform.
    pub async fn outcome(&self, config: &Config, mesh: &Mesh, of: OutcomeQuery) -> Outcome {
        for host in mesh.homes(&of.group) {
            if host == self.host {
                return self.local_outcome(config, &of).await;
            }
            let Some(link) = mesh.link(&host) else { continue };
            match link.query(Question::Outcome(Box::new(of.clone())), of.timeout).await {
                Ok(Answer::Outcome(outcome)) => return outcome,
                Ok(other) => debug!("home: unexpected outcome answer of {host}: {other:?}."),
                Err(error) => debug!("home: outcome query to {host} failed: {error:#}."),
            }
            // A retry of the query uses the home that ranks first by then.
            return Outcome::Unknown { again: RETRY_DELAY };
        }
        self.local_outcome(config, &of).await
    }

    /// Returns the outcome of a request, as resolved by the home on this host.
    async fn local_outcome(&self, config: &Config, of: &OutcomeQuery) -> Outcome {
        let Some(home) = self.get_or_start(config, &of.group) else {
            return Outcome::Unknown { again: LONG_RETRY_DELAY };
        };
        let _active = home.begin_exchange();
        let deadline = self.clock.now() + of.timeout;
        let key = RequestKey { account: of.account.clone(), request: of.request.clone() };
        outcome::resolve(&home, &key, deadline).await
    }

    /// Answers a peer's outcome query, in a separate task.
    pub fn reply_outcome(
        self: Rc<Self>,
        doc: Option<Rc<RevisionDoc>>,
        of: OutcomeQuery,
        to: Replier,
    ) {
        monoio::spawn(async move {
            let outcome = match doc.as_ref().and_then(|doc| doc.config.as_ref()) {
                Some(config) => self.local_outcome(config, &of).await,
                None => Outcome::Unknown { again: LONG_RETRY_DELAY },
            };
            to.reply(Answer::Outcome(outcome));
        });
    }

    /// Polls the platform's list of machines for those that are leaving. Runs for the lifetime of
    /// the process. The last list remains in use while the platform is unavailable.
    pub async fn poll_machines(self: Rc<Self>, platform: Rc<Platform>) {
        loop {
            match platform.listed().await {
                Ok(list) => {
                    let leaving = list.into_iter().filter(|machine| machine.leaving);
                    self.leaving_servers.replace(leaving.map(|machine| machine.id).collect());
                }
                Err(error) => debug!("home: failed to read the list of machines: {error:#}."),
            }
            monoio::time::sleep(MACHINES_INTERVAL).await;
        }
    }

    /// Starts, updates and closes homes according to the configuration and the ranking of hosts.
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

    /// Returns whether no exchange has run on this host for longer than `time`.
    pub fn is_idle(&self, time: Duration) -> bool {
        self.groups.borrow().values().all(|(_, home)| home.is_idle(time))
    }

    /// Closes homes of groups for which this host does not rank first, once they have been idle for
    /// [`UNUSED_HOME_TTL`].
    fn close_unused(&self) {
        self.groups.borrow_mut().retain(|_, (_, home)| {
            let retained = home.ranks_first.get() || !home.is_idle(UNUSED_HOME_TTL);
            home.closed.set(home.closed.get() || !retained);
            retained
        });
    }

    /// Serves an exchange in a separate task; refuses it if its group is not configured.
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

/// State that determines the homes of this host.
#[derive(PartialEq)]
struct Inputs {
    /// Current revision of the configuration.
    revision: Revision,
    /// Other hosts whose links are up and that are not draining, sorted.
    available: Vec<HostId>,
    /// Ids of the machines that the platform's list marks as leaving.
    leaving_servers: HashSet<Box<str>>,
}

impl Inputs {
    fn of(current: &Current, mesh: &Mesh, leaving_servers: &HashSet<Box<str>>) -> Self {
        let links = mesh.links();
        let mut available: Vec<_> = links
            .iter()
            .filter(|link| link.is_up() && !link.is_draining())
            .map(|link| link.host.clone())
            .collect();
        available.sort();
        Self { revision: current.number(), available, leaving_servers: leaving_servers.clone() }
    }
}

/// Returns whether two configurations of a group are equal apart from which servers are leaving.
fn same_servers(a: &Group, b: &Group) -> bool {
    let without_leaving = |group: &Group| {
        let mut group = group.clone();
        group.servers.iter_mut().for_each(|server| server.leaving = false);
        group
    };
    without_leaving(a) == without_leaving(b)
}
