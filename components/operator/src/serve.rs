//! HTTP/1.1 for operators: one task a connection.

use std::{future::Future, io, net::SocketAddr, pin::Pin, rc::Rc, time::Duration};

use anyhow::Context;
use bergamottrack_peer::accept;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Response, StatusCode, body::Incoming, header, server::conn::http1,
    service::service_fn,
};
use monoio::{
    io::IntoPollIo,
    net::{ListenerOpts, TcpListener, TcpStream},
};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};
use tracing::{debug, info};

use crate::api::{ErrorPage, Verdict};

/// The most bytes of a request's body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// How long a connection may stay without a whole head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// A request, read whole.
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: Box<str>,
    /// The query, not decoded.
    pub query: Box<str>,
    /// What follows `Bearer` in the authorization header.
    pub key: Option<Box<str>>,
    /// All headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// A header, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// What is answered.
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The type of the body.
    pub kind: &'static str,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// An answer in JSON.
    pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self { status, kind: "application/json", body: body.into() }
    }

    /// An answer that tells why nothing else is answered.
    pub fn error(status: StatusCode, verdict: Verdict, message: impl Into<Box<str>>) -> Self {
        Self::json(status, &ErrorPage { verdict, message: message.into() })
    }

    /// An answer in plain text.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Self { status, kind: "text/plain; charset=utf-8", body: text.into().into() }
    }
}

/// Answers one request.
pub type Handler = dyn Fn(Request) -> Pin<Box<dyn Future<Output = Reply>>>;

/// Listens at an address that no other process has.
///
/// The runtime's default lets several processes share a port, each getting some
/// of the connections: a second host on a machine, or one left over, would take
/// callers and answer them from another fleet. Now the second start fails.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false))
}

/// Serves operators until the process ends.
pub async fn serve(address: SocketAddr, handler: Rc<Handler>) -> anyhow::Result<()> {
    let listener =
        listen(address).with_context(|| format!("listening for operators at {address}"))?;
    info!("operator: listening at {}.", listener.local_addr()?);
    loop {
        let stream = accept::stream(&listener, "operators").await;
        monoio::spawn(connection(stream, handler.clone()));
    }
}

async fn connection(stream: TcpStream, handler: Rc<Handler>) {
    let Ok(io) = stream.into_poll_io() else { return };
    let service = service_fn(move |request| answer(request, handler.clone()));
    let mut builder = http1::Builder::new();
    builder.timer(MonoioTimer).header_read_timeout(HEADER_TIMEOUT);
    if let Err(error) = builder.serve_connection(MonoioIo::new(io), service).await {
        debug!("operator: a connection ended: {error}.");
    }
}

async fn answer(
    request: hyper::Request<Incoming>,
    handler: Rc<Handler>,
) -> anyhow::Result<Response<Full<Bytes>>> {
    let reply = match read(request).await {
        Ok(request) => handler(request).await,
        Err(error) => Reply::text(StatusCode::BAD_REQUEST, format!("{error:#}\n")),
    };
    Ok(Response::builder()
        .status(reply.status)
        .header(header::CONTENT_TYPE, reply.kind)
        .body(Full::new(reply.body))?)
}

async fn read(request: hyper::Request<Incoming>) -> anyhow::Result<Request> {
    let (parts, body) = request.into_parts();
    let key = parts.headers.get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let key = key.and_then(|v| v.strip_prefix("Bearer ")).map(Into::into);
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| anyhow::anyhow!("reading the request: {error}"))?;
    Ok(Request {
        method: parts.method,
        path: parts.uri.path().into(),
        query: parts.uri.query().unwrap_or_default().into(),
        key,
        headers: parts.headers,
        body: body.to_bytes(),
    })
}
