//! Resource usage of processes: processor time, memory and bytes sent.

use std::{fs, time::Duration};

/// Returns the processor time used so far by all threads of a process.
pub fn processor(pid: u32) -> Duration {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let nanos = tasks.filter_map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

/// Returns the processor time used so far by the calling thread.
pub fn thread_processor() -> Duration {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the call writes `time`, which outlives it.
    #[allow(unsafe_code)]
    unsafe {
        libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &raw mut time);
    }
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns the resident memory of a process in bytes, from `VmRSS`; 0 when it has ended.
pub fn memory(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kib.unwrap_or_default() * 1024
}

/// Returns the number of bytes received on the loopback device so far, including TCP and IP headers.
///
/// This counts all processes of the network namespace; run the lab under `unshare -n` to count its
/// own traffic only.
pub fn loopback() -> u64 {
    let text = fs::read_to_string("/proc/self/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim_start().strip_prefix("lo:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

/// Returns the resident memory of a process in bytes, from `statm`, assuming pages of 4096 bytes;
/// 0 when it has ended.
pub fn resident(pid: u32) -> u64 {
    const PAGE: u64 = 4096;
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE
}
