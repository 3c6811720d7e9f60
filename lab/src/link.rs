//! The fault-injecting link: forwards TCP between any two processes and can
//! cut (each direction alone), delay, throttle, freeze, reset and reopen.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fs::File,
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    pin::Pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bergamottrack_operator::{
    Reply, Request,
    serve::{Handler, listen},
};
use clap::Args;
use hyper::StatusCode;
use monoio::{
    io::IntoPollIo,
    net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf},
    sync::{Notify, mpsc},
};

const CHUNK: usize = 16 * 1024;
/// Chunks on their way in one direction of one connection.
const IN_FLIGHT: usize = 64;

/// Settings of a link process.
#[derive(Args, Clone, Debug)]
pub struct LinkArgs {
    /// Address for commands: POST /add, /set and /reset with JSON.
    #[arg(long)]
    pub control: SocketAddr,
    /// A link to begin with: NAME=LISTEN=TO.
    #[arg(long)]
    pub link: Vec<String>,
    /// File to which all bytes that pass are appended.
    #[arg(long)]
    pub record: Option<PathBuf>,
}

/// A link: whoever connects to `listen` reaches `to`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AddLink {
    /// Its name, such as `h1>g1s1`.
    pub name: Box<str>,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it leads.
    pub to: SocketAddr,
}

/// What is wrong with a link. "Up" is from the one that connects.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Fault {
    /// What is sent up waits until the link is mended.
    pub cut_up: bool,
    /// What is sent down waits until the link is mended.
    pub cut_down: bool,
    /// New connections are refused, by closing them at once.
    pub refuse: bool,
    /// Each byte arrives this much later.
    pub delay_ms: u64,
    /// Bytes a second, each way; 0 for no limit.
    pub bytes_per_sec: u64,
}

/// Sets the fault of all links whose names match; `*` stands for anything.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SetFault {
    /// Names, such as `h1>*`.
    pub names: Box<str>,
    /// What is wrong with them from now on.
    #[serde(default)]
    pub fault: Fault,
}

/// Whether a name matches a pattern with at most one `*` on each side of `>`.
pub fn matches(pattern: &str, name: &str) -> bool {
    let side = |pattern: &str, part: &str| match pattern.split_once('*') {
        Some((head, tail)) => {
            part.len() >= head.len() + tail.len() && part.starts_with(head) && part.ends_with(tail)
        }
        None => pattern == part,
    };
    match (pattern.split_once('>'), name.split_once('>')) {
        (Some((from, to)), Some((a, b))) => side(from, a) && side(to, b),
        _ => side(pattern, name),
    }
}

struct Link {
    record: Option<Rc<File>>,
    fault: RefCell<Fault>,
    changed: Notify,
    reset: Notify,
}

/// Links of this process.
#[derive(Clone, Default)]
pub struct Links {
    named: Rc<RefCell<BTreeMap<Box<str>, Rc<Link>>>>,
    record: Option<Rc<File>>,
}

/// Runs links until the process ends.
pub async fn run(args: LinkArgs) -> anyhow::Result<()> {
    let record = match &args.record {
        Some(path) => Some(Rc::new(File::options().append(true).create(true).open(path)?)),
        None => None,
    };
    let links = Links { record, ..Links::default() };
    for text in &args.link {
        let mut parts = text.splitn(3, '=');
        let mut part = || parts.next().unwrap_or_default().to_owned();
        let (name, listen, to) = (part(), part(), part());
        add(&links, AddLink { name: name.into(), listen: listen.parse()?, to: to.parse()? })?;
    }
    let handler: Rc<Handler> =
        Rc::new(move |request: Request| -> Pin<Box<dyn Future<Output = Reply>>> {
            let reply = command(&links, &request)
                .unwrap_or_else(|e| Reply::text(StatusCode::BAD_REQUEST, format!("{e:#}\n")));
            Box::pin(async move { reply })
        });
    bergamottrack_operator::serve(args.control, handler).await
}

fn command(links: &Links, request: &Request) -> anyhow::Result<Reply> {
    let done = || Ok(Reply::text(StatusCode::OK, "done\n"));
    match &*request.path {
        "/add" => {
            add(links, serde_json::from_slice(&request.body)?)?;
            done()
        }
        "/set" => {
            let set: SetFault = serde_json::from_slice(&request.body)?;
            links.set(&set.names, &set.fault);
            done()
        }
        "/reset" => {
            let set: SetFault = serde_json::from_slice(&request.body)?;
            links.reset(&set.names);
            done()
        }
        _ => Ok(Reply::text(StatusCode::NOT_FOUND, "no such command\n")),
    }
}

impl Links {
    /// Adds a link.
    pub fn add(&self, link: AddLink) -> anyhow::Result<()> {
        add(self, link)
    }

    /// Sets the fault of the links of that name.
    pub fn set(&self, names: &str, fault: &Fault) {
        each(self, names, |link| {
            *link.fault.borrow_mut() = fault.clone();
            link.changed.notify_waiters();
        });
    }

    /// Ends the connections of the links of that name.
    pub fn reset(&self, names: &str) {
        each(self, names, |link| link.reset.notify_waiters());
    }
}

fn each(links: &Links, names: &str, act: impl Fn(&Link)) {
    let links = links.named.borrow();
    links.iter().filter(|(name, _)| matches(names, name)).for_each(|(_, link)| act(link));
}

fn add(links: &Links, add: AddLink) -> anyhow::Result<()> {
    let listener = listen(add.listen)?;
    let link = Rc::new(Link {
        record: links.record.clone(),
        fault: RefCell::default(),
        changed: Notify::new(),
        reset: Notify::new(),
    });
    links.named.borrow_mut().insert(add.name, link.clone());
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(forward(link.clone(), stream, add.to));
        }
    });
    Ok(())
}

async fn forward(link: Rc<Link>, stream: TcpStream, to: SocketAddr) {
    if link.fault.borrow().refuse {
        return;
    }
    let reset = link.reset.notified();
    let work = async {
        // A connection through a cut link is not made before the link is mended.
        link.until(|fault| !fault.cut_up).await;
        let Ok(onward) = TcpStream::connect(to).await else { return };
        let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
        let (Ok(near), Ok(far)) = (stream.into_poll_io(), onward.into_poll_io()) else { return };
        let (near_read, near_write) = tokio::io::split(near);
        let (far_read, far_write) = tokio::io::split(far);
        let up = pump(&link, near_read, far_write, |fault| fault.cut_up);
        let down = pump(&link, far_read, near_write, |fault| fault.cut_down);
        monoio::join!(up, down);
    };
    monoio::select! {
        _ = work => {}
        _ = reset => {}
    }
}

type Cut = fn(&Fault) -> bool;

/// Moves bytes one way until the stream ends.
async fn pump(
    link: &Link,
    mut from: ReadHalf<TcpStreamPoll>,
    mut to: WriteHalf<TcpStreamPoll>,
    cut: Cut,
) {
    let (tx, mut rx) = mpsc::channel::<(Instant, Vec<u8>)>(IN_FLIGHT);
    let read = async move {
        loop {
            let mut chunk = vec![0; CHUNK];
            match from.read(&mut chunk).await {
                Ok(n) if n > 0 => chunk.truncate(n),
                _ => return,
            }
            if tx.send((Instant::now(), chunk)).await.is_err() {
                return;
            }
        }
    };
    let write = async {
        while let Some((at, chunk)) = rx.recv().await {
            link.until(|fault| !cut(fault)).await;
            let (delay, rate) = {
                let fault = link.fault.borrow();
                (Duration::from_millis(fault.delay_ms), fault.bytes_per_sec)
            };
            let due = at + delay;
            if due > Instant::now() {
                monoio::time::sleep_until(due.into()).await;
            }
            if rate > 0 {
                let secs = chunk.len() as f64 / rate as f64;
                monoio::time::sleep(Duration::from_secs_f64(secs)).await;
            }
            if let Some(record) = &link.record
                && let Err(error) = (&**record).write_all(&chunk)
            {
                tracing::warn!("link: recording failed: {error}.");
            }
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        link.until(|fault| !cut(fault)).await;
        let _ = to.shutdown().await;
    };
    monoio::join!(read, write);
}

impl Link {
    async fn until(&self, fine: impl Fn(&Fault) -> bool) {
        loop {
            let changed = self.changed.notified();
            if fine(&self.fault.borrow()) {
                return;
            }
            changed.await;
        }
    }
}
