//! Requests under which upstreams have ended.
//!
//! A request that crashes the upstream which runs it would crash one after another, for
//! as long as its caller sends it again. The id doesn't show this, since each time it is
//! another one, so requests are recognized by what they ask for: their [`Work`].
//!
//! The inbound proxies of a pool keep count. All requests that an upstream runs when it
//! ends get one [end](Suspects::record_end) each, and one that is answered is
//! [cleared](Suspects::record_answer). Ends count only in sequence: a run that began before
//! the proxy knew of an earlier end adds nothing, so that upstreams which fail together
//! don't make a common request suspect. After [`MAX_ENDS`] ends in sequence a request is
//! held back, and then may run once as a trial. If that ends an upstream too, the request
//! is held back until it is forgotten.
//!
//! What a proxy learns it tells the other proxies of its pool. A lost message costs at
//! most one more end at each proxy that missed it. What one call has seen itself comes
//! with its attempts.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{
        Span,
        Time, //
    },
    context::Context,
    id, //
};

/// Number of ends in sequence from which on a request is held back.
pub const MAX_ENDS: u8 = 2;
/// How long it is held back before its trial. Upstreams that lost power together take about
/// as long to return, so that a common request is hardly held back after that.
const TRIAL_HOLD: Span = Span::from_secs(2);
/// Time within which the proxies of a pool begin a trial if no other one does.
const TRIAL_SPREAD: Span = Span::from_secs(1);
/// How long a request is remembered after the last end.
const RETENTION: Span = Span::from_secs(300);
/// Maximum number of requests that are remembered.
pub const MAX_ENTRIES: usize = 4096;
/// Interval at which a proxy repeats what it has recorded, for proxies that have started
/// since or have missed it.
const REPEAT_INTERVAL: Span = Span::from_secs(5);
/// Maximum number of requests in one message.
const MAX_REPORTED: usize = 512;

/// What a request asks for, and of whom. Two requests of different teams or routes
/// never count as the same, whatever their digests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Work {
    /// Its team.
    pub team: id::Team,
    /// Its route.
    pub route: id::Route,
    /// Its method, target and body.
    pub digest: id::Digest,
}

impl Work {
    /// Returns the work of a request, unless its body is streamed.
    pub fn of(route: &id::Route, context: &Context) -> Option<Self> {
        context.digest.map(|digest| Self {
            team: context.team.clone(),
            route: route.clone(),
            digest,
        })
    }
}

impl fmt::Display for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.team, self.route, self.digest)
    }
}

/// What one proxy tells the others of its pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Upstreams ended under these requests, or a trial of them has begun.
    Ended(Vec<Report>),
    /// These requests were answered.
    Cleared(Vec<Work>),
    /// The trials of these requests have shown nothing, so that another one may begin.
    Released(Vec<Report>),
}

/// What is known of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    pub work: Work,
    /// Number of ends in sequence.
    pub ends: u8,
    /// Time since the last end, or since the start of the last trial.
    pub age: Span,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.work, self.ends)
    }
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It isn't suspect.
    Clear,
    /// It is suspect, and the time for which it is held back is over.
    Trial,
    /// It is held back.
    Held,
}

/// What a call has seen itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// When its root arrived.
    pub since: Time,
    /// Number of its attempts under which an upstream ended.
    pub ends: u8,
}

impl Seen {
    /// Returns the number of ends that are known in all. Those that the call has seen are
    /// among the recorded ones, unless these are older than the call.
    fn add_to(self, entry: Option<&Entry>) -> u8 {
        match entry {
            Some(entry) if entry.last < self.since => entry.ends.saturating_add(self.ends),
            Some(entry) => entry.ends.max(self.ends),
            None => self.ends,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    ends: u8,
    /// When this proxy learned of the first end.
    first: Time,
    /// Time of the last end, or of the start of the last trial.
    last: Time,
    /// Start of the last trial at this proxy.
    trial: Option<Time>,
    /// Whether this proxy recorded the last end.
    own: bool,
}

/// The requests under which upstreams of one pool have ended.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// Distinguishes this proxy from the others of its pool.
    salt: u64,
    entries: BTreeMap<Work, Entry>,
    /// Entries in the order in which they make room for others: those that aren't held
    /// back first, then by age.
    order: BTreeSet<(bool, Time, Work)>,
    last_repeat: Time,
}

impl Suspects {
    /// Creates the memory of the proxy that this salt distinguishes.
    pub fn new(salt: u64) -> Self {
        Self {
            salt,
            ..Self::default()
        }
    }

    /// Returns whether a request may run.
    pub fn judge(&self, now: Time, work: &Work, seen: Seen) -> Judgement {
        let entry = self.entries.get(work);
        if seen.add_to(entry) < MAX_ENDS {
            return Judgement::Clear;
        }
        match entry {
            // An end that the call has just seen may not have been reported here yet.
            _ if seen.ends > 0 => Judgement::Held,
            Some(entry) if entry.ends > MAX_ENDS => Judgement::Held,
            Some(entry) if now >= entry.last + TRIAL_HOLD + self.trial_delay(work) => {
                Judgement::Trial
            }
            _ => Judgement::Held,
        }
    }

    /// Records that a request starts. The trial of a suspect is reported, so that no other
    /// proxy begins one meanwhile.
    pub fn record_start(&mut self, now: Time, work: &Work) -> Option<Report> {
        let entry = self.entries.get(work).copied()?;
        let trial = Entry {
            last: now,
            trial: Some(now),
            own: true,
            ..entry
        };
        (entry.ends >= MAX_ENDS).then(|| self.set(now, work, trial))
    }

    /// Records that the upstream ended while it ran a request since `started`. Returns
    /// what is known of it now, if that has changed. A suspect gets a further end only by
    /// a trial: other runs of it began before it became one.
    pub fn record_end(
        &mut self,
        now: Time,
        work: &Work,
        started: Time,
        seen: Seen,
    ) -> Option<Report> {
        let Some(entry) = self.entries.get(work).copied() else {
            let ends = seen.ends.saturating_add(1);
            return Some(self.set(now, work, Entry::new(ends, now, true)));
        };
        let known = seen.add_to(Some(&entry));
        let is_further = match entry.ends < MAX_ENDS {
            true => started > entry.last || known > entry.ends || seen.ends >= entry.ends,
            false => entry.trial == Some(started),
        };
        let ended = Entry {
            ends: known.saturating_add(1),
            last: now,
            trial: None,
            own: true,
            ..entry
        };
        is_further.then(|| self.set(now, work, ended))
    }

    /// Records that a run since `started` was answered, which clears the request. A run
    /// that began before the first end doesn't count: the request may do harm only since
    /// then. Returns whether the request was suspected.
    pub fn record_answer(&mut self, work: &Work, started: Time) -> bool {
        let entry = self.entries.get(work);
        entry.is_some_and(|entry| started > entry.first) && self.forget(work)
    }

    /// Records that the upstream neither answered nor ended under a run since `started`. If
    /// it was a trial, returns what is to be reported, so that another one may begin.
    pub fn record_nothing(&mut self, now: Time, work: &Work, started: Time) -> Option<Report> {
        let entry = self.entries.get(work).copied()?;
        if entry.trial != Some(started) {
            return None;
        }
        let last = Time::from_ms(now.as_ms().saturating_sub(TRIAL_HOLD.as_ms()));
        self.release(now, work, entry.ends, last)
    }

    fn release(&mut self, now: Time, work: &Work, ends: u8, last: Time) -> Option<Report> {
        let entry = self.entries.get(work).copied()?;
        let released = Entry {
            last,
            trial: None,
            ..entry
        };
        (entry.ends == ends).then(|| self.set(now, work, released))
    }

    fn forget(&mut self, work: &Work) -> bool {
        let Some(entry) = self.entries.remove(work) else {
            return false;
        };
        self.order.remove(&order_key(work, entry))
    }

    /// Takes over what another proxy reports.
    pub fn learn(&mut self, now: Time, message: &Message) {
        match message {
            Message::Cleared(works) => works.iter().for_each(|work| {
                self.forget(work);
            }),
            Message::Released(reports) => reports.iter().for_each(|report| {
                let last = Time::from_ms(now.as_ms().saturating_sub(report.age.as_ms()));
                self.release(now, &report.work, report.ends, last);
            }),
            Message::Ended(reports) => reports.iter().for_each(|report| self.merge(now, report)),
        }
    }

    /// How much later than allowed this proxy begins a trial. It differs between proxies, so
    /// that the others have heard of the first one's.
    fn trial_delay(&self, work: &Work) -> Span {
        let random = xxh3_64_with_seed(&work.digest.0.to_le_bytes(), self.salt);
        Span::from_ms(random % TRIAL_SPREAD.as_ms())
    }

    fn merge(&mut self, now: Time, report: &Report) {
        let last = Time::from_ms(now.as_ms().saturating_sub(report.age.as_ms()));
        let entry = self.entries.get(&report.work).copied();
        if entry.is_some_and(|entry| entry.ends >= report.ends && entry.last >= last) {
            return;
        }
        let merged = match entry {
            Some(entry) => Entry {
                ends: entry.ends.max(report.ends),
                last: entry.last.max(last),
                own: false,
                ..entry
            },
            None => Entry::new(report.ends, last, false),
        };
        self.set(now, &report.work, merged);
    }

    /// Forgets requests whose last end is too long ago. Returns the suspects that this
    /// proxy has recorded if it is time to repeat them.
    pub fn tick(&mut self, now: Time) -> Vec<Report> {
        self.entries.retain(|work, entry| {
            let is_kept = now.since(entry.last) < RETENTION;
            if !is_kept {
                self.order.remove(&order_key(work, *entry));
            }
            is_kept
        });
        if now.since(self.last_repeat) < REPEAT_INTERVAL {
            return Vec::new();
        }
        self.last_repeat = now;
        let own = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.own && entry.ends >= MAX_ENDS);
        let reports = own.map(|(work, entry)| entry.report(now, work));
        reports.take(MAX_REPORTED).collect()
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn set(&mut self, now: Time, work: &Work, entry: Entry) -> Report {
        self.forget(work);
        while self.entries.len() >= MAX_ENTRIES
            && let Some((_, _, oldest)) = self.order.pop_first()
        {
            self.entries.remove(&oldest);
        }
        self.order.insert(order_key(work, entry));
        self.entries.insert(work.clone(), entry);
        entry.report(now, work)
    }
}

impl Entry {
    fn new(ends: u8, at: Time, own: bool) -> Self {
        Self {
            ends,
            first: at,
            last: at,
            trial: None,
            own,
        }
    }

    fn report(self, now: Time, work: &Work) -> Report {
        Report {
            work: work.clone(),
            ends: self.ends,
            age: now.since(self.last),
        }
    }
}

fn order_key(work: &Work, entry: Entry) -> (bool, Time, Work) {
    (entry.ends >= MAX_ENDS, entry.last, work.clone())
}
