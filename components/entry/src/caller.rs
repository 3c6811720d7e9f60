//! A caller's connection: one task, straight down.

use std::{rc::Rc, time::Duration};

use anyhow::{Context, bail};
use bergamottrack_coordination::{Reason, Refusal, process};
use bergamottrack_peer::Question;
use bergamottrack_pg::{
    answer::{self, Severity},
    budget::Full,
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

/// How long a caller may take to prove its key.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a caller above the limit may take to say what it wants.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long another host may take to see to a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a closed connection is read on, so that the last words arrive.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// When a caller may come back to a host with too many, or one that stops.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The most bytes of one message before the key is proved.
const MAX_LOGIN_LEN: usize = 10_000;

/// The most bytes that one message of a caller may have.
const MAX_MESSAGE_LEN: usize = 16 << 20;

/// Serves one caller until it leaves.
pub async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    if let Err(error) = run(&entry, stream).await {
        debug!("entry: a caller's connection ended: {error:#}.");
    }
}

async fn run(entry: &Rc<Entry>, stream: TcpStream) -> anyhow::Result<()> {
    let Some(permit) = entry.callers.acquire() else { bail!("far too many callers") };
    stream.set_nodelay(true)?;
    let stream: Stream = Box::new(stream.into_poll_io()?);
    let (mut reader, mut writer) = stream::split(stream, MAX_LOGIN_LEN);
    let deadline = Instant::now() + if permit.over_limit { REFUSAL_TIMEOUT } else { LOGIN_TIMEOUT };
    let mut result = handshake(entry, &permit, &mut reader, &mut writer, false, deadline).await?;
    if let (Handshake::StartTls, Some(tls)) = (&result, &entry.tls) {
        let encrypted = tls.accept(reader, writer, MAX_LOGIN_LEN);
        (reader, writer) = monoio::time::timeout_at(deadline, encrypted).await??;
        result = handshake(entry, &permit, &mut reader, &mut writer, true, deadline).await?;
    }
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

/// What a connection has begun with.
enum Handshake {
    /// A caller that has proved its key.
    Caller(Caller),
    /// The wish to be encrypted, which was answered with a yes.
    StartTls,
    /// A cancel, which was seen to.
    Cancel,
}

/// Reads what a connection begins with; tells the other side of an error.
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
    let result = result.context("the caller did not prove its key in time")?;
    if let Err(error) = &result {
        if !permit.over_limit {
            entry.metrics.unproved();
        }
        writer.send(&error_response(error)).await?;
        close_gracefully(reader, writer).await;
    }
    result
}

/// Closes a connection after its last words.
///
/// Closed with bytes unread, it would be reset, and the reset may overtake the
/// words that say what became of a request.
async fn close_gracefully(reader: &mut Reader, writer: &mut Writer) {
    let last = async {
        writer.close().await;
        reader.discard().await;
    };
    // What matters has been sent; a caller that stays on is not waited for.
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

/// What a caller whose start-up failed is told.
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

/// The refusal of a message for which there is no memory.
pub fn memory_refusal() -> Refusal {
    Refusal::not_run(Reason::Overload, Some(RETRY_DELAY), Full.to_string())
}

/// The refusal of a host that is being stopped; another host serves at once.
pub fn drain_refusal() -> Refusal {
    let message = "this host is being stopped; connect again";
    Refusal::not_run(Reason::Draining, Some(RETRY_DELAY), message)
}

/// Sees to a cancel: here, or at the host whose connection it is for.
async fn handle_cancel(entry: &Entry, request: &CancelRequest) {
    let (pid, secret) = (request.pid, request.secret_key.as_i32());
    let Some(secret) = secret.filter(|secret| !entry.cancel(pid, *secret)) else { return };
    for link in entry.mesh.links() {
        if process::belongs_to(pid, &link.host) {
            // A cancel is a wish: when it does not arrive, the statement runs on.
            let _ = link.ask(Question::Cancel { pid, secret }, CANCEL_TIMEOUT).await;
        }
    }
}
