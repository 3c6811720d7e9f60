//! Experiments: each is described by a file with a common load, its faults and the runs, of which
//! the first is the baseline.

use std::{
    fmt,
    path::{Path, PathBuf},
};

use anyhow::Context;
use clap::Args;
use serde::{Deserialize, Serialize};

use crate::load::{self, Load, Report, report};

/// Settings of `experiment`.
#[derive(Args, Clone, Debug)]
pub struct ExperimentArgs {
    /// Its name, that of a file of `lab/experiments/` without `.toml`.
    pub name: String,
    /// Writes all reports as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Prints each report whole.
    #[arg(long)]
    pub whole: bool,
}

/// Experiment as described by its file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Experiment {
    /// Question that the experiment answers.
    about: Box<str>,
    /// Load settings common to all runs.
    #[serde(default)]
    load: toml::Table,
    /// Runs; the first one is the baseline.
    #[serde(rename = "run")]
    runs: Vec<RunPlan>,
}

/// Run of an experiment as described by its file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RunPlan {
    name: Box<str>,
    /// Load settings that override the common ones.
    #[serde(default)]
    load: toml::Table,
}

/// Experiment with the complete load of each run.
pub struct ParsedExperiment {
    /// Question that the experiment answers.
    pub about: Box<str>,
    /// Names and loads of the runs; the first one is the baseline.
    pub runs: Vec<(Box<str>, Load)>,
}

/// Report of a run.
#[derive(Debug, Serialize)]
struct RunResult {
    name: Box<str>,
    report: Report,
}

/// Returns the directory of the experiment files.
pub fn dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments")
}

/// Reads and parses the file of an experiment.
pub fn read(name: &str) -> anyhow::Result<ParsedExperiment> {
    let path = dir().join(format!("{name}.toml"));
    let text = std::fs::read_to_string(&path)
        .with_context(|| format!("reading experiment {}", path.display()))?;
    let experiment: Experiment = toml::from_str(&text)?;
    let load = |plan: RunPlan| {
        let load = merge(experiment.load.clone(), plan.load);
        let load =
            load.try_into().with_context(|| format!("parsing the load of run {:?}", plan.name))?;
        Ok((plan.name, load))
    };
    let runs = experiment.runs.into_iter().map(load).collect::<anyhow::Result<_>>()?;
    Ok(ParsedExperiment { about: experiment.about, runs })
}

/// Runs an experiment and prints one line for each run.
pub async fn run(args: ExperimentArgs) -> anyhow::Result<()> {
    let ParsedExperiment { about, runs } = read(&args.name)?;
    println!("{about}");
    println!("{HEADING}");
    let mut results = Vec::new();
    for (name, load) in runs {
        let run = RunResult { name, report: load::run(load).await? };
        println!("{run}");
        if args.whole {
            println!("{}", run.report);
        }
        results.push(run);
    }
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_vec_pretty(&results)?)?;
    }
    Ok(())
}

/// Merges `over` into `base`, nested tables included; values of `over` take precedence.
fn merge(mut base: toml::Table, over: toml::Table) -> toml::Table {
    for (name, value) in over {
        let merged = match (base.remove(&name), value) {
            (Some(toml::Value::Table(old)), toml::Value::Table(new)) => {
                toml::Value::Table(merge(old, new))
            }
            (_, value) => value,
        };
        base.insert(name, merged);
    }
    base
}

/// Heading of the table of runs.
const HEADING: &str = "run                offered  served   /s      p50 ms  p99 ms   wait ms  \
replica%  worst%  others%  wrongful over   stale gap p50/p90/max ms promoted conns waiting amplif refused";

impl fmt::Display for RunResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { latency, .. } = &self.report;
        let r = &self.report;
        let gap = |part| report::quantile(&r.failover_gaps, part);
        write!(
            f,
            "{:18} {:>7} {:>7} {:>6.0} {:>8.2} {:>7.1} {:>9.0} {:>8.1} {:>7.1} {:>8.1} {:>9} {:>5.1} {:>5} {:>6.0}/{:.0}/{:.0} {:>6} {:>5} {:>7} {:>6.2} ",
            self.name,
            r.offered,
            r.served,
            r.goodput,
            latency.p50,
            latency.p99,
            r.longest_wait,
            r.replica_share * 100.0,
            r.worst.share * 100.0,
            min_served_share(r) * 100.0,
            r.wrongful,
            r.overshoot,
            r.stale_reads,
            gap(0.5),
            gap(0.9),
            gap(1.0),
            r.promotions,
            r.connections,
            r.waiting,
            r.amplification,
        )?;
        r.refused().iter().try_for_each(|(code, count)| write!(f, " {code}:{count}"))
    }
}

/// Returns the smallest share of its requests that an account within its rate got served, 1.0 if
/// there is no such account.
fn min_served_share(report: &Report) -> f64 {
    let within = report.accounts.iter().filter(|a| a.entitled == a.offered);
    within.map(|a| a.served as f64 / a.entitled.max(1) as f64).fold(1.0, f64::min)
}
