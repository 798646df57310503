//! The records of all nodes: what the answers of the store, or of a watcher, change.

use super::{
    Change,
    GRACE,
    Listing,
    RECORD_PREFIX,
    SETTLE,
    peer, //
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
        match answer {
            Answer::Listing { entries, at } => {
                let former = self.viewed;
                self.viewed = former.max(Some(self.task.sent));
                self.after = Some(at);
                self.task.succeed(now);
                let there: Vec<_> = entries
                    .iter()
                    .filter_map(|entry| peer(&entry.key, &entry.value))
                    .collect();
                self.absent(now, &there);
                there
                    .into_iter()
                    .filter_map(|peer| self.put(peer, former))
                    .collect()
            }
            Answer::Changes { changes, at } => {
                let former = self.viewed;
                self.viewed = former.max(Some(self.task.sent));
                self.after = Some(at);
                self.task.succeed(now + SETTLE);
                let mut news = Vec::new();
                for change in changes {
                    match change.entry {
                        Some(entry) => {
                            let peer = peer(&entry.key, &entry.value);
                            news.extend(peer.and_then(|peer| self.put(peer, former)));
                        }
                        None => self.lapse(now, &change.key),
                    }
                }
                news
            }
            Answer::Forgotten => {
                self.after = None;
                self.task.succeed(now);
                Vec::new()
            }
            _ => {
                self.after = None;
                self.task.fail(now);
                Vec::new()
            }
        }
    }

    /// Members that a fresh look does not show have lapsed.
    pub(super) fn absent(&mut self, now: Time, there: &[Peer]) {
        let is_there = |name: &Instance| there.iter().any(|peer| peer.instance == *name);
        let gone: Vec<_> = self
            .members
            .keys()
            .filter(|name| !is_there(name))
            .cloned()
            .collect();
        for name in gone {
            self.lapsed.entry(name).or_insert(now);
        }
    }

    pub(super) fn lapse(&mut self, now: Time, key: &str) {
        let name = key
            .strip_prefix(RECORD_PREFIX)
            .and_then(|name| name.parse().ok());
        if let Some(name) = name
            && self.members.contains_key(&name)
        {
            self.lapsed.entry(name).or_insert(now);
        }
    }

    /// A record is news unless it is of an earlier life: a lost write may take
    /// effect after its node was replaced.
    pub(super) fn put(&mut self, peer: Peer, former: Option<Time>) -> Option<Change> {
        let known = self.members.get(&peer.instance);
        if known.is_some_and(|known| known.incarnation > peer.incarnation) {
            self.overwritten.push(peer.instance);
            return None;
        }
        let is_new = known.is_none() || self.lapsed.contains_key(&peer.instance);
        if is_new && let Some(former) = former {
            self.joined.insert(peer.instance.clone(), former);
        }
        self.lapsed.remove(&peer.instance);
        if known == Some(&peer) {
            return None;
        }
        self.members.insert(peer.instance.clone(), peer.clone());
        Some(Change::Updated(peer))
    }

    /// Takes out members whose record has been gone for long enough. One that
    /// said that it leaves took its record away itself, and is gone at once.
    pub(super) fn bury(&mut self, now: Time) -> Vec<Change> {
        let left = |name: &Instance| {
            let member = self.members.get(name);
            member.is_some_and(|member| member.status == Status::Leaving)
        };
        let over = |name: &Instance, at: &Time| left(name) || now.since(*at) >= GRACE;
        let gone: Vec<_> = self
            .lapsed
            .iter()
            .filter(|(name, at)| over(name, at))
            .map(|(name, _)| name.clone())
            .collect();
        gone.into_iter()
            .map(|name| {
                self.lapsed.remove(&name);
                self.joined.remove(&name);
                self.members.remove(&name);
                Change::Removed(name)
            })
            .collect()
    }
}
