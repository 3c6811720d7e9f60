//! A whole system of processes on one machine.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use anyhow::Context;
use bergamottrack_contract::Verifier;
use tempfile::TempDir;
use tokio_postgres::NoTls;

use crate::{ports::Ports, process::Process};

/// The key that operators show.
pub const OPERATOR_KEY: &str = "operator-key-of-the-lab";

/// The secret that the hosts share.
pub const SECRET: &str = "secret-of-the-lab";

/// How long a condition is waited for; far more than any takes.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// What a system is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Database groups, of three servers each.
    pub groups: usize,
    /// Entry hosts.
    pub hosts: usize,
    /// Client accounts: name, rate and burst.
    pub accounts: Vec<(String, f64, f64)>,
    /// Further arguments of each server.
    pub server_args: Vec<String>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            groups: 1,
            hosts: 3,
            accounts: vec![("baobab".into(), 1000.0, 1000.0), ("hartwell".into(), 1000.0, 1000.0)],
            server_args: Vec::new(),
        }
    }
}

/// Where an entry host listens.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other hosts.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// A running system; its processes end when it is dropped.
pub struct System {
    /// What it is made of.
    pub plan: Plan,
    /// The platform.
    pub platform: Process,
    /// The backend servers by name, such as `g1s2`.
    pub servers: BTreeMap<String, Process>,
    /// Where each server takes statements.
    pub server_addresses: BTreeMap<String, SocketAddr>,
    /// The entry hosts.
    pub hosts: Vec<Process>,
    /// Where each host listens.
    pub addresses: Vec<HostAddresses>,
    /// Where the platform listens.
    pub platform_address: SocketAddr,
    _ports: Ports,
    dir: TempDir,
}

/// The programs, which stand beside the one that runs.
fn program(name: &str) -> anyhow::Result<PathBuf> {
    let me = std::env::current_exe().context("finding the programs")?;
    let found = me.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|p| p.exists());
    found.with_context(|| format!("the program {name} has not been built"))
}

/// The key of an account in the lab.
pub fn key_of(account: &str) -> String {
    format!("key-of-{account}")
}

impl System {
    /// Starts all processes and submits the configuration.
    pub async fn start(plan: Plan) -> anyhow::Result<Self> {
        let dir = tempfile::tempdir()?;
        let mut ports = Ports::take()?;
        let platform_address = ports.address()?;
        let listen = platform_address.to_string();
        let args = vec!["platform".into(), "--listen".into(), listen];
        let platform = Process::new("platform", &program("lab")?, args, dir.path());
        let mut system = Self {
            platform,
            servers: BTreeMap::new(),
            server_addresses: BTreeMap::new(),
            hosts: Vec::new(),
            addresses: Vec::new(),
            platform_address,
            _ports: ports,
            dir,
            plan,
        };
        system.platform.start()?;
        for group in 1..=system.plan.groups {
            system.add_group(group)?;
        }
        for host in 1..=system.plan.hosts {
            system.add_host(host)?;
        }
        system.submit(&system.config()).await?;
        Ok(system)
    }

    /// The directory of its logs.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    fn add_group(&mut self, group: usize) -> anyhow::Result<()> {
        let ports = &mut self._ports;
        let replication = [ports.address()?, ports.address()?, ports.address()?];
        for i in 0..3 {
            let name = format!("g{group}s{}", i + 1);
            let listen = ports.address()?;
            let peers: Vec<String> =
                (0..3).filter(|j| *j != i).map(|j| replication[j].to_string()).collect();
            let data = self.dir.path().join(&name);
            let mut args = vec![
                "server".into(),
                format!("--id={name}"),
                format!("--listen={listen}"),
                format!("--replication={}", replication[i]),
                format!("--peers={}", peers.join(",")),
                format!("--data={}", data.display()),
            ];
            if i == 0 {
                args.push("--primary".into());
            }
            args.extend(self.plan.server_args.iter().cloned());
            let mut process = Process::new(&name, &program("lab")?, args, self.dir.path());
            process.start()?;
            self.servers.insert(name.clone(), process);
            self.server_addresses.insert(name, listen);
        }
        Ok(())
    }

    fn add_host(&mut self, host: usize) -> anyhow::Result<()> {
        let ports = &mut self._ports;
        let addresses = HostAddresses {
            callers: ports.address()?,
            peer: ports.address()?,
            operator: ports.address()?,
        };
        let name = format!("h{host}");
        let args = vec![
            "serve".into(),
            format!("--host={name}"),
            format!("--domain=d{}", host % 3 + 1),
            format!("--listen={}", addresses.callers),
            format!("--peer={}", addresses.peer),
            format!("--operator={}", addresses.operator),
            format!("--platform={}", self.platform_address),
        ];
        let program = program("bergamottrack")?;
        let mut process = Process::new(&name, &program, args, self.dir.path())
            .env("BERGAMOTTRACK_SECRET", SECRET)
            .env("BERGAMOTTRACK_OPERATOR_KEY", OPERATOR_KEY)
            .env("BERGAMOTTRACK_LOG", "debug");
        process.start()?;
        self.hosts.push(process);
        self.addresses.push(addresses);
        Ok(())
    }

    /// The configuration in TOML.
    pub fn config(&self) -> String {
        let mut text = String::from("site = \"lab\"\n");
        for group in 1..=self.plan.groups {
            text += &format!("\n[[group]]\nid = \"g{group}\"\n");
            for i in 1..=3 {
                let name = format!("g{group}s{i}");
                let address = self.server_addresses[&name];
                text += &format!(
                    "[[group.server]]\nid = \"{name}\"\naddress = \"{address}\"\ndomain = \"d{i}\"\n"
                );
            }
        }
        for (name, rate, burst) in &self.plan.accounts {
            let verifier = Verifier::new(&key_of(name), name.as_bytes());
            text +=
                &format!("\n[[account]]\nid = \"{name}\"\nrate = {rate:?}\nburst = {burst:?}\n");
            text += &format!("[[account.key]]\nid = \"k1\"\nverifier = \"{verifier}\"\n");
        }
        text
    }

    /// Submits a configuration through the first host that takes it.
    pub async fn submit(&self, config: &str) -> anyhow::Result<String> {
        let address = self.addresses[0].operator;
        let deadline = Instant::now() + PATIENCE;
        loop {
            match post(address, "/submit", config).await {
                Ok((200, text)) => return Ok(text),
                other if Instant::now() > deadline => anyhow::bail!("submitting: {other:?}"),
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }

    /// Connects to a host as an account.
    pub async fn connect(
        &self,
        host: usize,
        account: &str,
        group: &str,
    ) -> anyhow::Result<tokio_postgres::Client> {
        let address = self.addresses[host].callers;
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(format!("{account}.k1"))
            .password(key_of(account))
            .dbname(group);
        let (client, connection) = config.connect(NoTls).await.context("connecting to a host")?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Connects, trying again until the host serves.
    pub async fn await_connect(
        &self,
        host: usize,
        account: &str,
        group: &str,
    ) -> anyhow::Result<tokio_postgres::Client> {
        let deadline = Instant::now() + PATIENCE;
        loop {
            match self.connect(host, account, group).await {
                Ok(client) => return Ok(client),
                Err(error) if Instant::now() > deadline => return Err(error),
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }
}

/// Sends a request with the operator key; the status and the body.
pub async fn post(address: SocketAddr, path: &str, body: &str) -> anyhow::Result<(u16, String)> {
    request(address, "POST", path, body).await
}

/// Sends an HTTP request with the operator key; the status and the body.
pub async fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> anyhow::Result<(u16, String)> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address).await?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: lab\r\nAuthorization: Bearer {OPERATOR_KEY}\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    let (head, body) = answer.split_once("\r\n\r\n").context("an answer without a head")?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    Ok((status.context("an answer without a status")?, body.to_owned()))
}
