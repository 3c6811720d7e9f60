//! The links to all hosts of the roster.

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

/// How long a link stays up to a host that is not of the roster: longer than a
/// change of leader, for which such links are made, and the telling of its end.
const GUEST_FOR: Duration = Duration::from_secs(15);

/// The links to all other hosts of the roster.
pub struct Mesh {
    /// This host.
    pub me: Host,
    /// The secret that all hosts share.
    pub secret: Secret,
    clock: Rc<dyn Clock>,
    routes: Routes,
    pace: Keepalive,
    /// Links to the hosts of the roster, and of the roster before it.
    links: RefCell<HashMap<HostId, (Host, Rc<Link>)>>,
    /// Links to hosts that are not spoken to all the time, and since when.
    temporary_links: RefCell<HashMap<HostId, (Rc<Link>, Instant)>>,
    /// The hosts that left with the last revision: they are told of it, and
    /// asked for nothing else.
    left: RefCell<Vec<HostId>>,
}

impl Mesh {
    /// A mesh of this host alone.
    pub fn new(me: Host, secret: Secret, clock: Rc<dyn Clock>, routes: Routes) -> Rc<Self> {
        Self::with_keepalive(me, secret, clock, routes, Keepalive::default())
    }

    /// A mesh whose links are tried out at another pace.
    pub fn with_keepalive(
        me: Host,
        secret: Secret,
        clock: Rc<dyn Clock>,
        routes: Routes,
        pace: Keepalive,
    ) -> Rc<Self> {
        Rc::new(Self {
            me,
            secret,
            clock,
            routes,
            pace,
            links: RefCell::default(),
            temporary_links: RefCell::default(),
            left: RefCell::default(),
        })
    }

    /// Who this host says it is, on a new connection.
    pub fn hello(&self) -> Hello {
        hello(&self.me)
    }

    /// Starts links to new hosts of the roster and drops those to hosts that
    /// are neither of it nor of the one before.
    pub fn set_roster(&self, roster: &[Host], before: &[Host]) {
        let stays = |host: &Host| roster.iter().any(|other| other.id == host.id);
        let left: Vec<&Host> = before.iter().filter(|host| !stays(host)).collect();
        *self.left.borrow_mut() = left.iter().map(|host| host.id.clone()).collect();
        let mut links = self.links.borrow_mut();
        links.retain(|_, (host, link)| {
            let stays = roster.contains(host) || left.contains(&&*host);
            if !stays {
                link.close();
            }
            stays
        });
        for host in roster.iter().chain(left).filter(|h| h.id != self.me.id) {
            links.entry(host.id.clone()).or_insert_with(|| (host.clone(), self.start(host)));
        }
        let now = self.clock.now();
        self.temporary_links.borrow_mut().retain(|_, (link, since)| {
            let stays = now.saturating_duration_since(*since) < GUEST_FOR;
            if !stays {
                link.close();
            }
            stays
        });
    }

    fn start(&self, host: &Host) -> Rc<Link> {
        let address = self.routes.to(host.peer);
        let me = self.me.clone();
        let hello = move || hello(&me);
        let (secret, clock) = (self.secret.clone(), self.clock.clone());
        Link::start(host.id.clone(), address, hello, secret, clock, self.pace)
    }

    /// The link to a host that may not be of the roster; a new one is closed after
    /// a while.
    pub fn reach(&self, host: &Host) -> Rc<Link> {
        if let Some(link) = self.link(&host.id) {
            return link;
        }
        let start = || (self.start(host), self.clock.now());
        let mut temporary_links = self.temporary_links.borrow_mut();
        temporary_links.entry(host.id.clone()).or_insert_with(start).0.clone()
    }

    /// The links to hosts that are not of the roster.
    pub fn temporary_links(&self) -> Vec<Rc<Link>> {
        self.temporary_links.borrow().values().map(|(link, _)| link.clone()).collect()
    }

    /// The link to a host, whether up or not.
    pub fn link(&self, host: &HostId) -> Option<Rc<Link>> {
        self.links.borrow().get(host).map(|(_, link)| link.clone())
    }

    /// All links.
    pub fn links(&self) -> Vec<Rc<Link>> {
        self.links.borrow().values().map(|(_, link)| link.clone()).collect()
    }

    /// The hosts that may serve `group`, best first: this one and those that answer.
    pub fn homes(&self, group: &GroupId) -> Vec<HostId> {
        let links = self.links.borrow();
        let left = self.left.borrow();
        let serves = |host: &Host, link: &Link| {
            link.is_up() && !link.is_draining() && !left.contains(&host.id)
        };
        let others = links.values().filter(|(host, link)| serves(host, link));
        let others = others.map(|(host, _)| candidate(host));
        let ranked = rendezvous::rank(group, others.chain([candidate(&self.me)]), None);
        ranked.into_iter().cloned().collect()
    }
}

fn hello(me: &Host) -> Hello {
    Hello { host: me.id.clone(), domain: me.domain.clone(), nonce: rand::random() }
}

fn candidate(host: &Host) -> rendezvous::Candidate<'_> {
    rendezvous::Candidate { host: &host.id, domain: &host.domain }
}
