//! Label sets stay bounded, and times add up.

use std::time::Duration;

use bergamottrack_contract::Config;
use bergamottrack_coordination::{AccountId, GroupId, Reason, Revision};
use bergamottrack_metrics::{HostReport, Metrics, Phase, Spread, Timing};

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

/// A host's memory and its scrapes grow for months: accounts and groups come and
/// go with each change of the configuration, and what was measured for them stays.
#[test]
fn what_leaves_the_configuration_loses_its_labels() {
    let config = Config::parse("site = \"s\"\n[[account]]\nid = \"stays\"\nrate = 1\nburst = 1");
    let metrics = Metrics::default();
    let second = Duration::from_secs(1);
    for name in ["stays", "goes"] {
        let (account, group): (AccountId, GroupId) = (name.parse().unwrap(), name.parse().unwrap());
        metrics.answered(&account, &group, second);
        metrics.served(&account, &group, Timing { wait: second, service: second });
        metrics.refused(&account, Reason::Rate);
        metrics.read(&group, true);
        metrics.promotion(&group, Phase::Promise, second);
        metrics.lent(&account, 1.0);
        metrics.borrowed(&account, 1.0);
    }
    assert!(metrics.render(&report()).unwrap().contains("\"goes\""));
    metrics.keep(&config.unwrap());
    let text = metrics.render(&report()).unwrap();
    assert!(!text.contains("\"goes\""), "{text}");
    assert!(text.contains("refusals_total{account=\"stays\",reason=\"rate\"} 1"), "{text}");
    assert!(!text.contains("group=\"stays\""), "no group stays: {text}");
}

#[test]
fn a_report_becomes_gauges() {
    let text = Metrics::default().render(&report()).unwrap();
    for line in ["bergamottrack_revision 7.0", "bergamottrack_fresh_age_seconds 0.25"] {
        assert!(text.lines().any(|known| known == line), "{line} in {text}");
    }
    assert_eq!(text.matches("# EOF").count(), 1);
}

#[test]
fn times_of_several_hosts_add_up() {
    let (mut here, mut there) = (Spread::default(), Spread::default());
    assert_eq!(here.within(0.99), None);
    (0..99).for_each(|_| here.add(Duration::from_micros(900)));
    assert_eq!(here.within(0.99), Some(Duration::from_millis(1)));
    (0..2).for_each(|_| there.add(Duration::from_millis(30)));
    here.merge(&there);
    assert_eq!(here.total(), 101);
    assert_eq!(here.within(0.99), Some(Duration::from_millis(32)));
    (0..200).for_each(|_| here.add(Duration::from_secs(20)));
    assert_eq!(here.within(0.99), None, "beyond the last bound");
}
