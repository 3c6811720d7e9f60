//! Ports for processes that are started side by side.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use anyhow::Context;

/// Below the range from which the system takes ports for outgoing connections,
/// so that no connection can sit on a port that a process is about to bind.
const FIRST: u16 = 10_000;
const LAST: u16 = 31_000;
const BLOCK: u16 = 250;

/// A block of ports that no other test takes while this value lives.
#[derive(Debug)]
pub struct Ports {
    /// Listening on the block's first port is what keeps the block.
    _lock: TcpListener,
    next: u16,
    end: u16,
}

impl Ports {
    /// Takes a free block.
    pub fn take() -> anyhow::Result<Self> {
        let blocks = (FIRST..LAST).step_by(usize::from(BLOCK));
        let taken = blocks.into_iter().find_map(|first| {
            let lock = TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok()?;
            // A test that was killed may have left processes behind on its ports.
            let free = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
            if !(first + 1..first + BLOCK).all(free) {
                return None;
            }
            Some(Self { _lock: lock, next: first + 1, end: first + BLOCK })
        });
        taken.context("no block of ports is free")
    }

    /// The next address of the block.
    pub fn address(&mut self) -> anyhow::Result<SocketAddr> {
        anyhow::ensure!(self.next < self.end, "the block of ports is used up");
        let port = self.next;
        self.next += 1;
        Ok((Ipv4Addr::LOCALHOST, port).into())
    }
}
