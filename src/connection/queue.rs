//! What a link holds in memory: frames that wait to be sent to its peer, and the frame
//! that its peer has sent in part.
//!
//! Bodies that are streamed wait while much is queued, so a slow link slows their
//! sources down. A link that holds too much nevertheless is closed as if it had broken.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    sync::{
        Notify,
        mpsc, //
    },
};
use tokio_tungstenite::tungstenite::Message;

use super::body::MAX_CHUNK;
use crate::memory::Account;

/// Queued bytes above which a link is closed.
const MAX_QUEUED: usize = 16 << 20;
/// Queued bytes above which streamed bodies wait.
const CROWDED: usize = 8 << 20;
/// Received bytes that are not charged to the budget: every link keeps a read buffer in
/// which a frame with a chunk of a body fits.
const UNCHARGED_RECEIVED: usize = 2 * MAX_CHUNK;
/// Length of the header of a masked control frame.
const CONTROL_HEADER_LEN: usize = 6;

/// What is sent over a link.
pub(crate) enum Outgoing {
    /// An encoded frame.
    Frame(Vec<u8>),
    /// A question for a sign of life.
    Ping,
}

impl Outgoing {
    /// Bytes that it takes while it is queued.
    fn size(&self) -> usize {
        let held = match self {
            Self::Frame(bytes) => bytes.capacity(),
            Self::Ping => 0,
        };
        held + size_of::<Self>()
    }
}

impl From<Outgoing> for Message {
    fn from(outgoing: Outgoing) -> Self {
        match outgoing {
            Outgoing::Frame(bytes) => Self::binary(bytes),
            Outgoing::Ping => Self::Ping(Bytes::new()),
        }
    }
}

/// The bytes that a link holds.
#[derive(Default)]
pub(crate) struct Held {
    queued: Cell<usize>,
    /// Bytes received since the last complete frame.
    receiving: Cell<usize>,
    /// The longest frame received. The read buffer keeps its capacity.
    longest: Cell<usize>,
    has_overrun: Cell<bool>,
    has_ended: Cell<bool>,
    changed: Notify,
    room: Notify,
}

impl Held {
    fn charged(&self) -> usize {
        let received = self.receiving.get().max(self.longest.get());
        self.queued.get() + received.saturating_sub(UNCHARGED_RECEIVED)
    }

    /// Whether streamed bodies have to wait.
    pub(crate) fn is_crowded(&self) -> bool {
        self.queued.get() > CROWDED && !self.has_ended.get()
    }

    /// Waits until streamed bodies may be sent, or the link has ended.
    pub(crate) async fn room(&self) {
        while self.is_crowded() {
            self.room.notified().await;
        }
        // The one that is woken may have nothing to send.
        self.room.notify_one();
    }

    /// Charges the held bytes to an account. Returns when they are too many.
    pub(crate) async fn exceed(&self, account: &Account) {
        loop {
            let may_go_on = account.set(self.charged());
            if !may_go_on || self.has_overrun.get() {
                return;
            }
            tokio::select! {
                () = self.changed.notified() => {}
                () = account.evicted() => {}
            }
        }
    }

    fn sent(&self, size: usize) {
        self.queued.set(self.queued.get().saturating_sub(size));
        self.changed.notify_one();
        if !self.is_crowded() {
            self.room.notify_one();
        }
    }

    fn received(&self, count: usize) {
        let receiving = self.receiving.get() + count;
        self.receiving.set(receiving);
        if receiving > UNCHARGED_RECEIVED {
            self.changed.notify_one();
        }
    }

    /// Handles a message that was received completely.
    pub(crate) fn completed(&self, message: &Message) {
        if message.is_ping() || message.is_pong() {
            // It may lie between the parts of another message.
            let size = message.len() + CONTROL_HEADER_LEN;
            return self
                .receiving
                .set(self.receiving.get().saturating_sub(size));
        }
        self.receiving.set(0);
        if message.len() > self.longest.get() {
            self.longest.set(message.len());
            self.changed.notify_one();
        }
    }
}

/// The sending end of a link's queue. Dropping it closes the link once all frames are
/// sent.
pub(crate) struct Queue {
    sender: mpsc::UnboundedSender<Outgoing>,
    held: Rc<Held>,
}

impl Queue {
    /// Opens a queue.
    pub(crate) fn new() -> (Self, Queued) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let held = Rc::new(Held::default());
        let queued = Queued {
            receiver,
            held: held.clone(),
        };
        (Self { sender, held }, queued)
    }

    /// Queues what is to be sent. If too much is queued, it is dropped, and
    /// [`Held::exceed`] returns.
    pub(crate) fn push(&self, outgoing: Outgoing) {
        let held = &self.held;
        let queued = held.queued.get() + outgoing.size();
        held.changed.notify_one();
        if queued > MAX_QUEUED {
            return held.has_overrun.set(true);
        }
        if self.sender.send(outgoing).is_ok() {
            held.queued.set(queued);
        }
    }

    /// What the link holds.
    pub(crate) fn held(&self) -> &Rc<Held> {
        &self.held
    }
}

/// The receiving end of a link's queue.
pub(crate) struct Queued {
    receiver: mpsc::UnboundedReceiver<Outgoing>,
    held: Rc<Held>,
}

impl Queued {
    /// What the link holds.
    pub(crate) fn held(&self) -> &Rc<Held> {
        &self.held
    }

    /// Waits for the next message; `None` after the last one of a closed queue.
    pub(crate) async fn next(&mut self) -> Option<Item> {
        let outgoing = self.receiver.recv().await?;
        Some(Item::new(outgoing, &self.held))
    }

    /// Returns the next message if there is one.
    pub(crate) fn try_next(&mut self) -> Option<Item> {
        let outgoing = self.receiver.try_recv().ok()?;
        Some(Item::new(outgoing, &self.held))
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.held.has_ended.set(true);
        self.held.room.notify_one();
    }
}

/// A message taken from a queue. It counts as queued until [`Slot`] is dropped.
pub(crate) struct Item {
    /// The message.
    pub(crate) message: Message,
    /// Its place in the queue.
    pub(crate) slot: Slot,
}

impl Item {
    fn new(outgoing: Outgoing, held: &Rc<Held>) -> Self {
        let slot = Slot {
            held: held.clone(),
            size: outgoing.size(),
        };
        Self {
            message: outgoing.into(),
            slot,
        }
    }
}

/// The bytes that a message takes in a queue, until it is dropped.
pub(crate) struct Slot {
    held: Rc<Held>,
    size: usize,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.held.sent(self.size);
    }
}

/// A connection that counts the bytes received.
pub(crate) struct Metered {
    stream: TcpStream,
    held: Rc<Held>,
}

impl Metered {
    /// Counts the bytes of a connection.
    pub(crate) fn new(stream: TcpStream, held: Rc<Held>) -> Self {
        Self { stream, held }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.held.received(buffer.filled().len() - before);
        polled
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
