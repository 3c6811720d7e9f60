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
        contact: false,
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

/// Guards against a host that resumes after a suspension and uses the former leader, although
/// another server was promoted meanwhile. The lease begins when the view is requested, by a clock
/// that also runs during a suspension.
#[test]
fn lease_expires_its_ttl_after_the_view_was_requested() {
    let start = Instant::now();
    let mut local = LocalView::new(host("a"), 1);
    assert!(!local.leased(start));
    local.replace(view(5, &[("a", member(1))]), start);
    assert!(local.leased(start + LEASE_TTL - Duration::from_millis(1)));
    assert!(!local.leased(start + LEASE_TTL));
}

/// Guards against a lease for which a failover does not wait, in a fleet whose view takes several
/// calls to read: a host joins and a failover begins between the pages of the groups and of the
/// host. Its row is then newer than the groups' rows.
#[test]
fn row_that_is_newer_than_the_view_gives_no_lease() {
    let start = Instant::now();
    let mut local = LocalView::new(host("a"), 1);
    let mut paged = view(5, &[("a", member(1))]);
    paged.members.get_mut(&host("a")).unwrap().version = 6;
    local.replace(paged, start);
    assert!(!local.leased(start));
    local.replace(view(6, &[("a", member(1))]), start);
    assert!(local.leased(start));
}

/// Guards against a former leader that is used by a host which started after a failover found it
/// dead: another host sends it the view from before the intent.
#[test]
fn starting_host_gets_no_view_from_before_its_start() {
    let start = Instant::now();
    let mut hub = LocalView::new(host("hub"), 1);
    hub.replace(view(5, &[("hub", member(1)), ("a", member(2))]), start);
    let started = Duration::from_secs(6);
    assert!(hub.admits(&host("a"), 2, Duration::from_secs(5)));
    assert!(!hub.admits(&host("a"), 3, Duration::from_secs(5)), "the row is of another address");
    assert!(!hub.admits(&host("a"), 2, started), "an intent may have been written since");
    let stamp = hub.stamp();
    hub.renew(stamp, started, start + Duration::from_secs(1));
    assert!(hub.admits(&host("a"), 2, started));
}

/// Guards against a host that uses a leader by a lease for which a failover does not wait, because
/// the host was removed from the view or its row contains another address.
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

/// Guards against seconds without leaders after a restart of all hosts, because each new process
/// would have to write its row first. A row with the same address is sufficient: a failover
/// contacts a host at its address, independent of the process that listens there.
#[test]
fn row_of_an_earlier_process_with_the_same_address_grants_a_lease() {
    let domain = "north".parse().unwrap();
    let row_hash = |port: u16| view::row_hash(([192, 0, 2, 1], port).into(), &domain, 250);
    let mut local = LocalView::new(host("a"), row_hash(7000));
    let start = Instant::now();
    local.replace(view(5, &[("a", member(row_hash(7000)))]), start);
    assert!(local.leased(start));
    local.replace(view(6, &[("a", member(row_hash(7001)))]), start);
    assert!(!local.leased(start), "lease granted by a row with another address");
}

/// Guards against a delayed message whose old view replaces a newer view.
#[test]
fn view_of_an_older_version_is_ignored() {
    let start = Instant::now();
    let mut local = LocalView::new(host("a"), 1);
    assert!(local.replace(view(6, &[("a", member(1))]), start));
    assert!(!local.replace(view(5, &[]), start + Duration::from_secs(1)));
    assert_eq!(local.view().version, 6);
}

/// Guards against a lease on outdated rows: a report of another host confirms its own view as the
/// newest, and the receiver renews the lease on a view with different rows.
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

/// Guards against a write acknowledged by the former leader after the promotion of another server,
/// because an unreachable host still uses the former leader. A failover waits until every lease
/// has been released or has expired.
#[test]
fn failover_waits_for_hosts_that_have_not_released_their_lease() {
    let now = Instant::now();
    let view = view(7, &[("me", member(1)), ("b", member(1)), ("c", member(1))]);
    let mut release = LeaseRelease::new(&view, &host("me"), 0, now);
    release.mark_released(&host("b"), now);
    assert!(!release.is_over(now + LEASE_TTL));
    assert!(release.is_over(now + LEASE_TTL + LEASE_MARGIN));
    release.mark_released(&host("c"), now);
    assert!(release.is_over(now));
}

/// Guards against a failover that waits for a lease to expire although it was released: a host
/// that reaches the store but not the other hosts writes its release to the store. A release for
/// an earlier intent has no effect.
#[test]
fn release_written_to_the_store_ends_the_wait_of_a_failover() {
    let now = Instant::now();
    let before = view(7, &[("me", member(1)), ("b", member(1))]);
    let mut release = LeaseRelease::new(&before, &host("me"), 0, now);
    let earlier = Member { released: 6, ..member(1) };
    release.note(&view(8, &[("b", earlier)]), 7, now);
    assert!(!release.is_over(now));
    let released = Member { released: 7, ..member(1) };
    release.note(&view(9, &[("b", released)]), 7, now);
    assert!(release.is_over(now));
}

/// Guards against a permanently removed host that delays every failover, because its row stays in
/// the view without a release.
#[test]
fn failover_does_not_wait_for_a_removed_host_whose_lease_has_expired() {
    let now = Instant::now();
    let removed = Member { left: Some(Duration::from_secs(2)), ..member(1) };
    let early = view(5, &[("me", member(1)), ("b", removed.clone())]);
    assert!(!LeaseRelease::new(&early, &host("me"), 0, now).is_over(now));
    let late = view(60, &[("me", member(1)), ("b", removed)]);
    assert!(LeaseRelease::new(&late, &host("me"), 0, now).is_over(now));
}

/// Guards against a lease that lasts too long, because a report delayed by a partition counts from
/// its arrival. A report contains a time of the store's clock, which is mapped to a local time
/// that is never later than the true one.
#[test]
fn store_time_is_never_mapped_to_a_later_local_time() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    assert_eq!(clock.local(Duration::from_secs(50)), None);
    // The store's clock showed 50 s at some time between the call and its answer.
    clock.note(start, start, Duration::from_secs(50));
    let bound = clock.local(Duration::from_secs(52)).unwrap();
    assert!(bound <= start + Duration::from_secs(2));
    assert!(bound >= start + Duration::from_millis(1990));
    // A slower call gives a looser bound and is ignored.
    let later = start + Duration::from_millis(400);
    clock.note(later, later, Duration::from_millis(50_900));
    assert!(clock.local(Duration::from_secs(52)).unwrap() <= start + Duration::from_secs(2));
    assert!(clock.local(Duration::from_secs(49)).unwrap() <= start - Duration::from_secs(1));
}
