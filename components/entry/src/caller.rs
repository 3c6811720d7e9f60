//! A caller's connection: one task, straight down.

use std::{rc::Rc, time::Duration};

use anyhow::bail;
use bergamottrack_pg::stream;
use monoio::{io::IntoPollIo, net::TcpStream};
use pgwire::messages::cancel::CancelRequest;
use tracing::debug;

use crate::{
    context::Entry,
    login::{self, Caller, Opened},
    session::{Reader, Session, Writer},
};

/// How long a caller may take to prove its key.
const LOGIN_WITHIN: Duration = Duration::from_secs(10);

/// The most bytes that one message of a caller may have.
const MAX_MESSAGE: usize = 16 << 20;

/// Serves one caller until it leaves.
pub async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    if let Err(error) = run(&entry, stream).await {
        debug!("entry: a caller's connection ended: {error:#}.");
    }
}

async fn run(entry: &Rc<Entry>, stream: TcpStream) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream::split(stream.into_poll_io()?, MAX_MESSAGE);
    let login = login(entry, &mut reader, &mut writer);
    let caller = match monoio::time::timeout(LOGIN_WITHIN, login).await {
        Ok(Ok(Some(caller))) => caller,
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(error)) => {
            entry.metrics.unproved();
            writer.send(&login::refused(&error)).await?;
            return Err(error);
        }
        Err(_) => bail!("the caller did not prove its key in {LOGIN_WITHIN:?}"),
    };
    let _counted = entry.metrics.caller();
    let (pid, cancel) = entry.register();
    let mut session = Session::new(entry.clone(), caller, (reader, writer), cancel);
    let result = session.run(pid).await;
    entry.cancels.borrow_mut().remove(&pid);
    result
}

async fn login(
    entry: &Entry,
    reader: &mut Reader,
    writer: &mut Writer,
) -> anyhow::Result<Option<Caller>> {
    match login::open(reader, writer).await? {
        Opened::Cancel(request) => {
            cancel(entry, &request);
            Ok(None)
        }
        Opened::Startup(settings) => {
            let caller = login::identify(settings)?;
            login::prove(entry, &caller, reader, writer).await?;
            Ok(Some(caller))
        }
    }
}

fn cancel(entry: &Entry, request: &CancelRequest) {
    let cancels = entry.cancels.borrow();
    let known = cancels.get(&request.pid);
    if let Some(known) = known.filter(|c| Some(c.secret) == request.secret_key.as_i32()) {
        known.ask();
    }
}
