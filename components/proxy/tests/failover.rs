//! Steps of a failover after all hosts have released the former leader.

mod hosts;
mod platform;

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_adapter::store::{self, Change, TxOutcome};
use bergamottrack_coordination::{
    Clock, ManualClock, Revision, ServerId, SystemClock, Term,
    contact::CONTACT_TTL,
    duty,
    view::{self, Leadership, RecordedServers, Versioned, View},
};
use bergamottrack_model::{
    ListedServer, Role, Settings,
    plan::{Limits, Plan},
};
use bergamottrack_platform::http::Client;
use bergamottrack_proxy::{
    Host, failover::Failover, fleet, group::Group, monitor, replica_set, serve,
};
use bytes::Bytes;
use hyper::StatusCode;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{ListenerOpts, TcpListener, TcpStream},
};
use platform::Platform;
use serde::Serialize;

/// Time for which a test waits for a condition.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Start of the processes of the servers.
const STARTED_MS: u64 = 1;

/// Term of the former leader s1.
const TERM: u64 = 5;

/// Waits until a condition holds.
async fn until(check: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !check() {
        assert!(Instant::now() < end, "the condition does not hold in time");
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Answer of a server to a request for its status.
#[derive(Clone, Copy, Debug)]
enum Report {
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
struct Fleet {
    host: Rc<Host>,
    group: Rc<Group>,
    platform: Rc<RefCell<Platform>>,
    reports: [Rc<RefCell<Report>>; 3],
}

impl Fleet {
    /// Starts a fleet whose leader is s1. Promotions are requested at `promoter`, or of the platform.
    fn start(clock: Rc<dyn Clock>, promoter: Option<SocketAddr>, reports: [Report; 3]) -> Self {
        let (platform, address) = platform::start();
        let settings = Settings {
            store_address: address,
            promoter_address: promoter.unwrap_or(address),
            ..hosts::settings("h2", hosts::NO_ADDRESS.parse().unwrap())
        };
        let host = serve::new_host(settings, 1, clock, "ours");
        host.set_plan(Plan::default(), Bytes::new());
        let reports = reports.map(|report| Rc::new(RefCell::new(report)));
        for (report, name) in reports.iter().zip(["s1", "s2", "s3"]) {
            start_server(&host, name, report.clone());
        }
        let group = host.group(&hosts::group());
        Self { host, group, platform, reports }
    }

    fn report(&self, server: usize, report: Report) {
        *self.reports[server - 1].borrow_mut() = report;
    }

    /// Marks a server as leaving.
    fn set_leaving(&self, name: &str) {
        let listed = self.host.server(&id(name)).unwrap().listed.borrow().clone();
        assert!(self.host.upsert_server(ListedServer { leaving: true, ..listed }, 2));
    }

    /// Puts a configuration in force that requires a complete successor.
    fn require_complete(&self) {
        let limits = Limits { connections: 10, cold: None, sync_replicas: 1 };
        let groups = [(hosts::group(), limits)].into();
        self.host.set_plan(Plan { version: Revision(1), groups, ..Plan::default() }, Bytes::new());
    }

    /// Removes a server from the host's list.
    fn remove(&self, name: &str) {
        let occurrence = self.host.backends.catalog.borrow_mut().mark_missing(&id(name), 2);
        assert!(self.host.remove_server(&id(name), occurrence.unwrap()));
    }

    /// Writes the host's row and that of the group, whose leader is s1, and starts the host's monitor.
    async fn watch(&self) {
        let host = &self.host;
        let value = steady(RecordedServers::new());
        self.write(fleet::group_key(&self.group.id), &value).await;
        self.write(fleet::member_key(&host.settings.host), &fleet::own_row(&host.settings)).await;
        fleet::apply_view(host, self.view().await, host.now());
        assert!(host.leased());
        monoio::spawn(monitor::watch(host.clone()));
    }

    /// Writes a row and returns its version.
    async fn write(&self, key: Box<str>, value: &impl Serialize) -> u64 {
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

    fn client(&self) -> Client {
        Client::new(self.host.settings.store_address)
    }

    /// Writes the row of the group, and begins a failover of s1.
    async fn begin(&self, planned: bool) -> Failover {
        self.begin_with(planned, &[]).await
    }

    /// As [`Self::begin`], with the given recorded servers.
    async fn begin_with(&self, planned: bool, servers: &[&str]) -> Failover {
        let value = steady(recorded(servers));
        let version = self.write(fleet::group_key(&self.group.id), &value).await;
        let before = Some(Versioned { version, value });
        let begun = Failover::begin(&self.host, &self.group, before, Some(id("s1")), planned).await;
        begun.unwrap().expect("the intent is not written")
    }

    async fn view(&self) -> View {
        fleet::read(&self.client()).await.unwrap()
    }

    /// Returns the leadership in the store.
    async fn leadership(&self) -> Leadership {
        self.view().await.groups[&self.group.id].value.clone()
    }
}

/// Returns the servers of the given names, as started by [`start_server`].
fn recorded(names: &[&str]) -> RecordedServers {
    names.iter().map(|name| (id(name), STARTED_MS)).collect()
}

/// Returns a row with the leader s1 and the recorded servers.
fn steady(servers: RecordedServers) -> Leadership {
    Leadership::Steady { leader: id("s1"), term: Term(TERM), servers }
}

fn id(name: &str) -> ServerId {
    name.parse().unwrap()
}

/// Starts a server that answers requests for its status, and adds it to the host's list.
fn start_server(host: &Host, name: &str, report: Rc<RefCell<Report>>) {
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

/// Guards against two leaders: a promotion call gets no answer and takes effect, the successor is out
/// of reach for longer than the wait for it, and the former leader, which still reports that it leads,
/// is adopted again.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn former_leader_is_not_adopted_after_an_unanswered_promotion() {
    let reports = [Report::Primary(TERM), Report::Silent, Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    let failover = fleet.begin(true).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| fleet.platform.borrow().promoted == ["s3".into()]).await;
    fleet.report(3, Report::Silent);
    // Longer than the timeout of the call, the wait for the successor and a further selection.
    monoio::time::sleep(Duration::from_millis(6500)).await;
    fleet.report(3, Report::Primary(TERM + 1));
    run.await.unwrap();
    let successor = Leadership::Steady {
        leader: id("s3"),
        term: Term(TERM + 1),
        servers: RecordedServers::new(),
    };
    assert_eq!(fleet.leadership().await, successor);
}

/// Guards against a former leader that a later failover adopts: a promotion call gets no answer and may
/// take effect, and the rejection of the next call reopens the terms that the first one may have ended.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn rejected_promotion_reopens_no_term_that_an_earlier_call_may_have_ended() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.platform.borrow_mut().answers = [None, Some(StatusCode::CONFLICT)].into();
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| fleet.platform.borrow().promoted.len() == 2).await;
    let is_released = async || fleet.view().await.duty.is_some_and(|duty| duty.value.free);
    while !is_released().await {
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(fleet.view().await.closed.get(&fleet.group.id), Some(&Term(TERM)));
    drop(run);
}

/// Guards against two leaders: a promotion call gets no answer and takes effect, the next one promotes
/// another server, and a failover adopts the leader of the term that the next one has ended.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn second_promotion_closes_the_term_of_an_unanswered_first_one() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| fleet.platform.borrow().promoted.len() == 2).await;
    assert_eq!(fleet.view().await.closed.get(&fleet.group.id), Some(&Term(TERM + 1)));
    drop(run);
}

/// Guards against a server that is promoted long after its failover was replaced: the host is suspended
/// while it connects to the platform, the clock of its timers stands still meanwhile, and the call is
/// sent when it resumes, with a token of before the promotions of others.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn promotion_is_not_requested_after_a_suspension_while_connecting() {
    let options = ListenerOpts::new().reuse_port(false).backlog(0);
    let promoter = TcpListener::bind_with_config("127.0.0.1:0", &options).unwrap();
    let address = promoter.local_addr().unwrap();
    // Fills the queue of new connections, so that a further one is established when its opening
    // packet is sent again.
    let filler = TcpStream::connect(address).await.unwrap();
    let clock = Rc::new(ManualClock::new());
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(clock.clone(), Some(address), reports);
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    while fleet.view().await.duty.is_none() {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    monoio::time::sleep(Duration::from_millis(100)).await;
    clock.advance(Duration::from_secs(10));
    drop(promoter.accept().await.unwrap());
    drop(filler);
    let received = async {
        let (mut stream, _) = promoter.accept().await.unwrap();
        let (read, chunk) = stream.read(vec![0; 1024]).await;
        String::from_utf8_lossy(&chunk[..read.unwrap_or_default()]).into_owned()
    };
    let received = monoio::time::timeout(Duration::from_secs(3), received).await;
    assert_eq!(received.unwrap_or_default(), "");
    drop(run);
}

/// Guards against a group without a leader for seconds: the answer to the acquisition of the duty is lost,
/// and the host takes its own row for that of another holder until it expires.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn duty_whose_acquisition_is_not_answered_is_used() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.platform.borrow_mut().unanswered.push(fleet::DUTY_KEY.into());
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    let began = Instant::now();
    until(|| !fleet.platform.borrow().promoted.is_empty()).await;
    assert!(began.elapsed() < duty::DUTY_TTL, "{:?}", began.elapsed());
    drop(run);
}

/// Guards against promotions in the wrong order: a call is answered with a failure of which the platform
/// may still perform the promotion, and the duty is released, so that another call overtakes it.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn duty_is_not_released_after_an_answer_without_an_outcome() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.platform.borrow_mut().answers = [Some(StatusCode::GATEWAY_TIMEOUT)].into();
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| !fleet.platform.borrow().promoted.is_empty()).await;
    monoio::time::sleep(Duration::from_millis(500)).await;
    assert!(!fleet.view().await.duty.unwrap().value.free);
    drop(run);
}

/// Guards against the replacement of a leader that runs, and by a server that lacks acknowledged
/// commits: all entries have expired in an outage of the store, and a host that starts finds the entry
/// of a replica before that of the leader is back, which takes two seconds.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn leader_whose_entry_is_not_back_after_an_outage_is_kept() {
    let reports = [Report::Primary(TERM), Report::Replica(60), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    let host = &fleet.host;
    for name in ["s1", "s2"] {
        let occurrence = host.backends.catalog.borrow_mut().mark_missing(&id(name), 1).unwrap();
        assert!(host.remove_server(&id(name), occurrence));
    }
    fleet.watch().await;
    monoio::time::sleep(Duration::from_millis(1500)).await;
    assert!(!fleet.group.in_failover.get(), "the leader is replaced");
}

/// Runs an unplanned failover in which s2, whose log is ahead of that of s3, answers with its position
/// only after `delay`, and `first` until then; returns the server that is promoted.
async fn promoted_beside(first: Report, delay: Duration) -> Box<str> {
    let fleet =
        Fleet::start(Rc::new(SystemClock), None, [Report::Silent, first, Report::Replica(50)]);
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(delay).await;
    fleet.report(2, Report::Replica(60));
    until(|| !fleet.platform.borrow().promoted.is_empty()).await;
    drop(run);
    fleet.platform.borrow().promoted[0].clone()
}

/// Guards against the loss of acknowledged commits: the replica that confirmed them has no free slot
/// when the failover reads the positions, and the other one, which lacks them, is promoted.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn busy_replica_with_confirmed_commits_is_not_passed_over() {
    let promoted = promoted_beside(Report::Busy(60), Duration::from_millis(300)).await;
    assert_eq!(&*promoted, "s2");
}

/// Guards against the loss of acknowledged commits: the replica that confirmed them applies them late and
/// has no free slot when the failover reads the positions, so that its answer shows less than the other
/// one has.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn busy_replica_that_has_not_applied_its_log_is_not_passed_over() {
    let promoted = promoted_beside(Report::Busy(40), Duration::from_millis(700)).await;
    assert_eq!(&*promoted, "s2");
}

/// Guards against the loss of acknowledged commits: the replica that confirmed them is silent for
/// longer than one request for its position, and the other one, which lacks them, is promoted.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn silent_replica_with_confirmed_commits_is_not_passed_over() {
    let promoted = promoted_beside(Report::Silent, Duration::from_millis(700)).await;
    assert_eq!(&*promoted, "s2");
}

/// Guards against the loss of acknowledged commits: the replica that confirmed them is leaving and is left
/// out of the choice.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn leaving_replica_with_confirmed_commits_is_not_passed_over() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.set_leaving("s2");
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| !fleet.platform.borrow().promoted.is_empty()).await;
    assert_eq!(fleet.platform.borrow().promoted, ["s2".into()]);
    drop(run);
}

/// Guards against the loss of acknowledged commits: a leaving server was promoted for them, and is
/// replaced before any other server has received its term.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn leaving_leader_is_kept_until_a_replica_has_its_term() {
    let reports = [Report::Primary(TERM), Report::Behind(50), Report::Behind(40)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.set_leaving("s1");
    fleet.watch().await;
    monoio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(fleet.group.leader(), Some(id("s1")));
    assert!(fleet.group.began_failover.get().is_none(), "a failover has begun");
    fleet.report(3, Report::Replica(60));
    until(|| fleet.group.began_failover.get().is_some()).await;
}

/// Guards against the loss of acknowledged commits: the leader and the replica that has them crash, and
/// the leader is back while the failover waits for that replica, but its position is not read.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn former_leader_that_is_back_is_kept_if_no_successor_is_complete() {
    let reports = [Report::Silent, Report::Silent, Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    let failover = fleet.begin(false).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(Duration::from_millis(1500)).await;
    fleet.report(1, Report::Primary(TERM));
    run.await.unwrap();
    assert_eq!(fleet.leadership().await, steady(RecordedServers::new()));
    assert!(fleet.platform.borrow().promoted.is_empty());
}

/// Guards against the loss of acknowledged commits: the leader and the replica that has them are away for
/// longer than the failover waits for positions, and the replica that lacks them is promoted.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn incomplete_replica_is_not_promoted_after_any_time_if_completeness_is_required() {
    let reports = [Report::Silent, Report::Silent, Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(Duration::from_secs(5)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    assert_eq!(fleet.host.metrics.incomplete_failovers.get(), 1);
    fleet.platform.borrow_mut().answers = [Some(StatusCode::OK)].into();
    fleet.report(2, Report::Replica(60));
    until(|| fleet.platform.borrow().promoted == ["s2".into()]).await;
    fleet.report(2, Report::Primary(TERM + 1));
    run.await.unwrap();
    assert_eq!(fleet.host.metrics.incomplete_failovers.get(), 0);
    let servers = recorded(&["s1", "s2", "s3"]);
    let successor = Leadership::Steady { leader: id("s2"), term: Term(TERM + 1), servers };
    assert_eq!(fleet.leadership().await, successor);
}

/// Guards against the loss of acknowledged commits: a host that has just started takes a failover over before
/// it has the configuration, and promotes the newest log after 4 s.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn incomplete_replica_is_not_promoted_by_a_host_without_a_configuration() {
    let reports = [Report::Silent, Report::Silent, Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    *fleet.host.plan.borrow_mut() = None;
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(Duration::from_secs(5)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    drop(run);
}

/// Guards against the loss of acknowledged commits: the entry of the replica that has them has lapsed,
/// and the failover takes only listed servers into account.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn recorded_server_without_an_entry_is_not_passed_over() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    fleet.remove("s2");
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(Duration::from_secs(1)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    drop(run);
}

/// Guards against the loss of acknowledged commits: the wait for a host that is gone outlasts the time for
/// which positions are awaited, and the replica that has them is away for the second after it.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn replica_that_is_away_as_the_wait_for_a_host_ends_is_not_passed_over() {
    let reports = [Report::Silent, Report::Silent, Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    let gone = hosts::id("h3");
    fleet.write(fleet::member_key(&gone), &fleet::own_row(&fleet.host.settings)).await;
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(view::LEASE_TTL + view::LEASE_MARGIN + Duration::from_secs(1)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    fleet.report(2, Report::Replica(60));
    until(|| fleet.platform.borrow().promoted == ["s2".into()]).await;
    drop(run);
}

/// Guards against the loss of acknowledged commits: a replica whose log ends before that of the former
/// leader is promoted, while the former leader runs in a closed term and has them.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn former_leader_of_a_closed_term_is_promoted_if_no_replica_receives_its_log() {
    let reports = [Report::Primary(TERM - 1), Report::Silent, Report::Behind(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    let closed = fleet::closed_key(&fleet.group.id);
    fleet.write(closed, &Term(TERM - 1)).await;
    let value = Leadership::Steady {
        leader: id("s2"),
        term: Term(TERM),
        servers: recorded(&["s1", "s2", "s3"]),
    };
    let version = fleet.write(fleet::group_key(&fleet.group.id), &value).await;
    let before = Some(Versioned { version, value });
    let failover = Failover::begin(&fleet.host, &fleet.group, before, Some(id("s2")), false).await;
    let failover = failover.unwrap().unwrap();
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    until(|| !fleet.platform.borrow().promoted.is_empty()).await;
    assert_eq!(fleet.platform.borrow().promoted, ["s1".into()]);
    drop(run);
}

/// Guards against a set of servers that does not hold the acknowledged commits twice: it is recorded, or a
/// server without an entry is removed from it, although no replica has received the leader's log.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn servers_are_recorded_and_removed_once_a_replica_has_the_leaders_log() {
    let reports = [Report::Primary(TERM), Report::Replica(50), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    fleet.watch().await;
    monoio::spawn(fleet::follow(fleet.host.clone()));
    let until_recorded = async |servers: &[&str]| {
        let end = Instant::now() + TIMEOUT;
        while fleet.leadership().await != steady(recorded(servers)) {
            assert!(Instant::now() < end, "not recorded: {:?}", fleet.leadership().await);
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    monoio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(fleet.leadership().await, steady(RecordedServers::new()));
    fleet.report(2, Report::Replica(60));
    until_recorded(&["s1", "s2"]).await;
    fleet.report(3, Report::Replica(60));
    until_recorded(&["s1", "s2", "s3"]).await;
    fleet.report(2, Report::Replica(50));
    fleet.remove("s3");
    monoio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.leadership().await, steady(recorded(&["s1", "s2", "s3"])));
    fleet.report(2, Report::Replica(60));
    until_recorded(&["s1", "s2"]).await;
    let joined = Rc::new(RefCell::new(Report::Replica(10)));
    start_server(&fleet.host, "s4", joined.clone());
    monoio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.leadership().await, steady(recorded(&["s1", "s2"])));
    *joined.borrow_mut() = Report::Replica(60);
    until_recorded(&["s1", "s2", "s4"]).await;
    // Without the requirement any server confirms commits, and an outdated set must not count later.
    fleet.host.set_plan(Plan { version: Revision(2), ..Plan::default() }, Bytes::new());
    until_recorded(&[]).await;
}

/// Guards against the loss of acknowledged commits: a server has started again under its id without its
/// log, and its report counts as that of the process that confirmed them.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn report_of_a_server_that_has_started_again_does_not_count() {
    let reports = [Report::Silent, Report::Replica(60), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    fleet.require_complete();
    let listed = fleet.host.server(&id("s2")).unwrap().listed.borrow().clone();
    let started_ms = STARTED_MS + 1;
    assert!(fleet.host.upsert_server(ListedServer { started_ms, ..listed }, 2));
    let failover = fleet.begin_with(false, &["s1", "s2", "s3"]).await;
    let run = monoio::spawn({
        let (host, group) = (fleet.host.clone(), fleet.group.clone());
        async move { failover.run(&host, &group).await }
    });
    monoio::time::sleep(Duration::from_secs(1)).await;
    assert!(fleet.platform.borrow().promoted.is_empty());
    drop(run);
}

/// Guards against the loss of acknowledged commits: a server confirms them of which a failover on another
/// host does not know.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn confirmation_of_a_server_that_is_not_recorded_does_not_count() {
    let reports = [Report::Primary(TERM), Report::Replica(60), Report::Replica(60)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    let key = fleet::group_key(&fleet.group.id);
    fleet.write(key, &steady(recorded(&["s1", "s2"]))).await;
    fleet::apply_view(&fleet.host, fleet.view().await, fleet.host.now());
    let counts = |name| replica_set::counts(&fleet.host, &fleet.group, &id(name));
    assert!(counts("s3"));
    fleet.require_complete();
    assert!(counts("s2") && !counts("s3"));
}

/// Guards against a failover that waits for a host's contact to expire, although the host has released
/// the leader and reaches the store: the links are cut between the request for the release and the answer.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn release_whose_answer_is_lost_is_published() {
    let reports = [Report::Primary(TERM), Report::Replica(60), Report::Replica(50)];
    let fleet = Fleet::start(Rc::new(SystemClock), None, reports);
    let host = &fleet.host;
    let me = &host.settings.host;
    fleet.write(fleet::member_key(me), &fleet::own_row(&host.settings)).await;
    fleet::apply_view(host, fleet.view().await, host.now());
    let value = Leadership::Moving {
        from: Some(id("s1")),
        holder: hosts::id("h1"),
        since: Duration::ZERO,
        planned: false,
        term: Term(TERM),
        servers: RecordedServers::new(),
    };
    let intent = fleet.write(fleet::group_key(&fleet.group.id), &value).await;
    // As a request of the host that runs the failover does.
    fleet.group.release_requested.set(intent);
    fleet::apply_row(host, &fleet.group.id, Versioned { version: intent, value });
    monoio::spawn(fleet::follow(host.clone()));
    let end = Instant::now() + CONTACT_TTL;
    while fleet.view().await.members[me].value.released < intent {
        assert!(Instant::now() < end, "the release is not published");
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
}
