//! Messages between hosts, encoded as CBOR in WebSocket messages.

use std::time::Duration;

use anyhow::Context;
use bergamottrack_contract::RevisionDoc;
use bergamottrack_coordination::{
    AccountId, Burst, FailureDomain, GroupId, HostId, Point, Rate, Refusal, RequestId, Revision,
    ServerId,
    bucket::LoanId,
    changes::Changes,
    claims::Claim,
    coverage, demand, evacuation,
    freshness::FreshnessVote,
    outcome::Outcome,
    pieces,
    token::Secret,
    view::{Leadership, Member, Versioned},
};
use bergamottrack_metrics::HostReport;
use bergamottrack_model::ListedServer;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::forward::{ForwardResult, ForwardedStatement, TransactionId};

/// Number of an exchange or question, unique on its link.
pub type RequestNo = u64;

/// Requirements of an exchange for the server that runs it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Intent {
    /// May change data; runs on the primary.
    Write,
    /// Only reads; runs on any server whose data includes `required_position` and is no older than
    /// `max_age`, as far as they are set. If neither is set, it runs on the primary.
    Read {
        /// Log position that the session has observed.
        #[serde(rename = "floor")]
        required_position: Option<Point>,
        /// Maximum age of the data.
        max_age: Option<Duration>,
    },
}

/// Opens an exchange: one transaction, or one statement outside of a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Open {
    /// Database group.
    pub group: GroupId,
    /// Client account of the caller.
    pub account: AccountId,
    /// Requirements for the server.
    pub intent: Intent,
    /// Caller's id of the request, if it must run at most once.
    pub request: Option<RequestId>,
    /// Time left until the deadline when the message was sent.
    pub budget: Duration,
    /// Complete PostgreSQL messages, the last of which is `Query` or `Sync`.
    pub frames: Bytes,
}

/// Message of the entry to the home within an exchange.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToHome {
    /// The next messages of the transaction, the last of which is `Query` or `Sync`.
    More {
        /// Complete PostgreSQL messages.
        frames: Bytes,
        /// Time left until the deadline when the message was sent.
        budget: Duration,
    },
    /// Length in bytes of a part of the answer that the entry has sent to the caller.
    Credit(u64),
    /// Cancels the running statement at the caller's request.
    Cancel,
    /// The caller has disconnected; an open transaction is rolled back.
    Close,
}

/// State of an exchange after a statement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TransactionState {
    /// The transaction has ended, and with it the exchange.
    Idle,
    /// The transaction is open.
    Open,
    /// The transaction has failed and must be rolled back.
    Failed,
}

/// Message of the home to the entry within an exchange.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToEntry {
    /// Part of an answer: complete PostgreSQL messages. An entry that still waits for the answer
    /// forwards the part to the caller and confirms this by [`ToHome::Credit`], even if the part is
    /// empty.
    Part(Bytes),
    /// End of an answer, without its `ReadyForQuery`.
    #[serde(rename = "Turn")]
    AnswerEnd {
        /// Complete PostgreSQL messages.
        frames: Bytes,
        /// State of the exchange.
        #[serde(rename = "standing")]
        state: TransactionState,
        /// Log position of a confirmed write.
        point: Option<Point>,
        /// Whether a replica answered.
        replica: bool,
    },
    /// The exchange has ended without an answer to the last messages.
    Refused(Refusal),
}

impl ToEntry {
    /// Returns whether this is the last message of the home within the exchange.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::AnswerEnd { state: TransactionState::Idle, .. })
    }
}

/// Question to a peer, which replies with one [`Answer`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Question {
    /// Checks that the host is reachable.
    Ping,
    /// Requests the host's vote on whether a newer revision exists.
    #[serde(rename = "Vouch")]
    Freshness,
    /// Requests the host's newest revision.
    Revision,
    /// Requests the host's status report.
    Report,
    /// Puts a revision in force, unless a newer one is.
    Adopt(Box<RevisionDoc>),
    /// Requests a loan of tokens of an account's rate.
    Lend(Lend),
    /// Cancels the statement that runs on a caller's connection.
    Cancel {
        /// Process number of the connection.
        pid: i32,
        /// Secret key that only the connection's caller has received.
        secret: i32,
    },
    /// Requests the outcome of a request that runs at most once.
    Outcome(Box<OutcomeQuery>),
    /// Heartbeat of the sender.
    Heartbeat(Box<Heartbeat>),
    /// Applies a group's leadership row, unless the host has a newer one. The answer follows once
    /// work at a leader that the row no longer names has ended.
    #[serde(rename = "Act")]
    ApplyLeadership {
        /// Group.
        group: GroupId,
        /// Leadership row of the group.
        row: Versioned<Leadership>,
        /// Whether the sender reads [`Answer::Released`].
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        wants_confirmed: bool,
    },
    /// Requests the host's data that are newer than the given versions.
    #[serde(rename = "Newest")]
    Updates(KnownVersions),
    /// Requests a piece of a configuration.
    Piece(pieces::PieceRequest),
    /// Requests how long ago a server last answered the host.
    #[serde(rename = "Silence")]
    LastContact(ServerId),
    /// Runs a statement on a server whose connections the host holds.
    #[serde(rename = "Relay")]
    Forward(Box<ForwardedStatement>),
    /// Cancels a transaction of the sender by closing its connection, which rolls it back.
    #[serde(rename = "Hang")]
    CancelTransaction(TransactionId),
    /// Requests that the sender becomes a member of the fleet. The answer is the host's whole data,
    /// once its view lists the sender and is current.
    Register(Box<Registration>),
    /// Requests a sign of life, as `Ping`, and a reading of the peer's clock. Sent only to a peer whose
    /// hello contains a reading.
    Clock,
    /// Requests a token of an account's rate.
    #[serde(rename = "Take")]
    TakeToken {
        /// Account.
        account: AccountId,
        /// Rate of the account in the sender's configuration.
        rate: Rate,
        /// Burst of the account in the sender's configuration.
        burst: Burst,
        /// Sender's claim on the rate, granted by another host.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        claim: Option<Claim>,
        /// Priority of the request, 0 is the most urgent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        priority: Option<u32>,
    },
}

/// Request of a starting host to become a member of the fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Registration {
    /// Row of the host in the view.
    pub row: Member,
    /// Time of the store's clock that the host read after it began to listen for peers. A view
    /// that was not the newest at this time or later is no answer.
    pub since: Duration,
}

/// Query for the outcome of a request that runs at most once.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OutcomeQuery {
    /// Database group.
    pub group: GroupId,
    /// Client account.
    pub account: AccountId,
    /// Caller's id of the request.
    pub request: RequestId,
    /// Timeout of the query.
    #[serde(rename = "within")]
    pub timeout: Duration,
}

/// Request for a loan of tokens of an account's rate.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Lend {
    /// Account.
    pub account: AccountId,
    /// Identifier of the loan.
    #[serde(rename = "no")]
    pub loan: LoanId,
    /// Number of tokens requested.
    pub tokens: f64,
    /// Earlier loans of the receiver from which nothing more will be spent.
    #[serde(rename = "over")]
    pub settled: Vec<LoanId>,
}

/// Answer to a [`Question`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Answer {
    /// The host is reachable.
    Pong,
    /// The host is shutting down and accepts no new work.
    #[serde(rename = "Leaving")]
    Draining,
    /// The host's vote on whether a newer revision exists.
    #[serde(rename = "Vouch")]
    Freshness(FreshnessVote),
    /// The host's status report.
    Report(Box<HostReport>),
    /// The host's newest revision.
    Revision(Option<Box<RevisionDoc>>),
    /// Revision now in force at the host.
    Adopted(Revision),
    /// Outcome of the request.
    Outcome(Outcome),
    /// Tokens lent, already deducted at the host.
    Lent {
        /// Number of tokens lent.
        tokens: f64,
        /// Number of tokens that the host could still lend.
        spare: f64,
    },
    /// Version of the group's leadership row that the host has applied: the sent version or a newer
    /// one.
    #[serde(rename = "Acting")]
    LeadershipApplied(u64),
    /// As `LeadershipApplied`, for a sender that requests the last confirmed record as well.
    Released {
        /// Version of the group's leadership row that the host has applied.
        version: u64,
        /// Last record that a replica has confirmed to the host; `None` if it has requested no
        /// confirmation.
        confirmed: Option<Point>,
        /// What the host has acknowledged of the group; `None` from hosts of earlier versions, or before the
        /// host has read the store's clock.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        acknowledged: Option<coverage::Acknowledged>,
    },
    /// Heartbeat of the host.
    Heartbeat(Box<Heartbeat>),
    /// The host's data that are newer than the versions in the question.
    #[serde(rename = "Newest")]
    Updates(Box<Updates>),
    /// Requested piece; `None` if the host does not have the configuration.
    Piece(Option<pieces::Piece>),
    /// Ruling on whether the token is granted.
    Ruling(demand::Ruling),
    /// Answer to [`Question::Clock`].
    Clock {
        /// Time since the host accepted the connection.
        elapsed: Duration,
        /// Whether the host is shutting down and accepts no new work.
        draining: bool,
    },
    /// Result of a forwarded statement.
    #[serde(rename = "Relayed")]
    ForwardResult(ForwardResult),
    /// Time since a server last answered the host; `None` if it never did or is not in the host's
    /// list of servers.
    #[serde(rename = "Silence")]
    LastContact(Option<Duration>),
}

/// Heartbeat, which hosts exchange periodically.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Demand of the callers that the sender grants tokens to; `None` if it grants none.
    #[serde(rename = "asked")]
    pub report: Option<demand::Report>,
    /// Versions of the sender's data.
    pub known: KnownVersions,
    /// Whether the sender has contact with most of the fleet, itself or through its hub.
    pub majority: bool,
    /// Evacuated failure domains; `None` until the sender has received them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<evacuation::Set>,
    /// Positions of leaders: in a question, those that the sender has observed itself since its
    /// last heartbeat; in an answer, the newest ones that it has received or observed.
    #[serde(rename = "seen")]
    pub positions: Vec<LeaderPosition>,
    /// Sender's clock; in answers only.
    pub clock: Option<ClockReading>,
    /// Latest reading of the receiver's clock that the sender has received; in questions only.
    pub echo: Option<ClockReading>,
    /// Groups whose positions the answer is to contain; `None` for all groups.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub interest: Option<Vec<GroupId>>,
    /// Time since the sender's last answered question, in milliseconds, if the answer is to
    /// contain only positions that the receiver learned in that time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub learned_ms: Option<u32>,
    /// Contact with the fleet that the answer gives to the sender of the question; in answers only,
    /// `None` from a host that is shutting down.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub contact: Option<ContactReply>,
}

/// Part of the answer to a heartbeat by which its receiver has contact with the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ContactReply {
    /// All leadership rows of the sender that are newer than the receiver's view.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<(GroupId, Versioned<Leadership>)>,
    /// Age of the sender's own contact in milliseconds, rounded up; `None` without a lease.
    pub age_ms: Option<u32>,
}

/// Reading of a process's monotonic clock.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClockReading {
    /// Identifier of the process; readings of different processes cannot be compared.
    pub run: u64,
    /// Time since the start of the process.
    pub clock: Duration,
}

/// Log position of a group's leader, observed under a lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaderPosition {
    /// Group.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// Leader of the group.
    #[serde(rename = "l")]
    pub leader: ServerId,
    /// Log position of the leader.
    #[serde(rename = "p")]
    pub point: Point,
    /// Time at which the leader was queried, in milliseconds, rounded down: in an answer relative
    /// to the creation of the answer, in a question relative to the reception of `echo`.
    #[serde(rename = "t")]
    pub offset_ms: i64,
}

/// Versions of a host's data, each with the latest time of the store's clock at which it was
/// confirmed to be the newest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownVersions {
    /// Revision of the configuration.
    pub plan: (Revision, Duration),
    /// Stamp of the view.
    pub view: (u64, Duration),
    /// Version of the view; 0 to request the whole view.
    pub view_version: u64,
    /// Stamp of the list of servers.
    pub servers: (u64, Duration),
    /// Version of the list of servers; 0 to request the whole list.
    #[serde(default)]
    pub servers_version: u64,
    /// Whether the sender reads packed state.
    #[serde(default)]
    pub reads_packed: bool,
}

/// Data of a host that another host lacks. A newer configuration is fetched in pieces instead.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Updates {
    /// Versions of the sender's data.
    pub known: KnownVersions,
    /// Changes of the view since the receiver's version; `None` if the sender's view is not newer.
    pub view: Option<Changes>,
    /// Whole list of servers; `None` if the sender's list is not newer, or `server_changes` is
    /// set.
    pub servers: Option<Vec<ListedServer>>,
    /// Changes of the list of servers since the receiver's version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server_changes: Option<ServerChanges>,
    /// Whole view in place of `view`, as compressed CBOR.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed_view: Option<Bytes>,
    /// Whole list of servers in place of `servers`, as compressed CBOR.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed_servers: Option<Bytes>,
    /// Evacuated failure domains; `None` until the sender has received them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<evacuation::Set>,
}

/// Changes of the list of servers since an older version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerChanges {
    /// Version of the older list; at least 1.
    pub since: u64,
    /// Version of the newer list.
    pub version: u64,
    /// Stamp of the newer list.
    pub stamp: u64,
    /// Entries that were added or changed.
    pub changed: Vec<ListedServer>,
    /// Servers whose entries disappeared.
    pub gone: Vec<ServerId>,
}

/// First message of each end of a link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// Host that sends the message.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Random bytes, new for each connection.
    pub nonce: Nonce,
    /// Time since the accepting end accepted the connection, by its own clock; `None` from the
    /// dialling end, and from an accepting end that does not answer [`Question::Clock`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub clock: Option<Duration>,
}

/// Random bytes chosen by one end of a link.
pub type Nonce = [u8; 16];

/// End of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The end that connects.
    Dialling,
    /// The end that accepts the connection.
    Accepting,
}

/// Proof that one end of a link possesses the secret shared by all hosts.
///
/// Guards against an attacker on the network that impersonates a host: it could run statements,
/// distribute old revisions or vote for them. The hash covers both nonces, so that a proof cannot
/// be replayed on another link, and the end, so that a host's own proof cannot be reflected to it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Proof([u8; 32]);

impl Proof {
    /// Creates the proof of `end`.
    pub fn new(secret: &Secret, end: End, dialling: &Hello, accepting: &Hello) -> Self {
        Self(secret.sign(&signed_fields(end, dialling, accepting)))
    }

    /// Returns whether this is the valid proof of `end`.
    pub fn is_valid(&self, secret: &Secret, end: End, dialling: &Hello, accepting: &Hello) -> bool {
        secret.verify(&signed_fields(end, dialling, accepting), &self.0)
    }
}

fn signed_fields<'a>(end: End, dialling: &'a Hello, accepting: &'a Hello) -> [&'a [u8]; 7] {
    let end: &[u8] = match end {
        End::Dialling => b"peer link, dialling",
        End::Accepting => b"peer link, accepting",
    };
    [
        end,
        dialling.host.as_str().as_bytes(),
        dialling.domain.as_str().as_bytes(),
        &dialling.nonce,
        accepting.host.as_str().as_bytes(),
        accepting.domain.as_str().as_bytes(),
        &accepting.nonce,
    ]
}

/// Message on a link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Message {
    /// Identifies the sender.
    Hello(Hello),
    /// Authenticates the sender; no other message except `Hello` is accepted before it.
    Proof(Proof),
    /// Opens an exchange.
    Open(RequestNo, Box<Open>),
    /// Message to the home within an exchange.
    ToHome(RequestNo, ToHome),
    /// Message to the entry within an exchange.
    ToEntry(RequestNo, ToEntry),
    /// Question to the accepting end.
    #[serde(rename = "Ask")]
    Question(RequestNo, Question),
    /// Answer to the question of the same number.
    #[serde(rename = "Tell")]
    Answer(RequestNo, Answer),
}

impl Message {
    /// Encodes the message as CBOR.
    pub fn encode(&self) -> Bytes {
        let mut buffer = Vec::with_capacity(128);
        ciborium::into_writer(self, &mut buffer).expect("writing to memory cannot fail");
        buffer.into()
    }

    /// Decodes a message from CBOR.
    pub fn decode(bytes: &[u8]) -> anyhow::Result<Self> {
        ciborium::from_reader(bytes).context("decoding a peer message")
    }
}
