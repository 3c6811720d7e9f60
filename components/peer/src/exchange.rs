//! The two ends of an exchange, on the same host or over a link: the entry is the host of the
//! caller, the home is the host that serves the database group.

use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use crate::{
    message::{Message, Open, RequestNo, ToEntry, ToHome},
    socket::Outgoing,
};

/// Channel to the other end of an exchange.
#[derive(Debug)]
enum Sender<T> {
    Local(UnboundedSender<T>),
    Link { number: RequestNo, out: UnboundedSender<Outgoing>, wrap: fn(RequestNo, T) -> Message },
}

impl<T> Sender<T> {
    fn send(&self, item: T) -> bool {
        match self {
            Self::Local(tx) => tx.send(item).is_ok(),
            Self::Link { number, out, wrap } => out.send(wrap(*number, item).into()).is_ok(),
        }
    }
}

/// The entry's end of an exchange. Dropping it closes the exchange, and the home rolls back an open
/// transaction.
#[derive(Debug)]
pub struct Exchange {
    sender: Sender<ToHome>,
    rx: UnboundedReceiver<ToEntry>,
    /// Whether the home has ended the exchange or is lost, so that no [`ToHome::Close`] is needed.
    ended: bool,
}

impl Exchange {
    pub(crate) fn on_link(
        number: RequestNo,
        out: UnboundedSender<Outgoing>,
        rx: UnboundedReceiver<ToEntry>,
    ) -> Self {
        Self { sender: Sender::Link { number, out, wrap: Message::ToHome }, rx, ended: false }
    }

    /// Sends a message to the home. Returns false if the home or the link is known to be lost.
    pub fn send(&self, item: ToHome) -> bool {
        self.sender.send(item)
    }

    /// Receives the next message of the home; `None` if the home or the link is lost.
    pub async fn recv(&mut self) -> Option<ToEntry> {
        let item = self.rx.recv().await;
        self.ended = item.as_ref().is_none_or(ToEntry::is_last);
        item
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.ended {
            self.sender.send(ToHome::Close);
        }
    }
}

/// The home's end of an exchange.
#[derive(Debug)]
pub struct HomeSide {
    sender: Sender<ToEntry>,
    rx: UnboundedReceiver<ToHome>,
}

impl HomeSide {
    pub(crate) fn on_link(
        number: RequestNo,
        out: UnboundedSender<Outgoing>,
        rx: UnboundedReceiver<ToHome>,
    ) -> Self {
        Self { sender: Sender::Link { number, out, wrap: Message::ToEntry }, rx }
    }

    /// Sends a message to the entry. Returns false if the entry or the link is known to be lost.
    pub fn send(&self, item: ToEntry) -> bool {
        self.sender.send(item)
    }

    /// Receives the next message of the entry; `None` if the entry or the link is lost.
    pub async fn recv(&mut self) -> Option<ToHome> {
        self.rx.recv().await
    }
}

/// Opens an exchange whose home is this host; `serve` receives the home's end.
pub fn open_local(open: Open, serve: impl FnOnce(Open, HomeSide)) -> Exchange {
    let (to_home, home_rx) = mpsc::unbounded_channel();
    let (to_entry, entry_rx) = mpsc::unbounded_channel();
    serve(open, HomeSide { sender: Sender::Local(to_entry), rx: home_rx });
    Exchange { sender: Sender::Local(to_home), rx: entry_rx, ended: false }
}
