//! Log lines on standard output that never hold up the process.

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

/// The most bytes that wait to be written. At the usual 300 bytes a line it
/// holds several seconds of a busy host's lines.
const MAX_BUFFER: usize = 512 * 1024;

/// How often what waits is written: few writes, and little lost when killed.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines left out since the last one that was taken.
    left_out: u64,
}

/// Lines that wait to be written.
///
/// Guards against a reader of the log that stops reading: a write would block,
/// and with it every caller. What does not fit is left out and counted.
#[derive(Clone, Debug, Default)]
pub struct Log(Arc<Mutex<Buffer>>);

impl io::Write for Log {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if waiting.bytes.len() + line.len() > MAX_BUFFER {
            waiting.left_out += 1;
        } else {
            if waiting.left_out > 0 {
                let left_out = std::mem::take(&mut waiting.left_out);
                let note = format!("{{\"level\":\"WARN\",\"left_out\":{left_out}}}\n");
                waiting.bytes.extend_from_slice(note.as_bytes());
            }
            waiting.bytes.extend_from_slice(line);
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
    /// Starts the log of the process, a JSON object a line.
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

    /// Writes what waits, for ever.
    pub async fn run_writer(self) {
        loop {
            self.write_buffered();
            monoio::time::sleep(WRITE_INTERVAL).await;
        }
    }

    /// Writes what waits, as far as standard output takes it.
    pub fn write_buffered(&self) {
        let mut waiting = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut written = 0;
        while written < waiting.bytes.len() {
            match rustix::io::write(rustix::stdio::stdout(), &waiting.bytes[written..]) {
                Ok(n) => written += n,
                Err(Errno::INTR) => {}
                // Full, or closed for good: the bound above holds either way.
                Err(_) => break,
            }
        }
        waiting.bytes.drain(..written);
    }
}
