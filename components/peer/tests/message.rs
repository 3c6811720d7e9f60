//! Encoding of messages between hosts.

use bergamottrack_coordination::demand::{AccountReport, Report};
use bergamottrack_peer::{
    Question,
    message::{Heartbeat, KnownVersions, Message},
};

/// Maximum number of bytes that an account with a name of eight letters may add to a heartbeat.
const MAX_ACCOUNT_SIZE: usize = 24;

fn heartbeat(accounts: usize) -> Message {
    let figures = |n: usize| AccountReport {
        account: format!("acct{n:04}").parse().unwrap(),
        rate: 0.1 + n as f32 / 7.0,
        admitted: 1000 + n as u64,
        level: Some(33.3 + n as f32 / 3.0),
    };
    let report = Report { run: 7, no: 9, figures: (0..accounts).map(figures).collect() };
    let heartbeat = Heartbeat {
        report: Some(report),
        known: KnownVersions::default(),
        majority: true,
        evacuations: None,
        positions: Vec::new(),
        clock: None,
        echo: None,
    };
    Message::Question(1, Question::Heartbeat(Box::new(heartbeat)))
}

/// Guards against heartbeats that fill the links between failure domains: each hub sends one with
/// all accounts to every other hub several times a second.
#[test]
fn heartbeat_needs_few_bytes_per_account() {
    let (empty, full) = (heartbeat(0).encode().len(), heartbeat(200).encode().len());
    let size = (full - empty) / 200;
    assert!(size <= MAX_ACCOUNT_SIZE, "{size} bytes per account");
}

/// Guards against figures that are rounded up or lost by encoding and decoding.
#[test]
fn decoded_figures_are_at_most_slightly_lower() {
    let Message::Question(_, Question::Heartbeat(sent)) = heartbeat(200) else { unreachable!() };
    let decoded = Message::decode(&heartbeat(200).encode()).unwrap();
    let Message::Question(_, Question::Heartbeat(received)) = decoded else { unreachable!() };
    let (sent, received) = (sent.report.unwrap(), received.report.unwrap());
    assert_eq!(
        (sent.run, sent.no, sent.figures.len()),
        (received.run, received.no, received.figures.len())
    );
    for (sent, received) in sent.figures.iter().zip(&received.figures) {
        assert_eq!((&sent.account, sent.admitted), (&received.account, received.admitted));
        assert!(received.rate <= sent.rate && received.rate > sent.rate * 0.998);
        assert!(received.level.unwrap() <= sent.level.unwrap());
        assert!(received.level.unwrap() > sent.level.unwrap() * 0.998);
    }
}
