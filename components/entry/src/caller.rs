//! Connection of a caller, served by one task from the start-up message to the end.

use std::{rc::Rc, time::Duration};

use anyhow::{Context, bail};
use bergamottrack_coordination::{Reason, Refusal, process};
use bergamottrack_peer::Question;
use bergamottrack_pg::{
    answer::{self, Severity},
    stream::{self, Stream},
};
use monoio::{io::IntoPollIo, net::TcpStream, time::Instant};
use pgwire::messages::cancel::CancelRequest;
use tracing::debug;

use crate::{
    callers::Permit,
    context::Entry,
    login::{self, Caller, FirstMessage},
    session::{Reader, Session, Writer},
};

/// Maximum time for a caller to authenticate.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time for a caller above the connection limit to send its start-up message.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time for another host to answer a forwarded cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time to read on from a connection that is being closed, so that its last message
/// arrives.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry delay for callers of a host that is overloaded or draining.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum length of a message before authentication, in bytes.
const MAX_LOGIN_LEN: usize = 10_000;

/// Maximum length of a message after authentication, in bytes.
const MAX_MESSAGE_LEN: usize = 16 << 20;

/// Serves a caller until it disconnects.
pub async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    if let Err(error) = run(&entry, stream).await {
        debug!("entry: connection of a caller failed: {error:#}.");
    }
}

async fn run(entry: &Rc<Entry>, stream: TcpStream) -> anyhow::Result<()> {
    let Some(permit) = entry.callers.acquire() else {
        bail!("too many connections above the limit")
    };
    stream.set_nodelay(true)?;
    let stream: Stream = Box::new(stream.into_poll_io()?);
    let (result, mut reader, writer) = if permit.over_limit {
        begin(entry, &permit, stream).await?
    } else {
        let mut login = entry.callers.logins.enter();
        monoio::select! {
            begun = begin(entry, &permit, stream) => begun?,
            () = login.ended() => bail!("too many callers have not authenticated"),
        }
    };
    let Handshake::Caller(caller) = result else { return Ok(()) };
    let _counted = entry.metrics.caller();
    reader.set_max(MAX_MESSAGE_LEN);
    reader.set_charge(entry.callers.input.charge());
    let (pid, cancel) = entry.register();
    let mut session = Session::new(entry.clone(), caller, (reader, writer), cancel, permit);
    let result = session.run(pid).await;
    entry.cancels.borrow_mut().remove(&pid);
    if result.is_ok() {
        return Ok(());
    }
    let (mut reader, mut writer) = session.into_stream();
    close_gracefully(&mut reader, &mut writer).await;
    result
}

/// Performs the handshake of a connection, within TLS if the caller requests it.
async fn begin(
    entry: &Entry,
    permit: &Permit,
    stream: Stream,
) -> anyhow::Result<(Handshake, Reader, Writer)> {
    let (mut reader, mut writer) = stream::split(stream, MAX_LOGIN_LEN);
    let deadline = Instant::now() + if permit.over_limit { REFUSAL_TIMEOUT } else { LOGIN_TIMEOUT };
    let mut result = handshake(entry, permit, &mut reader, &mut writer, false, deadline).await?;
    if let (Handshake::StartTls, Some(tls)) = (&result, &entry.tls) {
        let encrypted = tls.accept(reader, writer, MAX_LOGIN_LEN);
        (reader, writer) = monoio::time::timeout_at(deadline, encrypted).await??;
        result = handshake(entry, permit, &mut reader, &mut writer, true, deadline).await?;
    }
    Ok((result, reader, writer))
}

/// Result of the handshake of a connection.
enum Handshake {
    /// The caller is authenticated.
    Caller(Caller),
    /// A TLS request was accepted; the TLS handshake follows.
    StartTls,
    /// A cancel request was handled.
    Cancel,
}

/// Performs the handshake of a connection until `deadline`; errors are sent to the other side.
async fn handshake(
    entry: &Entry,
    permit: &Permit,
    reader: &mut Reader,
    writer: &mut Writer,
    encrypted: bool,
    deadline: Instant,
) -> anyhow::Result<Handshake> {
    let login = login(entry, permit, reader, writer, encrypted);
    let result = monoio::time::timeout_at(deadline, login).await;
    let result = result.context("caller did not authenticate in time")?;
    if let Err(error) = &result {
        if !permit.over_limit {
            entry.metrics.unproved();
        }
        writer.send(&error_response(error)).await?;
        close_gracefully(reader, writer).await;
    }
    result
}

/// Closes a connection so that the messages already sent reach the caller.
///
/// A connection that is closed with unread bytes is reset, and the reset may overtake the
/// message with the outcome of a request.
async fn close_gracefully(reader: &mut Reader, writer: &mut Writer) {
    let last = async {
        writer.close().await;
        reader.discard().await;
    };
    // The final message has been sent; a caller that keeps the connection open is not awaited.
    let _ = monoio::time::timeout(CLOSE_TIMEOUT, last).await;
}

async fn login(
    entry: &Entry,
    permit: &Permit,
    reader: &mut Reader,
    writer: &mut Writer,
    encrypted: bool,
) -> anyhow::Result<Handshake> {
    let tls_offered = entry.tls.is_some() && !encrypted;
    let settings = match login::read_first_message(reader, writer, tls_offered).await? {
        FirstMessage::StartTls => return Ok(Handshake::StartTls),
        FirstMessage::Cancel(request) => {
            handle_cancel(entry, &request).await;
            return Ok(Handshake::Cancel);
        }
        FirstMessage::Startup(settings) => settings,
    };
    if permit.over_limit {
        return Err(limit_refusal().into());
    }
    let caller = login::identify(settings)?;
    login::authenticate(entry, &caller, reader, writer).await?;
    if entry.callers.is_draining() {
        return Err(drain_refusal().into());
    }
    Ok(Handshake::Caller(caller))
}

/// Returns the error message to a caller whose handshake failed.
fn error_response(error: &anyhow::Error) -> bytes::Bytes {
    match error.downcast_ref::<Refusal>() {
        Some(refusal) => answer::refusal(Severity::Fatal, refusal),
        None => login::error_response(error),
    }
}

fn limit_refusal() -> Refusal {
    let message = "this host has as many callers as it may have";
    Refusal::not_run(Reason::Overload, Some(RETRY_DELAY), message)
}

/// Returns the refusal of a message that exceeds the memory budget.
pub fn memory_refusal() -> Refusal {
    Refusal::not_run(
        Reason::Overload,
        Some(RETRY_DELAY),
        "too many large messages are on their way to this host",
    )
}

/// Returns the refusal by a draining host; another host can serve the caller at once.
pub fn drain_refusal() -> Refusal {
    let message = "this host is being stopped; connect again";
    Refusal::not_run(Reason::Draining, Some(RETRY_DELAY), message)
}

/// Handles a cancel request here, or forwards it to the hosts that may hold the connection.
async fn handle_cancel(entry: &Entry, request: &CancelRequest) {
    let (pid, secret) = (request.pid, request.secret_key.as_i32());
    let Some(secret) = secret.filter(|secret| !entry.cancel(pid, *secret)) else { return };
    for link in entry.mesh.links() {
        if process::belongs_to(pid, &link.host) {
            // Cancellation is best effort: if the request is lost, the statement continues.
            let _ = link.query(Question::Cancel { pid, secret }, CANCEL_TIMEOUT).await;
        }
    }
}
