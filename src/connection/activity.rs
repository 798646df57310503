//! Connections whose peer has to finish what it begins to send, and to read its answers.

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

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

use crate::clock::{
    Clock,
    Span,
    Time, //
};

/// Interval between two checks of a connection.
const CHECK_INTERVAL: Span = Span::from_ms(250);

/// What the peer of a connection has begun and not finished.
pub(crate) struct Activity {
    /// Whether a request is handled now.
    is_handling: Cell<bool>,
    /// When the last request was handled, or the connection was opened.
    handled: Cell<Time>,
    /// When the first byte arrived that belongs to no handled request.
    begun: Cell<Option<Time>>,
    /// Bytes that have arrived since then.
    unhandled: Cell<usize>,
    max_unhandled: usize,
    /// Since when the peer has read nothing although something is to be sent.
    blocked: Cell<Option<Time>>,
}

impl Activity {
    fn new(max_unhandled: usize) -> Rc<Self> {
        Rc::new(Self {
            is_handling: Cell::new(false),
            handled: Cell::new(Clock.now()),
            begun: Cell::new(None),
            unhandled: Cell::new(0),
            max_unhandled,
            blocked: Cell::new(None),
        })
    }

    /// Marks a request as handled until the guard is dropped.
    pub(crate) fn handle(self: Rc<Self>) -> Handling {
        self.is_handling.set(true);
        Handling(self)
    }

    /// Waits until the peer has taken longer than `limit` to finish a request or to read,
    /// or has sent no request for longer than `idle`.
    pub(crate) async fn overdue(&self, limit: Span, idle: Span) {
        while !self.is_overdue(limit, idle) {
            tokio::time::sleep(CHECK_INTERVAL.to_std()).await;
        }
    }

    fn is_overdue(&self, limit: Span, idle: Span) -> bool {
        let now = Clock.now();
        let lasts = |since: Option<Time>| since.is_some_and(|since| now.since(since) > limit);
        let is_idle = || now.since(self.handled.get()) > idle;
        !self.is_handling.get()
            && (lasts(self.begun.get()) || lasts(self.blocked.get()) || is_idle())
    }

    /// Counts received bytes, and fails if too many of them belong to no handled request.
    fn received(&self, count: usize) -> io::Result<()> {
        if self.is_handling.get() || count == 0 {
            return Ok(());
        }
        self.begun
            .set(self.begun.get().or_else(|| Some(Clock.now())));
        self.unhandled.set(self.unhandled.get() + count);
        match self.unhandled.get() > self.max_unhandled {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }
}

/// A request that is handled now.
pub(crate) struct Handling(Rc<Activity>);

impl Drop for Handling {
    fn drop(&mut self) {
        self.0.is_handling.set(false);
        self.0.handled.set(Clock.now());
        self.0.begun.set(None);
        self.0.unhandled.set(0);
    }
}

/// A connection whose activity is watched.
pub(crate) struct Watched {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl Watched {
    /// Watches a connection, which fails once more than `max_unhandled` bytes have arrived
    /// that belong to no handled request.
    pub(crate) fn new(stream: TcpStream, max_unhandled: usize) -> Self {
        let activity = Activity::new(max_unhandled);
        Self { stream, activity }
    }

    /// What happens on the connection.
    pub(crate) fn activity(&self) -> &Rc<Activity> {
        &self.activity
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.activity.received(buffer.filled().len() - before)?;
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        let blocked = &self.activity.blocked;
        blocked.set(match polled {
            Poll::Pending => blocked.get().or_else(|| Some(Clock.now())),
            Poll::Ready(_) => None,
        });
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
