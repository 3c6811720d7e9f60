//! Stand-in for a backend server: SQLite behind the PostgreSQL protocol, with terms,
//! positions and asynchronous replication.

use std::{net::SocketAddr, path::PathBuf, rc::Rc};

use anyhow::Context;
use bergamottrack_coordination::ServerId;
use bergamottrack_operator::serve::listen;
use clap::Args;

mod engine;
mod extended;
mod replication;
mod rows;
mod session;
mod sql;
mod types;
mod values;

/// Settings of a server.
#[derive(Args, Clone, Debug)]
pub struct ServerArgs {
    /// Name of the server.
    #[arg(long)]
    pub id: ServerId,
    /// Address for statements.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Address for the other servers of the group.
    #[arg(long)]
    pub replication: SocketAddr,
    /// Replication addresses of the other servers, as this one reaches them.
    #[arg(long, value_delimiter = ',')]
    pub peers: Vec<SocketAddr>,
    /// Where the log is kept over a restart.
    #[arg(long)]
    pub data: PathBuf,
    /// Start as the primary of term 1 when there is no log yet.
    #[arg(long)]
    pub primary: bool,
    /// Milliseconds after which a replica shows what it has received.
    #[arg(long, default_value_t = 0)]
    pub lag_ms: u64,
    /// Milliseconds that each statement takes at least.
    #[arg(long, default_value_t = 0)]
    pub service_ms: u64,
    /// Statements that run at once.
    #[arg(long, default_value_t = 5)]
    pub slots: usize,
    /// Connections accepted.
    #[arg(long, default_value_t = 35)]
    pub connections: usize,
    /// Milliseconds that a new connection takes.
    #[arg(long, default_value_t = 10)]
    pub connect_ms: u64,
}

/// Runs a server until the process ends.
pub async fn run(args: ServerArgs) -> anyhow::Result<()> {
    let engine = Rc::new(engine::Engine::open(&args)?);
    let replicas = listen(args.replication).context("listening for replicas")?;
    monoio::spawn(replication::serve(engine.clone(), replicas));
    for peer in &args.peers {
        monoio::spawn(replication::follow(engine.clone(), *peer));
    }
    monoio::spawn(replication::apply(engine.clone()));
    let listener = listen(args.listen).context("listening for statements")?;
    loop {
        let (stream, _) = listener.accept().await.context("accepting a connection")?;
        monoio::spawn(session::serve(engine.clone(), stream));
    }
}
