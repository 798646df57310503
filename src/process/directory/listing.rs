//! Applies answers of the store, or of a watcher, to the view of the members.

use std::collections::BTreeSet;

use super::{
    Change,
    LAPSE_GRACE,
    Listing,
    RECORD_PREFIX,
    WATCH_SETTLE_DELAY,
    parse_record, //
};
use crate::{
    clock::Time,
    id::Instance,
    member::{
        Peer,
        Status, //
    },
    store::Answer, //
};

impl Listing {
    pub(super) fn handle_answer(&mut self, now: Time, answer: Answer) -> Vec<Change> {
        let sent = self.task.sent_at;
        match answer {
            Answer::Listing { .. } => self.task.succeed(now),
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
                self.viewed_at = previous_view.max(Some(sent));
                self.revision = self.revision.max(Some(at));
                let present: Vec<_> = entries
                    .iter()
                    .filter_map(|entry| parse_record(&entry.key, &entry.value))
                    .collect();
                self.mark_absent(now, &present);
                present
                    .into_iter()
                    .filter_map(|peer| self.apply_record(peer, previous_view))
                    .collect()
            }
            Answer::Changes { changes, at } => {
                self.viewed_at = previous_view.max(Some(sent));
                self.revision = self.revision.max(Some(at));
                let mut updates = Vec::new();
                for change in changes {
                    match change.entry {
                        Some(entry) => {
                            let peer = parse_record(&entry.key, &entry.value);
                            updates.extend(
                                peer.and_then(|peer| self.apply_record(peer, previous_view)),
                            );
                        }
                        None => self.mark_lapsed(now, &change.key),
                    }
                }
                updates
            }
            _ => Vec::new(),
        }
    }

    /// Marks the members that are missing from a full listing as lapsed.
    pub(super) fn mark_absent(&mut self, now: Time, present: &[Peer]) {
        let present: BTreeSet<_> = present.iter().map(|peer| &peer.instance).collect();
        let is_present = |name: &Instance| present.contains(name);
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

    /// Applies a record unless it is of an earlier incarnation: a lost write may
    /// take effect after its node was replaced.
    pub(super) fn apply_record(
        &mut self,
        peer: Peer,
        previous_view: Option<Time>,
    ) -> Option<Change> {
        let known = self.members.get(&peer.instance);
        if known.is_some_and(|known| known.incarnation > peer.incarnation) {
            self.overwritten.push(peer.instance);
            return None;
        }
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
                self.members.remove(&name);
                Change::Removed(name)
            })
            .collect()
    }
}
