//! Allocation of ports to processes of tests that run in parallel.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{PoisonError, RwLock, RwLockReadGuard},
};

use anyhow::Context;

/// First port of the range. The range lies below the ephemeral ports that the operating system
/// assigns to outgoing connections, so that no connection can occupy a port that a process is about
/// to bind.
const FIRST_PORT: u16 = 10_000;
/// End of the range, exclusive.
const END_PORT: u16 = 31_000;
/// Number of ports of a block.
const BLOCK_SIZE: u16 = 250;

/// Lock against processes that start, by another thread, while ports are probed: until such a
/// process is executed, it holds a copy of the socket that occupied a probed port.
static PROBES: RwLock<()> = RwLock::new(());

/// Waits until no ports are probed, and prevents probes until the guard is dropped.
pub(crate) fn prevent_probes() -> RwLockReadGuard<'static, ()> {
    PROBES.read().unwrap_or_else(PoisonError::into_inner)
}

/// Block of ports, reserved for this process until the value is dropped.
#[derive(Debug)]
pub struct Ports {
    /// Listener on the first port of the block; it reserves the block.
    _lock: TcpListener,
    next: u16,
    end: u16,
}

impl Ports {
    /// Reserves a free block.
    pub fn take() -> anyhow::Result<Self> {
        let _probes = PROBES.write().unwrap_or_else(PoisonError::into_inner);
        let blocks = (FIRST_PORT..END_PORT).step_by(usize::from(BLOCK_SIZE));
        let ports = blocks.into_iter().find_map(|first| {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok()?;
            // A killed test may have left processes running on its ports.
            let is_free = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
            if !(first + 1..first + BLOCK_SIZE).all(is_free) {
                return None;
            }
            Some(Self { _lock: listener, next: first + 1, end: first + BLOCK_SIZE })
        });
        ports.context("no free block of ports")
    }

    /// Returns a loopback address with the next unused port of the block.
    pub fn address(&mut self) -> anyhow::Result<SocketAddr> {
        anyhow::ensure!(self.next < self.end, "all ports of the block are in use");
        let port = self.next;
        self.next += 1;
        Ok((Ipv4Addr::LOCALHOST, port).into())
    }
}
