//! A stream that says when something comes.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use monoio::net::tcp::stream_poll::TcpStreamPoll;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A stream that calls `came` whenever bytes have come.
pub struct ActivityStream {
    io: TcpStreamPoll,
    came: Box<dyn Fn()>,
}

impl ActivityStream {
    /// A stream that calls `came`.
    pub fn new(io: TcpStreamPoll, came: impl Fn() + 'static) -> Self {
        Self { io, came: Box::new(came) }
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
        if buf.filled().len() > before {
            (self.came)();
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
