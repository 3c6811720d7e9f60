//! Runs an entry host.

use std::{cell::Cell, io::IsTerminal, rc::Rc, time::Duration};

use anyhow::Context;
use bergamottrack_contract::{Current, Host, Routes};
use bergamottrack_coordination::{Clock, SystemClock, token::Secret};
use bergamottrack_entry::{
    Entry, caller,
    callers::{self, Callers},
};
use bergamottrack_fleet::Fleet;
use bergamottrack_home::Homes;
use bergamottrack_metrics::Metrics;
use bergamottrack_operator::{Operator, operator::OperatorKey};
use bergamottrack_peer::{
    Answer, Mesh, Question,
    accept::{self, Service},
};
use bergamottrack_platform::{Chain, Platform};
use bergamottrack_turns::{TurnQueue, WORK_PER_CORE};
use monoio::net::TcpListener;
use tracing::info;
use tracing_subscriber::EnvFilter;

use crate::{
    cli::LogFormat,
    cmd::stop::{self, Signals},
    settings::Settings,
};

/// Timeout of a request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs an entry host until a signal or the operator interface stops it; the host then drains
/// before it ends. Returns an error if the host cannot start or cannot serve operators.
pub fn run(mut settings: Settings) -> anyhow::Result<()> {
    start_log(std::mem::take(&mut settings.log), settings.log_format);
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .context("starting the runtime")?;
    runtime.block_on(run_host(settings))
}

fn start_log(filter: EnvFilter, format: LogFormat) {
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_target(false)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Plain => log.init(),
        LogFormat::Json => log.json().init(),
    }
}

async fn run_host(args: Settings) -> anyhow::Result<()> {
    let signals = Signals::register()?;
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let me = Host { id: args.host.clone(), domain: args.domain.clone(), peer: args.peer };
    let current = Rc::new(Current::default());
    let routes = Routes::new(&args.via);
    let platform = Platform::new(routes.to(args.platform), PLATFORM_TIMEOUT);
    let secret = Secret::new(args.secret.as_bytes());
    let mesh = Mesh::new(me.clone(), secret.clone(), clock.clone(), routes.clone());
    let metrics = Rc::new(Metrics::default());
    let homes = Homes::new(args.host.clone(), clock.clone(), routes, metrics.clone());
    let platform = Rc::new(platform);
    let chain = Chain::new(platform.clone());
    let fleet =
        Fleet::new(me, current.clone(), mesh.clone(), chain, clock.clone(), metrics.clone());
    let operator = Rc::new(Operator {
        fleet: fleet.clone(),
        homes: homes.clone(),
        metrics: metrics.clone(),
        platform,
        clock: clock.clone(),
        key: args.operator_key.as_deref().map(OperatorKey::new),
        drain: Rc::default(),
    });
    let entry = Rc::new(Entry {
        limits: fleet.limits.clone(),
        turns: TurnQueue::new(WORK_PER_CORE, clock.clone()),
        clock,
        current: current.clone(),
        mesh: mesh.clone(),
        homes: homes.clone(),
        secret,
        metrics,
        tls: args.tls.clone(),
        callers: Callers::new(args.callers, args.memory),
        cancels: Default::default(),
        last_pid: Cell::default(),
    });
    let peers = listen(args.peer, "peers")?;
    let callers = callers::listen(args.listen)
        .with_context(|| format!("listening for callers at {}", args.listen))?;
    info!("serve: listening for callers at {}", args.listen);
    monoio::spawn(homes.clone().maintain(current, mesh));
    monoio::spawn(homes.poll_machines(operator.platform.clone()));
    monoio::spawn(accept_peers(peers, operator.clone(), entry.clone()));
    monoio::spawn(fleet.clone().run());
    monoio::spawn(operator.clone().prune_metrics());
    if let Some(tls) = args.tls {
        monoio::spawn(stop::reload(tls));
    }
    let drain = operator.drain.clone();
    let operators = bergamottrack_operator::serve(args.operator, operator.handler());
    let mut operators = std::pin::pin!(operators);
    monoio::select! {
        _ = accept_callers(callers, entry.clone()) => {}
        result = &mut operators => return result,
        _ = signals.stop_requested() => {}
        _ = drain.notified() => {}
    }
    // The operator interface stays open during the drain, so that operators can follow it.
    monoio::select! {
        result = operators => result,
        _ = stop::drain(&entry, &fleet, args.stop_timeout) => Ok(()),
    }
}

fn listen(address: std::net::SocketAddr, clients: &str) -> anyhow::Result<TcpListener> {
    let listener = bergamottrack_operator::serve::listen(address)
        .with_context(|| format!("listening for {clients} at {address}"))?;
    info!("serve: listening for {clients} at {address}");
    Ok(listener)
}

async fn accept_callers(listener: TcpListener, entry: Rc<Entry>) {
    loop {
        let stream = accept::stream(&listener, "callers").await;
        monoio::spawn(caller::serve(entry.clone(), stream));
    }
}

async fn accept_peers(listener: TcpListener, operator: Rc<Operator>, entry: Rc<Entry>) {
    let (fleet, homes) = (operator.fleet.clone(), operator.homes.clone());
    let (mesh, current) = (fleet.mesh.clone(), fleet.current.clone());
    let (connection_homes, homes) = (homes.clone(), homes);
    let report = move || Answer::Report(Box::new(operator.report()));
    let service = Rc::new(Service {
        secret: mesh.secret.clone(),
        handshakes: accept::handshakes(),
        hello: Box::new(move || mesh.hello()),
        clock: Rc::new(SystemClock),
        serve: Box::new(move |open, side| {
            let doc = current.get();
            connection_homes.serve(doc.as_ref().and_then(|doc| doc.config.as_ref()), open, side);
        }),
        answer: Box::new(move |peer, question, replier| match question {
            Question::Cancel { pid, secret } => {
                entry.cancel(pid, secret);
                replier.reply(Answer::Pong);
            }
            Question::Outcome(of) => homes.clone().reply_outcome(fleet.current.get(), *of, replier),
            other => replier.reply(fleet.answer(peer, other).unwrap_or_else(&report)),
        }),
    });
    loop {
        let stream = accept::stream(&listener, "peers").await;
        monoio::spawn(accept::serve(stream, service.clone()));
    }
}
