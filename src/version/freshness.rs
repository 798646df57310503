//! How old the newest confirmation is that the configuration in force is the
//! store's latest, and what follows from its age.
//!
//! A watcher that hears from the store confirms; the confirmation spreads on
//! every message of the membership protocol, with its age. Beside it spreads,
//! for each failure domain, when the last word from it set out. So a node that
//! has no fresh confirmation can tell two cases apart: if word from everywhere
//! has reached it and nobody has one, the store is out for all, nothing was
//! changed, and it goes on. If a domain or a third of the members is silent,
//! a change may be in force there that it cannot hear of, and after
//! [`LIMIT`] it refuses requests that come with a key.
//!
//! docs/design/freshness.md has the argument and the cost of both mistakes.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use serde_bytes::ByteBuf;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Domain,
        Version, //
    },
    member::Table,
};

/// The age from which a confirmation proves nothing any more.
pub const LIMIT: Span = Span::from_secs(10);
/// One step of an age on the wire.
const STEP: Span = Span::from_ms(100);
/// One step of a domain's age on the wire; 255 of them mean unknown.
const DOMAIN_STEP: Span = Span::from_ms(200);
/// How long a woken node believes no ages: what it reads may have waited
/// through the pause in its socket.
const DISTRUST: Span = Span::from_ms(500);
/// Of so many members one silent one is too many.
const SILENT: usize = 3;
/// Bytes of a domain on the wire.
const DOMAIN_BYTES: usize = 3;

/// What a message says of the sender's configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The version in force there.
    #[serde(rename = "v")]
    pub version: Version,
    /// Age of its newest confirmation, in tenths of a second.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub age: Option<u16>,
    /// Hash of a domain in two bytes and in one the age of the last word from
    /// it, for each.
    #[serde(rename = "d", default, skip_serializing_if = "empty")]
    pub domains: ByteBuf,
}

/// What a node may conclude from what it has heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The version in force was the store's latest a short time ago.
    Fresh,
    /// Nobody can reach the store, so nothing can have been changed.
    Outage,
    /// Others may know of a change that does not reach this node.
    Isolated,
}

/// What a node has heard.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    confirmed: Option<Time>,
    /// When the last word from a domain set out, by the hash of its name.
    heard: BTreeMap<u16, Time>,
    distrust: Time,
    /// It was paused, and nobody has answered it since.
    unproved: bool,
}

impl Freshness {
    /// The store confirmed the version in force at this time.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Time since the newest confirmation.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.confirmed.map(|at| now.since(at))
    }

    /// This node was paused until now. A key may have been withdrawn in the
    /// meantime, and its newest confirmation may still look fresh.
    pub fn resumed_after_pause(&mut self, now: Time) {
        self.distrust = now + DISTRUST;
        self.unproved = true;
    }

    /// A member answered a question that was asked after the pause, so what it
    /// said of its version is no older than that.
    pub fn answered_after_pause(&mut self) {
        self.unproved = false;
    }

    /// Takes in what a member of this domain says, at a node where this
    /// version is in force.
    pub fn record_status(
        &mut self,
        now: Time,
        domain: &Domain,
        news: &ConfigStatus,
        version: Version,
    ) {
        if now < self.distrust {
            return;
        }
        self.heard.insert(mark(domain), now);
        for entry in news.domains.chunks_exact(DOMAIN_BYTES) {
            let age = Span::from_ms(u64::from(entry[2]) * DOMAIN_STEP.as_ms());
            if entry[2] < u8::MAX {
                let at = back(now, age);
                let known = self.heard.entry(u16::from_be_bytes([entry[0], entry[1]]));
                let known = known.or_insert(at);
                *known = (*known).max(at);
            }
        }
        // A confirmation of a version that is not in force here says only that
        // this node is behind.
        if let Some(age) = news.age
            && news.version <= version
        {
            let age = Span::from_ms(u64::from(age) * STEP.as_ms());
            self.confirm(back(now, age));
        }
    }

    /// What to tell others; the domains only when they are asked for.
    pub fn status(&self, now: Time, version: Version, domains: bool) -> ConfigStatus {
        let steps = |span: Span, step: Span| span.as_ms().div_ceil(step.as_ms());
        let mut bytes = Vec::new();
        for (domain, at) in self.heard.iter().filter(|_| domains) {
            bytes.extend(domain.to_be_bytes());
            bytes.push(steps(now.since(*at), DOMAIN_STEP).min(255) as u8);
        }
        ConfigStatus {
            version,
            age: self
                .age(now)
                .and_then(|age| u16::try_from(steps(age, STEP)).ok()),
            domains: ByteBuf::from(bytes),
        }
    }

    /// Judges by the age of the confirmation and by who is silent.
    pub fn standing(&self, now: Time, own: &Domain, table: &Table) -> Standing {
        if self.unproved && table.len() > 1 {
            return Standing::Isolated;
        }
        if self.age(now).is_some_and(|age| age <= LIMIT) {
            return Standing::Fresh;
        }
        let mut silent = 0;
        let mut expected = 0;
        for domain in table.domains() {
            let (lost, all) = table.count_silent(domain);
            silent += lost;
            expected += all;
            let heard = self.heard.get(&mark(domain));
            let recent = heard.is_some_and(|at| now.since(*at) <= LIMIT);
            if all > 0 && domain != own && !recent {
                return Standing::Isolated;
            }
        }
        match silent * SILENT > expected {
            true => Standing::Isolated,
            false => Standing::Outage,
        }
    }
}

fn empty(bytes: &ByteBuf) -> bool {
    bytes.is_empty()
}

fn mark(domain: &Domain) -> u16 {
    xxh3_64(domain.as_str().as_bytes()) as u16
}

fn back(now: Time, age: Span) -> Time {
    Time::from_ms(now.as_ms().saturating_sub(age.as_ms()))
}
