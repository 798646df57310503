//! Tracks when the store last confirmed the configuration in force, and decides
//! what a node may do once that confirmation is old.
//!
//! A watcher that gets an answer from the store records a confirmation, and
//! every message of the membership protocol carries it on with its age. Pings
//! and answers also carry, for each failure domain, the age of the last message
//! known from it. With these a node without a fresh confirmation can tell two
//! cases apart. If messages from every domain have reached it and none carries
//! a fresh confirmation, the store is down for everyone, so nothing was changed
//! and the node goes on serving. If a domain or more than a third of the members
//! is silent, a change may be in force there that cannot reach this node, so
//! after [`CONFIRMATION_MAX_AGE`] it refuses requests that come with a key.
//!
//! docs/design/freshness.md gives the argument and the cost of either mistake.

use std::{
    cmp::Reverse,
    collections::BTreeMap, //
};

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

/// The age beyond which a confirmation, or the last message from a domain, no
/// longer counts as recent.
pub const CONFIRMATION_MAX_AGE: Span = Span::from_secs(10);
/// Resolution of a confirmation's age on the wire.
const AGE_STEP: Span = Span::from_ms(100);
/// Resolution of a domain's age on the wire; a value of 255 means unknown.
const DOMAIN_AGE_STEP: Span = Span::from_ms(200);
/// How long a node ignores received ages after a pause: the messages it reads
/// may have waited in its socket during the pause, so their ages are too low.
const IGNORE_AFTER_PAUSE: Span = Span::from_ms(500);
/// A node counts as isolated when more than one in this many members is silent.
const SILENT_DIVISOR: usize = 3;
/// Bytes per domain on the wire: two of hash and one of age.
const DOMAIN_ENTRY_BYTES: usize = 3;
/// Maximum number of domains in a message, the most recently heard of. It keeps the
/// message within a datagram whatever hashes other nodes report.
const MAX_DOMAINS: usize = 64;
/// The age from which on it is unknown on the wire.
const MAX_DOMAIN_AGE: Span = domain_age(u8::MAX);

/// The part of a membership message that describes the sender's configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The version in force at the sender.
    #[serde(rename = "v")]
    pub version: Version,
    /// Age of the sender's newest confirmation, in tenths of a second.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub age: Option<u16>,
    /// For each domain, two bytes of its name's hash and one byte for the age of
    /// the last message from it.
    #[serde(rename = "d", default, skip_serializing_if = "is_empty")]
    pub domains: ByteBuf,
}

/// What a node concludes about its configuration from the messages it received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The store recently confirmed that the version in force is the latest.
    Fresh,
    /// No node can reach the store, so nothing can have been changed.
    Outage,
    /// Other nodes may have a change that cannot reach this node.
    Isolated,
}

/// The confirmations and domain ages that a node has received.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    confirmed: Option<Time>,
    /// When the last message from a domain was sent, by the hash of its name.
    last_sent: BTreeMap<u16, Time>,
    /// Ages received before this time are ignored.
    ignore_until: Time,
    /// The node was paused and no member has answered it since.
    awaiting_answer: bool,
}

impl Freshness {
    /// Records that the store confirmed the version in force at this time.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Time since the newest confirmation.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Records that this node was paused until now. A key may have been revoked
    /// during the pause while the newest confirmation still looks fresh.
    pub fn resumed_after_pause(&mut self, now: Time) {
        self.ignore_until = now + IGNORE_AFTER_PAUSE;
        self.awaiting_answer = true;
    }

    /// Records that a member answered a request sent after the pause, so the
    /// version it reported is no older than the request.
    pub fn answered_after_pause(&mut self) {
        self.awaiting_answer = false;
    }

    /// Records the status received from a member of `domain`; `version` is the
    /// one in force at this node.
    pub fn record_status(
        &mut self,
        now: Time,
        domain: &Domain,
        status: &ConfigStatus,
        version: Version,
    ) {
        if now < self.ignore_until {
            return;
        }
        self.last_sent.insert(domain_hash(domain), now);
        let (entries, _) = status.domains.as_chunks::<DOMAIN_ENTRY_BYTES>();
        for [high, low, steps] in entries {
            if *steps < u8::MAX {
                let at = time_before(now, domain_age(*steps));
                let known = self.last_sent.entry(u16::from_be_bytes([*high, *low]));
                let known = known.or_insert(at);
                *known = (*known).max(at);
            }
        }
        self.last_sent
            .retain(|_, at| now.since(*at) < MAX_DOMAIN_AGE);
        // A confirmation of a newer version doesn't confirm the one in force
        // here: it only shows that this node is behind.
        if let Some(age) = status.age
            && status.version <= version
        {
            let age = Span::from_ms(u64::from(age) * AGE_STEP.as_ms());
            self.confirm(time_before(now, age));
        }
    }

    /// Returns the status to send to other members; the domains only if asked for.
    pub fn status(&self, now: Time, version: Version, with_domains: bool) -> ConfigStatus {
        let steps = |span: Span, step: Span| span.as_ms().div_ceil(step.as_ms());
        let mut domains: Vec<_> = self.last_sent.iter().filter(|_| with_domains).collect();
        domains.sort_by_key(|(_, at)| Reverse(**at));
        let mut bytes = Vec::new();
        for (domain, at) in domains.into_iter().take(MAX_DOMAINS) {
            bytes.extend(domain.to_be_bytes());
            bytes.push(steps(now.since(*at), DOMAIN_AGE_STEP).min(255) as u8);
        }
        ConfigStatus {
            version,
            age: self
                .age(now)
                .and_then(|age| u16::try_from(steps(age, AGE_STEP)).ok()),
            domains: ByteBuf::from(bytes),
        }
    }

    /// Decides by the age of the confirmation and by which members are silent.
    pub fn standing(&self, now: Time, own: &Domain, table: &Table) -> Standing {
        if self.awaiting_answer && table.len() > 1 {
            return Standing::Isolated;
        }
        if self.age(now).is_some_and(|age| age <= CONFIRMATION_MAX_AGE) {
            return Standing::Fresh;
        }
        let mut silent = 0;
        let mut expected = 0;
        for domain in table.domains() {
            let (lost, all) = table.count_silent(domain);
            silent += lost;
            expected += all;
            let sent_at = self.last_sent.get(&domain_hash(domain));
            let recent = sent_at.is_some_and(|at| now.since(*at) <= CONFIRMATION_MAX_AGE);
            if all > 0 && domain != own && !recent {
                return Standing::Isolated;
            }
        }
        match silent * SILENT_DIVISOR > expected {
            true => Standing::Isolated,
            false => Standing::Outage,
        }
    }
}

fn is_empty(bytes: &ByteBuf) -> bool {
    bytes.is_empty()
}

fn domain_hash(domain: &Domain) -> u16 {
    xxh3_64(domain.as_str().as_bytes()) as u16
}

const fn domain_age(steps: u8) -> Span {
    Span::from_ms((steps as u64).saturating_mul(DOMAIN_AGE_STEP.as_ms()))
}

fn time_before(now: Time, age: Span) -> Time {
    Time::from_ms(now.as_ms().saturating_sub(age.as_ms()))
}
