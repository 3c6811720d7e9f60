//! Division of the machine's processor among the uses of a process.

use bergamottrack_model::Settings;

/// Work on messages of clients that a whole core does in a second, in bytes, if it leaves half of its time
/// to everything else.
const WORK_PER_CORE: f64 = 200e6;

/// Limits of a process.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Work on messages of clients in a second, in bytes.
    pub work: f64,
}

impl Limits {
    /// Returns the limits on a machine.
    pub fn new(settings: &Settings) -> Self {
        Self { work: WORK_PER_CORE * f64::from(settings.cpu_millicores) / 1000.0 }
    }
}
