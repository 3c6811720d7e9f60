//! Sessions of a host that is being stopped.

mod hosts;
mod server;

use std::{rc::Rc, time::Duration};

use bergamottrack_adapter::configuration;
use bergamottrack_coordination::{Clock, SystemClock};
use bergamottrack_proxy::{Host, caller, host::Phase, placement};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};
use server::Server;

/// Time for which a test waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Configuration with the public database `bookings`.
const CONFIGURATION: &str = r#"{"version":7,
    "routes":[{"name":"r1","host":"bookings","prefix":"/","kind":"primary","timeoutMs":5000,
        "targetLatencyMs":200,"priority":1,"service":"g1","public":true}],
    "services":[{"name":"g1","maxConnections":34,"syncReplicas":0}],
    "limits":{"transactionIdleMs":3000},"tenants":[]}"#;

/// A session of a caller.
struct Caller {
    stream: TcpStream,
}

impl Caller {
    /// Opens a session at a host.
    async fn start(host: &Rc<Host>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (accepted, _) = listener.accept().await.unwrap();
        monoio::spawn(caller::serve(host.clone(), accepted));
        let mut caller = Self { stream };
        assert_eq!(caller.send("START bookings -").await, "READY I -\r\n");
        caller
    }

    /// Sends a message.
    async fn write(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\r\n").into_bytes()).await.0.unwrap();
    }

    /// Reads an answer, up to the session's state.
    async fn read(&mut self) -> String {
        let mut answer = String::new();
        let read = async {
            while !(answer.contains("READY") && answer.ends_with("\r\n")) {
                let (read, chunk) = self.stream.read(vec![0; 1024]).await;
                let len = read.unwrap();
                assert!(len > 0, "the connection ends after {answer:?}");
                answer.push_str(std::str::from_utf8(&chunk[..len]).unwrap());
            }
        };
        monoio::time::timeout(TIMEOUT, read).await.expect("no answer");
        answer
    }

    async fn send(&mut self, line: &str) -> String {
        self.write(line).await;
        self.read().await
    }
}

/// Starts a host that serves callers, and the server of its only group.
fn start() -> (Rc<Host>, Rc<Server>) {
    let clock = Rc::new(SystemClock);
    let host = hosts::start(hosts::NO_ADDRESS.parse().unwrap(), clock.clone());
    host.store_clock.borrow_mut().note(clock.now(), hosts::VIEW_CLOCK);
    placement::apply_rows(&host, &[], true, 1, hosts::VIEW_CLOCK);
    let plan = configuration::decode(CONFIGURATION.as_bytes()).unwrap();
    host.set_plan(plan, CONFIGURATION.as_bytes().into());
    host.documents.borrow_mut().confirm(hosts::VIEW_CLOCK);
    let server = Server::start(&host);
    (host, server)
}

/// Guards against a connection that ends without an answer to a statement that the host has passed on to
/// a server: the process exits while the server works on it.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn statement_in_flight_is_answered_before_the_host_exits() {
    let (host, server) = start();
    let mut caller = Caller::start(&host).await;
    caller.write("QUERY q1 READ k1").await;
    while server.received().is_empty() {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    host.phase.send_replace(Phase::Stopped);
    let answer = caller.read().await;
    assert!(answer.starts_with("ERROR UNCERTAIN "), "{answer:?}");
}

/// Guards against transactions that are still open when the process exits, so that their statements end
/// without an answer: they were begun after the signal, or their callers rest between statements.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn open_transaction_of_an_ending_host_is_aborted_at_its_next_statement() {
    let (host, server) = start();
    server.allow_all();
    let mut caller = Caller::start(&host).await;
    caller.send("QUERY q1 BEGIN").await;
    let answer = caller.send("QUERY q2 READ k1").await;
    assert!(answer.starts_with("DONE "), "{answer:?}");
    host.phase.send_replace(Phase::Closing);
    host.phase.send_replace(Phase::Ending);
    let answer = caller.send("QUERY q3 READ k2").await;
    assert!(answer.starts_with("ERROR ABORTED "), "{answer:?}");
    assert!(!server.received().contains(&"READ k2".to_owned()));
}
