//! Crowds of callers that do not behave, ordinary callers beside them, and a watch over the memory of
//! the processes that serve both.

// Each test program uses a part.
#![allow(dead_code)]

use std::{
    collections::HashSet,
    fs,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use lab::usage;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
};

/// Interval at which the watch reads the memory of the processes.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between the requests of an ordinary caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// Time after which an ordinary caller gives a request up: the timeout of its route, and one second.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause of a caller before it connects again after its connection was closed.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// The task of one caller of a crowd. It never ends.
pub type Task = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Greatest use of resources by a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Resident memory and bytes received and not yet read, together, in bytes.
    pub memory: u64,
    /// The part of `memory` that was not yet read, in bytes.
    pub unread: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// A thread that watches processes and stops one that exceeds the memory of its machine.
pub struct Watch {
    peaks: Arc<Mutex<Vec<Peak>>>,
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Watch {
    /// Starts to watch child processes of this process; each may use `limit` bytes.
    pub fn start(pids: Vec<u32>, limit: u64) -> Self {
        let peaks = Arc::new(Mutex::new(vec![Peak::default(); pids.len()]));
        let ended = Arc::<AtomicBool>::default();
        let (shared, stop) = (peaks.clone(), ended.clone());
        let thread = thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                for (number, pid) in pids.iter().enumerate() {
                    let now = sample(*pid);
                    let mut peaks = shared.lock().unwrap();
                    let peak = &mut peaks[number];
                    if now.memory > peak.memory {
                        (peak.memory, peak.unread) = (now.memory, now.unread);
                    }
                    peak.descriptors = peak.descriptors.max(now.descriptors);
                    if now.memory > limit {
                        // A child that has not been waited for keeps its process id.
                        #[allow(unsafe_code)]
                        unsafe {
                            libc::kill(*pid as i32, libc::SIGKILL);
                        }
                    }
                }
                thread::sleep(WATCH_INTERVAL);
            }
        });
        Self { peaks, ended, thread: Some(thread) }
    }

    /// Ends the watch and returns the greatest use of each process.
    pub fn end(mut self) -> Vec<Peak> {
        self.ended.store(true, Ordering::Relaxed);
        self.thread.take().unwrap().join().unwrap();
        self.peaks.lock().unwrap().clone()
    }

    /// Returns the memory that a process uses now, in bytes.
    pub fn memory(pid: u32) -> u64 {
        sample(pid).memory
    }
}

fn sample(pid: u32) -> Peak {
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
    let links = descriptors.map(|entry| fs::read_link(entry.path()).unwrap_or_default());
    let names: Vec<String> = links.map(|link| link.to_string_lossy().into_owned()).collect();
    let inode = |name: &String| name.strip_prefix("socket:[")?.strip_suffix(']').map(Box::from);
    let sockets: HashSet<Box<str>> = names.iter().filter_map(inode).collect();
    let unread = unread(&sockets);
    Peak { memory: usage::memory(pid) + unread, unread, descriptors: names.len() }
}

/// Returns the bytes that the system has received for these sockets and that were not read.
fn unread(inodes: &HashSet<Box<str>>) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // A listener's queue counts connections.
        let is_listener = *fields.get(3)? == "0A";
        let received = fields.get(4)?.split_once(':')?.1;
        let is_own = !is_listener && inodes.contains(*fields.get(9)?);
        is_own.then(|| u64::from_str_radix(received, 16).unwrap_or_default())
    });
    rows.sum()
}

/// Runs the tasks of a crowd on threads of their own until it is dropped.
pub struct Crowd(Option<tokio::runtime::Runtime>);

impl Crowd {
    /// Starts the tasks.
    pub fn start(tasks: Vec<Task>) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        for task in tasks {
            runtime.spawn(task);
        }
        Self(Some(runtime))
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.0.take().unwrap().shutdown_timeout(Duration::from_secs(5));
    }
}

/// Requests of an ordinary caller.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    /// Time of each answer with a result.
    pub served: Vec<Duration>,
    /// Text of each refusal, lost connection or missing answer.
    pub failed: Vec<String>,
}

impl Requests {
    /// Returns the share of the requests that were served.
    pub fn share(&self) -> f64 {
        self.served.len() as f64 / (self.served.len() + self.failed.len()).max(1) as f64
    }

    /// Returns the time within which this share of the served requests had their answers.
    pub fn quantile(&self, share: f64) -> Duration {
        let mut times = self.served.clone();
        times.sort();
        let last = times.len().saturating_sub(1);
        times.get((last as f64 * share) as usize).copied().unwrap_or_default()
    }
}

/// An ordinary caller on a thread of its own.
pub struct Ordinary {
    ended: Arc<AtomicBool>,
    thread: JoinHandle<Requests>,
}

impl Ordinary {
    /// Starts a caller that sends a request each [`REQUEST_INTERVAL`], by turns short reads and writes and
    /// those of values of `medium` bytes. With `is_fresh`, each request has a session of its own.
    pub fn start(address: SocketAddr, key: &'static str, medium: usize, is_fresh: bool) -> Self {
        let ended = Arc::<AtomicBool>::default();
        let stop = ended.clone();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.unwrap().block_on(requests(address, key, medium, is_fresh, &stop))
        });
        Self { ended, thread }
    }

    /// Has the caller end after its current request.
    pub fn stop(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    /// Returns whether the caller has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Returns the requests of a caller that has ended.
    pub fn requests(self) -> Requests {
        self.thread.join().unwrap()
    }
}

async fn requests(
    address: SocketAddr,
    key: &str,
    medium: usize,
    is_fresh: bool,
    ended: &AtomicBool,
) -> Requests {
    let (mut requests, mut session, mut number) = (Requests::default(), None, 0);
    while !ended.load(Ordering::Relaxed) {
        number += 1;
        let text = match number % 6 {
            0 | 3 => format!("WRITE {key}{} v{number}", number % 7),
            1 => "READ row-medium".to_owned(),
            4 => format!("WRITE {key} {}", "x".repeat(medium)),
            _ => format!("READ {key}{}", number % 7),
        };
        if is_fresh {
            session = None;
        }
        let began = Instant::now();
        let request = async {
            if session.is_none() {
                session = Some(Session::start(address, "db0", key).await?);
            }
            session.as_mut().unwrap().query(&text).await
        };
        match tokio::time::timeout(REQUEST_TIMEOUT, request).await {
            Ok(Ok(answer)) if answer.contains("\nDONE ") || answer.starts_with("DONE ") => {
                requests.served.push(began.elapsed());
            }
            Ok(Ok(answer)) => requests.failed.push(answer.chars().take(120).collect()),
            Ok(Err(error)) => {
                requests.failed.push(error.to_string());
                session = None;
            }
            Err(_) => {
                requests.failed.push(format!("no answer within {REQUEST_TIMEOUT:?}"));
                session = None;
            }
        }
        tokio::time::sleep(REQUEST_INTERVAL.saturating_sub(began.elapsed())).await;
    }
    requests
}

/// A session of a caller.
pub struct Session {
    io: BufReader<TcpStream>,
}

impl Session {
    /// Connects and sends nothing.
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self { io: BufReader::new(TcpStream::connect(address).await?) })
    }

    /// Begins a session.
    pub async fn start(address: SocketAddr, database: &str, key: &str) -> std::io::Result<Self> {
        let mut session = Self::connect(address).await?;
        session.send(format!("START {database} {key}\r\n").as_bytes()).await?;
        let answer = session.answer().await?;
        if answer.starts_with("READY I") { Ok(session) } else { Err(std::io::Error::other(answer)) }
    }

    /// Sends bytes.
    pub async fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.io.write_all(bytes).await
    }

    /// Sends a statement and reads its answer.
    pub async fn query(&mut self, text: &str) -> std::io::Result<String> {
        self.send(statement(text).as_bytes()).await?;
        self.answer().await
    }

    /// Reads one answer, up to the state of the session.
    pub async fn answer(&mut self) -> std::io::Result<String> {
        let (mut answer, mut start) = (String::new(), 0);
        while !answer[start..].starts_with("READY") {
            start = answer.len();
            if self.io.read_line(&mut answer).await? == 0 {
                return Err(std::io::Error::other(format!("closed after {answer:?}")));
            }
        }
        Ok(answer)
    }

    /// Reads up to `len` bytes. Returns an error at the end of the stream.
    pub async fn read(&mut self, len: usize) -> std::io::Result<()> {
        match self.io.read(&mut vec![0; len]).await? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

/// Returns the message of a statement, with an id of its own.
pub fn statement(text: &str) -> String {
    format!("QUERY {:016x} {text}\r\n", rand::random::<u64>())
}

/// Returns `count` tasks that repeat what `once` does, after a pause when it ends: a caller whose
/// connection was closed comes back.
pub fn repeated<F>(count: usize, once: impl Fn(usize) -> F + Clone + Send + 'static) -> Vec<Task>
where
    F: Future<Output = std::io::Result<()>> + Send + 'static,
{
    let task = |number: usize| -> Task {
        let once = once.clone();
        Box::pin(async move {
            loop {
                // The connection was refused or closed, which is what a caller of a crowd expects.
                let _ = once(number).await;
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        })
    };
    (0..count).map(task).collect()
}
