//! Startup of a host's tasks and its orderly shutdown.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use bergamottrack_adapter::probes;
use bergamottrack_contract as contract;
use bergamottrack_coordination::{
    Clock, budget::Budget, clients::Clients, demand::Demand, token::Secret, view::LocalView,
};
use bergamottrack_model::Settings;
use bergamottrack_operator::serve::{self as http, Handler, Reply};
use bergamottrack_peer::{
    Mesh,
    accept::{self, Service},
};
use bergamottrack_platform::http::Client;
use bergamottrack_turns::TurnQueue;
use hyper::StatusCode;
use monoio::net::{ListenerOpts, TcpListener};
use tokio::sync::{Notify, watch};
use tracing::{info, warn};

use crate::{
    BootClock, caller, eviction, fleet, follow, gossip,
    host::{Host, Phase},
    join,
    limits::{self, Limits},
    metrics::Metrics,
    monitor,
};

/// Poll interval of signal flags and, during shutdown, of the number of open sessions.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which new callers still arrive after a host reports that it is not ready: the platform
/// polls the readiness once a second and acts on the second such answer.
const READINESS_DELAY: Duration = Duration::from_millis(2300);

/// Part of the grace period that remains for leaving the view and exiting. At the end of the grace
/// period the process would be killed.
const EXIT_MARGIN: Duration = Duration::from_millis(900);

/// Part of [`EXIT_MARGIN`] for the answers to statements that have none at its begin.
const ABANDON_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of connections waiting to be accepted, per listener.
const BACKLOG: i32 = 1024;

/// Connections of callers that are accepted before the other tasks have their turns.
const MAX_ACCEPTED: usize = 16;

/// Time for these.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// Flags that the process's signal handlers set.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// Requests an orderly shutdown.
    pub stop: Arc<AtomicBool>,
    /// Requests that the settings are read again.
    pub reload: Arc<AtomicBool>,
}

/// Runs a host until a requested shutdown is complete. `reread` reads the settings again.
pub async fn run(
    settings: Settings,
    signals: Signals,
    reread: impl Fn() -> anyhow::Result<Settings>,
) -> anyhow::Result<()> {
    // The listeners are opened first: a failover may request a release as soon as the view lists this
    // host.
    let peers = listen_for_peers(settings.peer_address).context("listening for other hosts")?;
    let callers = listen_for_callers(settings.caller_address).context("listening for callers")?;
    let state: Rc<RefCell<Option<Rc<Host>>>> = Rc::default();
    let probes = http::Limits::PROBES;
    let (ready, counters) = (readiness(state.clone()), metrics(state.clone()));
    monoio::spawn(http::serve_limited(settings.readiness_address, ready, probes));
    monoio::spawn(http::serve_limited(settings.metrics_address, counters, probes));
    let client = Client::new(settings.store_address);
    let (run, clock): (_, Rc<dyn Clock>) = (rand::random(), Rc::new(BootClock::new()));
    let membership = monoio::select! {
        membership = fleet::ensure_member(&settings, &clock, &client) => membership,
        // The host may have joined the view already. It has used no leader, as leaving requires.
        _ = wait_raised(&signals.stop) => return fleet::leave(&settings, None).await,
    };
    let host = new_host(settings, run, clock, &membership.secret);
    *state.borrow_mut() = Some(host.clone());
    info!(host = %host.settings.host, run = host.run, "host: started");
    *host.store_clock.borrow_mut() = membership.store_clock;
    gossip::apply_updates(&host, membership.state);
    monoio::spawn(accept_peers(peers, host.clone()));
    monoio::spawn(fleet::follow(host.clone()));
    monoio::spawn(join::serve_registrations(host.clone()));
    monoio::spawn(gossip::send_heartbeats(host.clone()));
    monoio::spawn(gossip::poll_peers(host.clone()));
    monoio::spawn(eviction::evict_silent(host.clone()));
    monoio::spawn(follow::configuration(host.clone()));
    monoio::spawn(follow::servers(host.clone()));
    monoio::spawn(monitor::watch(host.clone()));
    monoio::spawn(host.clone().maintain_pools());
    monoio::select! {
        _ = accept_callers(callers, host.clone()) => {}
        _ = watch_signals(&host, &signals, reread) => {}
    }
    Ok(())
}

/// Creates the state of a host without a view, a list of servers or a configuration. `run` identifies
/// this process among successive ones of the host.
pub fn new_host(settings: Settings, run: u64, clock: Rc<dyn Clock>, secret: &str) -> Rc<Host> {
    let me = contract::Host {
        id: settings.host.clone(),
        domain: settings.domain.clone(),
        peer: settings.peer_address,
    };
    let secret = Secret::new(secret.as_bytes());
    let started = clock.now();
    let routes = contract::Routes::new(&[]);
    let mesh = Mesh::with_keepalive(me, secret, clock.clone(), routes, fleet::LINK_KEEPALIVE);
    let limits = Limits::new(&settings);
    let clients = Clients::new(limits.clients, clock.clone());
    let mut demand = Demand::new(settings.rate_tolerance, run, started);
    demand.set_host(&settings.host);
    Rc::new(Host {
        leased_view: RefCell::new(LocalView::new(
            settings.host.clone(),
            fleet::member_hash(&settings),
        )),
        settings,
        clock: clock.clone(),
        run,
        started,
        member_lost: Cell::default(),
        peer_clocks: RefCell::default(),
        plan: RefCell::default(),
        accounts_ahead: RefCell::new(Rc::new([])),
        unshared_accounts: RefCell::default(),
        documents: RefCell::default(),
        fetch: RefCell::default(),
        is_fetching: Cell::default(),
        unreadable_version: Cell::default(),
        newest: Cell::default(),
        store_clock: RefCell::default(),
        evacuations: RefCell::default(),
        neighbours: RefCell::default(),
        hub_majority: Cell::default(),
        pending_requests: RefCell::default(),
        last_contact: RefCell::default(),
        backends: Default::default(),
        positions: RefCell::default(),
        has_homes: Cell::default(),
        groups: RefCell::default(),
        mesh,
        remote_transactions: Default::default(),
        last_admission: Cell::default(),
        demand: RefCell::new(demand),
        invalid_claims: RefCell::default(),
        silent_candidates: Cell::default(),
        held_claims: RefCell::default(),
        withdrawn: Cell::default(),
        phase: watch::Sender::new(Phase::Serving),
        packed: RefCell::default(),
        registrations: RefCell::default(),
        registered: Notify::new(),
        published_hubs: RefCell::default(),
        view_wakeup: Notify::new(),
        metrics: Metrics::default(),
        sessions: Cell::default(),
        memory: Budget::of_clients(limits.memory, limits::FREE_MEMORY, clients.clone()),
        clients,
        turns: TurnQueue::new(limits.work, clock.clone()),
        closing_log: Default::default(),
    })
}

/// Binds the listener for other hosts.
fn listen_for_peers(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).backlog(BACKLOG);
    TcpListener::bind_with_config(address, &options.recv_buf_size(accept::RECEIVE_BUFFER))
}

/// Binds the listener for callers. Its connections have small buffers of the system: what they hold counts
/// as memory of the process, and grows with each connection otherwise.
fn listen_for_callers(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).backlog(BACKLOG);
    let options = options.recv_buf_size(limits::RECEIVE_BUFFER).send_buf_size(limits::SEND_BUFFER);
    TcpListener::bind_with_config(address, &options)
}

async fn accept_callers(listener: TcpListener, host: Rc<Host>) {
    loop {
        for _ in 0..MAX_ACCEPTED {
            let stream = accept::stream(&listener, "callers").await;
            monoio::spawn(caller::serve(host.clone(), stream));
        }
        monoio::time::sleep(ACCEPT_PAUSE).await;
    }
}

/// Returns the service of a host for other hosts. `clock` gives the age of their messages.
pub fn peer_service(host: &Rc<Host>, clock: Rc<dyn Clock>) -> Rc<Service> {
    let (mesh, host) = (host.mesh.clone(), host.clone());
    Rc::new(Service {
        secret: mesh.secret.clone(),
        handshakes: accept::handshakes(),
        hello: Box::new(move || mesh.hello()),
        clock,
        serve: Box::new(|_, _| {}),
        answer: Box::new(move |peer, question, replier| {
            gossip::answer(&host, peer, question, replier);
        }),
    })
}

async fn accept_peers(listener: TcpListener, host: Rc<Host>) {
    let service = peer_service(&host, host.clock.clone());
    loop {
        let stream = accept::stream(&listener, "peers").await;
        monoio::spawn(accept::serve(stream, service.clone()));
    }
}

/// Returns whether the platform should send new callers to this host.
fn is_ready(host: &Host) -> bool {
    *host.phase.borrow() == Phase::Serving && host.may_serve() && host.leased()
}

fn readiness(state: Rc<RefCell<Option<Rc<Host>>>>) -> Rc<Handler> {
    let last = Cell::new(false);
    Rc::new(move |request| {
        let ready = state.borrow().as_ref().is_some_and(|host| is_ready(host));
        if last.replace(ready) != ready {
            log_readiness(state.borrow().as_deref(), ready);
        }
        let status = match &*request.path {
            probes::READINESS_PATH if ready => StatusCode::OK,
            probes::READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        Box::pin(async move { Reply::text(status, "") })
    })
}

fn log_readiness(host: Option<&Host>, ready: bool) {
    info!(
        ready,
        leased = host.map(Host::leased),
        contact_ms = host.and_then(contact_age).map(|age| age.as_millis() as u64),
        version = host.map(|host| host.version().0),
        newest = host.map(|host| host.newest.get().0),
        plan_age_ms = host.and_then(Host::plan_age).map(|age| age.as_millis() as u64),
        "host: readiness changed"
    );
}

fn contact_age(host: &Host) -> Option<Duration> {
    host.leased_view.borrow().contact_age(host.now())
}

fn metrics(state: Rc<RefCell<Option<Rc<Host>>>>) -> Rc<Handler> {
    Rc::new(move |_| {
        let text = state.borrow().as_ref().map(|host| host.metrics.encode());
        Box::pin(async move { Reply::text(StatusCode::OK, text.unwrap_or_default()) })
    })
}

async fn wait_raised(flag: &AtomicBool) {
    while !flag.load(Ordering::Relaxed) {
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn watch_signals(
    host: &Rc<Host>,
    signals: &Signals,
    reread: impl Fn() -> anyhow::Result<Settings>,
) {
    while !signals.stop.load(Ordering::Relaxed) {
        if signals.reload.swap(false, Ordering::Relaxed) {
            // Files that the platform may change are read where they are used. Settings that are
            // fixed for the life of the process are only validated here.
            match reread() {
                Ok(settings) => info!(host = %settings.host, "host: settings read again"),
                Err(error) => warn!(error = %format_args!("{error:#}"), "host: settings rejected"),
            }
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    stop(host).await;
}

/// Shuts the host down: continues to serve while new callers still arrive, then closes sessions
/// between transactions, and leaves the view when no session and no idle transaction of another
/// host remains, but at the latest [`EXIT_MARGIN`] before the process would be killed.
///
/// Transactions have half of the grace period to end, so that each of their statements can still be
/// answered. A statement without an answer at the end gets one before the process exits.
async fn stop(host: &Rc<Host>) {
    let started = Instant::now();
    let grace = host.settings.shutdown_grace;
    let limit = grace.saturating_sub(EXIT_MARGIN);
    let is_needed = || host.sessions.get() + host.remote_transactions.count() > 0;
    let wait_until = async |end| {
        while is_needed() && started.elapsed() < end {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    };
    info!(sessions = host.sessions.get(), "host: stopping");
    host.phase.send_replace(Phase::Leaving);
    monoio::time::sleep(READINESS_DELAY.min(limit / 2)).await;
    host.phase.send_replace(Phase::Closing);
    wait_until(limit.min(grace / 2)).await;
    host.phase.send_replace(Phase::Ending);
    wait_until(limit).await;
    host.phase.send_replace(Phase::Stopped);
    wait_until(limit + ABANDON_TIMEOUT).await;
    let cut = host.sessions.get();
    // No leader is used from here on, and no contact is given, so other hosts need not wait for this
    // one.
    host.withdrawn.set(true);
    let row = host.leased_view.borrow().view().members.get(&host.settings.host).cloned();
    let leaving = fleet::leave(&host.settings, row.map(|row| (row, monitor::store_now(host))));
    match monoio::time::timeout(EXIT_MARGIN / 2, leaving).await {
        Ok(Ok(())) => info!(cut, "host: stopped"),
        Ok(Err(error)) => {
            info!(cut, error = %format_args!("{error:#}"), "host: stopped without leaving the view");
        }
        Err(_) => info!(cut, "host: stopped without leaving the view"),
    }
}
