//! Options of TCP sockets that the asynchronous runtime does not offer.

use std::{
    io,
    os::fd::{AsRawFd, BorrowedFd},
    time::Duration,
};

use rustix::net::sockopt;

/// Has the connection reset when it is closed, so that bytes which the peer has not received are
/// discarded.
///
/// Otherwise the system goes on sending them after the close: a network that was cut delivers them
/// when the cut ends, and the peer does work that was given up long before.
///
/// Also applies if the process is killed.
pub fn reset_on_close(stream: &impl AsRawFd) -> io::Result<()> {
    set_linger(stream, Some(Duration::ZERO))
}

/// Has the connection closed in order, after [`reset_on_close`]: bytes that the peer has not received are
/// still sent.
pub fn send_on_close(stream: &impl AsRawFd) -> io::Result<()> {
    set_linger(stream, None)
}

/// Sets the size of the system's receive buffer in bytes. The system doubles it for its own use, and holds
/// up to one and a half times the size of bytes that are not read yet.
pub fn set_receive_buffer(stream: &impl AsRawFd, size: usize) -> io::Result<()> {
    Ok(sockopt::set_socket_recv_buffer_size(borrow(stream), size)?)
}

fn set_linger(stream: &impl AsRawFd, linger: Option<Duration>) -> io::Result<()> {
    Ok(sockopt::set_socket_linger(borrow(stream), linger)?)
}

fn borrow(stream: &impl AsRawFd) -> BorrowedFd<'_> {
    // SAFETY: the stream, which keeps the descriptor open, is borrowed for as long.
    #[allow(unsafe_code)]
    unsafe {
        BorrowedFd::borrow_raw(stream.as_raw_fd())
    }
}
