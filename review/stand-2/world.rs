//! A small deployment: the platform, one database group and hosts.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    hosts::{Addresses, Host, wait_until},
    platform::Platform,
    record::Record,
    servers::{Groups, MAX_CONNECTIONS, SLOTS},
};

/// Key of the first client account.
pub const KEY: &str = "key-of-account-0";

/// Client accounts, each with a key of its own.
pub const ACCOUNTS: usize = 8;

/// Database on a `primary` route.
pub const PRIMARY: &str = "booking";

/// Interval of the servers' entries.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Entries that a server misses before its entry is removed.
const MISSED: u32 = 3;

/// Rate and burst of a client account.
const RATE: u32 = 119;

/// Failure domains of the hosts.
const HOST_ZONES: [&str; 8] =
    ["plateau", "plateau", "almadies", "almadies", "almadies", "rufisque", "rufisque", "pikine"];

/// The deployment; its processes end with it.
pub struct World {
    pub groups: Arc<Groups>,
    pub hosts: Vec<Host>,
    dir: PathBuf,
}

impl World {
    /// Starts the deployment and waits until all hosts are ready; tries again, as another process may
    /// have taken a port.
    pub fn start(sync_replicas: usize, record: &Record) -> Result<Self, String> {
        let first = Self::try_start(sync_replicas, record);
        first.or_else(|why| {
            record.line(&format!("starting again: {why}"));
            Self::try_start(sync_replicas, record)
        })
    }

    fn try_start(sync_replicas: usize, record: &Record) -> Result<Self, String> {
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|error| error.to_string())?;
        let zones = ["plateau", "almadies", "rufisque"];
        let groups = Groups::start("huvo11a", &zones, sync_replicas, record.clone());
        let (platform, address) = Platform::start(groups.clone(), record.clone());
        platform.put("op", "config", &configuration(&groups.service, sync_replicas));
        let registered = groups.clone();
        thread::spawn(move || register(&platform, &registered));
        let addresses = Addresses { store: address, cloud: address };
        let hosts = HOST_ZONES.iter().enumerate();
        let hosts = hosts.map(|(n, zone)| Host::new(&format!("front-{n}"), zone, &addresses, &dir));
        let mut world = Self { groups, hosts: hosts.collect(), dir };
        world.hosts.iter_mut().for_each(Host::start);
        if !wait_until(Duration::from_secs(15), || world.hosts.iter().all(Host::is_ready)) {
            return Err("the hosts are not ready after 15 s".into());
        }
        record.line("all hosts are ready");
        Ok(world)
    }

    /// Writes lines of the hosts' logs that contain one of `words` to the record.
    pub fn record_logs(&self, words: &[&str], record: &Record) {
        for host in &self.hosts {
            for line in host.log_lines(words) {
                record.line(&format!("log of {}: {line}", host.name));
            }
        }
    }
}

impl World {
    /// Writes the last line of each host's log that contains `word` to the record.
    pub fn record_last_log(&self, word: &str, record: &Record) {
        for host in &self.hosts {
            if let Some(line) = host.log_lines(&[word]).last() {
                record.line(&format!("log of {}: {line}", host.name));
            }
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.hosts.clear();
        let dir: &Path = &self.dir;
        let _ = std::fs::remove_dir_all(dir);
    }
}

/// Key of a client account.
pub fn key(account: usize) -> String {
    format!("key-of-account-{account}")
}

fn configuration(service: &str, sync_replicas: usize) -> String {
    let account = |number: usize| {
        format!(
            "{{\"name\":\"nypu92{number}\",\"apiKeys\":[\"{}\"],\"priority\":1,\"ratePerS\":{RATE},\"burst\":{RATE}}}",
            key(number)
        )
    };
    let accounts: Vec<String> = (0..ACCOUNTS).map(account).collect();
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{name}\",\"prefix\":\"/\",\"kind\":\"{kind}\",\"timeoutMs\":1000,\
            \"targetLatencyMs\":200,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\
            \"maxStalenessMs\":1500,\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{},{}],\"services\":[{{\"name\":\"{service}\",\
        \"healthCheckPath\":\"/health\",\"maxConnections\":{MAX_CONNECTIONS},\"protocol\":\"h1\",\"tls\":false,\
        \"syncReplicas\":{sync_replicas}}}],\"limits\":{{\"transactionIdleMs\":3000}},\"tenants\":[{}]}}",
        route(PRIMARY, "primary"),
        route("catalogue", "bounded_staleness"),
        route("revision", "read_own_writes"),
        accounts.join(","),
    )
}

/// Writes the servers' entries, a change at once, and removes that of a server that has been silent.
fn register(platform: &Platform, groups: &Groups) {
    let mut written: Vec<Option<(String, Instant)>> = vec![None; 3];
    let mut sequence = 0;
    loop {
        let mut entries = Vec::new();
        groups.each(|server| {
            let role = if server.leads { "primary" } else { "replica" };
            let state = if server.draining { "draining" } else { "ready" };
            let text = format!(
                "\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
                \"state\":\"{state}\",\"coldRemainingMs\":0,\"databaseRole\":\"{role}\",\"born\":1700000000000",
                groups.service, server.address, server.zone
            );
            entries.push((server.id.clone(), server.up.then_some(text)));
        });
        for (last, (id, text)) in written.iter_mut().zip(entries) {
            let is_due = |text: &String| {
                last.as_ref().is_none_or(|(known, at)| known != text || at.elapsed() >= HEARTBEAT)
            };
            match text {
                Some(text) if is_due(&text) => {
                    sequence += 1;
                    platform.put("servers", &id, &format!("{{{text},\"sequence\":{sequence}}}"));
                    *last = Some((text, Instant::now()));
                }
                None if last.as_ref().is_some_and(|(_, at)| at.elapsed() >= HEARTBEAT * MISSED) => {
                    platform.remove("servers", &id);
                    *last = None;
                }
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}
