//! The platform's key-value service, in memory and without input and output.
//!
//! The stand-in server and the driver of tests share it, so that both behave
//! alike: compare-and-swap on revisions, values that go with their lease, and
//! watches.

use std::collections::BTreeMap;

use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Lease,
        Revision, //
    },
    store::{
        Answer,
        Call,
        Change,
        Entry, //
    },
};

#[derive(Clone, Debug)]
struct Value {
    text: Option<String>,
    revision: Revision,
    lease: Option<Lease>,
}

#[derive(Clone, Debug)]
struct Held {
    ttl: Span,
    until: Time,
}

/// All values and leases.
#[derive(Clone, Debug, Default)]
pub struct Map {
    values: BTreeMap<String, Value>,
    leases: BTreeMap<Lease, Held>,
    revision: u64,
    /// Changes up to this revision are no longer told.
    compacted: Revision,
    next_lease: u64,
    calls: u64,
    writes: u64,
    keyed: BTreeMap<String, (u64, u64)>,
    leased: BTreeMap<Lease, String>,
    listings: u64,
}

impl Map {
    /// Calls so far that listed all values with a prefix.
    pub fn listings(&self) -> u64 {
        self.listings
    }

    /// Calls so far; a waiting watch counts once.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Those of the calls that concern keys under this first part: by name, or
    /// by a lease that such a key hangs on.
    pub fn calls_under(&self, first: &str) -> u64 {
        self.keyed.get(first).map_or(0, |(calls, _)| *calls)
    }

    /// Those of the calls under this first part that write.
    pub fn writes_under(&self, first: &str) -> u64 {
        self.keyed.get(first).map_or(0, |(_, writes)| *writes)
    }

    /// Those of the calls that write: swaps, and grants, renewals and ends of
    /// leases.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Takes a call. A watch without news gives nothing: ask [`Map::news`]
    /// after later writes, until its time is over.
    pub fn on(&mut self, now: Time, call: &Call) -> Option<Answer> {
        self.expire(now);
        self.calls += 1;
        self.attribute(call);
        self.writes += u64::from(call.writes());
        let answer = match call {
            Call::Get { key } | Call::Peek { key } => Answer::Value(self.get(key)),
            Call::List { prefix } => Answer::Values(self.list(prefix)),
            Call::Swap {
                key,
                expect,
                value,
                lease,
                unless,
            } => {
                if unless.as_ref().is_some_and(|key| self.get(key).is_some()) {
                    return Some(Answer::Conflict(self.get(key)));
                }
                self.swap(key, *expect, value.clone(), *lease)
            }
            Call::Grant { ttl } => self.grant(now, *ttl),
            Call::Renew { lease } => self.renew(now, *lease),
            Call::Revoke { lease } => {
                self.end(*lease);
                Answer::Quiet
            }
            Call::Put { key, value, lease } => {
                let expect = self
                    .get(key)
                    .map(|entry| entry.revision)
                    .unwrap_or_default();
                self.swap(key, expect, Some(value.clone()), *lease)
            }
            Call::Read { prefix } => {
                self.listings += 1;
                Answer::Listing {
                    entries: self.list(prefix),
                    at: Revision(self.revision),
                }
            }
            Call::Watch { .. } | Call::Follow { .. } => return self.waited(call),
        };
        Some(answer)
    }

    /// The answer to a watch, if there is news after a revision.
    pub fn news(&self, key: &str, after: Revision) -> Option<Answer> {
        let value = self.values.get(key)?;
        (value.revision > after).then(|| Answer::Value(self.get(key)))
    }

    /// The answer to a call that waits, if there is news for it.
    pub fn waited(&self, call: &Call) -> Option<Answer> {
        match call {
            Call::Watch { key, after, .. } => self.news(key, *after),
            Call::Follow { after, .. } if *after < self.compacted => Some(Answer::Compacted),
            Call::Follow { prefix, after, .. } => self.changes(prefix, *after),
            _ => None,
        }
    }

    fn changes(&self, prefix: &str, after: Revision) -> Option<Answer> {
        let under = self.values.range(prefix.to_owned()..);
        let under = under.take_while(|(key, _)| key.starts_with(prefix));
        let newer = under.filter(|(_, value)| value.revision > after);
        let mut changes: Vec<_> = newer.map(|(key, value)| (value.revision, key)).collect();
        changes.sort();
        let at = changes.last()?.0;
        let changes = changes.into_iter().map(|(_, key)| Change {
            key: key.clone(),
            entry: self.get(key),
        });
        Some(Answer::Changes {
            changes: changes.collect(),
            at,
        })
    }

    /// Drops the history: a call that waits for changes since before is refused.
    pub fn compact(&mut self) {
        self.compacted = Revision(self.revision);
    }

    /// Ends the leases whose time is over, with their values.
    pub fn expire(&mut self, now: Time) {
        let over = |held: &Held| held.until <= now;
        let ended: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, held)| over(held))
            .map(|(lease, _)| *lease)
            .collect();
        ended.into_iter().for_each(|lease| self.end(lease));
    }

    fn attribute(&mut self, call: &Call) {
        let first = |key: &str| key.split('/').next().unwrap_or_default().to_owned();
        let under = match call {
            Call::Renew { lease } | Call::Revoke { lease } => self.leased.get(lease).cloned(),
            _ => call.key().map(first),
        };
        let Some(under) = under else {
            return;
        };
        let mut count = 1;
        if let Call::Swap {
            lease: Some(lease), ..
        } = call
        {
            // The grant of the lease is told apart only by what hangs on it.
            let new = self.leased.insert(*lease, under.clone()).is_none();
            count += u64::from(new);
        }
        let counts = self.keyed.entry(under).or_default();
        counts.0 += count;
        counts.1 += if call.writes() { count } else { 0 };
    }

    fn get(&self, key: &str) -> Option<Entry> {
        let value = self.values.get(key)?;
        let text = value.text.clone()?;
        Some(Entry {
            key: key.to_owned(),
            value: text,
            revision: value.revision,
        })
    }

    fn list(&self, prefix: &str) -> Vec<Entry> {
        self.values
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, _)| self.get(key))
            .collect()
    }

    fn swap(
        &mut self,
        key: &str,
        expect: Revision,
        text: Option<String>,
        lease: Option<Lease>,
    ) -> Answer {
        let present = self.get(key);
        let revision = present
            .as_ref()
            .map_or(Revision::default(), |entry| entry.revision);
        if revision != expect {
            return Answer::Conflict(present);
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Answer::Expired;
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.values.insert(
            key.to_owned(),
            Value {
                text,
                revision,
                lease,
            },
        );
        Answer::Swapped(revision)
    }

    fn grant(&mut self, now: Time, ttl: Span) -> Answer {
        self.next_lease += 1;
        let lease = Lease(self.next_lease);
        self.leases.insert(
            lease,
            Held {
                ttl,
                until: now + ttl,
            },
        );
        Answer::Leased { lease, ttl }
    }

    fn renew(&mut self, now: Time, lease: Lease) -> Answer {
        match self.leases.get_mut(&lease) {
            Some(held) => {
                held.until = now + held.ttl;
                Answer::Leased {
                    lease,
                    ttl: held.ttl,
                }
            }
            None => Answer::Expired,
        }
    }

    fn end(&mut self, lease: Lease) {
        self.leases.remove(&lease);
        for value in self
            .values
            .values_mut()
            .filter(|value| value.lease == Some(lease))
        {
            self.revision += 1;
            value.text = None;
            value.lease = None;
            value.revision = Revision(self.revision);
        }
    }
}
