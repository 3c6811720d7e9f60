//! The groups whose home this host is, or was asked to be.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use bergamottrack_contract::{Config, Group, Routes};
use bergamottrack_coordination::{Clock, GroupId, Reason, Refusal};
use bergamottrack_peer::{HomeSide, Open, ToEntry};

use crate::{group::GroupHome, serve};

/// The groups whose home this host is, or was asked to be.
pub struct Homes {
    clock: Rc<dyn Clock>,
    routes: Routes,
    groups: RefCell<HashMap<GroupId, (Group, Rc<GroupHome>)>>,
}

impl Homes {
    /// A host that is home to no group yet.
    pub fn new(clock: Rc<dyn Clock>, routes: Routes) -> Rc<Self> {
        Rc::new(Self { clock, routes, groups: RefCell::default() })
    }

    /// The home of a group, started if it is not there yet.
    pub fn home(&self, config: &Config, id: &GroupId) -> Option<Rc<GroupHome>> {
        let contract = config.group(id)?;
        let mut groups = self.groups.borrow_mut();
        if let Some((known, home)) = groups.get(id)
            && known == contract
        {
            return Some(home.clone());
        }
        let mut reached = contract.clone();
        for server in &mut reached.servers {
            server.address = self.routes.to(server.address);
        }
        let home = GroupHome::start(&reached, config.policy.clone(), self.clock.clone());
        let before = groups.insert(id.clone(), (contract.clone(), home.clone()));
        if let Some((_, before)) = before {
            before.closed.set(true);
        }
        Some(home)
    }

    /// All homes on this host.
    pub fn all(&self) -> Vec<Rc<GroupHome>> {
        self.groups.borrow().values().map(|(_, home)| home.clone()).collect()
    }

    /// Serves an exchange in a task of its own.
    pub fn serve(&self, config: Option<&Config>, open: Open, side: HomeSide) {
        let home = config.and_then(|config| self.home(config, &open.group));
        match home {
            Some(home) => {
                monoio::spawn(serve::serve(home, open, side));
            }
            None => {
                let message = format!("group {} is not known here", open.group);
                let refusal = Refusal::not_run(Reason::Denied, None, message);
                side.send(ToEntry::Refused(refusal));
            }
        }
    }
}
