//! The links to all hosts of the roster.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use bergamottrack_contract::{Host, Routes};
use bergamottrack_coordination::{Clock, GroupId, HostId, rendezvous};

use crate::{link::Link, message::Hello};

/// The links to all other hosts of the roster.
pub struct Mesh {
    /// This host.
    pub me: Host,
    clock: Rc<dyn Clock>,
    routes: Routes,
    links: RefCell<HashMap<HostId, (Host, Rc<Link>)>>,
}

impl Mesh {
    /// A mesh of this host alone.
    pub fn new(me: Host, clock: Rc<dyn Clock>, routes: Routes) -> Rc<Self> {
        Rc::new(Self { me, clock, routes, links: RefCell::default() })
    }

    /// Who this host says it is.
    pub fn hello(&self) -> Hello {
        Hello { host: self.me.id.clone(), domain: self.me.domain.clone() }
    }

    /// Starts links to new hosts of the roster and drops those to hosts that left it.
    pub fn set_roster(&self, roster: &[Host]) {
        let mut links = self.links.borrow_mut();
        links.retain(|_, (host, link)| {
            let stays = roster.contains(host);
            if !stays {
                link.close();
            }
            stays
        });
        for host in roster.iter().filter(|h| h.id != self.me.id) {
            links.entry(host.id.clone()).or_insert_with(|| {
                let address = self.routes.to(host.peer);
                let link = Link::start(host.id.clone(), address, self.hello(), self.clock.clone());
                (host.clone(), link)
            });
        }
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
        let others =
            links.values().filter(|(_, link)| link.is_up()).map(|(host, _)| candidate(host));
        let ranked = rendezvous::rank(group, others.chain([candidate(&self.me)]), None);
        ranked.into_iter().cloned().collect()
    }
}

fn candidate(host: &Host) -> rendezvous::Candidate<'_> {
    rendezvous::Candidate { host: &host.id, domain: &host.domain }
}
