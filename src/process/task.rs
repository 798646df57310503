//! Supervision of tasks, and containment of panics.
//!
//! A node lives by its [`Essential`] tasks. One that ends is started again; if the tasks
//! of a node end too often, the node drains and its process exits. Everything else that
//! runs is a [`Unit`] of work: a panic costs this unit, whose caller or peer gets an
//! answer, and nothing beyond it.
//!
//! Shared state is kept in cells whose borrows end with the unwinding, so that a panic
//! leaves no lock behind. What it may leave half changed is bounded by a [`Budget`]: a
//! node that panics again and again is no longer trusted.

use std::{
    any::Any,
    cell::RefCell,
    collections::{
        BTreeMap,
        VecDeque, //
    },
    fmt,
    future::Future,
    panic::{
        AssertUnwindSafe,
        catch_unwind, //
    },
    rc::Rc,
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

/// A task without which a node does not work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Essential {
    /// Runs timers and maintenance.
    Ticks,
    /// Receives datagrams.
    Datagrams,
    /// Accepts links of other nodes.
    Links,
    /// Accepts connections of callers.
    Callers,
    /// Accepts connections of the local service.
    Service,
    /// Accepts announcements of the service.
    Announcements,
    /// Accepts readiness checks.
    Readiness,
    /// Accepts connections of operators.
    Operators,
    /// Probes the health of the upstream.
    Probe,
    /// Reloads the settings.
    Settings,
    /// Waits for signals to stop.
    Signals,
}

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

impl Essential {
    const fn name(self) -> &'static str {
        match self {
            Self::Ticks => "Ticks",
            Self::Datagrams => "Datagrams",
            Self::Links => "Links",
            Self::Callers => "Callers",
            Self::Service => "Service",
            Self::Announcements => "Announcements",
            Self::Readiness => "Readiness",
            Self::Operators => "Operators",
            Self::Probe => "Probe",
            Self::Settings => "Settings",
            Self::Signals => "Signals",
        }
    }
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl fmt::Display for Essential {
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

/// Returns the name of the task that is running; empty if it has none.
pub(crate) fn current_name() -> &'static str {
    NAME.try_with(|name| *name).unwrap_or_default()
}

/// Limits how often something may happen within a time.
#[derive(Clone, Debug)]
pub struct Budget {
    max: usize,
    window: Span,
    taken: VecDeque<Time>,
}

impl Budget {
    /// Ends of essential tasks that a node survives.
    pub const RESTARTS: Self = Self::new(5, Span::from_secs(60));
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

/// Pause before a task is started again.
const RESTART_PAUSE: Span = Span::from_ms(10);

/// The state of a node's essential tasks.
#[derive(Debug)]
pub(crate) struct Tasks {
    running: RefCell<BTreeMap<Essential, bool>>,
    restarts: RefCell<Budget>,
    decisions: RefCell<Budget>,
}

impl Default for Tasks {
    fn default() -> Self {
        Self {
            running: RefCell::default(),
            restarts: RefCell::new(Budget::RESTARTS),
            decisions: RefCell::new(Budget::DECISIONS),
        }
    }
}

impl Tasks {
    /// Returns the essential tasks of the node, and whether each runs.
    pub(crate) fn running(&self) -> Vec<(Essential, bool)> {
        let running = self.running.borrow();
        running.iter().map(|(task, runs)| (*task, *runs)).collect()
    }

    fn set_running(&self, task: Essential, runs: bool) {
        self.running.borrow_mut().insert(task, runs);
    }
}

/// Runs an essential task, and starts it again whenever it ends.
///
/// It is started again even when the node has failed, as a drain needs it too.
pub(crate) async fn supervise<F, Fut>(carrier: Rc<Carrier>, task: Essential, start: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = ()>,
{
    loop {
        carrier.tasks.set_running(task, true);
        let end = named(task.name(), contain_future(async { start().await })).await;
        carrier.tasks.set_running(task, false);
        carrier.task_ended(task, end.err());
        tokio::time::sleep(RESTART_PAUSE.to_std()).await;
    }
}

/// Runs a unit of work, and catches its panic.
pub(crate) async fn contain_unit<T>(unit: Unit, work: impl Future<Output = T>) -> Result<T, Panic> {
    named(unit.name(), contain_future(work)).await
}

impl Carrier {
    /// Handles the end of an essential task, which is always a fault.
    fn task_ended(&self, task: Essential, panic: Option<Panic>) {
        self.count(Counter::TaskEnded(task));
        let reason = panic.map_or_else(|| "it returned".to_owned(), |panic| panic.to_string());
        // A panic of the logger must not end the supervision.
        let _ = contain(|| {
            log::error!(task:% = task, panic = reason; "a task of the node has ended");
        });
        if !self.tasks.restarts.borrow_mut().take(Clock.now()) {
            self.fail(task.name());
        }
    }

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
