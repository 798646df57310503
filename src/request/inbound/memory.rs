//! History of the attempts that this inbound proxy no longer holds.
//!
//! It answers two questions. May an arriving attempt be started? Not if it was
//! started, refused or revoked before: a duplicate may arrive late, over another
//! link, or after its revocation. And what happened to an attempt that an ingress
//! asks for: was it never started, has it ended, or is it unknown?
//!
//! An entry is dropped after its retention time, or earlier when the history is
//! full. Its sequence number then raises the floor of its sender's incarnation: an
//! attempt at or below the floor without an entry counts as forgotten, and is never
//! started. This bounds the memory used. A dropped entry makes answers less
//! certain, but never wrong.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    clock::{
        Span,
        Time, //
    },
    frame::Fate,
    id, //
};

/// Minimum retention time. It covers the time in which a broken link is detected and
/// established again.
const MIN_RETENTION: Span = Span::from_secs(30);
/// Maximum number of entries.
const MAX_ENTRIES: usize = 32_768;

/// What the history contains about an attempt that neither waits nor runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// It has not arrived.
    Unseen,
    /// It was not started, and never will be.
    Revoked,
    /// It was started, and has ended.
    Ended,
    /// Unknown: its entry may have been dropped.
    Forgotten,
}

/// The newest incarnation of a sender with a dropped entry, and the highest sequence
/// number among its dropped entries.
#[derive(Clone, Copy, Debug)]
struct Sender {
    incarnation: id::Incarnation,
    floor: id::Sequence,
}

#[derive(Clone, Debug)]
struct Entry {
    fate: Fate,
    peer: id::Instance,
    until: Time,
}

/// The history of one incarnation of an inbound proxy.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    entries: BTreeMap<id::Request, Entry>,
    expiry: BTreeSet<(Time, id::Request)>,
    senders: BTreeMap<id::Instance, Sender>,
}

impl AttemptHistory {
    /// Looks up an attempt that `peer` sent.
    pub fn lookup(&self, peer: &id::Instance, request: id::Request) -> Lookup {
        match self.entries.get(&request).map(|entry| entry.fate) {
            Some(Fate::Revoked) => return Lookup::Revoked,
            Some(_) => return Lookup::Ended,
            None => {}
        }
        let Some(sender) = self.senders.get(peer) else {
            return Lookup::Unseen;
        };
        let is_older = request.incarnation < sender.incarnation;
        let is_below =
            request.incarnation == sender.incarnation && request.sequence <= sender.floor;
        match is_older || is_below {
            true => Lookup::Forgotten,
            false => Lookup::Unseen,
        }
    }

    /// Records that it was not started, and keeps that for at least `left`.
    pub fn revoke(&mut self, now: Time, peer: &id::Instance, request: id::Request, left: Span) {
        self.insert_entry(peer, request, Fate::Revoked, now + left.max(MIN_RETENTION));
    }

    /// Records that it was started and has ended.
    pub fn end(&mut self, now: Time, peer: &id::Instance, request: id::Request) {
        self.insert_entry(peer, request, Fate::Ended, now + MIN_RETENTION);
    }

    /// Drops expired entries, and the earliest to expire while there are too many.
    pub fn tick(&mut self, now: Time) {
        while let Some((until, request)) = self.expiry.first().copied() {
            if until > now && self.expiry.len() <= MAX_ENTRIES {
                return;
            }
            self.expiry.pop_first();
            if let Some(entry) = self.entries.remove(&request) {
                self.raise_floor(&entry.peer, request);
            }
        }
    }

    fn insert_entry(&mut self, peer: &id::Instance, request: id::Request, fate: Fate, until: Time) {
        let entry = Entry {
            fate,
            peer: peer.clone(),
            until,
        };
        if let Some(previous) = self.entries.insert(request, entry) {
            self.expiry.remove(&(previous.until, request));
        }
        self.expiry.insert((until, request));
    }

    fn raise_floor(&mut self, peer: &id::Instance, request: id::Request) {
        let sender = self.senders.entry(peer.clone()).or_insert(Sender {
            incarnation: request.incarnation,
            floor: id::Sequence(0),
        });
        if request.incarnation > sender.incarnation {
            sender.incarnation = request.incarnation;
            sender.floor = request.sequence;
        } else if request.incarnation == sender.incarnation {
            sender.floor = sender.floor.max(request.sequence);
        }
    }
}
