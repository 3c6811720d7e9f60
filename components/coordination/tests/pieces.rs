//! Transfer of large documents between hosts over links of any bandwidth.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use bergamottrack_coordination::{
    Revision, Size,
    pieces::{Documents, Fetch, MAX_PIECE, PIECE_TIMEOUT, Piece, PieceRequest, Progress},
};
use bytes::Bytes;

const ONE: Revision = Revision(1);

/// Maximum delay of a caller's statement by a transfer over the same link: part of the 400 ms that
/// callers accept.
const MAX_STATEMENT_DELAY: Duration = Duration::from_millis(250);

/// One-way latency between two hosts.
const LATENCY: Duration = Duration::from_millis(1);

fn document(size: usize) -> Bytes {
    (0..size).map(|n| (n * 31 % 251) as u8).collect()
}

fn documents(size: usize) -> Documents {
    let mut documents = Documents::default();
    documents.add(ONE, document(size));
    documents
}

/// Link that transmits one message after the other.
#[derive(Clone)]
struct Link {
    bytes_per_sec: f64,
    /// Time at which the link is idle again.
    free_at: Duration,
    /// Number of bytes transmitted.
    sent: usize,
    /// Longest time that a message queued right behind another one would have waited.
    max_wait: Duration,
}

impl Link {
    fn new(bytes_per_sec: f64) -> Self {
        let (free_at, max_wait) = (Duration::ZERO, Duration::ZERO);
        Self { bytes_per_sec, free_at, sent: 0, max_wait }
    }

    /// Transmits a message that is ready at `at`; returns the time of its arrival.
    fn transmit(&mut self, at: Duration, size: usize) -> Duration {
        self.free_at =
            self.free_at.max(at) + Duration::from_secs_f64(size as f64 / self.bytes_per_sec);
        self.max_wait = self.max_wait.max(self.free_at - at);
        self.sent += size;
        self.free_at + LATENCY
    }
}

/// Simulates hosts that fetch a document from one sender, each over its own link. Returns the time
/// at which each host has it, the sender's link and the hosts' links.
fn simulate_fetches(size: usize, sender: f64, hosts: &[f64]) -> (Vec<Duration>, Link, Vec<Link>) {
    let documents = documents(size);
    let mut sender = Link::new(sender);
    let mut links: Vec<Link> = hosts.iter().map(|rate| Link::new(*rate)).collect();
    let mut fetches: Vec<Fetch> = hosts.iter().map(|_| Fetch::new(ONE)).collect();
    let mut done = vec![Duration::ZERO; hosts.len()];
    let mut requests: BinaryHeap<_> =
        (0..hosts.len()).map(|n| Reverse((Duration::ZERO, n))).collect();
    while let Some(Reverse((requested_at, host))) = requests.pop() {
        assert!(requested_at < Duration::from_secs(600), "the document never arrives");
        let piece = documents.piece(fetches[host].next_request()).unwrap();
        let forwarded = sender.transmit(requested_at + LATENCY, piece.bytes.len());
        let received_at = links[host].transmit(forwarded, piece.bytes.len());
        let took = received_at - requested_at;
        if took > PIECE_TIMEOUT {
            fetches[host].miss();
            requests.push(Reverse((requested_at + PIECE_TIMEOUT, host)));
            continue;
        }
        match fetches[host].take(piece, took) {
            Progress::More => requests.push(Reverse((received_at, host))),
            Progress::Complete(bytes) => {
                assert_eq!(bytes, document(size));
                done[host] = received_at;
            }
            Progress::Restarted => panic!("fetch restarted although nothing was damaged"),
        }
    }
    (done, sender, links)
}

/// Guards against a configuration that never arrives: in a single answer it would exceed the
/// timeout on a slow link and be requested again for ever. The transfer takes little longer than
/// its bytes need, and delays a caller's statement on the link by one piece only.
#[test]
fn document_arrives_over_links_of_any_bandwidth() {
    const SIZE: usize = 800_000;
    for rate in [20e3, 60e3, 250e3, 1.25e6, 25e6] {
        let (done, sender, _) = simulate_fetches(SIZE, rate, &[1e9]);
        let min_time = Duration::from_secs_f64(SIZE as f64 / rate);
        let limit = min_time.mul_f64(1.1) + Duration::from_millis(200);
        assert!(done[0] < limit, "{:?} at {rate} B/s", done[0]);
        assert_eq!(sender.sent, SIZE, "data was sent twice at {rate} B/s");
        assert!(sender.max_wait < MAX_STATEMENT_DELAY, "{:?} at {rate} B/s", sender.max_wait);
    }
}

/// Guards against a host that never gets a new configuration, and against sending much more than
/// all need. All fetch it at the same moment from one host, over its link of 2 to 200 Mbit/s and
/// links of their own of 10 Mbit/s.
#[test]
fn all_hosts_of_a_failure_domain_fetch_from_one_host() {
    const SIZE: usize = 60_000;
    const HOSTS: usize = 75;
    for rate in [250e3, 1.25e6, 25e6] {
        let (done, sender, links) = simulate_fetches(SIZE, rate, &[1.25e6; HOSTS]);
        let min_time = Duration::from_secs_f64((SIZE * HOSTS) as f64 / rate);
        let last = done.iter().max().unwrap();
        let limit = min_time.mul_f64(1.1) + Duration::from_millis(200);
        assert!(*last < limit, "{last:?} at {rate} B/s");
        assert_eq!(sender.sent, SIZE * HOSTS, "data was sent twice at {rate} B/s");
        assert!(links.iter().all(|link| link.max_wait < MAX_STATEMENT_DELAY));
    }
}

/// Guards against a document that never arrives because its transfer restarts at each loss of a
/// link. Another host continues the transfer and sends only the rest.
#[test]
fn received_pieces_are_kept_after_the_loss_of_a_link() {
    let (first, second) = (documents(100_000), documents(100_000));
    let mut fetch = Fetch::new(ONE);
    let quick = Duration::from_millis(1);
    let piece = first.piece(fetch.next_request()).unwrap();
    assert_eq!(fetch.take(piece, quick), Progress::More);
    let piece = first.piece(fetch.next_request()).unwrap();
    assert_eq!(fetch.take(piece, quick), Progress::More);
    fetch.miss();
    let mut fetched = 0;
    loop {
        let piece = second.piece(fetch.next_request()).unwrap();
        fetched += piece.bytes.len();
        match fetch.take(piece, quick) {
            Progress::More => {}
            Progress::Complete(bytes) => break assert_eq!(bytes, document(100_000)),
            Progress::Restarted => panic!("fetch restarted with the same document"),
        }
    }
    assert_eq!(fetched, 100_000 - 4 * 1024 - 8 * 1024);
}

/// Guards against taking a mixture for the document, when two hosts have different bytes under
/// one revision or a piece is damaged.
#[test]
fn pieces_of_different_documents_are_not_combined() {
    let quick = Duration::from_millis(1);
    let first = documents(20_000);
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

/// Guards against a host that never has any version, because versions arrive faster than one can
/// be fetched and it starts over with the newest each time. The version that it has begun to
/// fetch stays available.
#[test]
fn fetch_completes_while_newer_versions_are_added() {
    let mut documents = documents(10_000);
    let mut fetch = Fetch::new(ONE);
    let quick = Duration::from_millis(1);
    assert_eq!(fetch.take(documents.piece(fetch.next_request()).unwrap(), quick), Progress::More);
    (2..=4).for_each(|version| documents.add(Revision(version), document(50_000)));
    let piece = documents.piece(fetch.next_request()).unwrap();
    assert_eq!(fetch.take(piece, quick), Progress::Complete(document(10_000)));
    documents.add(Revision(5), document(50_000));
    assert_eq!(
        documents.piece(Fetch::new(ONE).next_request()),
        None,
        "old documents are never removed"
    );
}

/// Guards against a host that refuses its callers although it has the last revision but one.
#[test]
fn piece_contains_the_time_at_which_its_document_was_the_newest() {
    let at = Duration::from_secs;
    let mut documents = documents(10);
    documents.confirm(at(7));
    documents.confirm(at(5));
    assert_eq!(documents.confirmed(), at(7), "time decreased");
    documents.add(Revision(2), document(10));
    assert_eq!(
        documents.confirmed(),
        at(7),
        "an added document starts with the time of the previous one"
    );
    documents.confirm(at(9));
    let mut fetch = Fetch::new(ONE);
    fetch.take(documents.piece(fetch.next_request()).unwrap(), at(0));
    assert_eq!(fetch.confirmed, at(7));
    let mut fetch = Fetch::new(Revision(2));
    fetch.take(documents.piece(fetch.next_request()).unwrap(), at(0));
    assert_eq!(fetch.confirmed, at(9));
}

/// Guards against a piece above the maximum size, whatever is requested, and against one beyond
/// the end of its document or of an unknown revision.
#[test]
fn pieces_are_limited_to_the_maximum_size() {
    let documents = documents(1_000_000);
    let all = PieceRequest { revision: ONE, from: Size(0), most: Size(u64::MAX) };
    assert_eq!(documents.piece(all).unwrap().bytes.len() as u64, MAX_PIECE.0);
    assert_eq!(documents.piece(PieceRequest { from: Size(u64::MAX), ..all }), None);
    assert_eq!(documents.piece(PieceRequest { from: Size(1_000_000), ..all }), None);
    assert_eq!(documents.piece(PieceRequest { revision: Revision(2), ..all }), None);
}
