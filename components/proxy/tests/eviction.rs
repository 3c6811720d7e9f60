//! Eviction of silent hosts.

mod hosts;

use std::{rc::Rc, time::Duration};

use bergamottrack_coordination::{
    ManualClock,
    view::{LEASE_TTL, Member},
};
use bergamottrack_proxy::{eviction, follow::STORE_TIMEOUT};

/// Guards against a failover that does not wait for a valid lease: an evicted host had proven its
/// membership right before its eviction, but its lease was counted from the older view of the host
/// that evicted it.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn lease_of_an_evicted_host_counts_from_the_eviction() {
    let clock = Rc::new(ManualClock::new());
    let host = hosts::start(hosts::NO_ADDRESS.parse().unwrap(), clock.clone());
    host.last_contact.borrow_mut().insert(hosts::id("h1"), (host.now(), Some(1)));
    let view_age = Duration::from_secs(5);
    clock.advance(view_age);
    let change = eviction::next_removal(&host, host.now()).expect("no host is evicted");
    let evicted: Member = serde_json::from_slice(&change.put[0].1).unwrap();
    let lease_end = hosts::VIEW_CLOCK + view_age + LEASE_TTL;
    assert!(!evicted.lease_expired(lease_end), "{:?}", evicted.left);
}

/// Time within which the store performs a call that was given up.
const LATE_CALL_TTL: Duration = Duration::from_secs(2);

/// Guards against a failover that does not wait for a valid lease: the store marks an evicted host only
/// after the call was given up, and the host proved its membership right before.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn lease_of_an_evicted_host_counts_from_a_mark_that_is_written_late() {
    let clock = Rc::new(ManualClock::new());
    let host = hosts::start(hosts::NO_ADDRESS.parse().unwrap(), clock.clone());
    host.last_contact.borrow_mut().insert(hosts::id("h1"), (host.now(), Some(1)));
    let view_age = Duration::from_secs(5);
    clock.advance(view_age);
    let change = eviction::next_removal(&host, host.now()).expect("no host is evicted");
    let evicted: Member = serde_json::from_slice(&change.put[0].1).unwrap();
    let marked = hosts::VIEW_CLOCK + view_age + STORE_TIMEOUT + LATE_CALL_TTL;
    assert!(!evicted.lease_expired(marked + LEASE_TTL), "{:?}", evicted.left);
}
