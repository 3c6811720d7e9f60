//! Tests of the load generator and its counters.

use bergamottrack_contract::Config;
use lab::{
    experiment,
    load::{
        Load,
        caller::Outcome,
        tally::{Sample, Tally},
    },
    site::Site,
};

fn tally(rate: f64, burst: f64, samples: &[(f64, &str)]) -> Tally {
    let text =
        format!("site = \"s\"\n[[account]]\nid = \"a\"\nrate = {rate:?}\nburst = {burst:?}\n");
    let config = Config::parse(&text).unwrap();
    let mut tally = Tally::new(&config.accounts[0]);
    for (due, code) in samples {
        let outcome = match *code {
            "" => Outcome::Served { stale: false },
            code => Outcome::Refused(code.into()),
        };
        tally.count(&Sample { due: *due, done: due + 0.001, outcome });
    }
    tally
}

#[test]
fn a_refusal_within_the_rate_counts_as_wrongful() {
    let tally = tally(1.0, 2.0, &[(0.0, ""), (0.0, "53400"), (0.0, "53400"), (1.0, "57P03")]);
    assert_eq!((tally.offered, tally.entitled, tally.served), (4, 3, 1));
    assert_eq!(tally.wrongful, 1, "the third request exceeded the burst");
}

#[test]
fn requests_served_beyond_rate_and_burst_count_as_overshoot() {
    let tally = tally(1.0, 2.0, &[(0.0, ""), (0.0, ""), (0.0, ""), (0.0, ""), (5.0, "")]);
    assert_eq!(tally.overshoot, 2.0);
}

#[test]
fn all_sites_and_experiments_parse() {
    for site in [Site::Baobab, Site::Hartwell] {
        let config = site.config().unwrap();
        assert_eq!((config.groups.len(), config.accounts.len()), (3, 8), "{site}");
    }
    for file in std::fs::read_dir(experiment::dir()).unwrap() {
        let path = file.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        let runs = experiment::read(&name).unwrap().runs;
        assert!(runs.len() > 1, "{name} has no baseline");
    }
}

/// Guards against stale reads of a session that moves between hosts with its token. Here every
/// session moves at nearly every request.
#[tokio::test]
async fn a_short_load_is_served_without_stale_reads() {
    let load = Load { hosts: 2, seconds: 2.0, offered: 0.3, ..Load::default() };
    let run = lab::load::run(load);
    let report = tokio::task::LocalSet::new().run_until(run).await.unwrap();
    assert!(report.offered > 50, "{report}");
    assert_eq!(report.served, report.offered, "{report}");
    assert_eq!(report.stale_reads, 0, "{report}");
}
