//! Bounded label sets, addition of histograms, and completeness of the metrics page.

use std::{collections::BTreeSet, time::Duration};

use bergamottrack_contract::Config;
use bergamottrack_coordination::{AccountId, GroupId, Reason, Revision};
use bergamottrack_metrics::{
    GroupReport, HostReport, LatencyHistogram, Metrics, Phase, ServerReport, Timing,
};

fn report() -> HostReport {
    HostReport {
        host: "h1".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        revision: Revision(7),
        fresh: Some(Duration::from_millis(250)),
        acts: true,
        draining: false,
        callers: 0,
        platform_calls: 3,
        groups: Vec::new(),
        accounts: Vec::new(),
    }
}

/// Records one value for each metric with labels.
fn measure(metrics: &Metrics, account: &AccountId, group: &GroupId) {
    let second = Duration::from_secs(1);
    metrics.answered(account, group, second);
    metrics.served(account, group, Timing { wait: second, service: second });
    metrics.refused(account, Reason::Rate);
    metrics.read(group, true);
    metrics.promotion(group, Phase::Promise, second);
    metrics.lent(account, 1.0);
    metrics.borrowed(account, 1.0);
}

/// Guards against memory and scrapes that grow for months, because metrics remain of accounts and
/// groups that are removed by changes of the configuration.
#[test]
fn labels_of_removed_accounts_and_groups_are_dropped() {
    let config = Config::parse("site = \"s\"\n[[account]]\nid = \"stays\"\nrate = 1\nburst = 1");
    let metrics = Metrics::default();
    for name in ["stays", "goes"] {
        let (account, group): (AccountId, GroupId) = (name.parse().unwrap(), name.parse().unwrap());
        measure(&metrics, &account, &group);
    }
    assert!(metrics.render(&report()).unwrap().contains("\"goes\""));
    metrics.retain(&config.unwrap());
    let text = metrics.render(&report()).unwrap();
    assert!(!text.contains("\"goes\""), "{text}");
    assert!(text.contains("refusals_total{account=\"stays\",reason=\"rate\"} 1"), "{text}");
    assert!(!text.contains("group=\"stays\""), "no group stays: {text}");
}

#[test]
fn report_is_rendered_as_gauges() {
    let text = Metrics::default().render(&report()).unwrap();
    for line in ["bergamottrack_revision 7.0", "bergamottrack_fresh_age_seconds 0.25"] {
        assert!(text.lines().any(|known| known == line), "{line} in {text}");
    }
    assert_eq!(text.matches("# EOF").count(), 1);
}

#[test]
fn histograms_of_several_hosts_add_up() {
    let (mut here, mut there) = (LatencyHistogram::default(), LatencyHistogram::default());
    assert_eq!(here.quantile(0.99), None);
    (0..99).for_each(|_| here.add(Duration::from_micros(900)));
    assert_eq!(here.quantile(0.99), Some(Duration::from_millis(1)));
    (0..2).for_each(|_| there.add(Duration::from_millis(30)));
    here.merge(&there);
    assert_eq!(here.total(), 101);
    assert_eq!(here.quantile(0.99), Some(Duration::from_millis(32)));
    (0..200).for_each(|_| here.add(Duration::from_secs(20)));
    assert_eq!(here.quantile(0.99), None, "beyond the last bound");
}

/// Guards against an alert that never fires and a documented metric that does not exist, because
/// a metric was renamed only in the code.
#[test]
fn documentation_and_alerts_match_the_metrics() {
    let server = ServerReport {
        server: "s1".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        role: None,
        applied: Default::default(),
        heard: Some(Duration::ZERO),
        busy: 0,
        slots: 5,
        connections: 0,
        leaving: false,
    };
    let group = GroupReport {
        group: "g1".parse().unwrap(),
        primary: None,
        term: Default::default(),
        queue: 0,
        servers: vec![server],
    };
    let metrics = Metrics::default();
    measure(&metrics, &"a1".parse().unwrap(), &"g1".parse().unwrap());
    let text = metrics.render(&HostReport { groups: vec![group], ..report() }).unwrap();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let exported: BTreeSet<String> = types
        .map(|line| match line.split_once(' ') {
            Some((name, "counter")) => format!("{name}_total"),
            other => other.unwrap().0.to_owned(),
        })
        .collect();
    let page = include_str!("../../../docs/METRICS.md").replace("`_group", "`bergamottrack_group");
    let alerts = include_str!("../../../examples/alerts.yml");
    let documented = names(&page);
    assert_eq!(documented, exported, "the page names exactly the exported metrics");
    assert!(names(alerts).is_subset(&exported), "{:?}", names(alerts).difference(&exported));
}

/// Returns the names of the metrics in a text, without the `_bucket` suffix of histograms.
fn names(text: &str) -> BTreeSet<String> {
    let words = text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_');
    let names = words.filter(|word| word.starts_with("bergamottrack_"));
    names.map(|name| name.trim_end_matches("_bucket").to_owned()).collect()
}
