//! Division of the machine's memory, file descriptors and processor among the uses of a process.
//!
//! The parts of the memory add up to less than the whole: see `docs/design/limits-of-a-process.md`.

use bergamottrack_model::Settings;
use bergamottrack_turns::WORK_PER_CORE;

/// Part of the memory for the connections of clients, at [`CONNECTION_MEMORY`] each.
const CONNECTIONS_SHARE: f64 = 0.35;

/// Part of the memory for what clients and statements hold beyond that, in one account.
const SHARED_SHARE: f64 = 0.20;

/// Memory of one connection in bytes: its task and buffers, [`FREE_MEMORY`], and what the system has
/// received for it and the process has not read.
const CONNECTION_MEMORY: usize = 18 << 10;

/// Size of the system's receive buffer of a connection in bytes. A message of the usual size fits.
pub const RECEIVE_BUFFER: usize = 4 << 10;

/// Size of the system's send buffer of a connection in bytes.
pub const SEND_BUFFER: usize = 64 << 10;

/// Bytes that each connection, and each statement in progress, may hold without a charge to the shared
/// memory.
pub const FREE_MEMORY: usize = 4 << 10;

/// Part of the file descriptors that is kept for servers, other hosts, the platform and operators.
const RESERVED_DESCRIPTORS_SHARE: f64 = 0.25;

/// Minimum of that part.
const MIN_RESERVED_DESCRIPTORS: usize = 256;

/// Limits of a process.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of connections of clients.
    pub clients: usize,
    /// Shared memory in bytes.
    pub memory: usize,
    /// Work on messages of clients in a second, in bytes.
    pub work: f64,
}

impl Limits {
    /// Returns the limits on a machine.
    pub fn new(settings: &Settings) -> Self {
        let part = |share: f64| (settings.memory as f64 * share) as usize;
        let reserved = (settings.descriptors as f64 * RESERVED_DESCRIPTORS_SHARE) as usize;
        let descriptors =
            settings.descriptors.saturating_sub(reserved.max(MIN_RESERVED_DESCRIPTORS));
        let memory = part(SHARED_SHARE);
        Self {
            clients: (part(CONNECTIONS_SHARE) / CONNECTION_MEMORY).min(descriptors).max(1),
            memory,
            work: WORK_PER_CORE * f64::from(settings.cpu_millicores) / 1000.0,
        }
    }
}
