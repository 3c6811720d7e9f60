//! A small deployment: the platform, one service and the project's hosts.

use std::{
    fs::{self, File},
    io::Write,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{host::Host, instances::Service, platform::Platform};

/// Time in which a deployment has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Zones of the hosts and instances, in turn.
const ZONES: [&str; 3] = ["birmingham", "leicester", "coventry"];

/// Databases of the deployment.
pub const DATABASES: [&str; 3] = ["bookings", "rounds", "moves"];

/// Key of the tenant `church`.
pub const KEY: &str = "u6wsjnbanfqasnmgkcuy";

/// Key of the tenant `school`.
pub const OTHER_KEY: &str = "j8pjbvk9m68k7b2ex5wa";

/// What a case is given.
pub struct Setting {
    /// Whether the case makes its disruption.
    pub trouble: bool,
    /// The record of the case.
    pub record: Record,
    /// Temporary folder.
    pub dir: PathBuf,
}

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the record's file.
    pub fn new(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, started: Instant::now() })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line about an earlier moment.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{seconds:8.3} {}", text.escape_default()).expect("the record is writable");
    }
}

/// A running deployment.
pub struct World {
    /// The platform.
    pub platform: Arc<Platform>,
    /// The service.
    pub service: Arc<Service>,
    /// The hosts.
    pub hosts: Vec<Host>,
}

impl World {
    /// Starts a deployment and waits until all hosts are ready.
    pub fn start(
        setting: &Setting,
        hosts: usize,
        times: (Duration, Duration),
        sync: bool,
    ) -> std::io::Result<Self> {
        let ips = ["127.0.0.21", "127.0.0.22", "127.0.0.23"];
        let service = Service::start("appointments", &ips, times, sync)?;
        let (promoted, record) = (service.clone(), setting.record.clone());
        let platform = Platform::start("127.0.0.2", move |name, instance, token| {
            record.line(&format!("promotion of {instance} for {name} asked for, token {token}"));
            promoted.promote(instance)
        })?;
        let world = Self { platform: platform.clone(), service, hosts: Vec::new() };
        world.configure(7, sync, &[("church", Some(KEY)), ("school", Some(OTHER_KEY))]);
        for i in 0..ips.len() {
            world.enlist(i, "ready");
        }
        let mut world = world;
        for i in 0..hosts {
            let (name, ip) = (format!("front-{}", i + 1), format!("127.0.0.{}", 11 + i));
            let zone = ZONES[i % ZONES.len()];
            world.hosts.push(Host::start(&setting.dir, &name, &ip, zone, platform.address)?);
        }
        if !world.hosts.iter().all(|host| host.wait_ready(READY_TIMEOUT)) {
            return Err(std::io::Error::other("the hosts were not ready in time"));
        }
        setting.record.line(&format!("{hosts} hosts are ready"));
        Ok(world)
    }

    /// Writes a configuration; returns once the store has acknowledged it.
    pub fn configure(&self, version: u64, sync: bool, tenants: &[(&str, Option<&str>)]) {
        let route = |host: &str, kind: &str, rest: &str| {
            format!(
                "{{\"name\":\"r-{host}\",\"host\":\"{host}\",\"prefix\":\"/\",\"kind\":\"{kind}\",\
                 \"service\":\"{}\",\"maxAttempts\":2,\"public\":false,{rest}}}",
                self.service.name
            )
        };
        let [bookings, rounds, moves] = DATABASES;
        let routes = [
            route(bookings, "primary", "\"timeoutMs\":1000,\"targetLatencyMs\":200,\"priority\":1"),
            route(
                rounds,
                "bounded_staleness",
                "\"timeoutMs\":3000,\"targetLatencyMs\":800,\"priority\":2,\"maxStalenessMs\":1500",
            ),
            route(
                moves,
                "read_own_writes",
                "\"timeoutMs\":1000,\"targetLatencyMs\":400,\"priority\":2,\"maxStalenessMs\":2500",
            ),
        ];
        let tenant = |(name, key): &(&str, Option<&str>)| {
            let key = key.map_or(String::new(), |key| format!("\"{key}\""));
            format!(
                "{{\"name\":\"{name}\",\"apiKeys\":[{key}],\"priority\":1,\"ratePerS\":500,\
                 \"burst\":500}}"
            )
        };
        let tenants: Vec<String> = tenants.iter().map(tenant).collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{}\",\
             \"healthCheckPath\":\"/health\",\"maxConnections\":50,\"protocol\":\"h1\",\
             \"tls\":false,\"syncReplicas\":{}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\
             \"transactionIdleMs\":3000}},\"tenants\":[{}]}}",
            routes.join(","),
            self.service.name,
            u8::from(sync),
            tenants.join(",")
        );
        self.platform.put("op", "config", &text);
    }

    /// Writes the entry of an instance, in the state `ready` or `draining`.
    pub fn enlist(&self, i: usize, standing: &str) {
        let state = self.service.state.lock().unwrap();
        let instance = &state.instances[i];
        let role = if instance.leads { "primary" } else { "replica" };
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":5,\"state\":\"{standing}\",\"coldRemainingMs\":0,\"databaseRole\":\"{role}\",\
             \"sequence\":1,\"born\":1764840000000}}",
            self.service.name,
            instance.address,
            ZONES[i % ZONES.len()]
        );
        self.platform.put("servers", &instance.id, &text);
    }
}

/// Removes the temporary folder at the end.
pub struct Folder(pub PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // What cannot be removed is left to the operating system.
        let _ = fs::remove_dir_all(&self.0);
    }
}
