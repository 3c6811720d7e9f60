//! Statements of another host at the holder of a server's connections.

mod hosts;

use std::{cell::RefCell, rc::Rc, time::Duration};

use bergamottrack_contract::{Host as Peer, Routes};
use bergamottrack_coordination::{
    ManualClock, SystemClock, Term, evacuation,
    token::Secret,
    view::{LEASE_TTL, Leadership, Versioned},
};
use bergamottrack_model::{ListedServer, Role};
use bergamottrack_peer::{
    Answer, ForwardResult, ForwardedStatement, Link, Mesh, Question, TransactionId,
    accept::{self, Service},
};
use bergamottrack_proxy::{Host, gossip};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};

/// Version of the row of the intent to replace the leader.
const INTENT: u64 = 3;

/// Time for which a test waits for a condition, and longest time of a statement.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Backend server with one connection, which answers a statement once the test allows it.
#[derive(Default)]
struct Server {
    /// Texts of the statements received.
    received: RefCell<Vec<String>>,
    /// Number of statements that may be answered.
    allowed: RefCell<usize>,
}

impl Server {
    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut pending = String::new();
        let mut answered = 0;
        loop {
            let (read, chunk) = stream.read(vec![0; 1024]).await;
            let Ok(1..) = read else { return };
            pending.push_str(std::str::from_utf8(&chunk[..read.unwrap()]).unwrap());
            while let Some((line, rest)) = pending.split_once("\r\n") {
                let text = line.splitn(3, ' ').last().unwrap().to_owned();
                let is_start = line.starts_with("START");
                pending = rest.to_owned();
                if !is_start {
                    self.received.borrow_mut().push(text.clone());
                    answered += 1;
                    while *self.allowed.borrow() < answered {
                        monoio::time::sleep(Duration::from_millis(5)).await;
                    }
                }
                let state = if text.starts_with("BEGIN") { 'T' } else { 'I' };
                let answer = format!("DONE 1.1\r\nREADY {state} 1.1\r\n");
                let answer = if is_start { "READY I -\r\n".to_owned() } else { answer };
                if stream.write_all(answer.into_bytes()).await.0.is_err() {
                    return;
                }
            }
        }
    }

    async fn await_received(&self, count: usize) {
        until(|| self.received.borrow().len() >= count).await;
    }
}

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
}

impl Holder {
    async fn start() -> Self {
        let server = Rc::new(Server::default());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = server.clone();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(accepting.clone().serve(stream));
            }
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let peer = listener.local_addr().unwrap();
        let clock = Rc::new(ManualClock::new());
        let host = hosts::start(peer, clock.clone());
        *host.evacuations.borrow_mut() = evacuation::Set::default();
        let listed = ListedServer {
            id: hosts::server(),
            group: hosts::group(),
            address,
            domain: host.settings.domain.clone(),
            slots: 1,
            leaving: false,
            role: Role::Primary,
            started_ms: 1,
            cold: Duration::ZERO,
        };
        host.upsert_server(listed, 1);
        host.refresh();
        let accepting = host.clone();
        let service = Rc::new(Service {
            secret: host.mesh.secret.clone(),
            serve: Box::new(|_, _| {}),
            answer: Box::new(move |peer, question, replier| {
                gossip::answer(&accepting, peer, question, replier);
            }),
        });
        let hello = host.mesh.hello();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(accept::serve(stream, hello.clone(), service.clone()));
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
        Self { host, server, link, clock }
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

    /// Begins an unplanned failover of the group and waits until h2 has released the leader.
    async fn release(&self) {
        let (from, holder) = (Some(hosts::server()), hosts::id("h1"));
        let (since, planned, term) = (hosts::VIEW_CLOCK, false, Term(1));
        let value = Leadership::Moving { from, holder, since, planned, term };
        let row = Versioned { version: INTENT, value };
        let question = Question::ApplyLeadership { group: hosts::group(), row };
        let answer = self.link.query(question, TIMEOUT).await.unwrap();
        assert!(matches!(answer, Answer::LeadershipApplied(INTENT)), "{answer:?}");
    }

    /// Lets the server answer all statements.
    fn allow_all(&self) {
        *self.server.allowed.borrow_mut() = usize::MAX;
    }

    fn received(&self) -> Vec<String> {
        self.server.received.borrow().clone()
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
    }
}

fn in_transaction(text: &str, id: TransactionId) -> ForwardedStatement {
    let opens = text.starts_with("BEGIN");
    ForwardedStatement { transaction: Some(id), opens, ..statement(text) }
}

/// Guards against a read at a replaced leader: both hosts have released the leader while the
/// statement of one of them is in the queue of the other, which sends it after the promotion.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn queued_statement_is_not_sent_to_a_released_leader() {
    let holder = Holder::start().await;
    let first = holder.forward(statement("READ k1"));
    holder.server.await_received(1).await;
    let second = holder.enqueue(statement("READ k2")).await;
    holder.release().await;
    holder.allow_all();
    assert!(matches!(first.await, ForwardResult::Answered(_)));
    let result = second.await;
    assert!(matches!(result, ForwardResult::NotSent(_)), "{result:?}");
    assert_eq!(holder.received(), ["READ k1"]);
}

/// Guards against a read at a replaced leader: the leases of both hosts expire while the statement
/// of one of them is in the queue of the other.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn queued_statement_is_not_sent_to_the_leader_after_the_lease() {
    let holder = Holder::start().await;
    let first = holder.forward(statement("READ k1"));
    holder.server.await_received(1).await;
    let second = holder.enqueue(statement("READ k2")).await;
    holder.clock.advance(LEASE_TTL);
    holder.allow_all();
    assert!(matches!(first.await, ForwardResult::Answered(_)));
    let result = second.await;
    assert!(matches!(result, ForwardResult::NotSent(_)), "{result:?}");
    assert_eq!(holder.received(), ["READ k1"]);
}

/// Guards against statements of a transaction that run at a leader which its holder has released.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn transaction_of_another_host_ends_with_the_release_of_the_leader() {
    let holder = Holder::start().await;
    holder.allow_all();
    for text in ["BEGIN", "READ k1"] {
        let result = holder.forward(in_transaction(text, 7)).await;
        assert!(matches!(result, ForwardResult::Answered(_)), "{result:?}");
    }
    let result = holder.forward(in_transaction("BEGIN", 8)).await;
    assert!(matches!(result, ForwardResult::Answered(_)), "{result:?}");
    holder.release().await;
    let result = holder.forward(in_transaction("READ k2", 8)).await;
    assert!(matches!(result, ForwardResult::NotSent(_)), "{result:?}");
    assert_eq!(holder.received(), ["BEGIN", "READ k1", "BEGIN"]);
}

/// Guards against refusals of statements that need no leader, such as reads at replicas, while a
/// group has none.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn statement_that_needs_no_leader_is_sent_without_a_lease() {
    let holder = Holder::start().await;
    holder.allow_all();
    holder.release().await;
    holder.clock.advance(LEASE_TTL);
    let result = holder.forward(ForwardedStatement { leads: false, ..statement("READ k1") }).await;
    assert!(matches!(result, ForwardResult::Answered(_)), "{result:?}");
    assert_eq!(holder.received(), ["READ k1"]);
}
