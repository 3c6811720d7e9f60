//! Process numbers tell their host.

use bergamottrack_coordination::{HostId, process};

#[test]
fn a_number_tells_its_host() {
    let hosts: Vec<HostId> = (0..1_800).map(|i| format!("h{i}").parse().unwrap()).collect();
    for (i, host) in hosts.iter().enumerate() {
        let number = process::number(host, i as u32 * 7_919);
        assert!(number >= 0 && process::belongs_to(number, host));
        let asked = hosts.iter().filter(|other| process::belongs_to(number, other)).count();
        assert!(asked < 10, "{asked} hosts would be asked");
    }
    assert!(!process::belongs_to(-1, &hosts[0]));
}
