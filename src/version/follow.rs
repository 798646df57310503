//! Follows one value of the store: its newest version, and how sure that is.
//!
//! The [`Follower`] reads the value once and then waits for changes. It adopts
//! only higher versions, so that it never goes back, and keeps the last good
//! one when a newer one cannot be read. Its [`age`](Follower::age) is counted
//! from when the question was *sent* whose answer confirmed the version: an
//! answer may have been long on its way, and what it says holds at its sending
//! at the latest.

use std::{
    collections::BTreeMap,
    rc::Rc, //
};

use crate::{
    clock::{
        Span,
        Time, //
    },
    document::{
        Evacuation,
        Shared, //
    },
    error::Error,
    id::{
        Domain,
        Revision,
        Version, //
    },
    interface::Source,
    store::{
        Answer,
        Call,
        Change,
        Entry, //
    },
};

/// How long a question waits for changes. Two of them bound the age in quiet
/// times, which has to stay well below the bound on withdrawn keys.
const WAIT: Span = Span::from_ms(900);
/// The time between two questions while the store does not answer: at first,
/// and at most. Every call is counted, refused ones too; an outage that ends is
/// noticed this late.
const FIRST_PAUSE: Span = Span::from_ms(50);
const LONGEST_PAUSE: Span = Span::from_ms(800);
/// The time between two looks for a value that is not there yet.
const ABSENT_PAUSE: Span = Span::from_ms(400);

/// What an answer brought.
#[derive(Debug)]
pub enum Update {
    /// Nothing to act on.
    Nothing,
    /// A newer version, or the same one with other evacuations.
    Newer(Shared),
    /// A value that cannot be read, or goes back; the last good one stays.
    Unusable(Error),
}

/// Follows a configuration.
#[derive(Debug)]
pub struct Follower {
    source: Source,
    /// What is in force.
    snapshot: Shared,
    /// The last order on each failure domain.
    evacuations: BTreeMap<Domain, Evacuation>,
    /// Where the next question goes on; a fresh look when absent.
    after: Option<Revision>,
    /// When the open question was sent.
    asked: Option<Time>,
    next: Time,
    pause: Span,
    confirmed: Option<Time>,
    /// The revision that was looked at last, so that a bad one is told once.
    seen: Revision,
}

impl Follower {
    /// A follower that knows nothing.
    pub fn new(source: Source) -> Self {
        Self {
            source,
            snapshot: Shared::default(),
            evacuations: BTreeMap::new(),
            after: None,
            asked: None,
            next: Time::ZERO,
            pause: FIRST_PAUSE,
            confirmed: None,
            seen: Revision::default(),
        }
    }

    /// The time since the version in force was certainly the newest; nothing
    /// while that was never so.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.confirmed.map(|at| now.since(at))
    }

    /// When it has something to ask.
    pub fn next_call_at(&self) -> Time {
        match self.asked {
            Some(_) => Time::NEVER,
            None => self.next,
        }
    }

    /// Asks, if it is time.
    pub fn tick(&mut self, now: Time) -> Option<Call> {
        if self.asked.is_some() || now < self.next {
            return None;
        }
        self.asked = Some(now);
        Some(self.changes_call(self.after))
    }

    /// The question to the store for what has changed since a revision.
    pub fn changes_call(&self, after: Option<Revision>) -> Call {
        Call::changes(self.source.prefix, after, WAIT)
    }

    /// Takes what another node says that the store would have answered, and when
    /// that was certainly so.
    pub fn relayed_answer(&mut self, now: Time, confirmed: Time, answer: Answer) -> Update {
        if self.asked.is_some() {
            self.asked = Some(confirmed);
        }
        self.answer(now, answer)
    }

    /// Takes the answer to its question.
    pub fn answer(&mut self, now: Time, answer: Answer) -> Update {
        let Some(asked) = self.asked.take() else {
            return Update::Nothing;
        };
        let (entry, at) = match answer {
            Answer::Listing { entries, at } => {
                self.list_evacuations(&entries, at);
                let mut entries = entries.into_iter();
                (entries.find(|entry| entry.key == self.source.key), at)
            }
            Answer::Changes { changes, at } => {
                self.change_evacuations(&changes, at);
                let ours = changes.into_iter().filter(|c| c.key == self.source.key);
                (ours.filter_map(|change| change.entry).next_back(), at)
            }
            // The history is gone, or the store is: look afresh. A lost answer
            // may hide a change, so the place to go on from is not kept.
            Answer::Forgotten => {
                self.after = None;
                self.next = now;
                return Update::Nothing;
            }
            _ => {
                self.after = None;
                self.next = now + self.pause;
                self.pause = Span::from_ms(self.pause.as_ms() * 2).min(LONGEST_PAUSE);
                return Update::Nothing;
            }
        };
        self.pause = FIRST_PAUSE;
        self.next = now;
        if self.snapshot.version == Version(0) && entry.is_none() {
            self.next = now + ABSENT_PAUSE;
            return Update::Nothing;
        }
        self.after = Some(at);
        match entry {
            Some(entry) if entry.revision > self.seen => {
                self.seen = entry.revision;
                self.offer(asked, &entry.value)
            }
            _ => {
                self.confirm(asked);
                self.news(false)
            }
        }
    }

    /// All orders that stand; those that do not were taken back.
    fn list_evacuations(&mut self, entries: &[Entry], at: Revision) {
        let standing = entries.iter().filter_map(|entry| {
            let domain = (self.source.evacuated)(&entry.key)?;
            Some((domain, entry.revision))
        });
        let standing: BTreeMap<_, _> = standing.collect();
        for (domain, order) in &mut self.evacuations {
            let is_older = order.revision < at;
            if order.in_force && is_older && !standing.contains_key(domain) {
                *order = Evacuation {
                    in_force: false,
                    revision: at,
                };
            }
        }
        for (domain, revision) in standing {
            self.order(domain, true, revision);
        }
    }

    fn change_evacuations(&mut self, changes: &[Change], at: Revision) {
        for change in changes {
            if let Some(domain) = (self.source.evacuated)(&change.key) {
                let revision = change.entry.as_ref().map_or(at, |entry| entry.revision);
                self.order(domain, change.entry.is_some(), revision);
            }
        }
    }

    /// An older word on a domain than the last one changes nothing.
    fn order(&mut self, domain: Domain, in_force: bool, revision: Revision) {
        let order = Evacuation { in_force, revision };
        let known = self.evacuations.entry(domain).or_insert(order);
        if known.revision <= revision {
            *known = order;
        }
    }

    /// What is in force now, if it differs from what was.
    fn news(&mut self, newer: bool) -> Update {
        let is_new = newer || self.snapshot.evacuations != self.evacuations;
        if !is_new || self.snapshot.version == Version(0) {
            return Update::Nothing;
        }
        let snapshot = Rc::make_mut(&mut self.snapshot);
        snapshot.evacuations = self.evacuations.clone();
        Update::Newer(self.snapshot.clone())
    }

    fn offer(&mut self, asked: Time, value: &str) -> Update {
        match (self.source.read)(value) {
            Err(error) => Update::Unusable(error),
            Ok(snapshot) if snapshot.version < self.snapshot.version => {
                let reason = format!(
                    "version {} is older than version {} in force",
                    snapshot.version, self.snapshot.version
                );
                Update::Unusable(Error::new(crate::error::Code::StoreData, reason))
            }
            Ok(snapshot) => {
                let newer = snapshot.version > self.snapshot.version;
                if newer {
                    self.snapshot = Rc::new(snapshot);
                }
                self.confirm(asked);
                self.news(newer)
            }
        }
    }

    /// The version in force was the newest when the question was sent.
    fn confirm(&mut self, asked: Time) {
        self.confirmed = self.confirmed.max(Some(asked));
    }
}
