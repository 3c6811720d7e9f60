//! One HTTP request on one connection.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, client::conn::http1, header};
use monoio::{io::IntoPollIo, net::TcpStream, time::Instant};
use monoio_compat::hyper::MonoioIo;

/// The most bytes of an answer that are read.
const MAX_BODY: usize = 16 << 20;

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

/// Sends a request and reads the whole answer, all of it `within` that time.
pub async fn call(
    address: SocketAddr,
    call: Call<'_>,
    within: Duration,
) -> Result<Response, HttpError> {
    let deadline = Instant::now() + within;
    let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = monoio::time::timeout_at(deadline, TcpStream::connect(address))
        .await
        .unwrap_or_else(|_| Err(late()))
        .map_err(|error| HttpError::Unreachable { address, error })?;
    let what = format!("{} {}", call.method, call.path);
    monoio::time::timeout_at(deadline, exchange(address, stream, call))
        .await
        .unwrap_or_else(|_| Err(late().into()))
        .context(what)
        .map_err(|error| HttpError::NoAnswer { address, error })
}

async fn exchange(
    address: SocketAddr,
    stream: TcpStream,
    call: Call<'_>,
) -> anyhow::Result<Response> {
    stream.set_nodelay(true)?;
    let io = MonoioIo::new(stream.into_poll_io()?);
    let (mut sender, conn) = http1::handshake(io).await.context("shaking hands")?;
    let conn = monoio::spawn(conn);
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close");
    for (name, value) in call.headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(call.body)).context("building the request")?;
    let response = sender.send_request(request).await.context("sending")?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY).collect().await;
    let body = body.map_err(|error| anyhow::anyhow!("reading the answer: {error}"))?.to_bytes();
    drop(conn);
    Ok(Response { status, body })
}
