//! Messages between hosts, as bytes.

use bergamottrack_coordination::demand::{AccountReport, Report};
use bergamottrack_peer::{
    Question,
    message::{Heartbeat, KnownVersions, Message},
};

/// The most bytes that an account with a name of eight letters may cost in a heartbeat.
const EACH: usize = 24;

fn beat(accounts: usize) -> Message {
    let figures = |n: usize| AccountReport {
        account: format!("acct{n:04}").parse().unwrap(),
        rate: 0.1 + n as f32 / 7.0,
        admitted: 1000 + n as u64,
        level: Some(33.3 + n as f32 / 3.0),
    };
    let asked = Report { run: 7, no: 9, figures: (0..accounts).map(figures).collect() };
    let beat = Heartbeat {
        report: Some(asked),
        known: KnownVersions::default(),
        majority: true,
        evacuations: None,
        positions: Vec::new(),
        clock: None,
        echo: None,
    };
    Message::Question(1, Question::Heartbeat(Box::new(beat)))
}

/// Guards against heartbeats that fill the links between failure domains: each hub sends one
/// with all accounts to every other hub several times a second.
#[test]
fn an_account_costs_few_bytes_in_a_heartbeat() {
    let (none, many) = (beat(0).encode().len(), beat(200).encode().len());
    let each = (many - none) / 200;
    assert!(each <= EACH, "{each} bytes for each account");
}

/// Guards against figures that are rounded up, or lost, on their way.
#[test]
fn figures_arrive_hardly_less_than_they_were() {
    let Message::Question(_, Question::Heartbeat(sent)) = beat(200) else { unreachable!() };
    let decoded = Message::decode(&beat(200).encode()).unwrap();
    let Message::Question(_, Question::Heartbeat(told)) = decoded else { unreachable!() };
    let (sent, told) = (sent.report.unwrap(), told.report.unwrap());
    assert_eq!((sent.run, sent.no, sent.figures.len()), (told.run, told.no, told.figures.len()));
    for (sent, told) in sent.figures.iter().zip(&told.figures) {
        assert_eq!((&sent.account, sent.admitted), (&told.account, told.admitted));
        assert!(told.rate <= sent.rate && told.rate > sent.rate * 0.998);
        assert!(told.level.unwrap() <= sent.level.unwrap());
        assert!(told.level.unwrap() > sent.level.unwrap() * 0.998);
    }
}
