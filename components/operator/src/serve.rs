//! HTTP/1.1 server for operators, with one task per connection.

use std::{future::Future, io, net::SocketAddr, pin::Pin, rc::Rc, time::Duration};

use anyhow::Context;
use bergamottrack_coordination::budget::Budget;
use bergamottrack_peer::{accept, newest::Newest};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Response, StatusCode,
    body::{Body, Incoming},
    header,
    server::conn::http1,
    service::service_fn,
};
use monoio::{
    io::IntoPollIo,
    net::{ListenerOpts, TcpListener, TcpStream},
};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};
use tracing::{debug, info};

use crate::api::{ErrorPage, Verdict};

/// Maximum memory of the buffers of one connection in bytes.
const MAX_BUFFER: usize = 64 << 10;

/// Connections that are accepted before the other tasks have their turns.
const MAX_ACCEPTED: usize = 16;

/// Time for these.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// Limits of the requests at one address.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of connections. The oldest one is closed for the next.
    pub connections: usize,
    /// Maximum size of a request body in bytes.
    pub body: usize,
    /// Maximum size of all request bodies that are being received, in bytes.
    pub bodies: usize,
    /// Time within which a connection must send a complete request head, and then the body.
    pub timeout: Duration,
}

impl Limits {
    /// Limits for operators.
    pub const OPERATORS: Self = Self {
        connections: 256,
        body: 4 << 20,
        bodies: 16 << 20,
        timeout: Duration::from_secs(30),
    };

    /// Limits for probes, which have no body.
    pub const PROBES: Self =
        Self { connections: 64, body: 0, bodies: 0, timeout: Duration::from_secs(5) };
}

/// A completely received request.
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: Box<str>,
    /// Query string, not decoded.
    pub query: Box<str>,
    /// Bearer token in the authorization header.
    pub key: Option<Box<str>>,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

impl Request {
    /// Returns the value of a header, if present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Reply to a request.
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of the content type header.
    pub kind: &'static str,
    /// Reply body.
    pub body: Bytes,
}

impl Reply {
    /// Creates a reply in JSON.
    pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self { status, kind: "application/json", body: body.into() }
    }

    /// Creates an error page.
    pub fn error(status: StatusCode, verdict: Verdict, message: impl Into<Box<str>>) -> Self {
        Self::json(status, &ErrorPage { verdict, message: message.into() })
    }

    /// Creates a reply in plain text.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Self { status, kind: "text/plain; charset=utf-8", body: text.into().into() }
    }
}

/// Function that answers one request.
pub type Handler = dyn Fn(Request) -> Pin<Box<dyn Future<Output = Reply>>>;

/// Listens on an address exclusively.
///
/// By default the runtime lets several processes share a port, so that each gets some of the
/// connections. A second or leftover host on a machine would then accept some of the connections
/// to this port and serve them from another fleet. With exclusive use, the start of the second
/// process fails.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false))
}

/// Serves operators without end. Returns an error if it cannot listen on the address.
pub async fn serve(address: SocketAddr, handler: Rc<Handler>) -> anyhow::Result<()> {
    serve_limited(address, handler, Limits::OPERATORS).await
}

/// Serves requests without end, within `limits`. Returns an error if it cannot listen on the address.
pub async fn serve_limited(
    address: SocketAddr,
    handler: Rc<Handler>,
    limits: Limits,
) -> anyhow::Result<()> {
    let listener =
        listen(address).with_context(|| format!("cannot listen for operators on {address}"))?;
    info!("operator: listening on {}.", listener.local_addr()?);
    serve_connections(listener, handler, limits).await
}

/// Serves the connections of a listener without end.
pub async fn serve_on(listener: TcpListener, handler: Rc<Handler>) -> ! {
    serve_connections(listener, handler, Limits::OPERATORS).await
}

async fn serve_connections(listener: TcpListener, handler: Rc<Handler>, limits: Limits) -> ! {
    let service = Rc::new(Service { handler, limits, bodies: Budget::new(limits.bodies, 0) });
    let newest = Newest::new(limits.connections);
    loop {
        for _ in 0..MAX_ACCEPTED {
            let stream = accept::stream(&listener, "operators").await;
            let (mut place, service) = (newest.enter(), service.clone());
            monoio::spawn(async move {
                monoio::select! {
                    () = connection(stream, service) => {}
                    () = place.ended() => debug!("operator: oldest connection closed for another."),
                }
            });
        }
        monoio::time::sleep(ACCEPT_PAUSE).await;
    }
}

/// Handler and memory of one address.
struct Service {
    handler: Rc<Handler>,
    limits: Limits,
    /// Memory of the request bodies that are being received.
    bodies: Rc<Budget>,
}

async fn connection(stream: TcpStream, service: Rc<Service>) {
    let Ok(io) = stream.into_poll_io() else { return };
    let mut builder = http1::Builder::new();
    builder.timer(MonoioTimer).header_read_timeout(service.limits.timeout).max_buf_size(MAX_BUFFER);
    let service = service_fn(move |request| answer(request, service.clone()));
    if let Err(error) = builder.serve_connection(MonoioIo::new(io), service).await {
        debug!("operator: connection failed: {error}.");
    }
}

async fn answer(
    request: hyper::Request<Incoming>,
    service: Rc<Service>,
) -> anyhow::Result<Response<Full<Bytes>>> {
    let reply = match monoio::time::timeout(service.limits.timeout, read(request, &service)).await {
        Ok(Ok(request)) => (service.handler)(request).await,
        Ok(Err(error)) => Reply::text(StatusCode::BAD_REQUEST, format!("{error:#}\n")),
        Err(_) => Reply::text(StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time\n"),
    };
    Ok(Response::builder()
        .status(reply.status)
        .header(header::CONTENT_TYPE, reply.kind)
        .body(Full::new(reply.body))?)
}

async fn read(request: hyper::Request<Incoming>, service: &Service) -> anyhow::Result<Request> {
    let (parts, body) = request.into_parts();
    let key = parts.headers.get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let key = key.and_then(|v| v.strip_prefix("Bearer ")).map(Into::into);
    let limits = service.limits;
    let announced = body.size_hint().upper().unwrap_or(limits.body as u64);
    anyhow::ensure!(
        announced <= limits.body as u64,
        "the body is larger than {} bytes",
        limits.body
    );
    let mut memory = service.bodies.charge();
    memory.set(announced as usize).context("too many bodies at the same time")?;
    let body = Limited::new(body, limits.body).collect().await;
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
