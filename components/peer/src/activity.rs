//! TCP stream that reports received bytes.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use monoio::net::tcp::stream_poll::TcpStreamPoll;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// TCP stream that calls `on_read` whenever bytes have been received.
pub struct ActivityStream {
    io: TcpStreamPoll,
    on_read: Box<dyn Fn()>,
    /// Bytes that may still be read.
    allowance: Rc<Cell<usize>>,
}

impl ActivityStream {
    /// Wraps a stream so that it calls `on_read`.
    pub fn new(io: TcpStreamPoll, on_read: impl Fn() + 'static) -> Self {
        Self::limited(io, on_read, Rc::new(Cell::new(usize::MAX)))
    }

    /// Wraps a stream as [`Self::new`] does. Reading fails once more bytes than the allowance have arrived.
    pub fn limited(
        io: TcpStreamPoll,
        on_read: impl Fn() + 'static,
        allowance: Rc<Cell<usize>>,
    ) -> Self {
        Self { io, on_read: Box::new(on_read), allowance }
    }
}

impl AsyncRead for ActivityStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        let len = buf.filled().len() - before;
        if len > 0 {
            let Some(left) = self.allowance.get().checked_sub(len) else {
                return Poll::Ready(Err(io::Error::other("more bytes than allowed")));
            };
            self.allowance.set(left);
            (self.on_read)();
        }
        read
    }
}

impl AsyncWrite for ActivityStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
