//! Servers of a group that report a state, and the host that runs the group's failover.

// Each test uses a part.
#![allow(dead_code)]

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_adapter::store::{self, Change, TxOutcome};
use bergamottrack_coordination::{
    Clock, FailureDomain, Revision, ServerId, Term,
    view::{Leadership, RecordedServers, RecordedSet, Versioned, View},
};
use bergamottrack_model::{
    ListedServer, Role, Settings,
    plan::{Limits, Plan},
};
use bergamottrack_platform::http::Client;
use bergamottrack_proxy::{Host, failover::Failover, fleet, group::Group, monitor, serve};
use bytes::Bytes;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};
use serde::Serialize;

use crate::{
    hosts,
    platform::{self, Platform},
};

/// Time for which a test waits for a condition.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Names of the servers.
pub const SERVERS: [&str; 3] = ["s1", "s2", "s3"];

/// Start of the processes of the servers.
pub const STARTED_MS: u64 = 1;

/// Term of the former leader s1.
pub const TERM: u64 = 5;

/// Waits until a condition holds.
pub async fn until(check: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !check() {
        assert!(Instant::now() < end, "the condition does not hold in time");
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Answer of a server to a request for its status.
#[derive(Clone, Copy, Debug)]
pub enum Report {
    /// The server does not answer.
    Silent,
    /// All slots of the server are in use; it answers with its position in the former leader's term.
    Busy(u64),
    /// Position in the former leader's term.
    Replica(u64),
    /// Position in the term before that of the former leader.
    Behind(u64),
    /// Term in which the server leads.
    Primary(u64),
}

/// Servers s1 to s3 of the group, and the host h2 that runs the failover.
pub struct Fleet {
    pub host: Rc<Host>,
    pub group: Rc<Group>,
    pub platform: Rc<RefCell<Platform>>,
    pub reports: [Rc<RefCell<Report>>; 3],
}

impl Fleet {
    /// Starts a fleet whose leader is s1. Promotions are requested at `promoter`, or of the platform.
    pub fn start(clock: Rc<dyn Clock>, promoter: Option<SocketAddr>, reports: [Report; 3]) -> Self {
        let (platform, address) = platform::start();
        platform.borrow_mut().entries = SERVERS.map(|name| (name.into(), STARTED_MS)).into();
        let settings = Settings {
            store_address: address,
            promoter_address: promoter.unwrap_or(address),
            ..hosts::settings("h2", hosts::NO_ADDRESS.parse().unwrap())
        };
        let host = serve::new_host(settings, 1, clock, "ours");
        host.set_plan(Plan::default(), Bytes::new());
        let reports = reports.map(|report| Rc::new(RefCell::new(report)));
        for (report, name) in reports.iter().zip(SERVERS) {
            start_server(&host, name, report.clone());
        }
        let group = host.group(&hosts::group());
        Self { host, group, platform, reports }
    }

    pub fn report(&self, server: usize, report: Report) {
        *self.reports[server - 1].borrow_mut() = report;
    }

    /// Marks a server as leaving.
    pub fn set_leaving(&self, name: &str) {
        let listed = self.host.server(&id(name)).unwrap().listed.borrow().clone();
        assert!(self.host.upsert_server(ListedServer { leaving: true, ..listed }, 2));
    }

    /// Moves a server to another failure domain, and evacuates this domain or withdraws the evacuation.
    pub fn evacuate(&self, name: &str, evacuated: bool) {
        let domain: FailureDomain = "d2".parse().unwrap();
        let listed = self.host.server(&id(name)).unwrap().listed.borrow().clone();
        self.host.upsert_server(ListedServer { domain: domain.clone(), ..listed }, 2);
        let (version, clock) = if evacuated { (1, 1) } else { (2, 2) };
        let row = (domain, evacuated.then_some(version));
        let clock = Duration::from_secs(clock);
        self.host.evacuations.borrow_mut().read(&[row], false, version, clock);
    }

    /// Puts a configuration in force that requires a complete successor.
    pub fn require_complete(&self) {
        let limits = Limits { connections: 10, cold: None, sync_replicas: 1 };
        let groups = [(hosts::group(), limits)].into();
        self.host.set_plan(Plan { version: Revision(1), groups, ..Plan::default() }, Bytes::new());
    }

    /// Removes a server from the host's list.
    pub fn remove(&self, name: &str) {
        let occurrence = self.host.backends.catalog.borrow_mut().mark_missing(&id(name), 2);
        assert!(self.host.remove_server(&id(name), occurrence.unwrap()));
    }

    /// Writes the host's row and that of the group, whose leader is s1, and starts the host's monitor.
    pub async fn watch(&self) {
        self.watch_from(steady(&[])).await;
    }

    /// As [`Self::watch`], with the given row of the group.
    pub async fn watch_from(&self, value: Leadership) {
        let host = &self.host;
        self.write(fleet::group_key(&self.group.id), &value).await;
        self.write(fleet::member_key(&host.settings.host), &fleet::own_row(&host.settings)).await;
        fleet::apply_view(host, self.view().await, host.now());
        assert!(host.leased());
        monoio::spawn(monitor::watch(host.clone()));
    }

    /// Writes a row and returns its version.
    pub async fn write(&self, key: Box<str>, value: &impl Serialize) -> u64 {
        let put = vec![(key, serde_json::to_vec(value).unwrap())];
        let change = Change { put, ..Change::default() };
        let client = self.client();
        // The stand-in may not listen yet.
        loop {
            if let Ok(TxOutcome::Applied(version)) = store::change(&client, &change, TIMEOUT).await
            {
                break version;
            }
        }
    }

    pub fn client(&self) -> Client {
        Client::new(self.host.settings.store_address)
    }

    /// Writes the row of the group, and begins a failover of s1.
    pub async fn begin(&self, planned: bool) -> Failover {
        self.begin_with(planned, &[]).await
    }

    /// As [`Self::begin`], with the given recorded servers.
    pub async fn begin_with(&self, planned: bool, servers: &[&str]) -> Failover {
        self.begin_from(planned, steady(servers)).await
    }

    /// As [`Self::begin`], of the leader in the given row.
    pub async fn begin_from(&self, planned: bool, value: Leadership) -> Failover {
        let Leadership::Steady { leader, .. } = &value else { panic!("no leader in {value:?}") };
        let from = Some(leader.clone());
        let version = self.write(fleet::group_key(&self.group.id), &value).await;
        let before = Some(Versioned { version, value });
        let begun = Failover::begin(&self.host, &self.group, before, from, planned).await;
        begun.unwrap().expect("the intent is not written")
    }

    pub async fn view(&self) -> View {
        fleet::read(&self.client()).await.unwrap()
    }

    /// Returns the leadership in the store.
    pub async fn leadership(&self) -> Leadership {
        self.view().await.groups[&self.group.id].value.clone()
    }
}

/// Returns the servers of the given names, as started by [`start_server`].
pub fn recorded(names: &[&str]) -> RecordedServers {
    names.iter().map(|name| (id(name), STARTED_MS)).collect()
}

/// Returns an exhaustive set of the servers of the given names, or no set without names.
pub fn recorded_set(names: &[&str]) -> RecordedSet {
    let exhaustive = !names.is_empty();
    RecordedSet { servers: recorded(names), exhaustive, revision: Revision(0) }
}

/// Returns a row with the leader s1 and the recorded servers of the given names.
pub fn steady(names: &[&str]) -> Leadership {
    Leadership::Steady { leader: id("s1"), term: Term(TERM), recorded: recorded_set(names) }
}

pub fn id(name: &str) -> ServerId {
    name.parse().unwrap()
}

/// Starts a server that answers requests for its status, and adds it to the host's list.
pub fn start_server(host: &Host, name: &str, report: Rc<RefCell<Report>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let listed = ListedServer {
        id: id(name),
        group: hosts::group(),
        address: listener.local_addr().unwrap(),
        domain: host.settings.domain.clone(),
        slots: 1,
        leaving: false,
        role: Role::Replica,
        started_ms: STARTED_MS,
        cold: Duration::ZERO,
    };
    host.upsert_server(listed, 1);
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(serve_statuses(stream, report.clone()));
        }
    });
}

async fn serve_statuses(mut stream: TcpStream, report: Rc<RefCell<Report>>) {
    let mut pending = String::new();
    loop {
        let (read, chunk) = stream.read(vec![0; 1024]).await;
        let Ok(1..) = read else { return };
        pending.push_str(std::str::from_utf8(&chunk[..read.unwrap()]).unwrap());
        while let Some((line, rest)) = pending.split_once("\r\n") {
            let is_start = line.starts_with("START");
            pending = rest.to_owned();
            let report = *report.borrow();
            let row = |role, term, number| {
                let point = format!("{term}.{number}");
                format!("ROW {role} {term} {point} {term} 0 0 0\r\nDONE -\r\nREADY I {point}\r\n")
            };
            let answer = match report {
                Report::Silent => continue,
                _ if is_start => "READY I -\r\n".to_owned(),
                Report::Busy(number) => format!("ERROR BUSY s\r\nREADY I {TERM}.{number}\r\n"),
                Report::Replica(number) => row("replica", TERM, number),
                Report::Behind(number) => row("replica", TERM - 1, number),
                Report::Primary(term) => row("primary", term, 60),
            };
            if stream.write_all(answer.into_bytes()).await.0.is_err() {
                return;
            }
        }
    }
}
