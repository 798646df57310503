//! Follows one value of the store: its newest version, and how recently that
//! version was confirmed.
//!
//! The [`Follower`] reads the value once and then waits for changes. It adopts
//! only higher versions, so that it never goes back, and keeps the last valid
//! one when a newer one cannot be read. Its [`age`](Follower::age) counts from
//! when the call was *sent* whose answer confirmed the version: the answer may
//! have been delayed, and nothing in it is certain for any later time.

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

/// How long a call waits in the store for changes. While nothing changes, the
/// age is at most two such waits, and it has to stay well below the time within
/// which a revoked key must stop working.
const WATCH_WAIT: Span = Span::from_ms(900);
/// The first and the longest delay between two calls while the store does not
/// answer. Longer delays save calls, which are all counted, refused ones too;
/// shorter ones detect the end of an outage sooner.
const MIN_RETRY_DELAY: Span = Span::from_ms(50);
const MAX_RETRY_DELAY: Span = Span::from_ms(800);
/// The delay between two reads while the value does not exist yet.
const ABSENT_VALUE_DELAY: Span = Span::from_ms(400);

/// The effect of an answer on the configuration in force.
#[derive(Debug)]
pub enum Update {
    /// Nothing to act on.
    Nothing,
    /// A newer version, or the same one with other evacuations.
    Newer(Shared),
    /// A value that cannot be read or has an older version; the last valid one stays.
    Unusable(Error),
}

/// Follows a configuration in the store.
#[derive(Debug)]
pub struct Follower {
    source: Source,
    /// The configuration in force.
    snapshot: Shared,
    /// The latest evacuation state of each failure domain.
    evacuations: BTreeMap<Domain, Evacuation>,
    /// The revision after which the next call asks for changes; `None` reads all.
    after: Option<Revision>,
    /// When the pending call was sent.
    sent_at: Option<Time>,
    next_at: Time,
    retry_delay: Span,
    confirmed: Option<Time>,
    /// The last revision that was read, so that a bad one is reported only once.
    last_read: Revision,
}

impl Follower {
    /// Creates a follower that has read nothing yet.
    pub fn new(source: Source) -> Self {
        Self {
            source,
            snapshot: Shared::default(),
            evacuations: BTreeMap::new(),
            after: None,
            sent_at: None,
            next_at: Time::ZERO,
            retry_delay: MIN_RETRY_DELAY,
            confirmed: None,
            last_read: Revision::default(),
        }
    }

    /// Returns the time since the version in force was last known to be the
    /// newest, or `None` if it never was.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Returns when the next call is due.
    pub fn next_call_at(&self) -> Time {
        match self.sent_at {
            Some(_) => Time::NEVER,
            None => self.next_at,
        }
    }

    /// Returns the next call if it is due.
    pub fn tick(&mut self, now: Time) -> Option<Call> {
        if self.sent_at.is_some() || now < self.next_at {
            return None;
        }
        self.sent_at = Some(now);
        Some(self.changes_call(self.after, WATCH_WAIT))
    }

    /// Builds the call that asks the store what has changed since a revision, and waits
    /// for changes.
    pub fn changes_call(&self, after: Option<Revision>, wait: Span) -> Call {
        Call::changes(self.source.prefix, after, wait)
    }

    /// Processes the answer to a call that was made beside the pending one, at `sent_at`.
    pub fn extra_answer(&mut self, sent_at: Time, answer: Answer) -> Update {
        let applied = self.apply(sent_at, answer);
        applied.map_or(Update::Nothing, |(_, update)| update)
    }

    /// Processes an answer of the store as relayed by another node; `confirmed` is
    /// the time at which that node knew it to be current.
    pub fn relayed_answer(&mut self, now: Time, confirmed: Time, answer: Answer) -> Update {
        if self.sent_at.is_some() {
            self.sent_at = Some(confirmed);
        }
        self.answer(now, answer)
    }

    /// Processes the answer to the pending call.
    pub fn answer(&mut self, now: Time, answer: Answer) -> Update {
        let Some(sent_at) = self.sent_at.take() else {
            return Update::Nothing;
        };
        match answer {
            Answer::Listing { .. } | Answer::Partial { .. } | Answer::Changes { .. } => {
                self.retry_delay = MIN_RETRY_DELAY;
                let Some((at, update)) = self.apply(sent_at, answer) else {
                    self.next_at = now + ABSENT_VALUE_DELAY;
                    return Update::Nothing;
                };
                self.next_at = now;
                self.after = Some(at);
                update
            }
            // The store has dropped its history, or the call failed: read
            // everything again. A lost answer may have contained a change, so
            // the revision to continue from is not kept.
            Answer::Compacted => {
                self.after = None;
                self.next_at = now;
                Update::Nothing
            }
            _ => {
                self.after = None;
                self.next_at = now + self.retry_delay;
                self.retry_delay = Span::from_ms(self.retry_delay.as_ms() * 2).min(MAX_RETRY_DELAY);
                Update::Nothing
            }
        }
    }

    /// Applies the entries of an answer to a call sent at `sent_at`. Returns the revision
    /// from which to continue; `None` if there is no value yet, or if it is not known
    /// whether there is one.
    fn apply(&mut self, sent_at: Time, answer: Answer) -> Option<(Revision, Update)> {
        let is_partial = matches!(answer, Answer::Partial { .. });
        let (entry, at) = match answer {
            Answer::Listing { entries, at } => {
                self.list_evacuations(&entries, at);
                let mut entries = entries.into_iter();
                (entries.find(|entry| entry.key == self.source.key), at)
            }
            Answer::Partial { entries, at } => {
                self.add_evacuations(&entries);
                let mut entries = entries.into_iter();
                (entries.find(|entry| entry.key == self.source.key), at)
            }
            Answer::Changes { changes, at } => {
                self.change_evacuations(&changes, at);
                let ours = changes.into_iter().filter(|c| c.key == self.source.key);
                (ours.filter_map(|change| change.entry).next_back(), at)
            }
            _ => return None,
        };
        let is_unreadable = |entry: &Entry| entry.revision == Revision::default();
        let is_unknown = match &entry {
            None => is_partial || self.snapshot.version == Version(0),
            Some(entry) => is_unreadable(entry) && self.snapshot.version == Version(0),
        };
        if is_unknown {
            return None;
        }
        let update = match entry {
            // It may hold a newer version.
            Some(entry) if is_unreadable(&entry) => self.take_update(false),
            Some(entry) if entry.revision > self.last_read => {
                self.last_read = entry.revision;
                self.read_value(sent_at, &entry.value)
            }
            _ => {
                self.confirm(sent_at);
                self.take_update(false)
            }
        };
        Some((at, update))
    }

    /// Updates the evacuations from a full listing: those missing from it have ended.
    fn list_evacuations(&mut self, entries: &[Entry], at: Revision) {
        let listed = entries.iter().filter_map(|entry| {
            let domain = (self.source.evacuated)(&entry.key)?;
            Some((domain, entry.revision))
        });
        let listed: BTreeMap<_, _> = listed.collect();
        for (domain, evacuation) in &mut self.evacuations {
            let is_older = evacuation.revision < at;
            if evacuation.in_force && is_older && !listed.contains_key(domain) {
                *evacuation = Evacuation {
                    in_force: false,
                    revision: at,
                };
            }
        }
        for (domain, revision) in listed {
            self.set_evacuation(domain, true, revision);
        }
    }

    /// Adds the evacuations of a listing that lacks some entries.
    fn add_evacuations(&mut self, entries: &[Entry]) {
        for entry in entries {
            if let Some(domain) = (self.source.evacuated)(&entry.key) {
                self.set_evacuation(domain, true, entry.revision);
            }
        }
    }

    fn change_evacuations(&mut self, changes: &[Change], at: Revision) {
        for change in changes {
            if let Some(domain) = (self.source.evacuated)(&change.key) {
                let revision = change.entry.as_ref().map_or(at, |entry| entry.revision);
                self.set_evacuation(domain, change.entry.is_some(), revision);
            }
        }
    }

    /// Records the evacuation state of a domain unless a newer one is known.
    fn set_evacuation(&mut self, domain: Domain, in_force: bool, revision: Revision) {
        let evacuation = Evacuation { in_force, revision };
        let known = self.evacuations.entry(domain).or_insert(evacuation);
        if known.revision <= revision {
            *known = evacuation;
        }
    }

    /// Returns the configuration in force if it differs from the one before.
    fn take_update(&mut self, newer: bool) -> Update {
        let is_new = newer || self.snapshot.evacuations != self.evacuations;
        if !is_new || self.snapshot.version == Version(0) {
            return Update::Nothing;
        }
        let snapshot = Rc::make_mut(&mut self.snapshot);
        snapshot.evacuations = self.evacuations.clone();
        Update::Newer(self.snapshot.clone())
    }

    fn read_value(&mut self, sent_at: Time, value: &str) -> Update {
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
                self.confirm(sent_at);
                self.take_update(newer)
            }
        }
    }

    /// Records that the version in force was the newest when the call was sent.
    fn confirm(&mut self, sent_at: Time) {
        self.confirmed = self.confirmed.max(Some(sent_at));
    }
}
