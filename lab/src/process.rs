//! Child processes of the lab.

use std::{
    fs::File,
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use anyhow::Context;

use crate::ports;

/// Child process with its arguments, environment and log; killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Name of the process; its log file is `NAME.log`.
    pub name: Box<str>,
    program: PathBuf,
    args: Vec<String>,
    envs: Vec<(String, String)>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Creates a process without starting it; its log is written to `dir`.
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

    /// Adds an environment variable.
    pub fn env(mut self, name: &str, value: &str) -> Self {
        self.envs.push((name.into(), value.into()));
        self
    }

    /// Starts the process and appends its output to the log; does nothing if it was started and then
    /// neither killed nor waited for.
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
        kill_with_parent(&mut command);
        // The call returns once the child is executed.
        let _no_probes = ports::prevent_probes();
        let child = command
            .spawn()
            .with_context(|| format!("starting {} ({})", self.name, self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, such as `libc::SIGSTOP`.
    pub fn signal(&self, signal: i32) -> anyhow::Result<()> {
        let child = self.child.as_ref().with_context(|| format!("{} is not running", self.name))?;
        // The child has not been waited for, so its process id cannot have been reused.
        #[allow(unsafe_code)]
        let sent = unsafe { libc::kill(child.id() as i32, signal) };
        anyhow::ensure!(sent == 0, "sending a signal to {} failed", self.name);
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails when the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn wait(&mut self) -> anyhow::Result<Option<i32>> {
        let mut child =
            self.child.take().with_context(|| format!("{} is not running", self.name))?;
        Ok(child.wait()?.code())
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the process id of a process that was started and then neither killed nor waited for.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the text of the log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Has the kernel kill the process when the thread that starts it ends.
///
/// A killed test runs no destructors: its processes would keep running and join the system of the
/// next test on the same ports.
fn kill_with_parent(command: &mut Command) {
    // The closure runs between fork and exec, and makes a single system call.
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
