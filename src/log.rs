//! Non-blocking log on standard output.

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::Context;
use rustix::{
    fs::{OFlags, fcntl_getfl, fcntl_setfl},
    io::Errno,
};
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

/// Maximum number of buffered bytes. At the usual 300 bytes per line, the buffer
/// holds several seconds of log lines of a busy host.
const MAX_BUFFER: usize = 512 * 1024;

/// Interval between writes: long enough to batch lines, short enough to lose little
/// when the process is killed.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Number of lines dropped since the last buffered one.
    dropped: u64,
}

/// A log writer that buffers lines in memory.
///
/// If the reader of the log stops reading, a direct write would block, and all callers
/// with it. Lines that do not fit into the buffer are dropped and counted.
#[derive(Clone, Debug, Default)]
pub struct Log(Arc<Mutex<Buffer>>);

impl io::Write for Log {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if buffer.bytes.len() + line.len() > MAX_BUFFER {
            buffer.dropped += 1;
        } else {
            if buffer.dropped > 0 {
                let left_out = std::mem::take(&mut buffer.dropped);
                let note = format!("{{\"level\":\"WARN\",\"left_out\":{left_out}}}\n");
                buffer.bytes.extend_from_slice(note.as_bytes());
            }
            buffer.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Log {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

impl Log {
    /// Installs the log of the process, which writes one JSON object per line.
    pub fn start(filter: EnvFilter) -> anyhow::Result<Self> {
        let out = rustix::stdio::stdout();
        let flags = fcntl_getfl(out).context("reading the mode of standard output")?;
        fcntl_setfl(out, flags | OFlags::NONBLOCK)
            .context("setting the mode of standard output")?;
        let log = Self::default();
        tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_env_filter(filter)
            .with_target(false)
            .with_writer(log.clone())
            .init();
        Ok(log)
    }

    /// Writes the buffered lines every [`WRITE_INTERVAL`]; never returns.
    pub async fn run_writer(self) {
        loop {
            self.write_buffered();
            monoio::time::sleep(WRITE_INTERVAL).await;
        }
    }

    /// Writes buffered lines until the buffer is empty or standard output accepts no more.
    pub fn write_buffered(&self) {
        let mut buffer = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut written = 0;
        while written < buffer.bytes.len() {
            match rustix::io::write(rustix::stdio::stdout(), &buffer.bytes[written..]) {
                Ok(n) => written += n,
                Err(Errno::INTR) => {}
                // The pipe is full or closed. `MAX_BUFFER` bounds the memory in both cases.
                Err(_) => break,
            }
        }
        buffer.bytes.drain(..written);
    }
}
