//! Encoding of messages between hosts.

use std::time::Duration;

use bergamottrack_coordination::{
    Burst, Rate, Revision, ServerId, Term,
    claims::Claim,
    demand::{AccountReport, Report, Ruling},
    view::{Leadership, Member, RecordedServers, RecordedSet, Versioned},
};
use bergamottrack_peer::{
    Answer, Question,
    message::{ContactReply, Heartbeat, Hello, KnownVersions, Message, Registration, Updates},
};
use serde::Deserialize;

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
    let figures = (0..accounts).map(account_report).collect();
    let report = Report { run: 7, no: 9, figures, claims: Some(Vec::new()) };
    let heartbeat = Heartbeat {
        report: Some(report),
        known: KnownVersions::default(),
        majority: true,
        evacuations: None,
        positions: Vec::new(),
        clock: None,
        echo: None,
        interest: None,
        learned_ms: None,
        contact: None,
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

/// Returns the encoded message without the fields of the given names, at any depth.
fn without(message: &Message, fields: &[&str]) -> Vec<u8> {
    fn strip(value: &mut ciborium::Value, fields: &[&str]) {
        match value {
            ciborium::Value::Map(entries) => {
                entries.retain(|(key, _)| key.as_text().is_none_or(|key| !fields.contains(&key)));
                entries.iter_mut().for_each(|(_, value)| strip(value, fields));
            }
            ciborium::Value::Array(values) => values.iter_mut().for_each(|v| strip(v, fields)),
            _ => {}
        }
    }
    let mut value = ciborium::from_reader(&message.encode()[..]).unwrap();
    strip(&mut value, fields);
    let mut encoded = Vec::new();
    ciborium::into_writer(&value, &mut encoded).unwrap();
    encoded
}

/// Guards against a rolling restart in which hosts of two builds do not read each other's
/// messages: the fields that came with differences of the list of servers are optional.
#[test]
fn messages_without_the_fields_of_the_current_build_are_read() {
    let earlier =
        without(&heartbeat(3), &["interest", "learned_ms", "servers_version", "reads_packed"]);
    let Message::Question(_, Question::Heartbeat(beat)) = Message::decode(&earlier).unwrap() else {
        panic!("not a heartbeat")
    };
    assert_eq!((beat.interest, beat.learned_ms), (None, None), "all positions are requested");
    assert_eq!(beat.known.servers_version, 0, "the whole list is requested");
    assert!(!beat.known.reads_packed);
    let updates = Updates {
        known: KnownVersions { servers_version: 9, ..KnownVersions::default() },
        servers: Some(Vec::new()),
        ..Updates::default()
    };
    let answer = Message::Answer(1, Answer::Updates(Box::new(updates)));
    let earlier = without(&answer, &["servers_version", "reads_packed"]);
    let Message::Answer(_, Answer::Updates(updates)) = Message::decode(&earlier).unwrap() else {
        panic!("no updates")
    };
    assert_eq!(updates.servers, Some(Vec::new()));
    assert!(updates.server_changes.is_none() && updates.packed_servers.is_none());
}

/// Guards against contact by the answers of an earlier build, which do not contain the rows that the
/// receiver lacks, and against answers that it does not read.
#[test]
fn heartbeats_with_and_without_contact_are_read() {
    let Message::Question(_, Question::Heartbeat(beat)) = heartbeat(3) else {
        panic!("not a heartbeat")
    };
    let contact = Some(ContactReply { rows: Vec::new(), age_ms: Some(120) });
    let current = Heartbeat { contact: contact.clone(), ..*beat };
    let current = Message::Answer(1, Answer::Heartbeat(Box::new(current)));
    let contact_in = |encoded: &[u8]| match Message::decode(encoded).unwrap() {
        Message::Answer(_, Answer::Heartbeat(beat)) => beat.contact,
        _ => panic!("not a heartbeat"),
    };
    assert_eq!(contact_in(&current.encode()), contact);
    assert_eq!(contact_in(&without(&current, &["contact"])), None);
}

/// Guards against a failover that waits for contact alone beside a host of an earlier build, which uses
/// leaders for its whole lease.
#[test]
fn row_of_an_earlier_build_does_not_limit_the_host_by_contact() {
    let row = Member {
        peer: "192.0.2.1:7000".parse().unwrap(),
        domain: "north".parse().unwrap(),
        row_hash: 1,
        left: None,
        released: 0,
        power: 250,
        contact: true,
    };
    let registration = Registration { row, since: Duration::from_secs(9) };
    let message = Message::Question(1, Question::Register(Box::new(registration)));
    let is_limited = |encoded: &[u8]| match Message::decode(encoded).unwrap() {
        Message::Question(_, Question::Register(registration)) => registration.row.contact,
        _ => panic!("not a registration"),
    };
    assert!(is_limited(&message.encode()));
    assert!(!is_limited(&without(&message, &["contact"])));
}

/// Returns a token request with a claim and a priority, and a ruling.
fn token_messages() -> (Message, Message) {
    let question = Question::TakeToken {
        account: "large".parse().unwrap(),
        rate: Rate(100.0),
        burst: Burst(100.0),
        claim: Some(Claim { part: 0.25, idle_ms: 700 }),
        priority: Some(2),
    };
    let ruling = Ruling {
        admitted: false,
        part: 0.5,
        side: 1.0,
        level: 3.0,
        retry: Duration::from_millis(40),
        claim: 0.25,
        reserved: true,
    };
    (Message::Question(1, question), Message::Answer(1, Answer::Ruling(ruling)))
}

/// Guards against a rolling restart in which hosts of an earlier build, which send neither claims
/// nor priorities, get no tokens.
#[test]
fn token_messages_without_claims_and_priorities_are_read() {
    let fields = ["claim", "claims", "priority", "reserved"];
    let (question, answer) = token_messages();
    let decoded = Message::decode(&without(&question, &fields)).unwrap();
    let Message::Question(_, Question::TakeToken { claim, priority, .. }) = decoded else {
        panic!("no token request")
    };
    assert_eq!((claim, priority), (None, None));
    let decoded = Message::decode(&without(&answer, &fields)).unwrap();
    let Message::Answer(_, Answer::Ruling(ruling)) = decoded else { panic!("no ruling") };
    assert_eq!((ruling.claim, ruling.reserved), (0.0, false));
    let decoded = Message::decode(&without(&heartbeat(3), &fields)).unwrap();
    let Message::Question(_, Question::Heartbeat(beat)) = decoded else { panic!("no heartbeat") };
    assert_eq!(beat.report.unwrap().claims, None);
}

/// Guards against an earlier build that does not read the messages of a later one: a field that it
/// does not know must not be an error.
#[test]
fn token_messages_with_a_field_of_a_later_build_are_read() {
    fn add_field(value: &mut ciborium::Value, beside: &str) {
        match value {
            ciborium::Value::Map(entries) => {
                if entries.iter().any(|(key, _)| key.as_text() == Some(beside)) {
                    entries.push(("later".into(), 7.into()));
                }
                entries.iter_mut().for_each(|(_, value)| add_field(value, beside));
            }
            ciborium::Value::Array(values) => values.iter_mut().for_each(|v| add_field(v, beside)),
            _ => {}
        }
    }
    let (question, answer) = token_messages();
    for (message, beside) in [(question, "burst"), (answer, "admitted"), (heartbeat(3), "run")] {
        let mut value = ciborium::from_reader(&message.encode()[..]).unwrap();
        add_field(&mut value, beside);
        let mut encoded = Vec::new();
        ciborium::into_writer(&value, &mut encoded).unwrap();
        assert!(encoded.len() > message.encode().len(), "no field was added beside {beside}");
        assert!(Message::decode(&encoded).is_ok(), "{beside}");
    }
}

/// Guards against hosts of two builds that cannot read each other's messages during a rolling restart: a
/// field that was added later is omitted while it has its default, and may be absent.
#[test]
fn fields_of_a_later_build_are_omitted_by_default() {
    let hello = Hello {
        host: "h1".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        nonce: [7; 16],
        clock: None,
    };
    let value = Leadership::Steady {
        leader: "s1".parse().unwrap(),
        term: Term(1),
        recorded: RecordedSet::default(),
    };
    let row = Versioned { version: 2, value };
    let group = "g1".parse().unwrap();
    let apply = Question::ApplyLeadership { group, row, wants_confirmed: false };
    for message in [Message::Hello(hello), Message::Question(1, apply)] {
        let bytes = message.encode();
        let text = String::from_utf8_lossy(&bytes);
        assert!(!text.contains("clock") && !text.contains("wants_confirmed"), "{text}");
        assert_eq!(Message::decode(&bytes).unwrap().encode(), bytes);
    }
}

/// Guards against a fleet whose hosts of an earlier build cannot read the rows and messages of later ones during
/// a rolling restart: such a host has no field for what a set of servers states of itself.
#[test]
fn set_of_servers_is_readable_by_the_build_that_first_recorded_servers() {
    #[derive(Debug, Deserialize, PartialEq)]
    enum Earlier {
        Steady {
            leader: ServerId,
            #[serde(default)]
            term: Term,
            #[serde(default)]
            servers: RecordedServers,
        },
    }
    let (leader, term): (ServerId, _) = ("s1".parse().unwrap(), Term(5));
    let servers = RecordedServers::from([(leader.clone(), 7)]);
    let recorded =
        RecordedSet { servers: servers.clone(), exhaustive: true, revision: Revision(3) };
    let row = Leadership::Steady { leader: leader.clone(), term, recorded };
    let mut bytes = Vec::new();
    ciborium::into_writer(&row, &mut bytes).unwrap();
    let earlier = Earlier::Steady { leader, term, servers };
    assert_eq!(ciborium::from_reader::<Earlier, _>(&*bytes).unwrap(), earlier);
    let text = serde_json::to_string(&row).unwrap();
    assert_eq!(serde_json::from_str::<Earlier>(&text).unwrap(), earlier);
    assert_eq!(serde_json::from_str::<Leadership>(&text).unwrap(), row);
    assert_eq!(ciborium::from_reader::<Leadership, _>(&*bytes).unwrap(), row);
}
