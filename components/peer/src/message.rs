//! What hosts say to each other, as CBOR in WebSocket messages.

use std::time::Duration;

use anyhow::Context;
use bergamottrack_contract::RevisionDoc;
use bergamottrack_coordination::{
    AccountId, Burst, FailureDomain, GroupId, HostId, Point, Rate, Refusal, RequestId, Revision,
    ServerId,
    bucket::LoanId,
    changes::Changes,
    demand, evacuation,
    freshness::FreshnessVote,
    outcome::Outcome,
    pieces,
    token::Secret,
    view::{Leadership, Versioned},
};
use bergamottrack_metrics::HostReport;
use bergamottrack_model::ListedServer;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::forward::{ForwardResult, ForwardedStatement, TransactionId};

/// Number of an exchange or question on its link; never used twice on one link.
pub type RequestNo = u64;

/// What an exchange needs of the server that runs it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Intent {
    /// It may change data: the primary.
    Write,
    /// It reads: any server that shows all up to `required_position`, or whose data is no
    /// older than `max_age`; the primary when neither is stated.
    Read {
        /// What the session has been told of.
        #[serde(rename = "floor")]
        required_position: Option<Point>,
        /// The age that the caller accepts.
        max_age: Option<Duration>,
    },
}

/// Begins an exchange: one transaction, or one statement outside of any.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Open {
    /// The database group.
    pub group: GroupId,
    /// The client account that it runs for.
    pub account: AccountId,
    /// What it needs.
    pub intent: Intent,
    /// The caller's id of it, if it must run at most once.
    pub request: Option<RequestId>,
    /// Time left until its deadline when it was sent.
    pub budget: Duration,
    /// Whole PostgreSQL messages, the last of them `Query` or `Sync`.
    pub frames: Bytes,
}

/// What the entry says within an exchange.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToHome {
    /// The next messages of the transaction, the last of them `Query` or `Sync`.
    More {
        /// Whole PostgreSQL messages.
        frames: Bytes,
        /// Time left until the deadline.
        budget: Duration,
    },
    /// The entry has passed on this many bytes of the answer.
    Credit(u64),
    /// The caller wants the running statement cancelled.
    Cancel,
    /// The caller is gone: roll back.
    Close,
}

/// How an exchange stands after a statement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TransactionState {
    /// The transaction is over, and so is the exchange.
    Idle,
    /// The transaction goes on.
    Open,
    /// The transaction has failed and waits for its rollback.
    Failed,
}

/// What the home says within an exchange.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToEntry {
    /// Part of an answer: whole PostgreSQL messages. An entry that still waits
    /// passes it on and says so by [`ToHome::Credit`], also of an empty one.
    Part(Bytes),
    /// The end of an answer, without its `ReadyForQuery`.
    #[serde(rename = "Turn")]
    AnswerEnd {
        /// Whole PostgreSQL messages.
        frames: Bytes,
        /// How the exchange stands.
        #[serde(rename = "standing")]
        state: TransactionState,
        /// What a confirmed write has reached.
        point: Option<Point>,
        /// Whether a replica answered.
        replica: bool,
    },
    /// The exchange is over without an answer to the last messages.
    Refused(Refusal),
}

impl ToEntry {
    /// Whether the home says nothing more within the exchange.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::AnswerEnd { state: TransactionState::Idle, .. })
    }
}

/// A short question that one answer settles.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Question {
    /// Is the host there?
    Ping,
    /// Is there a newer revision than the asker's?
    #[serde(rename = "Vouch")]
    Freshness,
    /// What is the newest revision known?
    Revision,
    /// What does the host report of itself?
    Report,
    /// Take this revision, unless a newer one is in force.
    Adopt(Box<RevisionDoc>),
    /// Lend tokens.
    Lend(Lend),
    /// Cancel what a caller's connection runs.
    Cancel {
        /// The connection's process number.
        pid: i32,
        /// What only its caller was told.
        secret: i32,
    },
    /// What became of a request that runs at most once?
    Outcome(Box<OutcomeQuery>),
    /// What a host tells the others all the time.
    Heartbeat(Box<Heartbeat>),
    /// Act on this row, unless a newer one is known; answered once work at a
    /// leader that it names no more has ended.
    #[serde(rename = "Act")]
    ApplyLeadership {
        /// The group.
        group: GroupId,
        /// Who leads it.
        row: Versioned<Leadership>,
    },
    /// What the host knows that the asker does not.
    #[serde(rename = "Newest")]
    Updates(KnownVersions),
    /// A piece of a configuration.
    Piece(pieces::PieceRequest),
    /// How long ago did this server last answer the host anything?
    #[serde(rename = "Silence")]
    LastContact(ServerId),
    /// Run this at a server whose connections the host holds.
    #[serde(rename = "Relay")]
    Forward(Box<ForwardedStatement>),
    /// Close the connection of this transaction, which rolls it back.
    #[serde(rename = "Hang")]
    CancelTransaction(TransactionId),
    /// A token of an account's rate.
    #[serde(rename = "Take")]
    TakeToken {
        /// The account.
        account: AccountId,
        /// Its rate, as the asker knows it.
        rate: Rate,
        /// Its burst.
        burst: Burst,
    },
}

/// A request of which somebody wants to know what became of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OutcomeQuery {
    /// The database group.
    pub group: GroupId,
    /// The client account.
    pub account: AccountId,
    /// The caller's id of the request.
    pub request: RequestId,
    /// How long the asker waits.
    #[serde(rename = "within")]
    pub timeout: Duration,
}

/// A question for tokens of an account.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Lend {
    /// The account.
    pub account: AccountId,
    /// Number of the loan.
    pub no: LoanId,
    /// Tokens wanted.
    pub tokens: f64,
    /// Earlier loans of the host that is asked, of which nothing will be spent any more.
    #[serde(rename = "over")]
    pub settled: Vec<LoanId>,
}

/// The answer to a question.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Answer {
    /// The host is there.
    Pong,
    /// The host is there, but being stopped: it is to get nothing new.
    #[serde(rename = "Leaving")]
    Draining,
    /// What the host can vouch for.
    #[serde(rename = "Vouch")]
    Freshness(FreshnessVote),
    /// What the host reports of itself.
    Report(Box<HostReport>),
    /// The newest revision that the host knows.
    Revision(Option<Box<RevisionDoc>>),
    /// The revision that is now in force at the host.
    Adopted(Revision),
    /// What became of the request.
    Outcome(Outcome),
    /// Tokens, already deducted at the host.
    Lent {
        /// How many.
        tokens: f64,
        /// How many it could still lend.
        spare: f64,
    },
    /// The host acts on the group's row of this version or a newer one.
    #[serde(rename = "Acting")]
    LeadershipApplied(u64),
    /// What the host tells all the time.
    Heartbeat(Box<Heartbeat>),
    /// The newest that the host knows.
    #[serde(rename = "Newest")]
    Updates(Box<Updates>),
    /// The piece; none of a configuration that the host does not hold.
    Piece(Option<pieces::Piece>),
    /// Whether the token was given.
    Ruling(demand::Ruling),
    /// What became of a statement.
    #[serde(rename = "Relayed")]
    ForwardResult(ForwardResult),
    /// How long ago a server last answered the host anything; none if it never did, or the host
    /// does not know it.
    #[serde(rename = "Silence")]
    LastContact(Option<Duration>),
}

/// What a host tells the others all the time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    /// What callers ask for that this host gives tokens to; none if it gives none.
    #[serde(rename = "asked")]
    pub report: Option<demand::Report>,
    /// What it knows.
    pub known: KnownVersions,
    /// Whether it hears most of the fleet.
    pub majority: bool,
    /// Evacuated failure domains, once it knows them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<evacuation::Set>,
    /// Positions of leaders; in a question those that the sender saw itself since its last
    /// one, in an answer the newest that it knows.
    pub seen: Vec<LeaderPosition>,
    /// The sender's clock; in an answer only.
    pub clock: Option<ClockReading>,
    /// The newest clock of the receiver's that the sender was sent; in a question only.
    pub echo: Option<ClockReading>,
}

/// A moment on the steady clock of one process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClockReading {
    /// The process, since clocks of others say nothing of its own.
    pub run: u64,
    /// Since its start.
    pub clock: Duration,
}

/// A position of a group's leader, seen under a lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaderPosition {
    /// The group.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// Its leader.
    #[serde(rename = "l")]
    pub leader: ServerId,
    /// The leader's position.
    #[serde(rename = "p")]
    pub point: Point,
    /// When the leader was asked, in milliseconds: before the answer was made, or after the
    /// moment at which `echo` was received. Rounded down.
    #[serde(rename = "t")]
    pub offset_ms: i64,
}

/// Which versions a host knows, each with the store's clock at which it was the
/// newest for certain.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownVersions {
    /// Version of the configuration.
    pub plan: (Revision, Duration),
    /// Stamp of the view.
    pub view: (u64, Duration),
    /// Version of the view; 0 to be told all of it.
    pub view_version: u64,
    /// Stamp of the list of servers.
    pub servers: (u64, Duration),
}

/// What a host knows that another one does not. A newer configuration is fetched in pieces.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Updates {
    /// Which versions it knows.
    pub known: KnownVersions,
    /// What the view has that the asker's has not.
    pub view: Option<Changes>,
    /// The list of servers.
    pub servers: Option<Vec<ListedServer>>,
    /// Evacuated failure domains, once it knows them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<evacuation::Set>,
}

/// The first message each way.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// Who speaks.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Random bytes, new for each connection.
    pub nonce: Nonce,
}

/// Random bytes of one end of a link.
pub type Nonce = [u8; 16];

/// Which end of a link speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The one that connects.
    Dialling,
    /// The one that accepts.
    Accepting,
}

/// Proves that one end of a link knows the fleet's secret.
///
/// Guards against a stranger on the network who speaks as a host: it could ask
/// for statements to be run, hand out old revisions or vouch for them. The hash
/// covers both nonces, so that an old proof is of no use on a new link, and the
/// end, so that a host's own proof cannot be sent back to it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Proof([u8; 32]);

impl Proof {
    /// The proof that `end` gives.
    pub fn new(secret: &Secret, end: End, dialling: &Hello, accepting: &Hello) -> Self {
        Self(secret.sign(&parts(end, dialling, accepting)))
    }

    /// Whether this is the proof that `end` must give.
    pub fn is_valid(&self, secret: &Secret, end: End, dialling: &Hello, accepting: &Hello) -> bool {
        secret.verify(&parts(end, dialling, accepting), &self.0)
    }
}

fn parts<'a>(end: End, dialling: &'a Hello, accepting: &'a Hello) -> [&'a [u8]; 7] {
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

/// A message on a link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Message {
    /// Who speaks.
    Hello(Hello),
    /// That it is so; nothing else is heard before.
    Proof(Proof),
    /// Begins an exchange.
    Open(RequestNo, Box<Open>),
    /// Within an exchange, towards the home.
    ToHome(RequestNo, ToHome),
    /// Within an exchange, towards the entry.
    ToEntry(RequestNo, ToEntry),
    /// A question.
    #[serde(rename = "Ask")]
    Question(RequestNo, Question),
    /// Its answer.
    #[serde(rename = "Tell")]
    Answer(RequestNo, Answer),
}

impl Message {
    /// The message as CBOR.
    pub fn encode(&self) -> Bytes {
        let mut out = Vec::with_capacity(128);
        ciborium::into_writer(self, &mut out).expect("writing to memory");
        out.into()
    }

    /// Reads a message.
    pub fn decode(bytes: &[u8]) -> anyhow::Result<Self> {
        ciborium::from_reader(bytes).context("reading a peer message")
    }
}
