//! Leases on leaders, and the wait for their release in a failover.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    HostId, StoreClock,
    view::{self, LEASE_MARGIN, LEASE_TTL, LeaseRelease, LocalView, Member, Versioned, View},
};

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn member(row_hash: u64) -> Member {
    Member {
        peer: "192.0.2.1:7000".parse().unwrap(),
        domain: "north".parse().unwrap(),
        row_hash,
        left: None,
        released: 0,
        power: 250,
    }
}

fn view(version: u64, members: &[(&str, Member)]) -> View {
    let members = members
        .iter()
        .map(|(name, member)| (host(name), Versioned { version, value: member.clone() }));
    View {
        version,
        clock: Duration::from_secs(version),
        members: members.collect(),
        ..View::default()
    }
}

/// Guards against a host that is suspended, resumes and uses its former leader although another
/// was promoted meanwhile. The lease counts from the request for the view, by a clock that runs
/// during the suspension.
#[test]
fn lease_expires_after_its_ttl() {
    let start = Instant::now();
    let mut local = LocalView::new(host("a"), 1);
    assert!(!local.leased(start));
    local.replace(view(5, &[("a", member(1))]), start);
    assert!(local.leased(start + LEASE_TTL - Duration::from_millis(1)));
    assert!(!local.leased(start + LEASE_TTL));
}

/// Guards against a lease that a failover does not wait for: the host was removed, or its row
/// contains another address.
#[test]
fn host_that_is_not_a_member_holds_no_lease() {
    let start = Instant::now();
    let mut local = LocalView::new(host("a"), 1);
    local.replace(view(5, &[("a", member(2))]), start);
    assert!(!local.leased(start));
    let removed = Member { left: Some(Duration::from_secs(5)), ..member(1) };
    local.replace(view(6, &[("a", removed)]), start);
    assert!(!local.leased(start));
}

/// Guards against seconds without leaders after all hosts have died, while each writes its row
/// again. A failover contacts a host at its address, whichever process listens there.
#[test]
fn row_of_an_earlier_process_grants_a_lease() {
    let domain = "north".parse().unwrap();
    let at = |port: u16| view::row_hash(([192, 0, 2, 1], port).into(), &domain, 250);
    let mut local = LocalView::new(host("a"), at(7000));
    let start = Instant::now();
    local.replace(view(5, &[("a", member(at(7000)))]), start);
    assert!(local.leased(start));
    local.replace(view(6, &[("a", member(at(7001)))]), start);
    assert!(!local.leased(start), "the row contains another address");
}

/// Guards against a delayed message with an old view that replaces the newer one.
#[test]
fn older_view_is_ignored() {
    let start = Instant::now();
    let mut local = LocalView::new(host("a"), 1);
    assert!(local.replace(view(6, &[("a", member(1))]), start));
    assert!(!local.replace(view(5, &[]), start + Duration::from_secs(1)));
    assert_eq!(local.view().version, 6);
}

/// Guards against a lease that is renewed on outdated rows: another host reports that a view with
/// other rows was the newest at a time of the store's clock.
#[test]
fn lease_is_renewed_only_for_an_identical_view() {
    let start = Instant::now();
    let mut local = LocalView::new(host("a"), 1);
    local.replace(view(5, &[("a", member(1))]), start);
    let (stamp, later) = (local.stamp(), start + Duration::from_secs(3));
    local.renew(stamp ^ 1, Duration::from_secs(9), later);
    assert!(!local.leased(start + LEASE_TTL));
    local.renew(stamp, Duration::from_secs(9), later);
    assert!(local.leased(start + LEASE_TTL));
}

/// Guards against a write that the former leader acknowledges after its successor was promoted,
/// because the failover did not wait for an unreachable host. It waits until the last lease has
/// expired or was released.
#[test]
fn failover_waits_for_hosts_that_have_not_released_their_lease() {
    let now = Instant::now();
    let view = view(7, &[("me", member(1)), ("b", member(1)), ("c", member(1))]);
    let mut release = LeaseRelease::new(&view, &host("me"), now);
    release.mark_released(&host("b"));
    assert!(!release.is_over(now + LEASE_TTL));
    assert!(release.is_over(now + LEASE_TTL + LEASE_MARGIN));
    release.mark_released(&host("c"));
    assert!(release.is_over(now));
}

/// Guards against a failover that takes a whole lease although the host that it cannot reach,
/// which is cut off from the other hosts but not from the store, has written its release there.
#[test]
fn release_written_to_the_store_counts() {
    let now = Instant::now();
    let before = view(7, &[("me", member(1)), ("b", member(1))]);
    let mut release = LeaseRelease::new(&before, &host("me"), now);
    let earlier = Member { released: 6, ..member(1) };
    release.note(&view(8, &[("b", earlier)]), 7);
    assert!(!release.is_over(now));
    let released = Member { released: 7, ..member(1) };
    release.note(&view(9, &[("b", released)]), 7);
    assert!(release.is_over(now));
}

/// Guards against a permanently removed host that delays every failover.
#[test]
fn failover_does_not_wait_for_a_host_removed_long_ago() {
    let now = Instant::now();
    let removed = Member { left: Some(Duration::from_secs(2)), ..member(1) };
    let early = view(5, &[("me", member(1)), ("b", removed.clone())]);
    assert!(!LeaseRelease::new(&early, &host("me"), now).is_over(now));
    let late = view(60, &[("me", member(1)), ("b", removed)]);
    assert!(LeaseRelease::new(&late, &host("me"), now).is_over(now));
}

/// Guards against a report of another host that looks newer than it is, because a partition held
/// it back. Its time is that of the store's clock, which does not depend on the delay.
#[test]
fn store_time_is_never_mapped_to_a_local_time_too_late() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    assert_eq!(clock.local(Duration::from_secs(50)), None);
    // The store's clock showed 50 s at some time between the call and its answer.
    clock.note(start, Duration::from_secs(50));
    let bound = clock.local(Duration::from_secs(52)).unwrap();
    assert!(bound <= start + Duration::from_secs(2));
    assert!(bound >= start + Duration::from_millis(1990));
    // A slower call gives a looser bound and is ignored.
    clock.note(start + Duration::from_millis(400), Duration::from_millis(50_900));
    assert!(clock.local(Duration::from_secs(52)).unwrap() <= start + Duration::from_secs(2));
    assert!(clock.local(Duration::from_secs(49)).unwrap() <= start - Duration::from_secs(1));
}
