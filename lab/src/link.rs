//! Fault-injecting link: forwards TCP connections between two processes and can cut (each direction
//! alone), delay, throttle, freeze, refuse, reset and reopen them.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fs::File,
    io::{self, Write},
    net::SocketAddr,
    os::fd::{AsRawFd, RawFd},
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
use futures_util::future;
use hyper::StatusCode;
use monoio::{
    io::IntoPollIo,
    net::{TcpListener, TcpStream, tcp::stream_poll::TcpStreamPoll},
};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf},
    sync::{Notify, mpsc},
};

/// Size of the largest chunk read at once, in bytes.
const CHUNK_SIZE: usize = 16 * 1024;
/// Maximum number of chunks in flight in one direction of a connection.
const MAX_IN_FLIGHT: usize = 64;
/// Interval between attempts to listen again after connections were refused.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(10);

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

/// Command that adds a link: connections to `listen` are forwarded to `to`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AddLink {
    /// Name of the link, such as `h1>g1s1`.
    pub name: Box<str>,
    /// Address on which the link listens.
    pub listen: SocketAddr,
    /// Address to which the link forwards connections.
    pub to: SocketAddr,
}

/// Fault of a link. "Up" is the direction from the side that connects, "down" the one towards it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Fault {
    /// Whether bytes sent up are held back until the cut is removed.
    pub cut_up: bool,
    /// Whether bytes sent down are held back until the cut is removed.
    pub cut_down: bool,
    /// Whether the kernel refuses new connections, because the link does not listen.
    pub refuse: bool,
    /// Whether open connections are reset when the fault is set.
    pub reset: bool,
    /// Delay of each byte, in milliseconds.
    pub delay_ms: u64,
    /// Limit in bytes per second for each direction of a connection; 0 means no limit.
    pub bytes_per_sec: u64,
}

/// Command that sets the fault of all links whose names match; `*` matches any text. As a reset
/// command it ends their connections, and the fault is ignored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SetFault {
    /// Pattern of the names, such as `h1>*`.
    pub names: Box<str>,
    /// New fault of the links.
    #[serde(default)]
    pub fault: Fault,
}

/// Returns whether a name matches a pattern with at most one `*` on each side of `>`.
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

/// Links of this process by name.
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
            let reply = handle_command(&links, &request)
                .unwrap_or_else(|e| Reply::text(StatusCode::BAD_REQUEST, format!("{e:#}\n")));
            Box::pin(async move { reply })
        });
    bergamottrack_operator::serve(args.control, handler).await
}

fn handle_command(links: &Links, request: &Request) -> anyhow::Result<Reply> {
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

    /// Sets the fault of all links whose names match the pattern.
    pub fn set(&self, names: &str, fault: &Fault) {
        for_each_match(self, names, |link| {
            *link.fault.borrow_mut() = fault.clone();
            link.changed.notify_waiters();
            if fault.reset {
                link.reset.notify_waiters();
            }
        });
    }

    /// Ends the connections of all links whose names match the pattern.
    pub fn reset(&self, names: &str) {
        for_each_match(self, names, |link| link.reset.notify_waiters());
    }
}

fn for_each_match(links: &Links, names: &str, act: impl Fn(&Link)) {
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
    monoio::spawn(accept(link, listener, add.listen, add.to));
    Ok(())
}

/// Accepts connections until an error occurs. While connections are refused, nothing listens on the
/// address.
async fn accept(link: Rc<Link>, mut listener: TcpListener, address: SocketAddr, to: SocketAddr) {
    loop {
        let forward_all = async {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(forward(link.clone(), stream, to));
            }
        };
        monoio::select! {
            _ = forward_all => return,
            _ = link.wait_until(|fault| fault.refuse) => {}
        }
        drop(listener);
        link.wait_until(|fault| !fault.refuse).await;
        listener = loop {
            match listen(address) {
                Ok(listener) => break listener,
                Err(_) => monoio::time::sleep(LISTEN_RETRY_INTERVAL).await,
            }
        };
    }
}

/// Has the system reset a connection when its socket is closed.
fn reset_on_close(socket: RawFd) {
    if let Err(error) = bergamottrack_socket::reset_on_close(&socket) {
        tracing::warn!("link: a connection is closed without a reset: {error}.");
    }
}

async fn forward(link: Rc<Link>, stream: TcpStream, to: SocketAddr) {
    if link.fault.borrow().refuse {
        // Accepted just before the refusal began.
        return reset_on_close(stream.as_raw_fd());
    }
    let socket = stream.as_raw_fd();
    let reset = async {
        link.reset.notified().await;
        if link.fault.borrow().reset {
            reset_on_close(socket);
        }
    };
    let forwarding = async {
        // The onward connection is opened only when the upward direction is not cut.
        link.wait_until(|fault| !fault.cut_up).await;
        let Ok(onward) = TcpStream::connect(to).await else { return };
        let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
        let (Ok(near), Ok(far)) = (stream.into_poll_io(), onward.into_poll_io()) else { return };
        let sockets = [near.as_raw_fd(), far.as_raw_fd()];
        let (mut near_read, mut near_write) = tokio::io::split(near);
        let (mut far_read, mut far_write) = tokio::io::split(far);
        // The halves stay here, so that both sockets are open until they are marked.
        let up = forward_direction(&link, &mut near_read, &mut far_write, |fault| fault.cut_up);
        let down = forward_direction(&link, &mut far_read, &mut near_write, |fault| fault.cut_down);
        if future::try_join(up, down).await.is_err() {
            // Both ends are reset, and the bytes that are held back are lost.
            sockets.into_iter().for_each(reset_on_close);
        }
    };
    monoio::select! {
        _ = forwarding => {}
        _ = reset => {}
    }
}

/// Returns whether the fault cuts the direction concerned.
type IsCut = fn(&Fault) -> bool;

/// Forwards the bytes of one direction until the stream ends; fails once the sender has reset it.
async fn forward_direction(
    link: &Link,
    from: &mut ReadHalf<TcpStreamPoll>,
    to: &mut WriteHalf<TcpStreamPoll>,
    cut: IsCut,
) -> io::Result<()> {
    let (tx, mut rx) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_IN_FLIGHT);
    let read = async move {
        loop {
            let mut chunk = vec![0; CHUNK_SIZE];
            match from.read(&mut chunk).await? {
                0 => return Ok(()),
                len => chunk.truncate(len),
            }
            if tx.send((Instant::now(), chunk)).await.is_err() {
                return Ok(());
            }
        }
    };
    let write = async {
        // Time by which the preceding chunk was due. A chunk is paced from there, not from the time
        // at which its predecessor was in fact sent: on a thread whose timers are late, the link
        // would carry less than its rate.
        let mut sent_by = Instant::now();
        while let Some((at, chunk)) = rx.recv().await {
            if cut(&link.fault.borrow()) {
                link.wait_until(|fault| !cut(fault)).await;
                sent_by = Instant::now();
            }
            let (delay, rate) = {
                let fault = link.fault.borrow();
                (Duration::from_millis(fault.delay_ms), fault.bytes_per_sec)
            };
            let mut due = at + delay;
            if rate > 0 {
                let secs = chunk.len() as f64 / rate as f64;
                due = due.max(sent_by) + Duration::from_secs_f64(secs);
            }
            sent_by = due;
            if due > Instant::now() {
                monoio::time::sleep_until(due.into()).await;
            }
            if let Some(record) = &link.record
                && let Err(error) = (&**record).write_all(&chunk)
            {
                tracing::warn!("link: writing to the record file failed: {error}.");
            }
            if to.write_all(&chunk).await.is_err() {
                return Ok(());
            }
        }
        link.wait_until(|fault| !cut(fault)).await;
        let _ = to.shutdown().await;
        Ok(())
    };
    future::try_join(read, write).await.map(|_| ())
}

impl Link {
    /// Waits until the fault satisfies the condition.
    async fn wait_until(&self, condition: impl Fn(&Fault) -> bool) {
        loop {
            let changed = self.changed.notified();
            if condition(&self.fault.borrow()) {
                return;
            }
            changed.await;
        }
    }
}
