//! Brings a node to the newest version of the configuration, and never back to
//! an older one.
//!
//! A few members of each domain watch the store; all others learn of a new
//! version by gossip and pull it from the member that reported it. The answer is
//! the difference from the version that the requester has, or the whole
//! document. A node adopts only a higher version that it can parse.
//!
//! docs/design/adoption.md compares the alternatives.

mod delta;
mod roster;
mod watch;

use std::{
    collections::VecDeque,
    rc::Rc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

pub use self::{
    delta::{
        Delta,
        Splice,
        apply_splices,
        diff_text, //
    },
    roster::{
        Report,
        Roster, //
    },
    watch::{
        Outcome,
        Watch, //
    },
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    document::{
        self,
        Document,
        Shared,
        Snapshot, //
    },
    id::{
        Instance,
        Version, //
    },
    metric::{
        Counter,
        Counts, //
    },
};

/// The key of the document in the store.
pub const KEY: &str = "bluebellswitch/config";
/// Number of members of each domain that watch the store.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Number of deltas kept for members that are a few versions behind.
const MAX_DELTAS: usize = 16;
/// How long a pull waits for an answer before another member is asked.
const PULL_TIMEOUT: Span = Span::from_ms(400);

/// The messages by which nodes exchange versions of the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests what is newer than the sender's version.
    #[serde(rename = "p")]
    Pull {
        /// The requester.
        #[serde(rename = "f")]
        from: Instance,
        /// The version that the requester has; zero if it has none, or if a
        /// delta could not be applied.
        #[serde(rename = "v")]
        have: Version,
    },
    /// One or more consecutive changes.
    #[serde(rename = "d")]
    Deltas(Vec<Delta>),
    /// The whole document.
    #[serde(rename = "s")]
    Snapshot(Box<Document>),
    /// Reports the version in force at the sender.
    #[serde(rename = "c")]
    Confirm {
        /// The sender.
        #[serde(rename = "f")]
        from: Instance,
        /// The version in force.
        #[serde(rename = "v")]
        version: Version,
    },
    /// Requests a report on the receiver's domain.
    #[serde(rename = "q")]
    Survey {
        /// The requester.
        #[serde(rename = "f")]
        from: Instance,
    },
    /// Reports how many members of a domain have confirmed the version.
    #[serde(rename = "r")]
    Report(Report),
}

/// A document that was rejected, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedDocument {
    /// The version of the document, or the one in force if none could be read.
    pub version: Version,
    /// Why it was rejected.
    pub reason: String,
}

#[derive(Clone, Debug)]
struct Pull {
    from: Instance,
    until: Time,
}

/// The configuration in force at one node, and the state of its pulls.
#[derive(Clone, Debug, Default)]
pub struct Adopter {
    document: Option<Rc<Document>>,
    deltas: VecDeque<Delta>,
    pull: Option<Pull>,
    /// The newest version reported by a member, and that member.
    newest_reported: Option<(Version, Instance)>,
    /// A delta could not be applied, so the next pull asks for the whole document.
    needs_whole: bool,
    fault: Option<RejectedDocument>,
}

impl Adopter {
    /// Returns the version in force, or zero if there is none.
    pub fn version(&self) -> Version {
        self.document.as_ref().map_or(Version(0), |d| d.version)
    }

    /// Returns the document in force.
    pub fn document(&self) -> Option<&Rc<Document>> {
        self.document.as_ref()
    }

    /// Returns the last rejected document, unless one was adopted since.
    pub fn fault(&self) -> Option<&RejectedDocument> {
        self.fault.as_ref()
    }

    /// Adopts a document if its version is higher and it can be parsed.
    pub fn offer(&mut self, document: Document, counts: &mut Counts) -> Option<Shared> {
        if document.version <= self.version() {
            // An outdated answer of the store or of a peer. Adopting it would
            // make a revoked key valid again.
            if document.version < self.version() {
                counts.add(Counter::Stale);
            }
            return None;
        }
        if self
            .fault
            .as_ref()
            .is_some_and(|f| f.version == document.version)
        {
            return None;
        }
        let valid = document::check_version(document.version);
        let snapshot = match valid.and_then(|()| Snapshot::parse(&document)) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                counts.add(Counter::Invalid);
                self.fault = Some(RejectedDocument {
                    version: document.version,
                    reason: error.to_string(),
                });
                return None;
            }
        };
        self.store_delta(&document);
        self.document = Some(Rc::new(document));
        self.fault = None;
        self.needs_whole = false;
        self.pull = None;
        Some(Rc::new(snapshot))
    }

    /// Records that the value in the store is not a document.
    pub fn reject_value(&mut self, reason: String, counts: &mut Counts) {
        counts.add(Counter::Invalid);
        let version = self.version();
        self.fault = Some(RejectedDocument { version, reason });
    }

    /// Records that a member has this version. Returns the member to pull from,
    /// unless a pull is pending.
    pub fn record_version(
        &mut self,
        now: Time,
        from: &Instance,
        version: Version,
    ) -> Option<Instance> {
        let is_valid = document::check_version(version).is_ok();
        if !is_valid
            || version <= self.version()
            || self.fault.as_ref().is_some_and(|f| f.version == version)
        {
            return None;
        }
        if self
            .newest_reported
            .as_ref()
            .is_none_or(|(v, _)| *v <= version)
        {
            self.newest_reported = Some((version, from.clone()));
        }
        if self.pull.as_ref().is_some_and(|pull| now < pull.until) {
            return None;
        }
        self.start_pull(now, from.clone())
    }

    /// Returns the member to pull from next if the pending pull got no answer.
    pub fn tick(&mut self, now: Time, other: Option<Instance>) -> Option<Instance> {
        let pull = self.pull.as_ref()?;
        if now < pull.until {
            return None;
        }
        let behind = self
            .newest_reported
            .as_ref()
            .filter(|(v, _)| *v > self.version());
        let Some((_, reporter)) = behind else {
            self.pull = None;
            return None;
        };
        // The member that didn't answer is avoided if possible: it may have died.
        let next = match *reporter == pull.from {
            true => other.unwrap_or_else(|| reporter.clone()),
            false => reporter.clone(),
        };
        self.start_pull(now, next)
    }

    fn start_pull(&mut self, now: Time, from: Instance) -> Option<Instance> {
        let until = now + PULL_TIMEOUT;
        self.pull = Some(Pull {
            from: from.clone(),
            until,
        });
        Some(from)
    }

    /// Returns the version to name in a pull.
    pub fn pull_base(&self) -> Version {
        match self.needs_whole {
            true => Version(0),
            false => self.version(),
        }
    }

    /// Returns the message that brings a member with this version up to date.
    pub fn answer_pull(&self, have: Version) -> Option<Message> {
        let document = self.document.as_ref()?;
        if have >= document.version {
            return None;
        }
        let first = self.deltas.iter().position(|delta| delta.base == have);
        let chain: Option<Vec<Delta>> =
            first.map(|first| self.deltas.iter().skip(first).cloned().collect());
        let size = document.routes.len() + document.pools.len();
        match chain {
            Some(chain) if chain.iter().map(Delta::len).sum::<usize>() <= size.max(2048) => {
                Some(Message::Deltas(chain))
            }
            _ => Some(Message::Snapshot(Box::new(Document::clone(document)))),
        }
    }

    /// Applies consecutive deltas and adopts the result.
    pub fn apply(&mut self, deltas: Vec<Delta>, counts: &mut Counts) -> Option<Shared> {
        let mut document = Document::clone(self.document.as_ref()?);
        let mut applied = false;
        for delta in deltas {
            if delta.base < document.version {
                continue;
            }
            match delta.apply(&document) {
                Some(next) => document = next,
                // The delta was made for another document, or is damaged: the
                // next pull asks for the whole document.
                None => {
                    self.needs_whole = true;
                    return None;
                }
            }
            applied = true;
        }
        applied.then(|| self.offer(document, counts)).flatten()
    }

    fn store_delta(&mut self, next: &Document) {
        let old = self.document.as_ref();
        match old.and_then(|old| Delta::between(old, next)) {
            Some(delta) => {
                self.deltas.push_back(delta);
                if self.deltas.len() > MAX_DELTAS {
                    self.deltas.pop_front();
                }
            }
            None => self.deltas.clear(),
        }
    }
}
