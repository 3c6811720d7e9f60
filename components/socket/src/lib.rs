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

fn set_linger(stream: &impl AsRawFd, linger: Option<Duration>) -> io::Result<()> {
    // SAFETY: the stream keeps the descriptor open for the duration of the call.
    #[allow(unsafe_code)]
    let socket = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    Ok(sockopt::set_socket_linger(socket, linger)?)
}
