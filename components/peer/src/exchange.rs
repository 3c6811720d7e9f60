//! The two ends of an exchange, on one host or over a link.

use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use crate::message::{Message, Open, RequestNo, ToEntry, ToHome};

/// Where one end of an exchange sends to.
#[derive(Debug)]
enum Target<T> {
    Local(UnboundedSender<T>),
    Link { no: RequestNo, out: UnboundedSender<Message>, wrap: fn(RequestNo, T) -> Message },
}

impl<T> Target<T> {
    fn send(&self, item: T) -> bool {
        match self {
            Self::Local(tx) => tx.send(item).is_ok(),
            Self::Link { no, out, wrap } => out.send(wrap(*no, item)).is_ok(),
        }
    }
}

/// The entry's end. Dropping it tells the home to roll back what is open.
#[derive(Debug)]
pub struct Exchange {
    target: Target<ToHome>,
    rx: UnboundedReceiver<ToEntry>,
    /// The home has ended the exchange: it needs no word that the entry is gone.
    ended: bool,
}

impl Exchange {
    pub(crate) fn on_link(
        no: RequestNo,
        out: UnboundedSender<Message>,
        rx: UnboundedReceiver<ToEntry>,
    ) -> Self {
        Self { target: Target::Link { no, out, wrap: Message::ToHome }, rx, ended: false }
    }

    /// Sends to the home; false when the home is known to be lost.
    pub fn send(&self, item: ToHome) -> bool {
        self.target.send(item)
    }

    /// The next from the home; `None` when the home or the link is lost.
    pub async fn recv(&mut self) -> Option<ToEntry> {
        let item = self.rx.recv().await;
        self.ended = item.as_ref().is_none_or(ToEntry::is_last);
        item
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.ended {
            self.target.send(ToHome::Close);
        }
    }
}

/// The home's end.
#[derive(Debug)]
pub struct HomeSide {
    target: Target<ToEntry>,
    rx: UnboundedReceiver<ToHome>,
}

impl HomeSide {
    pub(crate) fn on_link(
        no: RequestNo,
        out: UnboundedSender<Message>,
        rx: UnboundedReceiver<ToHome>,
    ) -> Self {
        Self { target: Target::Link { no, out, wrap: Message::ToEntry }, rx }
    }

    /// Sends to the entry; false when the entry is known to be lost.
    pub fn send(&self, item: ToEntry) -> bool {
        self.target.send(item)
    }

    /// The next from the entry; `None` when the entry or the link is lost.
    pub async fn recv(&mut self) -> Option<ToHome> {
        self.rx.recv().await
    }
}

/// An exchange whose home is this host.
pub fn open_local(open: Open, serve: impl FnOnce(Open, HomeSide)) -> Exchange {
    let (to_home, home_rx) = mpsc::unbounded_channel();
    let (to_entry, entry_rx) = mpsc::unbounded_channel();
    serve(open, HomeSide { target: Target::Local(to_entry), rx: home_rx });
    Exchange { target: Target::Local(to_home), rx: entry_rx, ended: false }
}
