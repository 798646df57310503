//! Acknowledged departures of the upstream, kept in the store across restarts.
//!
//! A node that has acknowledged a departure must not send requests to that upstream any
//! more, and neither must the node's next process. So the departure is written under a key
//! of its own, with a lease that does not depend on the process.
//!
//! A starting node learns whether there is such an entry from its first write, which
//! succeeds only if there is none. Thus a restart costs a call of its own only after a
//! departure.
//!
//! While the store is away, a departure may have been acknowledged without having been
//! written. That an entry is missing therefore proves nothing if the store has already
//! failed to answer this process.

use super::CallSchedule;
use crate::{
    announce::Departure,
    clock::{
        Span,
        Time, //
    },
    id::{
        Instance,
        Lease, //
    },
    store::{
        Answer,
        Call,
        Entry, //
    },
};

/// Key prefix of the departures, by instance.
pub const DEPARTURE_PREFIX: &str = "bluebellswitch/departures/";

/// How long a departure is kept. An upstream that leaves exits within seconds to minutes.
const DEPARTURE_TTL: Span = Span::from_secs(600);
/// Time to write a departure after which the other nodes are told of it, and the longest
/// time between two such messages.
const FIRST_REPORT_DELAY: Span = Span::from_ms(200);
const MAX_REPORT_INTERVAL: Span = Span::from_secs(4);

/// What is known of the departures that earlier processes of this node acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Earlier {
    /// The first write decides whether there is an entry.
    Unasked,
    /// There may be an entry, which is to be read.
    Unread,
    /// It is known as far as the store can tell.
    Known,
}

/// What the store says about the departures that earlier processes acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inquiry {
    /// The departure in the store.
    pub departure: Option<Departure>,
    /// Whether there can be no later one.
    pub is_conclusive: bool,
}

/// A departure that is not in the store yet.
#[derive(Clone, Debug)]
struct Pending {
    departure: Departure,
    /// When the other nodes are told of it.
    report_at: Time,
    report_interval: Span,
    /// Whether there were other nodes to tell.
    is_reported: bool,
}

/// The departures of this node's upstream.
#[derive(Clone, Debug)]
pub(super) struct Departures {
    key: String,
    task: CallSchedule,
    lease: Option<Lease>,
    earlier: Earlier,
    /// Whether a call was lost before it was known what the store holds.
    is_doubtful: bool,
    inquiry: Option<Inquiry>,
    pending: Option<Pending>,
    stored: Option<Departure>,
}

impl Departures {
    pub(super) fn new(instance: &Instance) -> Self {
        Self {
            key: format!("{DEPARTURE_PREFIX}{instance}"),
            task: CallSchedule::new(),
            lease: None,
            earlier: Earlier::Unasked,
            is_doubtful: false,
            inquiry: None,
            pending: None,
            stored: None,
        }
    }

    /// The key that the first write of this process expects not to exist.
    pub(super) fn expected_absent(&self) -> Option<&str> {
        (self.earlier == Earlier::Unasked).then_some(&*self.key)
    }

    /// Handles the success of the first write.
    pub(super) fn handle_absent(&mut self) {
        if self.earlier == Earlier::Unasked {
            self.conclude(None);
        }
    }

    /// Reads the entry unless it is known, as the first write does not decide whether there
    /// is one.
    pub(super) fn read_entry(&mut self, now: Time) {
        if self.earlier == Earlier::Unasked {
            self.earlier = Earlier::Unread;
            self.task.next_at = now;
        }
    }

    /// Handles a lost call of the registration.
    pub(super) fn handle_lost(&mut self) {
        self.is_doubtful |= self.earlier != Earlier::Known;
    }

    fn conclude(&mut self, departure: Option<Departure>) {
        self.earlier = Earlier::Known;
        self.stored = self.stored.take().or_else(|| departure.clone());
        self.inquiry = Some(Inquiry {
            departure,
            is_conclusive: !self.is_doubtful,
        });
    }

    /// Takes what the store says about earlier departures, once.
    pub(super) fn take_inquiry(&mut self) -> Option<Inquiry> {
        self.inquiry.take()
    }

    /// Records a departure that is about to be acknowledged. A later announcement of the
    /// same departure adds nothing.
    pub(super) fn record(&mut self, now: Time, departure: Departure) {
        let pending = self.pending.as_ref().map(|pending| &pending.departure);
        let mut known = pending.into_iter().chain(&self.stored);
        if known.any(|known| known.is_same_life(&departure)) {
            return;
        }
        self.lease = None;
        self.pending = Some(Pending {
            departure,
            report_at: now + FIRST_REPORT_DELAY,
            report_interval: FIRST_REPORT_DELAY,
            is_reported: false,
        });
        self.task.next_at = self.task.next_at.min(now);
    }

    /// Handles an upstream that accepts requests again: its next departure is another one.
    pub(super) fn retract(&mut self) {
        self.pending = None;
        self.stored = None;
    }

    /// Whether everything recorded is in the store.
    pub(super) fn is_stored(&self) -> bool {
        self.pending.is_none()
    }

    /// Whether everything recorded is in the store, or at other nodes.
    pub(super) fn is_held(&self) -> bool {
        let pending = self.pending.as_ref();
        pending.is_none_or(|pending| pending.is_reported)
    }

    /// Handles a report that other nodes were sent.
    pub(super) fn handle_reported(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.is_reported = true;
        }
    }

    /// Returns the departure of which the other nodes are to be told now.
    pub(super) fn take_report(&mut self, now: Time) -> Option<Departure> {
        let pending = self.pending.as_mut()?;
        if now < pending.report_at {
            return None;
        }
        pending.report_at = now + pending.report_interval;
        let doubled = Span::from_ms(pending.report_interval.as_ms().saturating_mul(2));
        pending.report_interval = doubled.min(MAX_REPORT_INTERVAL);
        Some(pending.departure.clone())
    }

    pub(super) fn due(&self) -> Time {
        let report = self.pending.as_ref().map(|pending| pending.report_at);
        let call = match self.has_work() {
            true => self.task.due(),
            false => Time::NEVER,
        };
        call.min(report.unwrap_or(Time::NEVER))
    }

    fn has_work(&self) -> bool {
        self.earlier == Earlier::Unread || self.pending.is_some()
    }

    /// Returns the store call that is due.
    pub(super) fn next_call(&mut self, now: Time) -> Option<Call> {
        if !self.has_work() || now < self.task.due() {
            return None;
        }
        let call = self.call()?;
        self.task.begin(now);
        Some(call)
    }

    fn call(&self) -> Option<Call> {
        let key = self.key.clone();
        if self.earlier == Earlier::Unread {
            return Some(Call::Get { key });
        }
        let pending = self.pending.as_ref()?;
        let Some(lease) = self.lease else {
            return Some(Call::Grant { ttl: DEPARTURE_TTL });
        };
        let value = serde_json::to_string(&pending.departure).ok()?;
        let lease = Some(lease);
        Some(Call::Put { key, value, lease })
    }

    pub(super) fn handle_answer(&mut self, now: Time, answer: Answer) {
        match answer {
            Answer::Value(entry) => {
                self.task.succeed(now);
                let departure = entry.as_ref().map(parse);
                self.is_doubtful |= departure == Some(None);
                self.conclude(departure.flatten());
            }
            Answer::Leased { lease, .. } => {
                self.task.succeed(now);
                self.lease = Some(lease);
            }
            Answer::Swapped(_) => {
                self.task.succeed(now);
                self.lease = None;
                let written = self.pending.take().map(|pending| pending.departure);
                self.stored = written.or(self.stored.take());
            }
            Answer::Expired => {
                self.task.succeed(now);
                self.lease = None;
            }
            _ => {
                self.task.fail(now);
                self.handle_lost();
            }
        }
    }
}

/// Parses a departure; `None` if it is malformed.
fn parse(entry: &Entry) -> Option<Departure> {
    serde_json::from_str(&entry.value).ok()
}
