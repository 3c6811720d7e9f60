//! What processes use: processor time, memory and bytes.

use std::{fs, time::Duration};

/// Processor time that a process has used, all threads together.
pub fn processor(pid: u32) -> Duration {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let nanos = tasks.filter_map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

/// Memory that a process holds, in bytes.
pub fn memory(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kib.unwrap_or_default() * 1024
}

/// Bytes that have crossed the loopback device, with the headers of TCP and IP.
///
/// All processes of the network namespace count: run the lab under
/// `unshare -n` to see its own only.
pub fn loopback() -> u64 {
    let text = fs::read_to_string("/proc/self/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim_start().strip_prefix("lo:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

/// The memory of a process that is in use, in bytes; 0 when it has ended.
pub fn resident(pid: u32) -> u64 {
    const PAGE: u64 = 4096;
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE
}
