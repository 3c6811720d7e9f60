//! Process numbers, which identify the host that assigned them.

use bergamottrack_coordination::{HostId, process};

/// Guards against cancel requests that miss the host that assigned the number, or are forwarded
/// to much of a large fleet.
#[test]
fn process_number_belongs_to_its_host_and_few_others() {
    let hosts: Vec<HostId> = (0..1_800).map(|i| format!("h{i}").parse().unwrap()).collect();
    for (i, host) in hosts.iter().enumerate() {
        let number = process::number(host, i as u32 * 7_919);
        assert!(number >= 0 && process::belongs_to(number, host));
        let matching = hosts.iter().filter(|other| process::belongs_to(number, other)).count();
        assert!(matching < 10, "cancel request would be forwarded to {matching} hosts");
    }
    assert!(!process::belongs_to(-1, &hosts[0]));
}
