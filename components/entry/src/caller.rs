//! A caller's connection: one task, straight down.

use std::{rc::Rc, time::Duration};

use anyhow::bail;
use bergamottrack_coordination::{Reason, Refusal};
use bergamottrack_pg::{
    answer::{self, Severity},
    stream,
};
use monoio::{io::IntoPollIo, net::TcpStream};
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
    let (mut reader, mut writer) = stream::split(stream.into_poll_io()?, MAX_LOGIN);
    let within = if seat.refused { REFUSE_WITHIN } else { LOGIN_WITHIN };
    let login = login(entry, &seat, &mut reader, &mut writer);
    let caller = match monoio::time::timeout(within, login).await {
        Ok(Ok(Some(caller))) => caller,
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(error)) => {
            if !seat.refused {
                entry.metrics.unproved();
            }
            writer.send(&refused(&error)).await?;
            hang_up(&mut reader, &mut writer).await;
            return Err(error);
        }
        Err(_) => bail!("the caller did not prove its key in {within:?}"),
    };
    let _counted = entry.metrics.caller();
    reader.set_max(MAX_MESSAGE);
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
) -> anyhow::Result<Option<Caller>> {
    let settings = match login::open(reader, writer).await? {
        Opened::Cancel(request) => {
            cancel(entry, &request);
            return Ok(None);
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
    Ok(Some(caller))
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

/// The refusal of a host that is being stopped; another host serves at once.
pub fn stopping() -> Refusal {
    let message = "this host is being stopped; connect again";
    Refusal::not_run(Reason::Draining, Some(COME_BACK), message)
}

fn cancel(entry: &Entry, request: &CancelRequest) {
    let cancels = entry.cancels.borrow();
    let known = cancels.get(&request.pid);
    if let Some(known) = known.filter(|c| Some(c.secret) == request.secret_key.as_i32()) {
        known.ask();
    }
}
