//! Complete system on one machine: the platform, each backend server and each entry host run as
//! separate processes, and one more process runs all links if the plan has links.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use anyhow::Context;
use bergamottrack_contract::{Config, Verifier};
use bergamottrack_operator::api::{HostLine, StatusPage};
use tempfile::TempDir;
use tokio_postgres::Client;

pub use crate::client::{WAIT_TIMEOUT, connect, post, request, rows, run_until_ok};
use crate::{
    client::POLL_INTERVAL,
    link::{Fault, SetFault},
    ports::Ports,
    process::Process,
};

/// Operator key of every system.
pub const OPERATOR_KEY: &str = "operator-key-of-the-lab";

/// Prefix of the secret that the hosts of a system share; see [`System::secret`].
pub const SECRET: &str = "secret-of-the-lab";

/// Size and settings of a system.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of database groups; each has three servers.
    pub groups: usize,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Client accounts: name, rate and burst. Each has one key, `k1`.
    pub accounts: Vec<(String, f64, f64)>,
    /// Additional arguments of each server.
    pub server_args: Vec<String>,
    /// Additional arguments of each entry host.
    pub host_args: Vec<String>,
    /// Lines of the configuration's `[policy]`.
    pub policy: String,
    /// Whether every connection between two processes goes through a fault-injecting link. Links
    /// are named `FROM>TO`: `h1>g1s1`, `h1>h2`, `h1>platform`, and `g1s2>g1s1` for replication.
    pub links: bool,
    /// Whether the link process appends all bytes that it forwards to the file `bytes` in the
    /// system's directory.
    pub record: bool,
    /// Configuration used instead of `accounts` and `policy`, with its own groups: server `i` of
    /// its group `g` gets the address of the backend server `g{g}s{i}`. `groups` still sets how
    /// many backend servers there are.
    pub site: Option<Config>,
    /// Log filter of the entry hosts.
    pub log: String,
    /// Base port for callers: host `i`, counted from 1, listens on this port plus `i`. With 0 a free
    /// port is chosen.
    pub port: u16,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            groups: 1,
            hosts: 3,
            accounts: vec![("baobab".into(), 1000.0, 1000.0), ("hartwell".into(), 1000.0, 1000.0)],
            server_args: Vec::new(),
            host_args: Vec::new(),
            policy: String::new(),
            links: false,
            record: false,
            site: None,
            log: "debug".into(),
            port: 0,
        }
    }
}

/// Addresses on which an entry host listens.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

/// Addresses on which a backend server listens.
#[derive(Clone, Copy, Debug)]
pub struct ServerAddresses {
    /// Address for statements.
    pub statements: SocketAddr,
    /// Address for the other servers of its group.
    pub replication: SocketAddr,
}

/// System of processes, which [`System::start`] starts and [`System::prepare`] does not; they are
/// killed when it is dropped.
pub struct System {
    /// Size and settings of this system.
    pub plan: Plan,
    /// Platform stand-in.
    pub platform: Process,
    /// Link process, if the plan has links.
    pub link: Option<Process>,
    /// Backend servers by name, such as `g1s2`.
    pub servers: BTreeMap<String, Process>,
    /// Addresses of the backend servers by name.
    pub server_addresses: BTreeMap<String, ServerAddresses>,
    /// Entry hosts; `hosts[0]` is `h1`.
    pub hosts: Vec<Process>,
    /// Addresses of the entry hosts, in the order of `hosts`.
    pub addresses: Vec<HostAddresses>,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Control address of the link process.
    pub control: SocketAddr,
    link_args: Vec<String>,
    ports: Ports,
    dir: TempDir,
}

/// Returns the path of a program built beside the running one: in its directory or the parent
/// directory.
pub fn program(name: &str) -> anyhow::Result<PathBuf> {
    let executable = std::env::current_exe().context("locating the running program")?;
    let path =
        executable.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|p| p.exists());
    path.with_context(|| format!("program {name} not found; it has not been built"))
}

/// Returns the key of a client account.
pub fn key_of(account: &str) -> String {
    format!("key-of-{account}")
}

impl System {
    /// Starts all processes, submits the configuration and waits until all hosts have joined.
    pub async fn start(plan: Plan) -> anyhow::Result<Self> {
        let mut system = Self::prepare(plan)?;
        if let Some(link) = &mut system.link {
            link.start()?;
            system.await_listening(system.control).await?;
        }
        system.platform.start()?;
        system.servers.values_mut().try_for_each(Process::start)?;
        system.hosts.iter_mut().try_for_each(Process::start)?;
        // Commands to a server, such as its lag, fail if it does not listen yet.
        for addresses in system.server_addresses.values() {
            system.await_listening(addresses.statements).await?;
        }
        system.submit(&system.config()).await?;
        system.await_members().await?;
        Ok(system)
    }

    /// Assigns addresses and arguments to all processes without starting any.
    pub fn prepare(plan: Plan) -> anyhow::Result<Self> {
        let dir = tempfile::tempdir()?;
        let mut ports = Ports::take()?;
        let platform_address = ports.address()?;
        let control = ports.address()?;
        let args = vec!["platform".into(), format!("--listen={platform_address}")];
        let platform = Process::new("platform", &program("lab")?, args, dir.path());
        let mut system = Self {
            platform,
            link: None,
            servers: BTreeMap::new(),
            server_addresses: BTreeMap::new(),
            hosts: Vec::new(),
            addresses: Vec::new(),
            platform_address,
            control,
            link_args: Vec::new(),
            ports,
            dir,
            plan,
        };
        for group in 1..=system.plan.groups {
            system.prepare_group(group)?;
        }
        for host in 1..=system.plan.hosts {
            let callers = match system.plan.port {
                0 => system.ports.address()?,
                port => (Ipv4Addr::LOCALHOST, port + u16::try_from(host)?).into(),
            };
            let addresses = HostAddresses {
                callers,
                peer: system.ports.address()?,
                operator: system.ports.address()?,
            };
            system.addresses.push(addresses);
        }
        for host in 0..system.plan.hosts {
            system.prepare_host(host)?;
        }
        if system.plan.links {
            let mut args = vec!["link".into(), format!("--control={control}")];
            args.append(&mut system.link_args);
            if system.plan.record {
                args.push(format!("--record={}", system.dir.path().join("bytes").display()));
            }
            system.link = Some(Process::new("link", &program("lab")?, args, system.dir.path()));
        }
        Ok(system)
    }

    /// Returns the secret shared by the hosts of this system. Every system has a secret of its own:
    /// otherwise a host left running by another system would hand its configuration to a new host
    /// on a port in its list.
    pub fn secret(&self) -> String {
        let name = self.dir.path().file_name().unwrap_or_default();
        format!("{SECRET}-{}", name.to_string_lossy())
    }

    /// Returns the directory of the logs and of the backend servers' data.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Returns a process by name: a backend server, a host such as `h1`, or `platform`.
    pub fn process(&mut self, name: &str) -> anyhow::Result<&mut Process> {
        if name == "platform" {
            return Ok(&mut self.platform);
        }
        let process = match name.strip_prefix('h').and_then(|n| n.parse::<usize>().ok()) {
            Some(number) => self.hosts.get_mut(number.wrapping_sub(1)),
            None => self.servers.get_mut(name),
        };
        process.with_context(|| format!("unknown process {name}"))
    }

    /// Sets the replication lag of a backend server: the delay in milliseconds before a received
    /// write becomes visible.
    pub async fn set_lag(&self, server: &str, ms: u64) -> anyhow::Result<()> {
        let set = async {
            let client = self.connect_server(server).await?;
            anyhow::Ok(client.batch_execute(&format!("SET standin.lag_ms = {ms}")).await?)
        };
        tokio::time::timeout(Duration::from_secs(1), set)
            .await
            .context("backend server did not answer within 1 s")?
    }

    /// Copies the logs to a directory that is kept when the system is dropped, and returns its path.
    pub fn keep_logs(&self) -> anyhow::Result<PathBuf> {
        let target = std::env::temp_dir().join(format!("bergamottrack-{}", std::process::id()));
        std::fs::create_dir_all(&target)?;
        for entry in std::fs::read_dir(self.dir())? {
            let path = entry?.path();
            if path.extension().is_some_and(|e| e == "log") {
                std::fs::copy(&path, target.join(path.file_name().unwrap_or_default()))?;
            }
        }
        Ok(target)
    }

    /// Returns the log lines of stand-ins and links about timers that fired late.
    pub fn late_timers(&self) -> Vec<String> {
        let processes = self.servers.values().chain(&self.link).chain([&self.platform]);
        let logs: Vec<String> = processes.map(Process::log).collect();
        let lines = logs.iter().flat_map(|log| log.lines());
        lines.filter(|line| line.contains("lateness:")).map(Into::into).collect()
    }

    /// Returns the address on which `from` connects to `to`: that of a new link if the plan has
    /// links, `address` itself otherwise.
    fn route(&mut self, from: &str, to: &str, address: SocketAddr) -> anyhow::Result<SocketAddr> {
        if !self.plan.links {
            return Ok(address);
        }
        let listen = self.ports.address()?;
        self.link_args.push(format!("--link={from}>{to}={listen}={address}"));
        Ok(listen)
    }

    fn prepare_group(&mut self, group: usize) -> anyhow::Result<()> {
        let names: Vec<String> = (1..=3).map(|i| format!("g{group}s{i}")).collect();
        for name in &names {
            let addresses = ServerAddresses {
                statements: self.ports.address()?,
                replication: self.ports.address()?,
            };
            self.server_addresses.insert(name.clone(), addresses);
        }
        for (i, name) in names.iter().enumerate() {
            let mut peers = Vec::new();
            for other in names.iter().filter(|other| *other != name) {
                let address = self.server_addresses[other].replication;
                peers.push(self.route(name, other, address)?.to_string());
            }
            let addresses = self.server_addresses[name];
            let mut args = vec![
                "server".into(),
                format!("--id={name}"),
                format!("--listen={}", addresses.statements),
                format!("--replication={}", addresses.replication),
                format!("--peers={}", peers.join(",")),
                format!("--data={}", self.dir.path().join(name).display()),
            ];
            if i == 0 {
                args.push("--primary".into());
            }
            args.extend(self.plan.server_args.iter().cloned());
            let process = Process::new(name, &program("lab")?, args, self.dir.path());
            self.servers.insert(name.clone(), process);
        }
        Ok(())
    }

    fn prepare_host(&mut self, host: usize) -> anyhow::Result<()> {
        let name = format!("h{}", host + 1);
        let mut targets: Vec<(String, SocketAddr)> =
            vec![("platform".into(), self.platform_address)];
        let servers = self.server_addresses.iter();
        targets.extend(servers.map(|(name, addresses)| (name.clone(), addresses.statements)));
        let peers = self.addresses.iter().enumerate().filter(|(i, _)| *i != host);
        targets.extend(peers.map(|(i, addresses)| (format!("h{}", i + 1), addresses.peer)));
        let addresses = self.addresses[host];
        let mut args = vec![
            "serve".into(),
            format!("--host={name}"),
            format!("--domain=d{}", host % 3 + 1),
            format!("--listen={}", addresses.callers),
            format!("--peer={}", addresses.peer),
            format!("--operator={}", addresses.operator),
            format!("--platform={}", self.platform_address),
        ];
        args.extend(self.plan.host_args.iter().cloned());
        for (to, address) in targets {
            let via = self.route(&name, &to, address)?;
            if via != address {
                args.push(format!("--via={address}={via}"));
            }
        }
        let process = Process::new(&name, &program("bergamottrack")?, args, self.dir.path())
            .env("BERGAMOTTRACK_SECRET", &self.secret())
            .env("BERGAMOTTRACK_OPERATOR_KEY", OPERATOR_KEY)
            .env("BERGAMOTTRACK_LOG", &self.plan.log);
        self.hosts.push(process);
        Ok(())
    }

    /// Returns the configuration as TOML.
    pub fn config(&self) -> String {
        if let Some(site) = &self.plan.site {
            return self.site_config(site.clone());
        }
        let mut text = format!("site = \"lab\"\n\n[policy]\n{}\n", self.plan.policy);
        for group in 1..=self.plan.groups {
            text += &format!("\n[[group]]\nid = \"g{group}\"\n");
            for i in 1..=3 {
                let name = format!("g{group}s{i}");
                let address = self.server_addresses[&name].statements;
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

    /// Returns the site's configuration as TOML, with the addresses and keys of this system.
    fn site_config(&self, mut config: Config) -> String {
        for (g, group) in config.groups.iter_mut().enumerate() {
            for (i, server) in group.servers.iter_mut().enumerate() {
                let name = format!("g{}s{}", g + 1, i + 1);
                server.address = self.server_addresses[&name].statements;
            }
        }
        for account in &mut config.accounts {
            let verifier =
                Verifier::new(&key_of(account.id.as_str()), account.id.as_str().as_bytes());
            account.keys.iter_mut().for_each(|key| key.verifier = verifier.clone());
        }
        toml::to_string(&config).expect("a parsed configuration can be serialized")
    }

    /// Submits a configuration through the first host, and repeats this until it is accepted. Fails
    /// if it is not accepted within [`WAIT_TIMEOUT`].
    pub async fn submit(&self, config: &str) -> anyhow::Result<String> {
        let address = self.addresses[0].operator;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match post(address, "/submit", config).await {
                Ok((200, text)) => return Ok(text),
                other if Instant::now() > deadline => anyhow::bail!("not accepted: {other:?}"),
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Returns the value of a row of the platform's table service.
    pub async fn row(&self, key: &str) -> anyhow::Result<String> {
        let path = format!("/table/row/{key}");
        let (_, text) = request(self.platform_address, "GET", &path, "").await?;
        let row: bergamottrack_platform::Row = serde_json::from_str(&text)?;
        Ok(row.value.into())
    }

    /// Sets the fault of all links whose names match the pattern, such as `h1>*`.
    pub async fn fault(&self, names: &str, fault: Fault) -> anyhow::Result<()> {
        self.command("/set", &SetFault { names: names.into(), fault }).await
    }

    /// Removes the faults of all links whose names match the pattern.
    pub async fn mend(&self, names: &str) -> anyhow::Result<()> {
        self.fault(names, Fault::default()).await
    }

    /// Cuts all links whose names match the pattern, in both directions.
    pub async fn cut(&self, names: &str) -> anyhow::Result<()> {
        self.fault(names, Fault { cut_up: true, cut_down: true, ..Fault::default() }).await
    }

    /// Resets the connections of all links whose names match the pattern.
    pub async fn reset(&self, names: &str) -> anyhow::Result<()> {
        self.command("/reset", &SetFault { names: names.into(), fault: Fault::default() }).await
    }

    async fn command(&self, path: &str, set: &SetFault) -> anyhow::Result<()> {
        let (status, text) = post(self.control, path, &serde_json::to_string(set)?).await?;
        anyhow::ensure!(status == 200, "link command failed: {text}");
        Ok(())
    }

    /// Sets the faults of the platform, given as JSON: `{"down": true}`.
    pub async fn platform_faults(&self, json: &str) -> anyhow::Result<()> {
        let (status, text) = post(self.platform_address, "/faults", json).await?;
        anyhow::ensure!(status == 200, "platform command failed: {text}");
        Ok(())
    }

    /// Waits until every host has the configuration and lists all hosts with the newest revision
    /// that it knows. Fails after [`WAIT_TIMEOUT`]. A host joins by compare-and-swap, so joining
    /// takes longer when several hosts start at once.
    pub async fn await_members(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        for addresses in &self.addresses {
            while !self.is_joined(addresses.operator).await {
                anyhow::ensure!(Instant::now() < deadline, "not all hosts have joined in time");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns whether the status page of a host shows a configuration and lists all hosts, each
    /// with the revision of the page.
    async fn is_joined(&self, operator: SocketAddr) -> bool {
        let Ok((200, text)) = request(operator, "GET", "/status", "").await else { return false };
        let Ok(page) = serde_json::from_str::<StatusPage>(&text) else { return false };
        let newest =
            |line: &HostLine| line.report.as_ref().is_some_and(|r| r.revision == page.revision);
        page.site.is_some() && page.hosts.len() == self.hosts.len() && page.hosts.iter().all(newest)
    }

    async fn await_listening(&self, address: SocketAddr) -> anyhow::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while tokio::net::TcpStream::connect(address).await.is_err() {
            anyhow::ensure!(Instant::now() < deadline, "no process listens at {address}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the connection settings of a caller of the given account at a host.
    pub fn caller(&self, host: usize, account: &str, group: &str) -> tokio_postgres::Config {
        let address = self.addresses[host].callers;
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(format!("{account}.k1"))
            .password(key_of(account))
            .dbname(group);
        config
    }

    /// Connects to a host with the given account, and retries until the host accepts. Fails if it
    /// does not accept within [`WAIT_TIMEOUT`].
    pub async fn connect(&self, host: usize, account: &str, group: &str) -> anyhow::Result<Client> {
        let config = self.caller(host, account, group);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match connect(&config).await {
                Ok(client) => return Ok(client),
                Err(error) if Instant::now() > deadline => return Err(error),
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Connects directly to a backend server, without the proxy.
    pub async fn connect_server(&self, name: &str) -> anyhow::Result<Client> {
        let address = self.server_addresses[name].statements;
        let mut config = tokio_postgres::Config::new();
        config.host(address.ip().to_string()).port(address.port()).user("lab").dbname("lab");
        connect(&config).await.with_context(|| format!("backend server {name}"))
    }
}
