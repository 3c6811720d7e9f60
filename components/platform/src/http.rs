//! HTTP requests: each on a connection of its own, or one after the other on one that is kept.

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

/// The most bytes of an answer that are read.
const MAX_BODY: usize = 16 << 20;

/// How long the next part of an answer may take.
///
/// Guards against a connection that goes silent within an answer. The whole answer has no
/// limit: one that is large for its link would be given up and begun anew for ever.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// An answer.
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// A request.
pub struct Call<'a> {
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub path: &'a str,
    /// Further headers.
    pub headers: &'a [(&'static str, &'a str)],
    /// The body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// Nothing was sent.
    #[error("{address} cannot be reached: {error}")]
    Unreachable {
        /// The address.
        address: SocketAddr,
        /// What failed.
        error: std::io::Error,
    },
    /// The request may have been acted on.
    #[error("no answer from {address}: {error:#}")]
    NoAnswer {
        /// The address.
        address: SocketAddr,
        /// What failed.
        error: anyhow::Error,
    },
}

/// Sends a request and reads the whole answer, which begins `within` that time and takes
/// as long as it goes on coming.
pub async fn call(
    address: SocketAddr,
    call: Call<'_>,
    within: Duration,
) -> Result<Response, HttpError> {
    let deadline = Instant::now() + within;
    let timed_out = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = monoio::time::timeout_at(deadline, TcpStream::connect(address))
        .await
        .unwrap_or_else(|_| Err(timed_out()))
        .map_err(|error| HttpError::Unreachable { address, error })?;
    let what = format!("{} {}", call.method, call.path);
    let whole = async {
        let answered = monoio::time::timeout_at(deadline, exchange(address, stream, call));
        collect(answered.await.unwrap_or_else(|_| Err(timed_out().into()))?).await
    };
    whole.await.context(what).map_err(|error| HttpError::NoAnswer { address, error })
}

/// Sends a request on a connection of its own; the answer's body is still to come.
async fn exchange(
    address: SocketAddr,
    stream: TcpStream,
    call: Call<'_>,
) -> anyhow::Result<hyper::Response<Incoming>> {
    stream.set_nodelay(true)?;
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

type Sender = http1::SendRequest<Full<Bytes>>;

/// A client that keeps its connection for the next call.
///
/// A new connection for each call costs two more round trips and, on a small
/// host, more processor time than the call itself.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    /// The connection while no call uses it.
    idle: RefCell<Option<Sender>>,
    /// Calls made, for the metrics.
    pub calls: Cell<u64>,
}

impl Client {
    /// A client that connects with its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: RefCell::default(), calls: Cell::default() }
    }

    /// Sends a request and reads the whole answer, which begins `within` that time and
    /// takes as long as it goes on coming.
    ///
    /// After an error the request may have been acted on. The connection is then
    /// given up: one that went silent would swallow every later call too.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
        within: Duration,
    ) -> anyhow::Result<Response> {
        self.calls.set(self.calls.get() + 1);
        let what = format!("{method} {path} at {}", self.address);
        let answered = monoio::time::timeout(within, self.send(method, path, headers, body));
        let whole = async {
            let (sender, response) = answered.await.unwrap_or_else(|_| Err(timed_out()))?;
            let response = collect(response).await?;
            *self.idle.borrow_mut() = Some(sender);
            anyhow::Ok(response)
        };
        whole.await.context(what)
    }

    /// Sends a request; the connection and the answer, of which the body is still to come.
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

/// Reads an answer whose parts may each take [`READ_TIMEOUT`].
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

/// How long a connection to the platform may take to come up. Between machines
/// of one region it takes milliseconds; a lost first packet is sent again after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

async fn connect(address: SocketAddr) -> anyhow::Result<Sender> {
    let stream = monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .context("connecting")?
        .context("connecting")?;
    stream.set_nodelay(true)?;
    let io = MonoioIo::new(stream.into_poll_io()?);
    let (sender, conn) = http1::handshake(io).await.context("shaking hands")?;
    monoio::spawn(async move {
        if let Err(error) = conn.await {
            tracing::debug!(%address, %error, "http: a kept connection ended");
        }
    });
    Ok(sender)
}
