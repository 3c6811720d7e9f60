//! Stand-in of a backend server.

// Each test uses a part.
#![allow(dead_code)]

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bergamottrack_model::{ListedServer, Role};
use bergamottrack_proxy::Host;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};

use crate::hosts;

/// Backend server with one connection, which answers a statement once the test allows it.
#[derive(Default)]
pub struct Server {
    /// Texts of the statements received.
    received: RefCell<Vec<String>>,
    /// Number of statements that may be answered.
    allowed: RefCell<usize>,
    /// Number of connections that ended while a statement was not answered.
    pub broken_off: Cell<usize>,
}

impl Server {
    /// Starts the server and adds it to the host's list of servers as the only server of its group.
    pub fn start(host: &Host) -> Rc<Self> {
        let server = Rc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let listed = ListedServer {
            id: hosts::server(),
            group: hosts::group(),
            address: listener.local_addr().unwrap(),
            domain: host.settings.domain.clone(),
            slots: 1,
            leaving: false,
            role: Role::Primary,
            started_ms: 1,
            cold: Duration::ZERO,
        };
        host.upsert_server(listed, 1);
        host.refresh();
        let accepting = server.clone();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(accepting.clone().serve(stream));
            }
        });
        server
    }

    /// Lets the server answer all statements.
    pub fn allow_all(&self) {
        *self.allowed.borrow_mut() = usize::MAX;
    }

    /// Returns the texts of the statements received.
    pub fn received(&self) -> Vec<String> {
        self.received.borrow().clone()
    }

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
                        let wait = Duration::from_millis(5);
                        // Nothing is sent before the answer, so only the end of the connection is read.
                        let end = monoio::time::timeout(wait, stream.readable(false)).await;
                        if end.is_ok() {
                            self.broken_off.set(self.broken_off.get() + 1);
                            return;
                        }
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
}
