//! One HTTP request on one connection.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, client::conn::http1, header};
use monoio::{io::IntoPollIo, net::TcpStream};
use monoio_compat::hyper::MonoioIo;

/// The most bytes of an answer that are read.
const MAX_BODY: usize = 16 << 20;

/// An answer.
pub struct Response {
    pub status: StatusCode,
    pub body: Bytes,
}

/// A request.
pub struct Call<'a> {
    pub method: Method,
    pub path: &'a str,
    pub headers: &'a [(&'static str, &'a str)],
    pub body: Bytes,
}

/// Sends a request and reads the whole answer, all of it `within` that time.
pub async fn call(
    address: SocketAddr,
    call: Call<'_>,
    within: Duration,
) -> anyhow::Result<Response> {
    let what = format!("{} {} at the platform", call.method, call.path);
    monoio::time::timeout(within, exchange(address, call))
        .await
        .with_context(|| format!("{what}: no answer in {within:?}"))?
        .with_context(|| what)
}

async fn exchange(address: SocketAddr, call: Call<'_>) -> anyhow::Result<Response> {
    let stream = TcpStream::connect(address).await.context("connecting")?;
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
