//! The memory that other parties' bytes occupy in this process.
//!
//! Every buffer that a caller, an upstream, a peer or the store fills has an
//! [`Account`], which reports the capacity that it keeps alive. When the accounts of
//! a [`Budget`] hold more than it allows, those that hold most are evicted until the
//! rest fits: whoever owns one ends what it buffers for, and all others go on.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    fmt,
    rc::Rc,
};

use tokio::sync::Notify;

use crate::unit::Size;

/// The part of the process's memory that may be held for other parties: one in this
/// many bytes. The rest is for the node's own state, for what the allocator keeps, and for
/// the buffers of the sockets.
const HELD_FRACTION: usize = 3;

/// The budget counts as short until the accounts hold less than this share of it, in
/// percent.
const RECOVERY_PERCENT: usize = 75;

/// The party that fills a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Owner {
    /// Callers, and the service beside the node.
    Callers,
    /// The upstream.
    Upstream,
    /// Other nodes.
    Links,
    /// The platform's store.
    Store,
}

impl Owner {
    /// All owners.
    pub const ALL: [Self; 4] = [Self::Callers, Self::Upstream, Self::Links, Self::Store];

    /// The name, as metrics carry it.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Upstream => "upstream",
            Self::Links => "links",
            Self::Store => "store",
        }
    }
}

/// What the accounts of one owner hold, and how many of them were evicted.
#[derive(Debug, Default)]
struct Gauge {
    held: Cell<usize>,
    evicted: Cell<u64>,
}

/// Called once when an account is evicted.
type Callback = Box<dyn FnOnce()>;

struct Slot {
    owner: Owner,
    held: Cell<usize>,
    evicted: Cell<bool>,
    callback: RefCell<Option<Callback>>,
    notify: Notify,
}

struct Ledger {
    limit: Cell<Size>,
    total: Cell<usize>,
    /// Held by accounts that were evicted and have not been closed yet.
    leaving: Cell<usize>,
    peak: Cell<usize>,
    short: Cell<bool>,
    next_number: Cell<u64>,
    gauges: [Gauge; Owner::ALL.len()],
    slots: RefCell<BTreeMap<u64, Rc<Slot>>>,
}

/// The memory that a process may hold for other parties.
#[derive(Clone)]
pub struct Budget(Rc<Ledger>);

impl fmt::Debug for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Budget")
            .field("limit", &self.0.limit.get())
            .field("total", &self.0.total.get())
            .finish_non_exhaustive()
    }
}

impl Budget {
    /// The budget of a process that may occupy `limit` bytes.
    pub fn new(limit: Size) -> Self {
        Self(Rc::new(Ledger {
            limit: Cell::new(limit),
            total: Cell::default(),
            leaving: Cell::default(),
            peak: Cell::default(),
            short: Cell::default(),
            next_number: Cell::default(),
            gauges: Default::default(),
            slots: RefCell::default(),
        }))
    }

    /// The limit of the process.
    pub fn limit(&self) -> Size {
        self.0.limit.get()
    }

    /// Replaces the limit of the process.
    pub fn set_limit(&self, limit: Size) {
        self.0.limit.set(limit);
        self.0.settle();
    }

    /// Bytes that all accounts together may hold.
    pub fn allowed(&self) -> usize {
        self.0.allowed()
    }

    /// Bytes that all accounts together hold.
    pub fn total(&self) -> usize {
        self.0.total.get()
    }

    /// The most that all accounts together have held, outside of an eviction.
    pub fn peak(&self) -> usize {
        self.0.peak.get()
    }

    /// Bytes that the accounts of an owner hold.
    pub fn held(&self, owner: Owner) -> usize {
        self.0.gauge(owner).held.get()
    }

    /// How many accounts of an owner were evicted.
    pub fn evicted(&self, owner: Owner) -> u64 {
        self.0.gauge(owner).evicted.get()
    }

    /// Whether the accounts have held more than is allowed, and have not fallen well
    /// below it since.
    pub fn is_short(&self) -> bool {
        self.0.short.get()
    }

    /// Opens an account, which holds nothing yet.
    pub fn open(&self, owner: Owner) -> Account {
        let ledger = self.0.clone();
        let number = ledger.next_number.get();
        ledger.next_number.set(number + 1);
        let slot = Rc::new(Slot {
            owner,
            held: Cell::default(),
            evicted: Cell::default(),
            callback: RefCell::default(),
            notify: Notify::new(),
        });
        ledger.slots.borrow_mut().insert(number, slot.clone());
        Account {
            ledger,
            number,
            slot,
        }
    }
}

impl Ledger {
    fn allowed(&self) -> usize {
        let limit = usize::try_from(self.limit.get().as_u64()).unwrap_or(usize::MAX);
        limit / HELD_FRACTION
    }

    fn gauge(&self, owner: Owner) -> &Gauge {
        &self.gauges[owner as usize]
    }

    fn set(&self, slot: &Slot, bytes: usize) {
        let previous = slot.held.replace(bytes);
        let replaced = |count: usize| count - previous + bytes;
        self.total.set(replaced(self.total.get()));
        let held = &self.gauge(slot.owner).held;
        held.set(replaced(held.get()));
        if slot.evicted.get() {
            self.leaving.set(replaced(self.leaving.get()));
        }
    }

    /// Evicts the largest accounts while the others hold more than is allowed.
    fn settle(&self) {
        let allowed = self.allowed();
        while self.total.get() - self.leaving.get() > allowed {
            let Some(slot) = self.largest() else {
                break;
            };
            self.begin_shortage();
            slot.evicted.set(true);
            self.leaving.set(self.leaving.get() + slot.held.get());
            let evicted = &self.gauge(slot.owner).evicted;
            evicted.set(evicted.get() + 1);
            // The callback may change or close any account, this one included.
            let callback = slot.callback.borrow_mut().take();
            if let Some(callback) = callback {
                callback();
            }
            slot.notify.notify_waiters();
        }
        self.peak.set(self.peak.get().max(self.total.get()));
        if self.short.get() && self.total.get() < allowed / 100 * RECOVERY_PERCENT {
            self.short.set(false);
            log::info!(
                held = self.total.get(), limit:% = self.limit.get();
                "the memory held for other parties is back within its budget"
            );
        }
    }

    /// The account that holds most and is not evicted yet; the newest one of several.
    fn largest(&self) -> Option<Rc<Slot>> {
        let slots = self.slots.borrow();
        let staying = slots.iter().filter(|(_, slot)| !slot.evicted.get());
        let largest = staying.max_by_key(|(number, slot)| (slot.held.get(), **number));
        largest.map(|(_, slot)| slot.clone())
    }

    fn begin_shortage(&self) {
        if self.short.replace(true) {
            return;
        }
        let held = |owner| self.gauge(owner).held.get();
        log::warn!(
            held = self.total.get(), limit:% = self.limit.get(),
            callers = held(Owner::Callers), upstream = held(Owner::Upstream),
            links = held(Owner::Links), store = held(Owner::Store);
            "the memory held for other parties exceeds its budget; what holds most is given up"
        );
    }
}

/// What one buffer, or one group of buffers, takes from a [`Budget`]. Dropping it gives
/// everything back.
pub struct Account {
    ledger: Rc<Ledger>,
    number: u64,
    slot: Rc<Slot>,
}

impl fmt::Debug for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Account")
            .field("owner", &self.slot.owner)
            .field("held", &self.held())
            .field("evicted", &self.is_evicted())
            .finish_non_exhaustive()
    }
}

impl Account {
    /// Calls a function once when the account is evicted, or at once if it is already.
    ///
    /// It runs within the call of [`Account::set`] or [`Account::add`] that exceeded the
    /// budget, which may be of any other account.
    pub fn on_eviction(&self, callback: impl FnOnce() + 'static) {
        match self.is_evicted() {
            true => callback(),
            false => *self.slot.callback.borrow_mut() = Some(Box::new(callback)),
        }
    }

    /// Bytes that the account holds.
    pub fn held(&self) -> usize {
        self.slot.held.get()
    }

    /// Reports the capacity that is kept alive, in bytes. Returns whether the account
    /// may go on.
    pub fn set(&self, bytes: usize) -> bool {
        let grows = bytes > self.held();
        self.ledger.set(&self.slot, bytes);
        if grows || self.ledger.short.get() {
            self.ledger.settle();
        }
        !self.is_evicted()
    }

    /// Reports that further bytes are kept alive. Returns whether the account may go on.
    pub fn add(&self, bytes: usize) -> bool {
        self.set(self.held() + bytes)
    }

    /// Reports that bytes were released.
    pub fn sub(&self, bytes: usize) {
        self.set(self.held().saturating_sub(bytes));
    }

    /// Whether the owner of the account must release what it holds.
    pub fn is_evicted(&self) -> bool {
        self.slot.evicted.get()
    }

    /// Waits until the account is evicted.
    pub async fn evicted(&self) {
        while !self.is_evicted() {
            self.slot.notify.notified().await;
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.ledger.slots.borrow_mut().remove(&self.number);
        self.set(0);
    }
}
