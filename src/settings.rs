//! Reads the settings of an entry host and reports all invalid ones together.

use std::{fmt, net::SocketAddr, path::Path, rc::Rc, str::FromStr, time::Duration};

use bergamottrack_contract::Route;
use bergamottrack_coordination::{FailureDomain, HostId};
use bergamottrack_entry::tls::Tls;
use tracing_subscriber::EnvFilter;

use crate::cli::{LogFormat, ServeArgs};

const ADDRESS: &str = "an address such as 10.0.0.1:5432";
const NAME: &str = "a name of letters, digits, '-', '_' and ':'";

/// Settings of an entry host.
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Failure domain of this host.
    pub domain: FailureDomain,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the other hosts.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Shared secret of all hosts of the fleet; not empty.
    pub secret: Box<str>,
    /// Key that operators must present; not empty. Without it, the operator interface is closed.
    pub operator_key: Option<Box<str>>,
    /// Addresses that this host reaches through substitute addresses.
    pub via: Vec<Route>,
    /// Certificate for callers; `None` if connections cannot be encrypted.
    pub tls: Option<Rc<Tls>>,
    /// Maximum number of connected callers.
    pub callers: usize,
    /// Memory of this process in bytes.
    pub memory: usize,
    /// Maximum duration that a planned stop waits for requests and transactions to end.
    pub stop_timeout: Duration,
    /// Filter of log lines by level and module.
    pub log: EnvFilter,
    /// Output format of log lines.
    pub log_format: LogFormat,
}

/// One invalid setting.
#[derive(Debug)]
struct SettingFault {
    flag: &'static str,
    /// The given value, or a description of it; never a secret.
    given: Box<str>,
    wanted: Box<str>,
}

/// All invalid settings.
#[derive(Debug, Default, thiserror::Error)]
pub struct SettingFaults(Vec<SettingFault>);

/// Memory in bytes of a machine that does not report its own.
const DEFAULT_MEMORY: usize = 512_000_000;

/// Returns the memory of this machine in bytes.
fn machine_memory() -> usize {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kib = total.and_then(|rest| rest.trim().strip_suffix("kB")?.trim().parse::<usize>().ok());
    kib.map_or(DEFAULT_MEMORY, |kib| kib * 1024)
}

impl fmt::Display for SettingFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "faults in the settings ({}):", self.0.len())?;
        for SettingFault { flag, given, wanted } in &self.0 {
            let variable = flag.to_uppercase().replace('-', "_");
            write!(f, "\n  --{flag} (BERGAMOTTRACK_{variable}): given {given}, wanted {wanted}")?;
        }
        Ok(())
    }
}

impl SettingFaults {
    /// Records a fault.
    fn add(&mut self, flag: &'static str, given: impl Into<Box<str>>, wanted: impl Into<Box<str>>) {
        self.0.push(SettingFault { flag, given: given.into(), wanted: wanted.into() });
    }

    /// Parses a required setting; records a fault if it is missing or invalid.
    fn parse<T: FromStr>(
        &mut self,
        flag: &'static str,
        text: Option<&str>,
        wanted: &str,
    ) -> Option<T> {
        let parsed = text.and_then(|text| text.parse().ok());
        if parsed.is_none() {
            self.add(flag, text.map_or("nothing".to_owned(), |t| format!("{t:?}")), wanted);
        }
        parsed
    }

    /// Reads the certificate for callers, which requires both files.
    fn read_tls(&mut self, certificate: Option<&Path>, key: Option<&Path>) -> Option<Rc<Tls>> {
        let (certificate, key) = match (certificate, key) {
            (None, None) => return None,
            (Some(certificate), Some(key)) => (certificate, key),
            (Some(_), None) => {
                self.add("tls-key", "nothing", "the key of the certificate");
                return None;
            }
            (None, Some(_)) => {
                self.add("tls-cert", "nothing", "the certificate of the key");
                return None;
            }
        };
        match Tls::read(certificate, key) {
            Ok(tls) => Some(Rc::new(tls)),
            Err(error) => {
                let given = format!("{} ({error:#})", certificate.display());
                self.add("tls-cert", given, "a certificate and its key in PEM");
                None
            }
        }
    }

    /// Checks that no two listeners have the same address.
    fn check_distinct(&mut self, addresses: [(&'static str, Option<SocketAddr>); 3]) {
        for (i, (flag, address)) in addresses.iter().enumerate() {
            let other =
                addresses[..i].iter().find(|(_, other)| address.is_some() && other == address);
            if let (Some((first, _)), Some(address)) = (other, address) {
                let given = format!("{:?}", address.to_string());
                self.add(flag, given, format!("an address other than that of --{first}"));
            }
        }
    }

    /// Reads a secret from the setting itself or from a file; both together are a fault.
    fn read_secret(
        &mut self,
        flags: [&'static str; 2],
        text: Option<&str>,
        file: Option<&Path>,
    ) -> Option<Box<str>> {
        let [flag, file_flag] = flags;
        let secret: Box<str> = match (text, file) {
            (Some(_), Some(_)) => {
                self.add(flag, "both the setting and a file", "one of them");
                return None;
            }
            (Some(text), None) => text.trim().into(),
            (None, Some(file)) => match std::fs::read_to_string(file) {
                Ok(text) => text.trim().into(),
                Err(error) => {
                    let given = format!("{} ({error})", file.display());
                    self.add(file_flag, given, "a file that can be read");
                    return None;
                }
            },
            (None, None) => return None,
        };
        if secret.is_empty() {
            let wanted = "some text";
            self.add(if file.is_some() { file_flag } else { flag }, "nothing in it", wanted);
            return None;
        }
        Some(secret)
    }
}

/// Reads the operator key of a command, which is required.
pub fn operator_key(text: Option<&str>, file: Option<&Path>) -> Result<Box<str>, SettingFaults> {
    let mut faults = SettingFaults::default();
    let key = faults.read_secret(["operator-key", "operator-key-file"], text, file);
    if text.is_none() && file.is_none() {
        faults.add("operator-key", "nothing", "the operator key, or --operator-key-file");
    }
    key.ok_or(faults)
}

impl Settings {
    /// Parses the arguments of `serve`, or returns all faults found.
    pub fn read(args: &ServeArgs) -> Result<Self, SettingFaults> {
        let mut faults = SettingFaults::default();
        let host = faults.parse("host", args.host.as_deref(), NAME);
        let domain = faults.parse("domain", args.domain.as_deref(), NAME);
        let listen = faults.parse("listen", args.listen.as_deref(), ADDRESS);
        let peer = faults.parse("peer", args.peer.as_deref(), ADDRESS);
        let operator = faults.parse("operator", args.operator.as_deref(), ADDRESS);
        let platform = faults.parse("platform", args.platform.as_deref(), ADDRESS);
        faults.check_distinct([("listen", listen), ("peer", peer), ("operator", operator)]);
        let (text, file) = (args.secret.as_deref(), args.secret_file.as_deref());
        let secret = faults.read_secret(["secret", "secret-file"], text, file);
        if text.is_none() && file.is_none() {
            faults.add("secret", "nothing", "the fleet's secret, or --secret-file");
        }
        let (text, file) = (args.operator_key.as_deref(), args.operator_key_file.as_deref());
        let operator_key = faults.read_secret(["operator-key", "operator-key-file"], text, file);
        let route = "a pair of addresses such as 10.0.0.1:5432=192.0.2.1:5432";
        let via =
            args.via.iter().filter_map(|text| faults.parse("via", Some(text), route)).collect();
        let tls = faults.read_tls(args.tls_cert.as_deref(), args.tls_key.as_deref());
        let callers = faults.parse("callers", Some(&args.callers), "a number of connections");
        let memory = match args.memory_mb.as_deref() {
            Some(text) => faults
                .parse::<usize>("memory-mb", Some(text), "a number of megabytes")
                .map(|megabytes| megabytes.saturating_mul(1_000_000)),
            None => Some(machine_memory()),
        };
        let stop = faults.parse("stop-secs", Some(&args.stop_secs), "a number of seconds");
        let log = EnvFilter::try_new(&args.log).ok();
        if log.is_none() {
            faults.add("log", format!("{:?}", args.log), "a level such as info or debug");
        }
        let settings = (|| {
            Some(Self {
                host: host?,
                domain: domain?,
                listen: listen?,
                peer: peer?,
                operator: operator?,
                platform: platform?,
                secret: secret?,
                operator_key,
                via,
                tls,
                callers: callers?,
                memory: memory?,
                stop_timeout: Duration::from_secs(stop?),
                log: log?,
                log_format: args.log_format,
            })
        })();
        settings.filter(|_| faults.0.is_empty()).ok_or(faults)
    }
}
