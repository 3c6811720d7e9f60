//! A host of the project: its settings file and its process.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

/// Program and argument of the deploy file.
const PROGRAM: [&str; 2] = ["target/release/bergamottrack", "entry"];

/// Number of the signal that stops a process in an orderly way.
pub const SIGTERM: i32 = 15;

/// Number of the signal that ends a process at once.
const SIGKILL: i32 = 9;

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A host.
pub struct Host {
    /// Name of the host.
    name: String,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address of the readiness probe.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn free_port(ip: &str) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl Host {
    /// Writes the settings of a host on the loopback address `ip`, by the sheet of the deployment,
    /// and starts it.
    pub fn start(
        dir: &Path,
        name: &str,
        ip: &str,
        zone: &str,
        platform: SocketAddr,
    ) -> std::io::Result<Self> {
        let (front, ready, control) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
        // The product uses the first two internal ports.
        let internal = loop {
            let first = free_port(ip)?;
            if first < 65_000 && TcpListener::bind((ip, first + 1)).is_ok() {
                break first;
            }
        };
        let text = format!(
            "nodeName={name}\nrole=entry\nmachineClass=front\nserves=front\nipAddress={ip}\n\
             zone={zone}\nregion=midlands\nzones.birmingham=midlands\nzones.leicester=midlands\n\
             zones.coventry=midlands\nlistenAddresses.front={ip}:{front}\n\
             listenAddresses.ready={ip}:{ready}\nlistenAddresses.control={ip}:{control}\n\
             internalPortRange={internal},{}\nseeds=\nfirstStart=true\n\
             countTowardTolerance=false\nlimits.cpuShare=0.25\nlimits.cores=1\n\
             limits.memoryMb=260\nlimits.fileDescriptors=4300\nlimits.linkMbps=1000.0\n\
             limits.diskMb=0\ndiscovery=platform\nentry=virtual_ip\nheartbeatIntervalMs=1200\n\
             contracts=base,drain,config,cost,recover,sql,tenants,quota,platform\n\
             faultTolerance.machines=2\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.addressReuseS=2\nbounds.stabilityWindowMs=4000\n\
             bounds.acknowledgeMs=5000\nbounds.catchUpS=4\nbounds.drainMs=7000\n\
             bounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configurationApplyMs=3000\n\
             bounds.rollbackSlackMs=250\nbounds.maxStretchMs=12000\n\
             bounds.strictRevocation=false\nbounds.revocationMs=5000\nbounds.quotaWindowS=5\n\
             bounds.quotaOverage=0.1\nbounds.quotaSlack=20\nbounds.recoveryS=12\n\
             bounds.requireFencing=false\nbounds.thawSlackMs=300\nplatform.address={platform}\n\
             platform.form=table\nplatform.writesPerS=400\nplatform.readsPerS=2000\n\
             platform.transactionMs=5.0\nplatform.partitionWritesS=200\n\
             platform.rowBytes=65536\nplatform.across=false\nplatform.historyS=20\n\
             platform.blobBytes=8388608\nplatform.blobMs=25.0\nplatform.blobMbS=80.0\n\
             cloud.address={platform}\ncloud.ratePerS=50.0\ncloud.duties=promotion\n\
             cloud.dutyPerS=50.0\n",
            internal + 15
        );
        let settings = dir.join(format!("{name}.conf"));
        fs::write(&settings, text)?;
        let address = |port| SocketAddr::new(ip.parse().expect("an address"), port);
        let mut host = Self {
            name: name.into(),
            front: address(front),
            ready: address(ready),
            settings,
            log: dir.join(format!("{name}.log")),
            child: None,
        };
        host.spawn()?;
        Ok(host)
    }

    /// Starts the process.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM[0]);
        command.arg(PROGRAM[1]).env("BERGAMOTTRACK_CONFIG", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = command.spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns how the process ended; `None` while it runs.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    ///
    /// If there is no such process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the call has no effect on this process, and the child was not waited for yet.
        let sent = unsafe { kill(self.pid() as i32, signal) };
        assert!(sent == 0, "signal {signal} was not sent to {}", self.name);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Returns whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            use std::io::{Read, Write};
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream
                .write_all(b"GET /-/readiness HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")?;
            let mut head = [0; 12];
            stream.read_exact(&mut head)?;
            Ok(&head == b"HTTP/1.1 200")
        };
        ask().unwrap_or(false)
    }

    /// Waits until the host is ready; false if it is not within the time.
    pub fn wait_ready(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Ends all processes that were started, for a case that takes too long.
pub fn end_all() {
    for id in RUNNING.lock().unwrap().iter() {
        // SAFETY: the processes were not waited for, so their ids are not used again.
        unsafe { kill(*id as i32, SIGKILL) };
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
