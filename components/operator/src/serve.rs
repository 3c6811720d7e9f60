//! HTTP/1.1 server for operators, with one task per connection.

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

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Time within which a connection must send a complete request head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

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
    let listener =
        listen(address).with_context(|| format!("cannot listen for operators on {address}"))?;
    info!("operator: listening on {}.", listener.local_addr()?);
    serve_on(listener, handler).await
}

/// Serves the connections of a listener without end.
pub async fn serve_on(listener: TcpListener, handler: Rc<Handler>) -> ! {
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
        debug!("operator: connection failed: {error}.");
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
