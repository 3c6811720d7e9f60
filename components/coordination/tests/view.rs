//! Leases on leaders, and the wait until they are given back.

use std::time::{Duration, Instant};

use bergamottrack_coordination::{
    HostId, StoreClock,
    view::{self, LEASE_MARGIN, LEASE_TTL, LeaseRelease, LocalView, Member, Versioned, View},
};

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn member(place: u64) -> Member {
    Member {
        peer: "192.0.2.1:7000".parse().unwrap(),
        domain: "north".parse().unwrap(),
        place,
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

/// A host is suspended and wakes, with another leader promoted meanwhile. Its
/// lease counts from when it asked, by a clock that went on.
#[test]
fn a_lease_ends_by_itself() {
    let start = Instant::now();
    let mut held = LocalView::new(host("a"), 1);
    assert!(!held.leased(start));
    held.learn(view(5, &[("a", member(1))]), start);
    assert!(held.leased(start + LEASE_TTL - Duration::from_millis(1)));
    assert!(!held.leased(start + LEASE_TTL));
}

/// Guards against a lease of a host that whoever replaces a leader does not wait for: it was
/// taken out, or its row names another address.
#[test]
fn who_is_not_counted_in_has_no_lease() {
    let start = Instant::now();
    let mut held = LocalView::new(host("a"), 1);
    held.learn(view(5, &[("a", member(2))]), start);
    assert!(!held.leased(start));
    let out = Member { left: Some(Duration::from_secs(5)), ..member(1) };
    held.learn(view(6, &[("a", out)]), start);
    assert!(!held.leased(start));
}

/// Guards against seconds without leaders after all hosts have died, while each writes its
/// row again: whoever changes a leader asks at the host's address, whichever process it is.
#[test]
fn the_row_of_an_earlier_process_counts() {
    let domain = "north".parse().unwrap();
    let at = |port: u16| view::place(([192, 0, 2, 1], port).into(), &domain, 250);
    let mut held = LocalView::new(host("a"), at(7000));
    let start = Instant::now();
    held.learn(view(5, &[("a", member(at(7000)))]), start);
    assert!(held.leased(start));
    held.learn(view(6, &[("a", member(at(7001)))]), start);
    assert!(!held.leased(start), "the row names another address");
}

/// A message with an old view arrives after the newer one.
#[test]
fn views_never_go_back() {
    let start = Instant::now();
    let mut held = LocalView::new(host("a"), 1);
    assert!(held.learn(view(6, &[("a", member(1))]), start));
    assert!(!held.learn(view(5, &[]), start + Duration::from_secs(1)));
    assert_eq!(held.view().version, 6);
}

/// Another host says "this view was the newest at that time of the store". It
/// renews a lease only on the very same rows.
#[test]
fn only_the_same_view_is_renewed() {
    let start = Instant::now();
    let mut held = LocalView::new(host("a"), 1);
    held.learn(view(5, &[("a", member(1))]), start);
    let (stamp, later) = (held.stamp(), start + Duration::from_secs(3));
    held.renew(stamp ^ 1, Duration::from_secs(9), later);
    assert!(!held.leased(start + LEASE_TTL));
    held.renew(stamp, Duration::from_secs(9), later);
    assert!(held.leased(start + LEASE_TTL));
}

/// A write is acknowledged by the old leader after the new one was promoted: the
/// promoter did not wait for a host that it could not reach. It waits until the
/// last lease has run out, unless the host gave its own back.
#[test]
fn a_silent_host_is_waited_for() {
    let now = Instant::now();
    let view = view(7, &[("me", member(1)), ("b", member(1)), ("c", member(1))]);
    let mut release = LeaseRelease::new(&view, &host("me"), now);
    release.returned(&host("b"));
    assert!(!release.is_over(now + LEASE_TTL));
    assert!(release.is_over(now + LEASE_TTL + LEASE_MARGIN));
    release.returned(&host("c"));
    assert!(release.is_over(now));
}

/// A host is cut off from the others but not from the store, and tells there that
/// it uses the old leader no more. Without that the gap lasts a whole lease.
#[test]
fn a_release_told_by_the_store_counts() {
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

/// A host that was removed for good must not delay each change of a leader.
#[test]
fn a_host_taken_out_long_ago_is_not_waited_for() {
    let now = Instant::now();
    let gone = Member { left: Some(Duration::from_secs(2)), ..member(1) };
    let early = view(5, &[("me", member(1)), ("b", gone.clone())]);
    assert!(!LeaseRelease::new(&early, &host("me"), now).is_over(now));
    let late = view(60, &[("me", member(1)), ("b", gone)]);
    assert!(LeaseRelease::new(&late, &host("me"), now).is_over(now));
}

/// A statement by another host was held back by a cut and arrives late. It counts
/// from the store's clock, so it does not look newer than it is.
#[test]
fn the_store_clock_is_never_read_too_late() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    assert_eq!(clock.local(Duration::from_secs(50)), None);
    // The store's clock showed 50 s somewhere between the call and its answer.
    clock.note(start, Duration::from_secs(50));
    let sure = clock.local(Duration::from_secs(52)).unwrap();
    assert!(sure <= start + Duration::from_secs(2));
    assert!(sure >= start + Duration::from_millis(1990));
    // A slower call says less and changes nothing.
    clock.note(start + Duration::from_millis(400), Duration::from_millis(50_900));
    assert!(clock.local(Duration::from_secs(52)).unwrap() <= start + Duration::from_secs(2));
    assert!(clock.local(Duration::from_secs(49)).unwrap() <= start - Duration::from_secs(1));
}
