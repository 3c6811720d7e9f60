//! Host of a fleet without a store, whose view and clock the test sets.

// Each test uses a part.
#![allow(dead_code)]

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bergamottrack_coordination::{
    Clock, GroupId, HostId, ServerId, Term, cold, demand,
    view::{Leadership, Member, RecordedSet, Versioned, View},
};
use bergamottrack_model::Settings;
use bergamottrack_proxy::{Host, fleet, serve};

/// Time of the store's clock at which the view was read.
pub const VIEW_CLOCK: Duration = Duration::from_secs(100);

/// Time after which the entry of a silent server is removed.
pub const ENTRY_TTL: Duration = Duration::from_millis(300);

/// Address of hosts that do not run.
pub const NO_ADDRESS: &str = "127.0.0.1:9";

pub fn id(name: &str) -> HostId {
    name.parse().unwrap()
}

pub fn group() -> GroupId {
    "g1".parse().unwrap()
}

pub fn server() -> ServerId {
    "s1".parse().unwrap()
}

/// Returns the settings of a host whose services do not run.
pub fn settings(host: &str, peer_address: SocketAddr) -> Settings {
    let unused = NO_ADDRESS.parse().unwrap();
    Settings {
        host: id(host),
        domain: "d1".parse().unwrap(),
        regions: HashMap::new(),
        cpu_millicores: 1000,
        memory: 160_000_000,
        descriptors: 4000,
        caller_address: unused,
        readiness_address: unused,
        peer_address,
        metrics_address: unused,
        store_address: unused,
        promoter_address: unused,
        first_start: false,
        shutdown_grace: Duration::from_secs(10),
        apply_bound: Duration::from_secs(3),
        evacuation_bound: Duration::from_secs(3),
        drain_bound: Duration::from_secs(7),
        entry_ttl: ENTRY_TTL,
        cold_tolerance: cold::Tolerance::default(),
        revocation_bound: None,
        rate_tolerance: demand::Tolerance {
            overage: 0.1,
            slack: 5.0,
            window: Duration::from_secs(5),
        },
        disabled: Vec::new(),
    }
}

/// Starts the host h2, whose view lists h1 and h2 as members and s1 as the leader of g1.
pub fn start(peer_address: SocketAddr, clock: Rc<dyn Clock>) -> Rc<Host> {
    let now = clock.now();
    let host = serve::new_host(settings("h2", peer_address), 1, clock, "ours");
    let other = fleet::own_row(&settings("h1", NO_ADDRESS.parse().unwrap()));
    let members = [(id("h1"), other), (id("h2"), fleet::own_row(&host.settings))];
    let row = |value: Member| Versioned { version: 1, value };
    let leadership =
        Leadership::Steady { leader: server(), term: Term(1), recorded: RecordedSet::default() };
    let view = View {
        version: 2,
        clock: VIEW_CLOCK,
        members: members.map(|(id, member)| (id, row(member))).into(),
        groups: [(group(), Versioned { version: 2, value: leadership })].into(),
        ..View::default()
    };
    fleet::apply_view(&host, view, now);
    host
}
