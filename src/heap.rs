//! Settings of the allocator.

/// Size in bytes from which a block is returned to the system when it is freed.
#[cfg(target_env = "gnu")]
const LARGE_BLOCK: libc::c_int = 128 << 10;

/// Has the allocator return each large block to the system as soon as it is freed.
///
/// By default the threshold grows with the blocks that are freed, up to 32 MB: buffers of large messages then
/// come from a heap of which parts stay in use, so that a process keeps much more memory than it uses.
pub fn return_large_blocks() {
    #[cfg(target_env = "gnu")]
    // SAFETY: no other thread runs yet, and the parameter is a valid one.
    #[allow(unsafe_code)]
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, LARGE_BLOCK);
    }
}
