//! Allocation of ports.

use std::{
    net::TcpListener,
    path::Path,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use lab::{ports::Ports, process::Process};

/// Number of blocks taken while processes start.
const BLOCKS: usize = 40;

/// Number of threads that start processes.
const STARTERS: usize = 6;

/// Tests of one program start processes and take ports at the same time. Guards against a link or
/// server that cannot listen: a process that was not yet executed had inherited the socket by which
/// its port had just been found free.
#[test]
fn ports_of_a_block_are_free_while_other_processes_start() {
    let (dir, done) = (tempfile::tempdir().unwrap(), AtomicBool::new(false));
    let in_use = thread::scope(|scope| {
        for number in 0..STARTERS {
            let (dir, done) = (dir.path(), &done);
            scope.spawn(move || {
                let name = format!("p{number}");
                let mut process = Process::new(&name, Path::new("true"), Vec::new(), dir);
                while !done.load(Ordering::Relaxed) {
                    process.start().unwrap();
                    process.wait().unwrap();
                }
            });
        }
        let in_use = (0..BLOCKS).flat_map(|_| {
            let mut ports = Ports::take().unwrap();
            let addresses: Vec<_> = std::iter::from_fn(|| ports.address().ok()).collect();
            addresses.into_iter().rev().filter(|address| TcpListener::bind(address).is_err())
        });
        let in_use: Vec<_> = in_use.collect();
        done.store(true, Ordering::Relaxed);
        in_use
    });
    assert!(in_use.is_empty(), "in use: {in_use:?}");
}
