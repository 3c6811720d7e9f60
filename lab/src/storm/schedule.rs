//! Fault schedules of a storm, generated from a seed.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::{link::Fault as LinkFault, process::Process, system::System};

/// A fault, or its end. Variants are printed under their own names.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Kill a process.
    Kill(String),
    /// Start a process.
    Start(String),
    /// Pause a process with SIGSTOP.
    Freeze(String),
    /// Resume a paused process with SIGCONT.
    Wake(String),
    /// Set the fault of links, by their name pattern.
    Links(String, LinkFault),
    /// Reset the connections of links, by their name pattern.
    Reset(String),
    /// Set the faults of the platform, as JSON.
    Platform(&'static str),
    /// Set the replication lag of a backend server, in milliseconds.
    Lag(String, u64),
}

/// A scheduled fault.
#[derive(Clone, Debug)]
pub struct Step {
    /// Time from the start of the storm.
    pub at: Duration,
    /// The fault to apply.
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>6} ms  {:?}", self.at.as_millis(), self.fault)
    }
}

const PLATFORM_FAULTS: [&str; 3] =
    [r#"{"down":true}"#, r#"{"slow_ms":2000}"#, r#"{"lose_answers":3}"#];

/// Generates the steps for a seed: groups of two or three faults, each with its end. The same
/// arguments give the same steps.
pub fn generate(seed: u64, length: Duration, hosts: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length {
        for _ in 0..rng.random_range(2..=3) {
            let start = at + Duration::from_millis(rng.random_range(0..400));
            let duration = Duration::from_millis(rng.random_range(200..2500));
            let (begin, end) = fault(&mut rng, hosts);
            steps.push(Step { at: start, fault: begin });
            steps.extend(end.map(|fault| Step { at: start + duration, fault }));
        }
        at += Duration::from_millis(rng.random_range(2500..4500));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Generates a fault and, if it lasts, its end.
fn fault(rng: &mut StdRng, hosts: usize) -> (Fault, Option<Fault>) {
    let server = |rng: &mut StdRng| format!("g1s{}", rng.random_range(1..=3));
    let host = |rng: &mut StdRng| format!("h{}", rng.random_range(1..=hosts));
    let cut = |names: String, fault: LinkFault| {
        (Fault::Links(names.clone(), fault), Some(Fault::Links(names, LinkFault::default())))
    };
    let both = LinkFault { cut_up: true, cut_down: true, ..LinkFault::default() };
    let one_way = match rng.random_bool(0.5) {
        true => LinkFault { cut_up: true, ..LinkFault::default() },
        false => LinkFault { cut_down: true, ..LinkFault::default() },
    };
    match rng.random_range(0..12) {
        0 => pair(server(rng), Fault::Kill, Fault::Start),
        1 => pair(server(rng), Fault::Freeze, Fault::Wake),
        2 => pair(host(rng), Fault::Kill, Fault::Start),
        3 => pair(host(rng), Fault::Freeze, Fault::Wake),
        4 => cut(format!("h*>{}", server(rng)), both),
        5 => cut(format!("{}>{}", host(rng), server(rng)), one_way),
        6 => cut(format!("*>{}", server(rng)), both),
        7 => cut(format!("{}>h*", host(rng)), one_way),
        8 => cut(format!("g1s*>{}", server(rng)), both),
        9 => (Fault::Reset(format!("*>{}", server(rng))), None),
        10 => {
            let faults = PLATFORM_FAULTS.choose(rng).copied().unwrap_or(PLATFORM_FAULTS[0]);
            (Fault::Platform(faults), Some(Fault::Platform("{}")))
        }
        _ => {
            let server = server(rng);
            (Fault::Lag(server.clone(), rng.random_range(100..3000)), Some(Fault::Lag(server, 0)))
        }
    }
}

/// Returns the fault and its end for one name.
fn pair(
    name: String,
    begin: fn(String) -> Fault,
    end: fn(String) -> Fault,
) -> (Fault, Option<Fault>) {
    (begin(name.clone()), Some(end(name)))
}

impl Fault {
    /// Applies the fault.
    pub async fn apply(&self, system: &mut System) -> anyhow::Result<()> {
        match self {
            Self::Kill(name) => system.process(name)?.kill(),
            Self::Start(name) => system.process(name)?.start()?,
            Self::Freeze(name) => signal(system.process(name)?, libc::SIGSTOP),
            Self::Wake(name) => signal(system.process(name)?, libc::SIGCONT),
            Self::Links(names, fault) => system.fault(names, fault.clone()).await?,
            Self::Reset(names) => system.reset(names).await?,
            Self::Platform(faults) => system.platform_faults(faults).await?,
            Self::Lag(name, ms) => {
                // A server that is down or paused does not accept the setting.
                let _ = system.set_lag(name, *ms).await;
            }
        }
        Ok(())
    }
}

/// Signals a process, unless another fault has killed it.
fn signal(process: &Process, signal: i32) {
    if process.pid().is_some() {
        let _ = process.signal(signal);
    }
}

/// Ends all faults: clears those of links and of the platform, starts and resumes all processes,
/// and resets the lag.
pub async fn clear_all(system: &mut System) -> anyhow::Result<()> {
    system.mend("*>*").await?;
    system.platform_faults("{}").await?;
    let names: Vec<String> = system.servers.keys().cloned().collect();
    let hosts = (1..=system.hosts.len()).map(|i| format!("h{i}"));
    for name in names.iter().cloned().chain(hosts) {
        let process = system.process(&name)?;
        process.start()?;
        signal(process, libc::SIGCONT);
    }
    for name in names {
        let _ = system.set_lag(&name, 0).await;
    }
    Ok(())
}
