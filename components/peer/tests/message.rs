//! Encoding of messages between hosts.

use bergamottrack_coordination::demand::{AccountReport, Report};
use bergamottrack_peer::{
    Question,
    message::{Heartbeat, KnownVersions, Message},
};

/// Maximum number of bytes that an account with an id of eight characters may add to a heartbeat.
const MAX_ACCOUNT_SIZE: usize = 24;

/// Returns a heartbeat that reports the given number of accounts.
fn heartbeat(accounts: usize) -> Message {
    let account_report = |n: usize| AccountReport {
        account: format!("acct{n:04}").parse().unwrap(),
        rate: 0.1 + n as f32 / 7.0,
        admitted: 1000 + n as u64,
        level: Some(33.3 + n as f32 / 3.0),
    };
    let report = Report { run: 7, no: 9, figures: (0..accounts).map(account_report).collect() };
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

/// Guards against heartbeats that use up the bandwidth between failure domains: each hub sends a
/// heartbeat with all accounts to every other hub several times a second.
#[test]
fn heartbeat_needs_few_bytes_per_account() {
    let (empty, full) = (heartbeat(0).encode().len(), heartbeat(200).encode().len());
    let account_size = (full - empty) / 200;
    assert!(account_size <= MAX_ACCOUNT_SIZE, "{account_size} bytes per account");
}

/// Guards against rates and levels that are rounded up, and figures that are lost, by encoding and
/// decoding. A host that lacks reports of other participants adopts the reported level of an
/// account's bucket, so that rounding up would add tokens.
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
