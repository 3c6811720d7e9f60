//! Large documents between hosts, over links of any rate.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use bergamottrack_coordination::{
    Revision, Size,
    pieces::{Documents, Fetch, MAX_PIECE, PIECE_TIMEOUT, Piece, PieceRequest, Progress},
};
use bytes::Bytes;

const ONE: Revision = Revision(1);

/// How long a caller's statement may be held up by what is fetched over its link: part of
/// the 400 ms that a caller waits gladly.
const HELD_UP: Duration = Duration::from_millis(250);

/// One way between two hosts.
const LATENCY: Duration = Duration::from_millis(1);

fn document(size: usize) -> Bytes {
    (0..size).map(|n| (n * 31 % 251) as u8).collect()
}

fn shelf(size: usize) -> Documents {
    let mut shelf = Documents::default();
    shelf.add(ONE, document(size));
    shelf
}

/// A link that sends one thing after the other.
#[derive(Clone)]
struct Line {
    bytes_per_sec: f64,
    free: Duration,
    sent: usize,
    /// The longest that something would have waited that came right behind something else.
    longest: Duration,
}

impl Line {
    fn new(bytes_per_sec: f64) -> Self {
        let (free, longest) = (Duration::ZERO, Duration::ZERO);
        Self { bytes_per_sec, free, sent: 0, longest }
    }

    /// When something that is ready at `at` has passed.
    fn pass(&mut self, at: Duration, size: usize) -> Duration {
        self.free = self.free.max(at) + Duration::from_secs_f64(size as f64 / self.bytes_per_sec);
        self.longest = self.longest.max(self.free - at);
        self.sent += size;
        self.free + LATENCY
    }
}

/// Hosts that fetch a document from one of them, each over a link of its own. When each
/// has it, the teller's link and the other hosts' links.
fn fetch(size: usize, teller: f64, hosts: &[f64]) -> (Vec<Duration>, Line, Vec<Line>) {
    let shelf = shelf(size);
    let mut teller = Line::new(teller);
    let mut lines: Vec<Line> = hosts.iter().map(|rate| Line::new(*rate)).collect();
    let mut fetches: Vec<Fetch> = hosts.iter().map(|_| Fetch::new(ONE)).collect();
    let mut done = vec![Duration::ZERO; hosts.len()];
    let mut asks: BinaryHeap<_> = (0..hosts.len()).map(|n| Reverse((Duration::ZERO, n))).collect();
    while let Some(Reverse((asked, host))) = asks.pop() {
        assert!(asked < Duration::from_secs(600), "the document never arrives");
        let piece = shelf.piece(fetches[host].next_request()).unwrap();
        let sent = teller.pass(asked + LATENCY, piece.bytes.len());
        let came = lines[host].pass(sent, piece.bytes.len());
        let took = came - asked;
        if took > PIECE_TIMEOUT {
            fetches[host].miss();
            asks.push(Reverse((asked + PIECE_TIMEOUT, host)));
            continue;
        }
        match fetches[host].take(piece, took) {
            Progress::More => asks.push(Reverse((came, host))),
            Progress::Complete(bytes) => {
                assert_eq!(bytes, document(size));
                done[host] = came;
            }
            Progress::Restarted => panic!("nothing was damaged"),
        }
    }
    (done, teller, lines)
}

/// A host fetches a configuration over a link of whatever rate. In one answer it would need
/// longer than an answer may take, come too late and be asked for again, for ever. Here it
/// takes little more than the bytes need, and a caller's statement on that link waits for
/// one piece, not for the whole.
#[test]
fn a_document_arrives_over_links_of_any_rate() {
    const SIZE: usize = 800_000;
    for rate in [20e3, 60e3, 250e3, 1.25e6, 25e6] {
        let (done, teller, _) = fetch(SIZE, rate, &[1e9]);
        let least = Duration::from_secs_f64(SIZE as f64 / rate);
        let limit = least.mul_f64(1.1) + Duration::from_millis(200);
        assert!(done[0] < limit, "{:?} at {rate} B/s", done[0]);
        assert_eq!(teller.sent, SIZE, "something was sent twice at {rate} B/s");
        assert!(teller.longest < HELD_UP, "{:?} at {rate} B/s", teller.longest);
    }
}

/// All hosts of a failure domain hear of a new configuration at the same moment and fetch it
/// from one host, whose link bears 2 to 200 Mbit/s, over links of their own of 10 Mbit/s. None
/// may be forgotten, and what goes over the one link must be little more than they all need.
#[test]
fn a_whole_failure_domain_fetches_from_one_host() {
    const SIZE: usize = 60_000;
    const HOSTS: usize = 75;
    for rate in [250e3, 1.25e6, 25e6] {
        let (done, teller, lines) = fetch(SIZE, rate, &[1.25e6; HOSTS]);
        let least = Duration::from_secs_f64((SIZE * HOSTS) as f64 / rate);
        let last = done.iter().max().unwrap();
        let limit = least.mul_f64(1.1) + Duration::from_millis(200);
        assert!(*last < limit, "{last:?} at {rate} B/s");
        assert_eq!(teller.sent, SIZE * HOSTS, "something was sent twice at {rate} B/s");
        assert!(lines.iter().all(|line| line.longest < HELD_UP));
    }
}

/// The link is lost when most of a document has come, and another host goes on telling.
/// Only the rest is fetched; begun anew with each loss it would never arrive.
#[test]
fn what_has_come_is_kept_over_a_lost_link() {
    let (first, second) = (shelf(100_000), shelf(100_000));
    let mut fetch = Fetch::new(ONE);
    let quick = Duration::from_millis(1);
    let piece = first.piece(fetch.next_request()).unwrap();
    assert_eq!(fetch.take(piece, quick), Progress::More);
    let piece = first.piece(fetch.next_request()).unwrap();
    assert_eq!(fetch.take(piece, quick), Progress::More);
    fetch.miss();
    let mut told = 0;
    loop {
        let piece = second.piece(fetch.next_request()).unwrap();
        told += piece.bytes.len();
        match fetch.take(piece, quick) {
            Progress::More => {}
            Progress::Complete(bytes) => break assert_eq!(bytes, document(100_000)),
            Progress::Restarted => panic!("it was the same document"),
        }
    }
    assert_eq!(told, 100_000 - 4 * 1024 - 8 * 1024);
}

/// Two hosts hold different bytes under one revision, or a piece is damaged. A mixture of both
/// must never be taken for the document.
#[test]
fn pieces_of_different_documents_are_not_put_together() {
    let quick = Duration::from_millis(1);
    let first = shelf(20_000);
    let mut other = Documents::default();
    other.add(ONE, document(20_001));
    let mut fetch = Fetch::new(ONE);
    fetch.take(first.piece(fetch.next_request()).unwrap(), quick);
    assert_eq!(fetch.take(other.piece(fetch.next_request()).unwrap(), quick), Progress::Restarted);
    assert_eq!(fetch.next_request().from, Size(0));

    let piece = first.piece(fetch.next_request()).unwrap();
    let mut bytes = piece.bytes.to_vec();
    bytes[7] ^= 1;
    let damaged = Piece { bytes: bytes.into(), ..piece };
    assert_eq!(fetch.take(damaged, quick), Progress::More);
    assert_eq!(fetch.take(first.piece(fetch.next_request()).unwrap(), quick), Progress::Restarted);
}

/// Versions come faster than one can be fetched. A host that began with the newest each time
/// would never have any; the one that it has begun stays there for it.
#[test]
fn a_fetch_ends_while_newer_versions_come() {
    let mut shelf = shelf(10_000);
    let mut fetch = Fetch::new(ONE);
    let quick = Duration::from_millis(1);
    assert_eq!(fetch.take(shelf.piece(fetch.next_request()).unwrap(), quick), Progress::More);
    (2..=4).for_each(|version| shelf.add(Revision(version), document(50_000)));
    let piece = shelf.piece(fetch.next_request()).unwrap();
    assert_eq!(fetch.take(piece, quick), Progress::Complete(document(10_000)));
    shelf.add(Revision(5), document(50_000));
    assert_eq!(shelf.piece(Fetch::new(ONE).next_request()), None, "old ones stay for ever");
}

/// Guards against a host refusing its callers although it has the last revision but one.
#[test]
fn a_piece_carries_the_time_at_which_its_document_was_the_newest() {
    let at = Duration::from_secs;
    let mut shelf = shelf(10);
    shelf.confirm(at(7));
    shelf.confirm(at(5));
    assert_eq!(shelf.confirmed(), at(7), "the time decreases");
    shelf.add(Revision(2), document(10));
    assert_eq!(shelf.confirmed(), at(7), "an added document starts from the former's time");
    shelf.confirm(at(9));
    let mut fetch = Fetch::new(ONE);
    fetch.take(shelf.piece(fetch.next_request()).unwrap(), at(0));
    assert_eq!(fetch.confirmed, at(7));
    let mut fetch = Fetch::new(Revision(2));
    fetch.take(shelf.piece(fetch.next_request()).unwrap(), at(0));
    assert_eq!(fetch.confirmed, at(9));
}

#[test]
fn no_piece_is_larger_than_the_largest() {
    let shelf = shelf(1_000_000);
    let all = PieceRequest { revision: ONE, from: Size(0), most: Size(u64::MAX) };
    assert_eq!(shelf.piece(all).unwrap().bytes.len() as u64, MAX_PIECE.0);
    assert_eq!(shelf.piece(PieceRequest { from: Size(u64::MAX), ..all }), None);
    assert_eq!(shelf.piece(PieceRequest { from: Size(1_000_000), ..all }), None);
    assert_eq!(shelf.piece(PieceRequest { revision: Revision(2), ..all }), None);
}
