//! HTTP requests, each on its own connection or one after the other on a persistent connection.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

use anyhow::Context;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, body::Incoming, client::conn::http1, header};
use monoio::{io::IntoPollIo, net::TcpStream, time::Instant};
use monoio_compat::hyper::MonoioIo;

/// Maximum size of an answer's body in bytes; reading a larger one fails.
const MAX_BODY: usize = 16 << 20;

/// Timeout of each frame of an answer's body.
///
/// Detects a connection that goes silent within an answer. The whole answer has no timeout: one
/// that is large for its link would be aborted and started again forever.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Answer to a request.
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// Request to send.
pub struct Call<'a> {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Names and values of additional headers.
    pub headers: &'a [(&'static str, &'a str)],
    /// Body.
    pub body: Bytes,
}

/// Reason why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection failed; nothing was sent.
    #[error("{address} cannot be reached: {error}")]
    Unreachable {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the connection attempt.
        error: std::io::Error,
    },
    /// The request may have been processed.
    #[error("no answer from {address}: {error:#}")]
    NoAnswer {
        /// Address of the server.
        address: SocketAddr,
        /// Error of sending the request or reading the answer.
        error: anyhow::Error,
    },
}

/// Sends a request on its own connection and reads the whole answer.
///
/// `timeout` bounds the time until the answer begins, including the connection set-up. Its body
/// may take any time as long as each frame arrives within the read timeout.
pub async fn call(
    address: SocketAddr,
    call: Call<'_>,
    timeout: Duration,
) -> Result<Response, HttpError> {
    call_if(address, call, timeout, || true).await
}

/// As [`call`], but sends nothing if `may_send` does not hold once the connection is set up.
///
/// The clock of `timeout` stands still while the machine is suspended.
pub async fn call_if(
    address: SocketAddr,
    call: Call<'_>,
    timeout: Duration,
    may_send: impl Fn() -> bool,
) -> Result<Response, HttpError> {
    let deadline = Instant::now() + timeout;
    let timed_out = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = monoio::time::timeout_at(deadline, TcpStream::connect(address)).await;
    let stream = stream.unwrap_or_else(|_| Err(timed_out()));
    let stream = stream.and_then(|stream| if may_send() { Ok(stream) } else { Err(timed_out()) });
    let stream = stream.map_err(|error| HttpError::Unreachable { address, error })?;
    let description = format!("{} {}", call.method, call.path);
    let whole = async {
        let answered = monoio::time::timeout_at(deadline, exchange(address, stream, call));
        collect(answered.await.unwrap_or_else(|_| Err(timed_out().into()))?).await
    };
    whole.await.context(description).map_err(|error| HttpError::NoAnswer { address, error })
}

/// Sends a request on its own connection and returns the answer, whose body is not read yet.
async fn exchange(
    address: SocketAddr,
    stream: TcpStream,
    call: Call<'_>,
) -> anyhow::Result<hyper::Response<Incoming>> {
    prepare(&stream)?;
    let io = MonoioIo::new(stream.into_poll_io()?);
    let (mut sender, conn) = http1::handshake(io).await.context("shaking hands")?;
    monoio::spawn(conn);
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close");
    for (name, value) in call.headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(call.body)).context("building the request")?;
    sender.send_request(request).await.context("sending")
}

/// Has small requests sent at once, and the connection reset when it is closed: a call that was given
/// up would otherwise be performed after a cut of the network, seconds after others rely on its expiry.
fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    bergamottrack_socket::reset_on_close(stream)
}

type Sender = http1::SendRequest<Full<Bytes>>;

/// Client that keeps its connection open for the next call.
///
/// A new connection for each call takes two more round trips and, on a small host, more CPU time
/// than the call itself.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    /// Connection that no call uses at the moment.
    idle: RefCell<Option<Sender>>,
    /// Number of calls made, exported as a metric.
    pub calls: Cell<u64>,
}

impl Client {
    /// Creates a client, which connects on its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: RefCell::default(), calls: Cell::default() }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// `timeout` bounds the time until the answer begins, including the connection set-up if there
    /// is one. Its body may take any time as long as each frame arrives within the read timeout.
    ///
    /// After an error the request may have been processed. The connection is then dropped, since
    /// every later call on a silent connection would fail too.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> anyhow::Result<Response> {
        self.calls.set(self.calls.get() + 1);
        let description = format!("{method} {path} at {}", self.address);
        let answered = monoio::time::timeout(timeout, self.send(method, path, headers, body));
        let whole = async {
            let (sender, response) = answered.await.unwrap_or_else(|_| Err(timed_out()))?;
            let response = collect(response).await?;
            *self.idle.borrow_mut() = Some(sender);
            anyhow::Ok(response)
        };
        whole.await.context(description)
    }

    /// Sends a request and returns the connection and the answer, whose body is not read yet.
    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> anyhow::Result<(Sender, hyper::Response<Incoming>)> {
        let idle = self.idle.borrow_mut().take();
        let mut sender = match idle.filter(|sender| sender.is_ready()) {
            Some(sender) => sender,
            None => connect(self.address).await?,
        };
        let host = self.address.to_string();
        let mut request = Request::builder().method(method).uri(path).header(header::HOST, host);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).context("building the request")?;
        let response = sender.send_request(request).await.context("sending")?;
        Ok((sender, response))
    }
}

fn timed_out() -> anyhow::Error {
    std::io::Error::from(std::io::ErrorKind::TimedOut).into()
}

/// Reads the body of an answer, with [`READ_TIMEOUT`] for each frame.
async fn collect(response: hyper::Response<Incoming>) -> anyhow::Result<Response> {
    let status = response.status();
    let mut parts = Limited::new(response.into_body(), MAX_BODY);
    let mut body = BytesMut::new();
    loop {
        let part = monoio::time::timeout(READ_TIMEOUT, parts.frame()).await;
        let part = part.map_err(|_| timed_out()).context("reading the answer")?;
        let Some(part) = part else { return Ok(Response { status, body: body.freeze() }) };
        let part = part.map_err(|error| anyhow::anyhow!("reading the answer: {error}"))?;
        if let Ok(data) = part.into_data() {
            body.extend_from_slice(&data);
        }
    }
}

/// Timeout of connecting to the platform. Between machines of one region connecting takes
/// milliseconds; a lost first packet is retransmitted after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

async fn connect(address: SocketAddr) -> anyhow::Result<Sender> {
    let stream = monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .context("connecting")?
        .context("connecting")?;
    prepare(&stream)?;
    let io = MonoioIo::new(stream.into_poll_io()?);
    let (sender, conn) = http1::handshake(io).await.context("HTTP handshake")?;
    monoio::spawn(async move {
        if let Err(error) = conn.await {
            tracing::debug!(%address, %error, "http: persistent connection failed");
        }
    });
    Ok(sender)
}
