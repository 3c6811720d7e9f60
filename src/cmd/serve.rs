//! Runs an entry host.

use std::{cell::Cell, pin::Pin, rc::Rc, time::Duration};

use anyhow::Context;
use bergamottrack_contract::{Config, Current, Host, Routes};
use bergamottrack_coordination::{Clock, SystemClock, token::Secret};
use bergamottrack_entry::{Entry, caller};
use bergamottrack_fleet::{Fleet, SubmitError, fleet};
use bergamottrack_home::Homes;
use bergamottrack_operator::{Reply, Request, serve::Handler};
use bergamottrack_peer::{
    Mesh,
    accept::{self, Service},
};
use bergamottrack_platform::{Chain, Platform};
use monoio::net::TcpListener;
use tracing::info;
use tracing_subscriber::EnvFilter;

use crate::{cli::LogFormat, settings::Settings};

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs an entry host until it is told to stop.
pub fn run(mut settings: Settings) -> anyhow::Result<()> {
    start_log(std::mem::take(&mut settings.log), settings.log_format);
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .context("starting the runtime")?;
    runtime.block_on(host(settings))
}

fn start_log(filter: EnvFilter, format: LogFormat) {
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        LogFormat::Plain => log.init(),
        LogFormat::Json => log.json().init(),
    }
}

async fn host(args: Settings) -> anyhow::Result<()> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let me = Host { id: args.host.clone(), domain: args.domain.clone(), peer: args.peer };
    let current = Rc::new(Current::default());
    let routes = Routes::new(&args.via);
    let platform = Platform::new(routes.to(args.platform), PLATFORM_TIMEOUT);
    let secret = Secret::new(args.secret.as_bytes());
    let mesh = Mesh::new(me.clone(), secret.clone(), clock.clone(), routes.clone());
    let homes = Homes::new(args.host.clone(), clock.clone(), routes);
    let chain = Chain::new(Rc::new(platform));
    let fleet = Fleet::new(me, current.clone(), mesh.clone(), chain, clock.clone());
    let entry = Rc::new(Entry {
        limits: fleet.limits.clone(),
        clock,
        current: current.clone(),
        mesh: mesh.clone(),
        homes: homes.clone(),
        secret,
        cancels: Default::default(),
        last_pid: Cell::default(),
    });
    let peers = listen(args.peer, "peers")?;
    let callers = listen(args.listen, "callers")?;
    monoio::spawn(homes.clone().keep(current.clone(), mesh.clone()));
    monoio::spawn(accept_peers(peers, fleet.clone(), homes));
    monoio::spawn(fleet.clone().run());
    let operators = bergamottrack_operator::serve(args.operator, handler(fleet, args.operator_key));
    monoio::select! {
        result = accept_callers(callers, entry) => result,
        result = operators => result,
    }
}

fn listen(address: std::net::SocketAddr, whom: &str) -> anyhow::Result<TcpListener> {
    let listener =
        TcpListener::bind(address).with_context(|| format!("listening for {whom} at {address}"))?;
    info!("serve: listening for {whom} at {address}.");
    Ok(listener)
}

async fn accept_callers(listener: TcpListener, entry: Rc<Entry>) -> anyhow::Result<()> {
    loop {
        let (stream, _) = listener.accept().await.context("accepting a caller")?;
        monoio::spawn(caller::serve(entry.clone(), stream));
    }
}

async fn accept_peers(
    listener: TcpListener,
    fleet: Rc<Fleet>,
    homes: Rc<Homes>,
) -> anyhow::Result<()> {
    let (mesh, current) = (fleet.mesh.clone(), fleet.current.clone());
    let service = Rc::new(Service {
        secret: mesh.secret.clone(),
        serve: Box::new(move |open, side| {
            let doc = current.get();
            homes.serve(doc.as_ref().and_then(|doc| doc.config.as_ref()), open, side);
        }),
        answer: Box::new(move |peer, question| fleet.answer(peer, question)),
    });
    loop {
        let (stream, _) = listener.accept().await.context("accepting a peer")?;
        monoio::spawn(accept::serve(stream, mesh.hello(), service.clone()));
    }
}

fn handler(fleet: Rc<Fleet>, key: Option<Box<str>>) -> Rc<Handler> {
    Rc::new(move |request: Request| -> Pin<Box<dyn Future<Output = Reply>>> {
        let allowed = key.is_some() && request.key.as_deref() == key.as_deref();
        Box::pin(operate(fleet.clone(), request, allowed))
    })
}

async fn operate(fleet: Rc<Fleet>, request: Request, allowed: bool) -> Reply {
    use hyper::StatusCode;
    if !allowed {
        return Reply::text(StatusCode::UNAUTHORIZED, "show the operator key\n");
    }
    if &*request.path != "/submit" {
        return Reply::text(StatusCode::NOT_FOUND, "no such page\n");
    }
    let text = String::from_utf8_lossy(&request.body);
    let config = match Config::parse(&text) {
        Ok(config) => config,
        Err(error) => return Reply::text(StatusCode::BAD_REQUEST, format!("{error:#}\n")),
    };
    let setting = |name: &str| {
        let pairs = request.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    let base = setting("base").and_then(|base| base.parse().ok());
    let base = base.unwrap_or_else(|| fleet.current.number());
    let submit = setting("submit").and_then(|submit| submit.parse().ok());
    let author = setting("author").unwrap_or("operator");
    match fleet.submit(config, author, submit.unwrap_or_else(fleet::new_submit), base).await {
        Ok(accepted) => Reply::text(StatusCode::OK, format!("{}\n", accepted.revision)),
        Err(error @ (SubmitError::Unknown(_) | SubmitError::NotTold { .. })) => {
            Reply::text(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n"))
        }
        Err(error) => Reply::text(StatusCode::CONFLICT, format!("{error}\n")),
    }
}
