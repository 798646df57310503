//! Applies answers of the store, or of a watcher, to the view of the members.

use std::collections::BTreeSet;

use super::{
    Change,
    InvalidRecord,
    LAPSE_GRACE,
    Listing,
    RECORD_PREFIX,
    Record,
    WATCH_SETTLE_DELAY,
    parse_record, //
};
use crate::{
    clock::Time,
    id::{
        Instance,
        Revision, //
    },
    member::Status,
    store::{
        Answer,
        Entry, //
    },
};

impl Listing {
    pub(super) fn handle_answer(&mut self, now: Time, answer: Answer) -> Vec<Change> {
        let sent = self.task.sent_at;
        match answer {
            Answer::Listing { .. } | Answer::Partial { .. } => self.task.succeed(now),
            Answer::Changes { .. } => self.task.succeed(now + WATCH_SETTLE_DELAY),
            Answer::Compacted => {
                self.revision = None;
                self.task.succeed(now);
            }
            // Asking again after the same revision misses no change. A listing in its
            // place would add the load of the whole fleet to a store in trouble.
            _ => self.task.fail(now),
        }
        self.apply(now, sent, answer)
    }

    /// Applies the entries of an answer to a call sent at `sent`.
    pub(super) fn apply(&mut self, now: Time, sent: Time, answer: Answer) -> Vec<Change> {
        let previous_view = self.viewed_at;
        match answer {
            Answer::Listing { entries, at } => {
                self.mark_absent(now, &entries);
                self.apply_entries(sent, entries, at)
            }
            Answer::Partial { entries, at } => self.apply_entries(sent, entries, at),
            Answer::Changes { changes, at } => {
                self.viewed_at = previous_view.max(Some(sent));
                self.revision = self.revision.max(Some(at));
                let mut updates = Vec::new();
                for change in changes {
                    match change.entry {
                        Some(entry) => updates.extend(self.apply_entry(&entry, previous_view)),
                        None => self.mark_lapsed(now, &change.key),
                    }
                }
                updates
            }
            _ => Vec::new(),
        }
    }

    /// Applies the entries of a listing.
    fn apply_entries(&mut self, sent: Time, entries: Vec<Entry>, at: Revision) -> Vec<Change> {
        let previous_view = self.viewed_at;
        self.viewed_at = previous_view.max(Some(sent));
        self.revision = self.revision.max(Some(at));
        let entries = entries.iter();
        entries
            .filter_map(|entry| self.apply_entry(entry, previous_view))
            .collect()
    }

    /// Applies an entry, unless it is no record of the member that its key names.
    fn apply_entry(&mut self, entry: &Entry, previous_view: Option<Time>) -> Option<Change> {
        let record = parse_record(entry);
        if entry.key.strip_prefix(RECORD_PREFIX) == Some(self.me.as_str()) {
            self.own = Some((entry.revision, record.clone()));
        }
        let Some(record) = record else {
            let is_new = !entry.value.is_empty()
                && self.reported.insert(entry.key.as_bytes(), entry.revision);
            self.invalid.push(InvalidRecord {
                key: entry.key.clone(),
                revision: entry.revision,
                is_new,
            });
            return None;
        };
        self.apply_record(record, entry.revision, previous_view)
    }

    /// Marks the members that are missing from a full listing as lapsed. An entry that is
    /// no record is not missing.
    pub(super) fn mark_absent(&mut self, now: Time, present: &[Entry]) {
        let names = present.iter();
        let names = names.filter_map(|entry| entry.key.strip_prefix(RECORD_PREFIX));
        let present: BTreeSet<_> = names.collect();
        let is_present = |name: &Instance| present.contains(name.as_str());
        let gone: Vec<_> = self
            .members
            .keys()
            .filter(|name| !is_present(name))
            .cloned()
            .collect();
        for name in gone {
            self.lapsed_at.entry(name).or_insert(now);
        }
    }

    pub(super) fn mark_lapsed(&mut self, now: Time, key: &str) {
        let name = key
            .strip_prefix(RECORD_PREFIX)
            .and_then(|name| name.parse().ok());
        if let Some(name) = name
            && self.members.contains_key(&name)
        {
            self.lapsed_at.entry(name).or_insert(now);
        }
    }

    /// Applies a record unless it is outdated, or of an earlier incarnation: a lost write
    /// may take effect after its node was replaced. A refuted incarnation is not earlier.
    fn apply_record(
        &mut self,
        record: Record,
        revision: Revision,
        previous_view: Option<Time>,
    ) -> Option<Change> {
        let known = self.members.get(&record.peer.instance);
        let is_outdated = self
            .revisions
            .get(&record.peer.instance)
            .is_some_and(|applied| *applied > revision);
        if is_outdated {
            return None;
        }
        let is_earlier = known.is_some_and(|known| {
            known.incarnation > record.peer.incarnation && !record.refutes(known)
        });
        let peer = record.peer;
        if is_earlier {
            self.overwritten.push(peer.instance);
            return None;
        }
        self.revisions.insert(peer.instance.clone(), revision);
        let is_new = known.is_none() || self.lapsed_at.contains_key(&peer.instance);
        if is_new && let Some(previous_view) = previous_view {
            self.joined_at.insert(peer.instance.clone(), previous_view);
        }
        self.lapsed_at.remove(&peer.instance);
        if known == Some(&peer) {
            return None;
        }
        self.members.insert(peer.instance.clone(), peer.clone());
        Some(Change::Updated(peer))
    }

    /// Removes the members whose record has been missing for [`LAPSE_GRACE`]. A member
    /// that announced that it leaves deleted its record itself and is removed at
    /// once.
    pub(super) fn remove_expired(&mut self, now: Time) -> Vec<Change> {
        let has_left = |name: &Instance| {
            let member = self.members.get(name);
            member.is_some_and(|member| member.status == Status::Leaving)
        };
        let is_expired =
            |name: &Instance, at: &Time| has_left(name) || now.since(*at) >= LAPSE_GRACE;
        let gone: Vec<_> = self
            .lapsed_at
            .iter()
            .filter(|(name, at)| is_expired(name, at))
            .map(|(name, _)| name.clone())
            .collect();
        gone.into_iter()
            .map(|name| {
                self.lapsed_at.remove(&name);
                self.joined_at.remove(&name);
                self.revisions.remove(&name);
                self.members.remove(&name);
                Change::Removed(name)
            })
            .collect()
    }
}
