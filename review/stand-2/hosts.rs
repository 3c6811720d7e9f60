//! The project's own hosts as processes, and their clients.

use std::{
    collections::BTreeSet,
    fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

/// A host and the addresses that it serves.
pub struct Host {
    /// Name.
    pub name: String,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address of the readiness probe.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Settings of a host that differ between cases.
pub struct Addresses {
    /// The platform's store.
    pub store: SocketAddr,
    /// The platform's promotion call.
    pub cloud: SocketAddr,
}

/// Ports that this process has chosen for hosts.
static CHOSEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns the first of `count` free ports that follow each other and were not chosen before.
fn free_ports(count: u16) -> u16 {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listening");
        let first = listener.local_addr().expect("an address").port();
        drop(listener);
        let Some(end) = first.checked_add(count) else { continue };
        let mut chosen = CHOSEN.lock().unwrap();
        let free = |port| !chosen.contains(&port) && TcpListener::bind(("127.0.0.1", port)).is_ok();
        if (first..end).all(free) {
            chosen.extend(first..end);
            return first;
        }
    }
}

impl Host {
    /// Writes the settings of a host; it is started apart.
    pub fn new(name: &str, zone: &str, addresses: &Addresses, dir: &Path) -> Self {
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (front, ready, first) = (address(free_ports(1)), address(free_ports(1)), free_ports(2));
        let (store, cloud) = (addresses.store, addresses.cloud);
        let text = format!(
            "nodeName={name}\nrole=entry\nmachineClass=front\nserves=front\nipAddress=127.0.0.1\n\
            zone={zone}\nregion=dakar\nzones.plateau=dakar\nzones.almadies=dakar\n\
            zones.rufisque=dakar\nzones.pikine=dakar\nlistenAddresses.front={front}\n\
            listenAddresses.ready={ready}\ninternalPortRange={first},{}\nfirstStart=true\n\
            limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.fileDescriptors=4200\n\
            heartbeatIntervalMs=1200\ncontracts=base,drain,config,cost,recover,sql,tenants,quota,platform\n\
            bounds.seedLagS=3\nbounds.addressReuseS=2\nbounds.stabilityWindowMs=4000\n\
            bounds.drainMs=7000\nbounds.graceS=6\nbounds.lossSlackMs=200\n\
            bounds.configurationApplyMs=3000\nbounds.rollbackSlackMs=250\nbounds.maxStretchMs=12000\n\
            bounds.strictRevocation=false\nbounds.revocationMs=5000\nbounds.quotaWindowS=5\n\
            bounds.quotaOverage=0.1\nbounds.quotaSlack=20\nbounds.recoveryS=12\n\
            bounds.requireFencing=false\nbounds.thawSlackMs=300\nplatform.address={store}\n\
            platform.form=table\nplatform.writesPerS=400\nplatform.readsPerS=2000\n\
            cloud.address={cloud}\ncloud.duties=promotion\ncloud.dutyPerS=50.0\n",
            first + 1
        );
        let settings = dir.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("writing settings");
        let log = dir.join(format!("{name}.log"));
        Self { name: name.into(), front, ready, settings, log, child: None }
    }

    /// Starts the host's process, with the command of the deploy file.
    pub fn start(&mut self) {
        let log = fs::File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new("target/release/bergamottrack")
            .arg("entry")
            .env_clear()
            .env("BERGAMOTTRACK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn();
        self.child = Some(child.expect("starting target/release/bergamottrack"));
    }

    /// Process id; none while no process runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the readiness probe is answered with 200.
    pub fn is_ready(&self) -> bool {
        let probe = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(
                b"GET /-/readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n",
            )?;
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line)?;
            Ok(line)
        };
        probe().is_ok_and(|line| line.contains(" 200"))
    }

    /// Number of lines of the host's log that contain `word`.
    pub fn count_lines(&self, word: &str) -> usize {
        self.log_lines(&[word]).len()
    }

    /// Lines of the host's log that contain one of `words`.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let picked = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        picked.map(str::to_owned).collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A client's session.
pub struct Client {
    input: BufReader<TcpStream>,
}

/// Answer to a query.
pub struct Answer {
    /// `ROW`, `DONE` and `ERROR` lines.
    pub lines: Vec<String>,
}

impl Answer {
    /// Returns whether the statement succeeded.
    pub fn is_done(&self) -> bool {
        self.lines.iter().any(|line| line.starts_with("DONE "))
    }
}

impl Client {
    /// Opens a session.
    pub fn open(host: SocketAddr, database: &str, key: &str) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&host, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut client = Self { input: BufReader::new(stream) };
        client.send(&format!("START {database} {key}"))?;
        let line = client.line()?;
        if line.starts_with("READY") {
            return Ok(client);
        }
        Err(std::io::Error::other(line))
    }

    /// Sends a line.
    pub fn send(&mut self, line: &str) -> std::io::Result<()> {
        self.input.get_mut().write_all(format!("{line}\r\n").as_bytes())
    }

    /// Reads a line.
    pub fn line(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        if self.input.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().into())
    }

    /// Reads an answer up to `READY`.
    pub fn answer(&mut self) -> std::io::Result<Answer> {
        let mut lines = Vec::new();
        loop {
            let line = self.line()?;
            if line.starts_with("READY") {
                return Ok(Answer { lines });
            }
            lines.push(line);
        }
    }

    /// Sends a query and reads its answer.
    pub fn query(&mut self, id: &str, text: &str) -> std::io::Result<Answer> {
        self.send(&format!("QUERY {id} {text}"))?;
        self.answer()
    }
}

/// Waits until a condition holds; returns whether it did within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
