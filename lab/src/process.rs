//! Processes that a test or a person starts, and ends.

use std::{
    fs::File,
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use anyhow::Context;

/// A process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Its name, also that of its log.
    pub name: Box<str>,
    program: PathBuf,
    args: Vec<String>,
    envs: Vec<(String, String)>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// A process that has not been started.
    pub fn new(name: &str, program: &Path, args: Vec<String>, dir: &Path) -> Self {
        Self {
            name: name.into(),
            program: program.into(),
            args,
            envs: Vec::new(),
            log: dir.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Adds a variable of its environment.
    pub fn env(mut self, name: &str, value: &str) -> Self {
        self.envs.push((name.into(), value.into()));
        self
    }

    /// Starts it, if it does not run; its log is appended to.
    pub fn start(&mut self) -> anyhow::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().append(true).create(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command
            .args(&self.args)
            .envs(self.envs.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        end_with_parent(&mut command);
        let child = command
            .spawn()
            .with_context(|| format!("starting {} ({})", self.name, self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, such as `libc::SIGSTOP`.
    pub fn signal(&self, signal: i32) -> anyhow::Result<()> {
        let child = self.child.as_ref().with_context(|| format!("{} does not run", self.name))?;
        // The child has not been waited for, so its number is still its own.
        #[allow(unsafe_code)]
        let sent = unsafe { libc::kill(child.id() as i32, signal) };
        anyhow::ensure!(sent == 0, "signalling {} failed", self.name);
        Ok(())
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for its end; its exit code.
    pub fn wait(&mut self) -> anyhow::Result<Option<i32>> {
        let mut child = self.child.take().with_context(|| format!("{} does not run", self.name))?;
        Ok(child.wait()?.code())
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Process number, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Has the process killed when the thread that starts it ends.
///
/// A test that is itself killed drops nothing: what it had started would go on
/// and take part in the next test's system at the same ports.
fn end_with_parent(command: &mut Command) {
    // The closure runs between fork and exec and makes one system call only.
    #[allow(unsafe_code)]
    unsafe {
        command.pre_exec(|| {
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            Ok(())
        });
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
