//! Containment of panics.
//!
//! What runs is a [`Unit`] of work: a panic costs this unit, whose caller or peer gets an
//! answer, and nothing beyond it.
//!
//! Shared state is kept in cells whose borrows end with the unwinding, so that a panic
//! leaves no lock behind. What it may leave half changed is bounded by a [`Budget`]: a
//! node that panics again and again is no longer trusted.

use std::{
    any::Any,
    cell::RefCell,
    collections::VecDeque,
    fmt,
    future::Future,
    panic::{
        AssertUnwindSafe,
        catch_unwind, //
    },
};

use futures_util::FutureExt;

use crate::{
    carrier::Carrier,
    clock::{
        Clock,
        Span,
        Time, //
    },
    metric::Counter,
};

/// A unit of work that a panic ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Unit {
    /// An event that the decision core handles.
    Event,
    /// An action that the decision core has returned.
    Action,
    /// A request of a caller, an operator or the service.
    Request,
    /// An attempt at the upstream.
    Attempt,
    /// The transfer of a request body.
    Body,
    /// A connection of a caller.
    Connection,
    /// A link to or from another node.
    Link,
    /// A call to the store.
    StoreCall,
}

impl Unit {
    const fn name(self) -> &'static str {
        match self {
            Self::Event => "Event",
            Self::Action => "Action",
            Self::Request => "Request",
            Self::Attempt => "Attempt",
            Self::Body => "Body",
            Self::Connection => "Connection",
            Self::Link => "Link",
            Self::StoreCall => "StoreCall",
        }
    }
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The message of a caught panic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Panic(String);

impl fmt::Display for Panic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<Box<dyn Any + Send>> for Panic {
    fn from(payload: Box<dyn Any + Send>) -> Self {
        Self(payload_text(&*payload).to_owned())
    }
}

/// Returns the message that a panic carries.
pub(crate) fn payload_text(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("a panic without a message")
}

/// Runs a step, and catches its panic.
pub(crate) fn contain<T>(step: impl FnOnce() -> T) -> Result<T, Panic> {
    catch_unwind(AssertUnwindSafe(step)).map_err(Panic::from)
}

/// Runs a future, and catches its panic.
async fn contain_future<T>(future: impl Future<Output = T>) -> Result<T, Panic> {
    let outcome = AssertUnwindSafe(future).catch_unwind().await;
    outcome.map_err(Panic::from)
}

tokio::task_local! {
    static NAME: &'static str;
}

/// Runs a future under a name, which the log line of a panic carries.
async fn named<T>(name: &'static str, future: impl Future<Output = T>) -> T {
    NAME.scope(name, future).await
}

/// Limits how often something may happen within a time.
#[derive(Clone, Debug)]
pub struct Budget {
    max: usize,
    window: Span,
    taken: VecDeque<Time>,
}

impl Budget {
    /// Panics of the decision core and of its actions that a node survives.
    pub const DECISIONS: Self = Self::new(20, Span::from_secs(10));

    /// Allows `max` occurrences within any period as long as the window.
    pub const fn new(max: usize, window: Span) -> Self {
        Self {
            max,
            window,
            taken: VecDeque::new(),
        }
    }

    /// Takes one occurrence. Returns false if there are too many.
    pub fn take(&mut self, now: Time) -> bool {
        let is_over = |taken: &Time| now.since(*taken) >= self.window;
        while self.taken.front().is_some_and(is_over) {
            self.taken.pop_front();
        }
        let allowed = self.taken.len() < self.max;
        if allowed {
            self.taken.push_back(now);
        }
        allowed
    }
}

/// What a node has survived.
#[derive(Debug)]
pub(crate) struct Tasks {
    decisions: RefCell<Budget>,
}

impl Default for Tasks {
    fn default() -> Self {
        Self {
            decisions: RefCell::new(Budget::DECISIONS),
        }
    }
}

/// Runs a unit of work, and catches its panic.
pub(crate) async fn contain_unit<T>(unit: Unit, work: impl Future<Output = T>) -> Result<T, Panic> {
    named(unit.name(), contain_future(work)).await
}

impl Carrier {
    /// Logs and counts a panic that ended a unit of work.
    pub(crate) fn record_panic(&self, unit: Unit, subject: &dyn fmt::Display, panic: &Panic) {
        self.count(Counter::Panicked(unit));
        let _ = contain(|| {
            log::error!(unit:% = unit, id:% = subject, panic:% = panic; "a panic was contained");
        });
    }

    /// Handles a panic of the decision core or of one of its actions.
    pub(crate) fn decision_panicked(&self, unit: Unit, subject: &'static str, panic: &Panic) {
        self.record_panic(unit, &subject, panic);
        if !self.tasks.decisions.borrow_mut().take(Clock.now()) {
            self.fail(subject);
        }
    }
}
