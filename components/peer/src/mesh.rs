//! Links to the other hosts.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_contract::{Host, Routes};
use bergamottrack_coordination::{Clock, GroupId, HostId, rendezvous, token::Secret};

use crate::{
    link::{Keepalive, Link},
    message::Hello,
};

/// Time without use after which [`Mesh::close_unused`] closes a link to a host outside of the
/// roster. It exceeds the duration of a failover, for which such links are opened, and of the
/// notification of the hosts that it has ended.
const TEMPORARY_LINK_TTL: Duration = Duration::from_secs(15);

/// Links to all other hosts of the roster, and temporary links to hosts outside of it.
pub struct Mesh {
    /// This host.
    pub me: Host,
    /// Secret shared by all hosts.
    pub secret: Secret,
    clock: Rc<dyn Clock>,
    /// Addresses to which this host connects instead of the peer addresses in the roster.
    routes: Routes,
    keepalive: Keepalive,
    /// Links to the hosts of the roster and of the preceding roster.
    links: RefCell<HashMap<HostId, (Host, Rc<Link>)>>,
    /// Links to hosts outside of the roster, with the times of their last use.
    temporary_links: RefCell<HashMap<HostId, (Rc<Link>, Instant)>>,
    /// Hosts removed from the roster by the last revision. They receive the revision and are used
    /// for nothing else.
    departed: RefCell<Vec<HostId>>,
}

impl Mesh {
    /// Creates a mesh without links to other hosts.
    pub fn new(me: Host, secret: Secret, clock: Rc<dyn Clock>, routes: Routes) -> Rc<Self> {
        Self::with_keepalive(me, secret, clock, routes, Keepalive::default())
    }

    /// Creates a mesh whose links use the given ping settings.
    pub fn with_keepalive(
        me: Host,
        secret: Secret,
        clock: Rc<dyn Clock>,
        routes: Routes,
        keepalive: Keepalive,
    ) -> Rc<Self> {
        Rc::new(Self {
            me,
            secret,
            clock,
            routes,
            keepalive,
            links: RefCell::default(),
            temporary_links: RefCell::default(),
            departed: RefCell::default(),
        })
    }

    /// Returns this host's hello for a new connection.
    pub fn hello(&self) -> Hello {
        hello(&self.me)
    }

    /// Starts links to new hosts of the roster, and closes links to hosts that are neither in it
    /// nor in the preceding one. A link to a host whose entry in the roster has changed is
    /// replaced.
    pub fn set_roster(&self, roster: &[Host], before: &[Host]) {
        let is_member = |host: &Host| roster.iter().any(|other| other.id == host.id);
        let departed: Vec<&Host> = before.iter().filter(|host| !is_member(host)).collect();
        *self.departed.borrow_mut() = departed.iter().map(|host| host.id.clone()).collect();
        let mut links = self.links.borrow_mut();
        links.retain(|_, (host, link)| {
            let keep = roster.contains(host) || departed.contains(&&*host);
            if !keep {
                link.close();
            }
            keep
        });
        for host in roster.iter().chain(departed).filter(|h| h.id != self.me.id) {
            links.entry(host.id.clone()).or_insert_with(|| (host.clone(), self.start(host)));
        }
    }

    /// Closes temporary links that no task uses and that [`Mesh::reach`] has not returned for
    /// [`TEMPORARY_LINK_TTL`].
    pub fn close_unused(&self) {
        let now = self.clock.now();
        self.temporary_links.borrow_mut().retain(|_, (link, used)| {
            // The link's own task and this map hold one reference each.
            let in_use = Rc::strong_count(link) > 2;
            let keep = in_use || now.saturating_duration_since(*used) < TEMPORARY_LINK_TTL;
            if !keep {
                link.close();
            }
            keep
        });
    }

    fn start(&self, host: &Host) -> Rc<Link> {
        let address = self.routes.to(host.peer);
        let me = self.me.clone();
        let hello = move || hello(&me);
        let (secret, clock) = (self.secret.clone(), self.clock.clone());
        Link::start(host.id.clone(), address, hello, secret, clock, self.keepalive)
    }

    /// Returns the link to a host that may be outside of the roster. Starts a temporary link if
    /// there is neither a link of the roster or the preceding one nor a temporary link.
    pub fn reach(&self, host: &Host) -> Rc<Link> {
        if let Some(link) = self.link(&host.id) {
            return link;
        }
        let now = self.clock.now();
        let mut temporary_links = self.temporary_links.borrow_mut();
        let entry = temporary_links.entry(host.id.clone());
        let (link, used) = entry.or_insert_with(|| (self.start(host), now));
        *used = now;
        link.clone()
    }

    /// Returns the link to any host, if there is one; does not start a temporary link.
    pub fn existing(&self, host: &HostId) -> Option<Rc<Link>> {
        let temporary = || Some(self.temporary_links.borrow().get(host)?.0.clone());
        self.link(host).or_else(temporary)
    }

    /// Returns the temporary links, which [`Mesh::reach`] has started.
    pub fn temporary_links(&self) -> Vec<Rc<Link>> {
        self.temporary_links.borrow().values().map(|(link, _)| link.clone()).collect()
    }

    /// Returns the link to a host of the roster or the preceding one, whether it is up or down.
    pub fn link(&self, host: &HostId) -> Option<Rc<Link>> {
        self.links.borrow().get(host).map(|(_, link)| link.clone())
    }

    /// Returns all links except temporary ones.
    pub fn links(&self) -> Vec<Rc<Link>> {
        self.links.borrow().values().map(|(_, link)| link.clone()).collect()
    }

    /// Returns the hosts that may serve `group` in order of preference: this host and the reachable
    /// hosts of the roster that are not draining.
    pub fn homes(&self, group: &GroupId) -> Vec<HostId> {
        let links = self.links.borrow();
        let departed = self.departed.borrow();
        let serves = |host: &Host, link: &Link| {
            link.is_up() && !link.is_draining() && !departed.contains(&host.id)
        };
        let others = links.values().filter(|(host, link)| serves(host, link));
        let others = others.map(|(host, _)| candidate(host));
        let ranked = rendezvous::rank(group, others.chain([candidate(&self.me)]), None);
        ranked.into_iter().cloned().collect()
    }
}

fn hello(me: &Host) -> Hello {
    Hello { host: me.id.clone(), domain: me.domain.clone(), nonce: rand::random(), clock: None }
}

fn candidate(host: &Host) -> rendezvous::Candidate<'_> {
    rendezvous::Candidate { host: &host.id, domain: &host.domain }
}
