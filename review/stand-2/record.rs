//! What was sent, answered and run, and which rules were broken.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

struct Inner {
    file: File,
    broken: Vec<String>,
}

/// The record of a run; clones share it.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl Record {
    /// Creates the file `path`.
    pub fn create(path: &str) -> std::io::Result<Self> {
        let inner = Inner { file: File::create(path)?, broken: Vec::new() };
        Ok(Self { started: Instant::now(), inner: Arc::new(Mutex::new(inner)) })
    }

    /// Writes a line with the time in seconds.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut inner = self.inner.lock().unwrap();
        let _ = writeln!(inner.file, "{seconds:8.3} {text}");
    }

    /// Records that a rule was broken.
    pub fn broken(&self, rule: &str, story: &str) {
        self.line(&format!("BROKEN {rule}: {story}"));
        self.inner.lock().unwrap().broken.push(format!("{rule}: {story}"));
    }

    /// Rules that were broken so far.
    pub fn all_broken(&self) -> Vec<String> {
        self.inner.lock().unwrap().broken.clone()
    }
}
