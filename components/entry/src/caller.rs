//! A caller's connection: one task, straight down.

use std::{rc::Rc, time::Duration};

use anyhow::{Context, bail};
use bergamottrack_coordination::{Reason, Refusal, process};
use bergamottrack_peer::Question;
use bergamottrack_pg::{
    answer::{self, Severity},
    budget::BudgetExhausted,
    stream::{self, Stream},
};
use monoio::{io::IntoPollIo, net::TcpStream, time::Instant};
use pgwire::messages::cancel::CancelRequest;
use tracing::debug;

use crate::{
    callers::Seat,
    context::Entry,
    login::{self, Caller, Opened},
    session::{Reader, Session, Writer},
};

/// How long a caller may take to prove its key.
const LOGIN_WITHIN: Duration = Duration::from_secs(10);

/// How long a caller above the limit may take to say what it wants.
const REFUSE_WITHIN: Duration = Duration::from_secs(1);

/// How long another host may take to see to a cancel.
const CANCEL_WITHIN: Duration = Duration::from_secs(1);

/// How long a closed connection is read on, so that the last words arrive.
const LINGER: Duration = Duration::from_secs(1);

/// When a caller may come back to a host with too many, or one that stops.
const COME_BACK: Duration = Duration::from_secs(1);

/// The most bytes of one message before the key is proved.
const MAX_LOGIN: usize = 10_000;

/// The most bytes that one message of a caller may have.
const MAX_MESSAGE: usize = 16 << 20;

/// Serves one caller until it leaves.
pub async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    if let Err(error) = run(&entry, stream).await {
        debug!("entry: a caller's connection ended: {error:#}.");
    }
}

async fn run(entry: &Rc<Entry>, stream: TcpStream) -> anyhow::Result<()> {
    let Some(seat) = entry.callers.enter() else { bail!("far too many callers") };
    stream.set_nodelay(true)?;
    let stream: Stream = Box::new(stream.into_poll_io()?);
    let (mut reader, mut writer) = stream::split(stream, MAX_LOGIN);
    let until = Instant::now() + if seat.refused { REFUSE_WITHIN } else { LOGIN_WITHIN };
    let mut begun = begin(entry, &seat, &mut reader, &mut writer, false, until).await?;
    if let (Begun::Encrypt, Some(tls)) = (&begun, &entry.tls) {
        let encrypted = tls.accept(reader, writer, MAX_LOGIN);
        (reader, writer) = monoio::time::timeout_at(until, encrypted).await??;
        begun = begin(entry, &seat, &mut reader, &mut writer, true, until).await?;
    }
    let Begun::Caller(caller) = begun else { return Ok(()) };
    let _counted = entry.metrics.caller();
    reader.set_max(MAX_MESSAGE);
    reader.set_charge(entry.callers.input.charge());
    let (pid, cancel) = entry.register();
    let mut session = Session::new(entry.clone(), caller, (reader, writer), cancel, seat);
    let result = session.run(pid).await;
    entry.cancels.borrow_mut().remove(&pid);
    if result.is_ok() {
        return Ok(());
    }
    let (mut reader, mut writer) = session.into_stream();
    hang_up(&mut reader, &mut writer).await;
    result
}

/// What a connection has begun with.
enum Begun {
    /// A caller that has proved its key.
    Caller(Caller),
    /// The wish to be encrypted, which was answered with a yes.
    Encrypt,
    /// A cancel, which was seen to.
    Cancel,
}

/// Reads what a connection begins with; tells the other side of an error.
async fn begin(
    entry: &Entry,
    seat: &Seat,
    reader: &mut Reader,
    writer: &mut Writer,
    encrypted: bool,
    until: Instant,
) -> anyhow::Result<Begun> {
    let login = login(entry, seat, reader, writer, encrypted);
    let begun = monoio::time::timeout_at(until, login).await;
    let begun = begun.context("the caller did not prove its key in time")?;
    if let Err(error) = &begun {
        if !seat.refused {
            entry.metrics.unproved();
        }
        writer.send(&refused(error)).await?;
        hang_up(reader, writer).await;
    }
    begun
}

/// Closes a connection after its last words.
///
/// Closed with bytes unread, it would be reset, and the reset may overtake the
/// words that say what became of a request.
async fn hang_up(reader: &mut Reader, writer: &mut Writer) {
    let last = async {
        writer.close().await;
        reader.discard().await;
    };
    // What matters has been sent; a caller that stays on is not waited for.
    let _ = monoio::time::timeout(LINGER, last).await;
}

async fn login(
    entry: &Entry,
    seat: &Seat,
    reader: &mut Reader,
    writer: &mut Writer,
    encrypted: bool,
) -> anyhow::Result<Begun> {
    let offered = entry.tls.is_some() && !encrypted;
    let settings = match login::open(reader, writer, offered).await? {
        Opened::Encrypt => return Ok(Begun::Encrypt),
        Opened::Cancel(request) => {
            cancel(entry, &request).await;
            return Ok(Begun::Cancel);
        }
        Opened::Startup(settings) => settings,
    };
    if seat.refused {
        return Err(too_many().into());
    }
    let caller = login::identify(settings)?;
    login::prove(entry, &caller, reader, writer).await?;
    if entry.callers.is_draining() {
        return Err(stopping().into());
    }
    Ok(Begun::Caller(caller))
}

/// What a caller whose start-up failed is told.
fn refused(error: &anyhow::Error) -> bytes::Bytes {
    match error.downcast_ref::<Refusal>() {
        Some(refusal) => answer::refusal(Severity::Fatal, refusal),
        None => login::refused(error),
    }
}

fn too_many() -> Refusal {
    let message = "this host has as many callers as it may have";
    Refusal::not_run(Reason::Overload, Some(COME_BACK), message)
}

/// The refusal of a message for which there is no memory.
pub fn too_much() -> Refusal {
    Refusal::not_run(Reason::Overload, Some(COME_BACK), BudgetExhausted.to_string())
}

/// The refusal of a host that is being stopped; another host serves at once.
pub fn stopping() -> Refusal {
    let message = "this host is being stopped; connect again";
    Refusal::not_run(Reason::Draining, Some(COME_BACK), message)
}

/// Sees to a cancel: here, or at the host whose connection it is for.
async fn cancel(entry: &Entry, request: &CancelRequest) {
    let (pid, secret) = (request.pid, request.secret_key.as_i32());
    let Some(secret) = secret.filter(|secret| !entry.cancel(pid, *secret)) else { return };
    for link in entry.mesh.links() {
        if process::belongs_to(pid, &link.host) {
            // A cancel is a wish: when it does not arrive, the statement runs on.
            let _ = link.query(Question::Cancel { pid, secret }, CANCEL_WITHIN).await;
        }
    }
}
