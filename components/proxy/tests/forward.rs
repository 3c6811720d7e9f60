//! Statements of another host at the holder of a server's connections.

mod hosts;
mod server;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bergamottrack_contract::{Host as Peer, Routes};
use bergamottrack_coordination::{
    ManualClock, Point, SystemClock, Term,
    token::Secret,
    view::{LEASE_TTL, Leadership, RecordedSet, Versioned},
};
use bergamottrack_model::ListedServer;
use bergamottrack_peer::{
    Answer, ForwardResult, ForwardedStatement, Link, Mesh, Question, TransactionId, accept,
    message::{Hello, Message, Nonce},
};
use bergamottrack_proxy::{Host, confirm, serve};
use futures_util::{SinkExt, StreamExt};
use monoio::{
    io::IntoPollIo,
    net::{TcpListener, TcpStream},
};
use server::Server;
use tokio_tungstenite::tungstenite;

/// Version of the row of the intent to replace the leader.
const INTENT: u64 = 3;

/// Timeout of requests to the holder, and time for which a test waits for a condition.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until a condition holds.
async fn until(check: impl Fn() -> bool) {
    let end = monoio::time::Instant::now() + TIMEOUT;
    while !check() {
        assert!(monoio::time::Instant::now() < end, "the condition does not hold in time");
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The host h2, which holds the connections of the server s1, and the link of h1 to it.
struct Holder {
    host: Rc<Host>,
    server: Rc<Server>,
    link: Rc<Link>,
    clock: Rc<ManualClock>,
    /// Clock by which the host determines the age of messages.
    link_clock: Rc<ManualClock>,
    /// Address at which the host accepts links.
    peer: SocketAddr,
}

impl Holder {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let peer = listener.local_addr().unwrap();
        let (clock, link_clock) = (Rc::new(ManualClock::new()), Rc::new(ManualClock::new()));
        let host = hosts::start(peer, clock.clone());
        let server = Server::start(&host);
        let service = serve::peer_service(&host, link_clock.clone());
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(accept::serve(stream, service.clone()));
            }
        });
        let me = |name: &str, peer| Peer {
            id: hosts::id(name),
            domain: host.settings.domain.clone(),
            peer,
        };
        let own = me("h1", hosts::NO_ADDRESS.parse().unwrap());
        let secret = Secret::new(b"ours");
        let mesh = Mesh::new(own, secret, Rc::new(SystemClock), Routes::default());
        mesh.set_roster(&[me("h2", peer)], &[]);
        let link = mesh.link(&hosts::id("h2")).unwrap();
        until(|| link.is_up()).await;
        Self { host, server, link, clock, link_clock, peer }
    }

    /// Forwards a statement in a task of its own; returns its result.
    fn forward(&self, statement: ForwardedStatement) -> monoio::task::JoinHandle<ForwardResult> {
        let link = self.link.clone();
        monoio::spawn(async move {
            let answer = link.query(Question::Forward(Box::new(statement)), TIMEOUT).await;
            let Ok(Answer::ForwardResult(result)) = answer else { panic!("{answer:?}") };
            result
        })
    }

    /// Forwards a statement without waiting for its result.
    fn send(&self, statement: ForwardedStatement) {
        let link = self.link.clone();
        monoio::spawn(async move {
            let _ = link.query(Question::Forward(Box::new(statement)), TIMEOUT).await;
        });
    }

    /// Forwards a statement and waits until it is in the queue of the server.
    async fn enqueue(
        &self,
        statement: ForwardedStatement,
    ) -> monoio::task::JoinHandle<ForwardResult> {
        let result = self.forward(statement);
        let pool = self.host.server(&hosts::server()).unwrap();
        until(|| !pool.wait(0, TIMEOUT, self.host.now()).is_zero()).await;
        monoio::time::sleep(Duration::from_millis(100)).await;
        result
    }

    /// Marks the server as leaving.
    fn set_leaving(&self) {
        let listed = self.host.server(&hosts::server()).unwrap().listed.borrow().clone();
        assert!(self.host.upsert_server(ListedServer { leaving: true, ..listed }, 2));
    }

    /// Begins an unplanned failover of the group and waits until h2 has released the leader.
    async fn release(&self) {
        let answer = self.request_release(false).await;
        assert!(matches!(answer, Answer::LeadershipApplied(INTENT)), "{answer:?}");
    }

    /// Requests the release of the leader, also of the last confirmed record if `wants_confirmed`.
    async fn request_release(&self, wants_confirmed: bool) -> Answer {
        let (from, holder) = (Some(hosts::server()), hosts::id("h1"));
        let (since, planned, term) = (hosts::VIEW_CLOCK, false, Term(1));
        let value = Leadership::Moving {
            from,
            holder,
            since,
            planned,
            term,
            recorded: RecordedSet::default(),
        };
        let row = Versioned { version: INTENT, value };
        let question = Question::ApplyLeadership { group: hosts::group(), row, wants_confirmed };
        self.link.query(question, TIMEOUT).await.unwrap()
    }
}

fn statement(text: &str) -> ForwardedStatement {
    ForwardedStatement {
        server: hosts::server(),
        account: Some("a1".parse().unwrap()),
        line: format!("QUERY q1 {text}\r\n").into_bytes().into(),
        values: Default::default(),
        shape: None,
        transaction: None,
        opens: false,
        leads: true,
        priority: 0,
        queue_timeout_ms: 5000,
        timeout_ms: 5000,
        sent: None,
    }
}

fn in_transaction(text: &str, id: TransactionId) -> ForwardedStatement {
    let opens = text.starts_with("BEGIN");
    ForwardedStatement { transaction: Some(id), opens, ..statement(text) }
}

/// Connects to a host as a peer does; returns the nonce of the host's hello.
async fn received_nonce(peer: SocketAddr, hello: Hello) -> Nonce {
    let stream = TcpStream::connect(peer).await.unwrap().into_poll_io().unwrap();
    let url = format!("ws://{peer}/");
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
    let message = tungstenite::Message::Binary(Message::Hello(hello).encode());
    socket.send(message).await.unwrap();
    let received = socket.next().await.unwrap().unwrap().into_data();
    let Ok(Message::Hello(hello)) = Message::decode(&received) else { panic!("no hello") };
    hello.nonce
}

/// Guards against an attacker on the network that records the messages of a host and sends them again on a
/// connection of its own: the proof in them is valid for the same two nonces.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn hello_of_each_connection_has_a_new_nonce() {
    let holder = Holder::start().await;
    let hello = holder.host.mesh.hello();
    let first = received_nonce(holder.peer, hello.clone()).await;
    assert_ne!(received_nonce(holder.peer, hello).await, first);
}

/// Guards against a read at a replaced leader: both hosts have released the leader while the
/// statement of one of them is in the queue of the other, which sends it after the promotion.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn queued_statement_is_not_sent_to_a_released_leader() {
    let holder = Holder::start().await;
    let first = holder.forward(statement("READ k1"));
    until(|| !holder.server.received().is_empty()).await;
    let second = holder.enqueue(statement("READ k2")).await;
    holder.release().await;
    holder.server.allow_all();
    assert!(matches!(first.await, ForwardResult::Answered(_)));
    let result = second.await;
    assert!(matches!(result, ForwardResult::NotSent(_)), "{result:?}");
    assert_eq!(holder.server.received(), ["READ k1"]);
}

/// Guards against a read at a replaced leader: the leases of both hosts expire while the statement
/// of one of them is in the queue of the other.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn queued_statement_is_not_sent_to_the_leader_after_the_lease() {
    let holder = Holder::start().await;
    let first = holder.forward(statement("READ k1"));
    until(|| !holder.server.received().is_empty()).await;
    let second = holder.enqueue(statement("READ k2")).await;
    holder.clock.advance(LEASE_TTL);
    holder.server.allow_all();
    assert!(matches!(first.await, ForwardResult::Answered(_)));
    let result = second.await;
    assert!(matches!(result, ForwardResult::NotSent(_)), "{result:?}");
    assert_eq!(holder.server.received(), ["READ k1"]);
}

/// Guards against the loss of a commit that this host has acknowledged: the host that runs the failover has
/// not confirmed it, and the replica that did is gone.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn release_of_a_leader_names_the_last_confirmed_record() {
    let holder = Holder::start().await;
    let point = Point::new(1, 60);
    holder.host.group(&hosts::group()).receipts.state.borrow_mut().note(point);
    let answer = holder.request_release(true).await;
    let Answer::Released { version: INTENT, confirmed, .. } = answer else { panic!("{answer:?}") };
    assert_eq!(confirmed, Some(point));
}

/// Guards against the loss of a commit that this host has acknowledged: the leader changes, and the
/// successor crashes before another server has received the commit.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn release_of_a_leader_names_a_commit_acknowledged_under_an_earlier_one() {
    let holder = Holder::start().await;
    let group = holder.host.group(&hosts::group());
    let point = Point::new(1, 60);
    group.receipts.state.borrow_mut().note(point);
    confirm::wait(&holder.host, &group, point).await.unwrap();
    group.set_leader(Some("other".parse().unwrap()), holder.host.now());
    let answer = holder.request_release(true).await;
    let Answer::Released { version: INTENT, confirmed, .. } = answer else { panic!("{answer:?}") };
    assert_eq!(confirmed, Some(point));
}

/// Guards against statements of a transaction that run at a leader which its holder has released.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn transaction_of_another_host_ends_with_the_release_of_the_leader() {
    let holder = Holder::start().await;
    holder.server.allow_all();
    for text in ["BEGIN", "READ k1"] {
        let result = holder.forward(in_transaction(text, 7)).await;
        assert!(matches!(result, ForwardResult::Answered(_)), "{result:?}");
    }
    let result = holder.forward(in_transaction("BEGIN", 8)).await;
    assert!(matches!(result, ForwardResult::Answered(_)), "{result:?}");
    holder.release().await;
    let result = holder.forward(in_transaction("READ k2", 8)).await;
    assert!(matches!(result, ForwardResult::NotSent(_)), "{result:?}");
    assert_eq!(holder.server.received(), ["BEGIN", "READ k1", "BEGIN"]);
}

/// Guards against statements at a server that has been leaving for as long as it may get any: it was
/// promoted meanwhile, and no other server has its log yet.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn server_that_has_been_leaving_for_the_drain_bound_gets_no_new_statement() {
    let holder = Holder::start().await;
    holder.server.allow_all();
    holder.set_leaving();
    let read = |text| ForwardedStatement { leads: false, ..statement(text) };
    let result = holder.forward(read("READ k1")).await;
    assert!(matches!(result, ForwardResult::Answered(_)), "{result:?}");
    holder.clock.advance(holder.host.settings.drain_bound);
    let result = holder.forward(read("READ k2")).await;
    assert!(matches!(result, ForwardResult::NotSent(_)), "{result:?}");
    assert_eq!(holder.server.received(), ["READ k1"]);
}

/// Guards against an open transaction that is cut off at the drain bound of its server.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn open_transaction_goes_on_after_the_drain_bound() {
    let holder = Holder::start().await;
    holder.server.allow_all();
    holder.set_leaving();
    let run = |text| holder.forward(ForwardedStatement { leads: false, ..in_transaction(text, 7) });
    let result = run("BEGIN READ").await;
    assert!(matches!(result, ForwardResult::Answered(_)), "{result:?}");
    holder.clock.advance(holder.host.settings.drain_bound);
    let result = run("READ k1").await;
    assert!(matches!(result, ForwardResult::Answered(_)), "{result:?}");
    assert_eq!(holder.server.received(), ["BEGIN READ", "READ k1"]);
}

/// Guards against a statement that runs seconds after its caller had an answer: a network that was cut
/// delivers it after the cut, or the holder was suspended.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn statement_that_arrives_after_its_timeout_is_not_run() {
    let holder = Holder::start().await;
    holder.server.allow_all();
    let current = holder.link.earliest_clock();
    assert!(current.is_some());
    let read = |text, sent| ForwardedStatement { leads: false, sent, ..statement(text) };
    let result = holder.forward(read("READ k1", current)).await;
    assert!(matches!(result, ForwardResult::Answered(_)), "{result:?}");
    holder.link_clock.advance(Duration::from_millis(6000));
    let result = holder.forward(read("READ k2", current)).await;
    assert!(matches!(result, ForwardResult::NotSent(_)), "{result:?}");
    assert_eq!(holder.server.received(), ["READ k1"]);
}

/// Guards against a COMMIT that a cut network delivers after its timeout, when the caller has the answer
/// that the outcome is unknown and another host may have read that it did not commit.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn transaction_whose_statement_arrives_after_its_timeout_is_rolled_back() {
    let holder = Holder::start().await;
    holder.server.allow_all();
    let sent = holder.link.earliest_clock();
    let run = |text| holder.forward(ForwardedStatement { sent, ..in_transaction(text, 7) });
    let result = run("BEGIN").await;
    assert!(matches!(result, ForwardResult::Answered(_)), "{result:?}");
    holder.link_clock.advance(Duration::from_millis(6000));
    for _ in 0..2 {
        let result = run("COMMIT").await;
        assert!(matches!(result, ForwardResult::NotSent(_)), "{result:?}");
    }
    assert_eq!(holder.server.received(), ["BEGIN"]);
}

/// Guards against a statement that waits in the holder's queue and runs after its sender has closed the
/// link, and with it given the statement up.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn queued_statement_is_not_run_after_its_link_has_closed() {
    let holder = Holder::start().await;
    holder.send(statement("READ k1"));
    until(|| !holder.server.received().is_empty()).await;
    let pool = holder.host.server(&hosts::server()).unwrap();
    let is_free = || pool.wait(0, TIMEOUT, holder.host.now()).is_zero();
    holder.send(statement("READ k2"));
    until(|| !is_free()).await;
    holder.link.close();
    until(|| !holder.link.is_up()).await;
    monoio::time::sleep(Duration::from_millis(100)).await;
    holder.server.allow_all();
    until(is_free).await;
    assert_eq!(holder.server.received(), ["READ k1"]);
}

/// Guards against a statement that runs over a second after its caller had the answer: the server is cut off
/// when it is sent, its link is reset, the answer to the caller is that the outcome is unknown, and the
/// network delivers the statement once the server can be reached.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn statement_at_a_server_that_does_not_answer_is_broken_off_after_its_link_has_closed() {
    let holder = Holder::start().await;
    holder.send(statement("READ k1"));
    until(|| holder.server.received().len() == 1).await;
    holder.link.close();
    let end = monoio::time::Instant::now() + Duration::from_secs(1);
    while holder.server.broken_off.get() == 0 {
        assert!(monoio::time::Instant::now() < end, "the statement is not broken off");
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against refusals of statements that need no leader, such as reads at replicas, while a
/// group has none.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn statement_that_needs_no_leader_is_sent_without_a_lease() {
    let holder = Holder::start().await;
    holder.server.allow_all();
    holder.release().await;
    holder.clock.advance(LEASE_TTL);
    let result = holder.forward(ForwardedStatement { leads: false, ..statement("READ k1") }).await;
    assert!(matches!(result, ForwardResult::Answered(_)), "{result:?}");
    assert_eq!(holder.server.received(), ["READ k1"]);
}
