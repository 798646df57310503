//! Flow control for bodies, which bounds the memory that they take.
//!
//! The sender of a body may have at most [`WINDOW`] bytes in flight. The receiver
//! grants more credit as its reader consumes bytes, so a slow reader at one end
//! slows the writer at the other, across every hop. A body is complete only once
//! its end mark has arrived with the right checksum; otherwise it is truncated.

use std::{
    cell::{
        Cell,
        OnceCell,
        RefCell, //
    },
    collections::VecDeque,
    rc::{
        Rc,
        Weak, //
    },
    task::{
        Context,
        Poll,
        Waker, //
    },
};

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3Default;

use crate::memory::{
    Account,
    Budget,
    Owner, //
};

/// Flow control window: bytes of one body that may be in flight over one hop.
pub const WINDOW: usize = 256 << 10;

/// The largest chunk of a body in one frame, in bytes.
pub(crate) const MAX_CHUNK: usize = 64 << 10;

/// Chunks below this size are copied. A larger one may be a part of a read buffer, which
/// is at most [`READ_BUFFER`] bytes long.
pub(crate) const MIN_SHARED_CHUNK: usize = READ_BUFFER / 4;

/// The size of a read buffer for bodies, in bytes.
pub(crate) const READ_BUFFER: usize = 32 << 10;

/// Consumed bytes after which the receiver grants credit again. Smaller grants
/// aren't worth a frame.
const GRANT_THRESHOLD: usize = WINDOW / 4;

/// The error for a truncated body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body was cut")]
pub struct Cut;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Complete,
    Cut,
}

/// A queue of chunks. Small ones are merged, so that it occupies a small multiple of its
/// bytes however they arrive.
#[derive(Default)]
pub(crate) struct Chunks {
    chunks: VecDeque<Bytes>,
    /// The chunks that were pushed last, if they are small.
    merged: Vec<u8>,
    /// Bytes in the queue.
    len: usize,
    /// Capacity that `chunks` keeps alive.
    kept: usize,
}

/// The capacity that a chunk may keep alive: that of a whole read buffer.
pub(crate) fn kept_capacity(chunk: &Bytes) -> usize {
    match chunk.len() {
        length @ ..MIN_SHARED_CHUNK => length,
        length => length.max(READ_BUFFER),
    }
}

impl Chunks {
    pub(crate) fn push(&mut self, chunk: Bytes) {
        self.len += chunk.len();
        if chunk.len() < MIN_SHARED_CHUNK {
            self.merged.extend_from_slice(&chunk);
        }
        if chunk.len().max(self.merged.len()) >= MIN_SHARED_CHUNK {
            self.close_merged();
        }
        if chunk.len() >= MIN_SHARED_CHUNK {
            self.append(chunk);
        }
    }

    fn append(&mut self, chunk: Bytes) {
        self.kept += kept_capacity(&chunk);
        self.chunks.push_back(chunk);
    }

    fn close_merged(&mut self) {
        if !self.merged.is_empty() {
            let merged = std::mem::take(&mut self.merged);
            self.append(merged.into());
        }
    }

    pub(crate) fn pop(&mut self) -> Option<Bytes> {
        if self.chunks.is_empty() {
            self.close_merged();
        }
        let chunk = self.chunks.pop_front()?;
        self.len -= chunk.len();
        self.kept -= kept_capacity(&chunk);
        Some(chunk)
    }

    /// Capacity that the queue keeps alive, in bytes.
    pub(crate) fn capacity(&self) -> usize {
        self.kept + self.merged.capacity()
    }

    /// Bytes in the queue.
    pub(crate) fn len(&self) -> usize {
        self.len
    }
}

/// The receiving end of a body: a queue of chunks with a running checksum.
pub(crate) struct Inlet {
    chunks: RefCell<Chunks>,
    consumed: Cell<usize>,
    state: Cell<State>,
    hasher: RefCell<Xxh3Default>,
    waker: RefCell<Option<Waker>>,
    /// Called with the number of further bytes that the sender may send.
    grant: Box<dyn Fn(u32)>,
    memory: Option<(Budget, Owner)>,
    /// Opened with the first chunk.
    account: OnceCell<Account>,
    weak: Weak<Self>,
}

impl Inlet {
    /// Creates an inlet that takes no memory from a budget.
    pub(crate) fn new(grant: impl Fn(u32) + 'static) -> Rc<Self> {
        Self::create(None, grant)
    }

    /// Creates an inlet for what an owner sends. It is cut if it has to be evicted from
    /// the budget.
    pub(crate) fn within(budget: &Budget, owner: Owner, grant: impl Fn(u32) + 'static) -> Rc<Self> {
        Self::create(Some((budget.clone(), owner)), grant)
    }

    fn create(memory: Option<(Budget, Owner)>, grant: impl Fn(u32) + 'static) -> Rc<Self> {
        Rc::new_cyclic(|weak| Self {
            chunks: RefCell::default(),
            consumed: Cell::new(0),
            state: Cell::new(State::Open),
            hasher: RefCell::new(Xxh3Default::new()),
            waker: RefCell::default(),
            grant: Box::new(grant),
            memory,
            account: OnceCell::new(),
            weak: weak.clone(),
        })
    }

    /// Reports what the queue holds to the budget.
    fn report(&self) {
        let capacity = self.chunks.borrow().capacity();
        if let Some(account) = self.account.get() {
            account.set(capacity);
        } else if let Some((budget, owner)) = &self.memory {
            let account = self.account.get_or_init(|| budget.open(*owner));
            let weak = self.weak.clone();
            account.on_eviction(move || {
                if let Some(inlet) = weak.upgrade() {
                    inlet.evict();
                }
            });
            account.set(capacity);
        }
    }

    /// Drops what is queued and cuts the body.
    fn evict(&self) {
        drop(self.chunks.take());
        self.state.set(State::Cut);
        self.report();
        self.wake();
    }

    /// Whether the body was cut because the memory for it ran short.
    pub(crate) fn is_evicted(&self) -> bool {
        self.account.get().is_some_and(Account::is_evicted)
    }

    /// Queues a chunk. If the sender exceeds the window, the body is cut, as it
    /// could otherwise exhaust memory.
    pub(crate) fn push(&self, bytes: Bytes) {
        if self.state.get() != State::Open {
            return;
        }
        if bytes.len() > self.room() {
            return self.cut();
        }
        self.hasher.borrow_mut().update(&bytes);
        self.chunks.borrow_mut().push(bytes);
        self.report();
        self.wake();
    }

    /// Handles the end mark: completes the body if `sum` matches the checksum of
    /// the received bytes, and cuts it otherwise.
    pub(crate) fn end(&self, sum: u64) {
        if self.state.get() != State::Open {
            return;
        }
        let matches = self.hasher.borrow().digest() == sum;
        self.state
            .set(if matches { State::Complete } else { State::Cut });
        self.wake();
    }

    /// Marks the body as truncated, unless it is complete already.
    pub(crate) fn cut(&self) {
        if self.state.get() == State::Open {
            self.state.set(State::Cut);
            self.wake();
        }
    }

    /// Whether the end mark has arrived with the right checksum.
    pub(crate) fn is_whole(&self) -> bool {
        self.state.get() == State::Complete
    }

    /// Whether the body is complete and no chunk is queued any more.
    pub(crate) fn is_drained(&self) -> bool {
        self.is_whole() && self.chunks.borrow().len() == 0
    }

    /// Whether the body is neither complete nor cut.
    pub(crate) fn is_open(&self) -> bool {
        self.state.get() == State::Open
    }

    /// Bytes that can be queued before the window is full.
    pub(crate) fn room(&self) -> usize {
        WINDOW - self.chunks.borrow().len()
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Removes the next chunk, if one is queued, and grants credit when enough
    /// bytes have been consumed.
    pub(crate) fn pop(&self) -> Option<Bytes> {
        let bytes = self.chunks.borrow_mut().pop()?;
        self.report();
        let consumed = self.consumed.get() + bytes.len();
        let due = consumed >= GRANT_THRESHOLD && self.state.get() == State::Open;
        self.consumed.set(if due { 0 } else { consumed });
        if due {
            (self.grant)(consumed as u32);
        }
        Some(bytes)
    }

    /// Polls for the next chunk; `None` is the end of a complete body. Once the body
    /// is cut, queued chunks are no longer returned: the reader gets the error at
    /// once.
    pub(crate) fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        if self.state.get() == State::Cut {
            return Poll::Ready(Some(Err(Cut)));
        }
        if let Some(bytes) = self.pop() {
            return Poll::Ready(Some(Ok(bytes)));
        }
        if self.state.get() == State::Complete {
            return Poll::Ready(None);
        }
        *self.waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Waits for the next chunk, like [`Inlet::poll`].
    pub(crate) async fn next(&self) -> Option<Result<Bytes, Cut>> {
        std::future::poll_fn(|cx| self.poll(cx)).await
    }
}

/// The sending end of a body, which tracks the credit left to send.
pub(crate) struct Outlet {
    credit: Cell<usize>,
    closed: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Outlet {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            credit: Cell::new(WINDOW),
            closed: Cell::new(false),
            waker: RefCell::default(),
        })
    }

    /// Adds credit granted by the receiver, up to [`WINDOW`] in total.
    pub(crate) fn grant(&self, bytes: u32) {
        let credit = self.credit.get() + bytes as usize;
        self.credit.set(credit.min(WINDOW));
        self.wake();
    }

    /// Closes the body, because nobody reads the rest. [`Outlet::reserve`] then fails.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Takes credit for up to `limit` bytes without waiting. Returns the bytes
    /// taken, zero if there is no credit.
    pub(crate) fn take(&self, limit: usize) -> usize {
        let taken = limit.min(self.credit.get());
        self.credit.set(self.credit.get() - taken);
        taken
    }

    /// Waits for credit and takes it for up to `limit` bytes.
    pub(crate) async fn reserve(&self, limit: usize) -> Result<usize, Cut> {
        std::future::poll_fn(|cx| {
            if self.closed.get() {
                return Poll::Ready(Err(Cut));
            }
            match self.take(limit) {
                0 => {
                    *self.waker.borrow_mut() = Some(cx.waker().clone());
                    Poll::Pending
                }
                taken => Poll::Ready(Ok(taken)),
            }
        })
        .await
    }
}
