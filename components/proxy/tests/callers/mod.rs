//! Host that serves callers, and their sessions.

// Each test uses a part.
#![allow(dead_code)]

use std::{rc::Rc, time::Duration};

use bergamottrack_adapter::configuration;
use bergamottrack_coordination::{Clock, SystemClock};
use bergamottrack_proxy::{Host, caller, placement};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};

use crate::{hosts, server::Server};

/// Time for which a test waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Configuration with the public database `bookings` and the database `rounds`.
pub const CONFIGURATION: &str = r#"{"version":7,
    "routes":[{"name":"r1","host":"bookings","prefix":"/","kind":"primary","timeoutMs":5000,
        "targetLatencyMs":200,"priority":1,"service":"g1","public":true},
        {"name":"r2","host":"rounds","prefix":"/","kind":"primary","timeoutMs":5000,
        "targetLatencyMs":200,"priority":1,"service":"g1","public":false}],
    "services":[{"name":"g1","maxConnections":34,"syncReplicas":0}],
    "limits":{"transactionIdleMs":3000},"tenants":[
        {"name":"church","apiKeys":["k1"],"ratePerS":100,"burst":100}]}"#;

/// A session of a caller.
pub struct Caller {
    stream: TcpStream,
}

impl Caller {
    /// Opens a session at a host.
    pub async fn start(host: &Rc<Host>, database: &str, key: &str) -> Self {
        let mut caller = Self::connect(host).await;
        let answer = caller.send(&format!("START {database} {key}")).await;
        assert_eq!(answer, "READY I -\r\n");
        caller
    }

    /// Connects to a host without beginning a session.
    pub async fn connect(host: &Rc<Host>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (accepted, _) = listener.accept().await.unwrap();
        monoio::spawn(caller::serve(host.clone(), accepted));
        Self { stream }
    }

    /// Sends a message.
    pub async fn write(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\r\n").into_bytes()).await.0.unwrap();
    }

    /// Sends bytes that end no message; returns whether the connection is still open.
    pub async fn try_write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes().to_vec()).await.0.is_ok()
    }

    /// Reads an answer, up to the session's state or to the failure with which the host closes.
    pub async fn read(&mut self) -> String {
        let mut answer = String::new();
        let read = async {
            while !(answer.contains("READY") && answer.ends_with("\r\n")) {
                let (read, chunk) = self.stream.read(vec![0; 1024]).await;
                let len = read.unwrap();
                if len == 0 {
                    assert!(answer.starts_with("ERROR "), "the connection ends after {answer:?}");
                    return;
                }
                answer.push_str(std::str::from_utf8(&chunk[..len]).unwrap());
            }
        };
        monoio::time::timeout(TIMEOUT, read).await.expect("no answer");
        answer
    }

    pub async fn send(&mut self, line: &str) -> String {
        self.write(line).await;
        self.read().await
    }
}

/// Starts a host that serves callers, and the server of its only group.
pub fn start() -> (Rc<Host>, Rc<Server>) {
    let clock = Rc::new(SystemClock);
    let host = hosts::start(hosts::NO_ADDRESS.parse().unwrap(), clock.clone());
    host.store_clock.borrow_mut().note(clock.now(), clock.now(), hosts::VIEW_CLOCK);
    placement::apply_rows(&host, &[], true, 1, hosts::VIEW_CLOCK);
    let plan = configuration::decode(CONFIGURATION.as_bytes()).unwrap();
    host.set_plan(plan, CONFIGURATION.as_bytes().into());
    host.documents.borrow_mut().confirm(hosts::VIEW_CLOCK);
    let server = Server::start(&host);
    (host, server)
}
