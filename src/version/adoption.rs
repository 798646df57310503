//! How a node comes to the newest version, and never goes back.
//!
//! A few members of each domain watch the store; everybody else hears of a new
//! version by gossip and pulls it from whoever told. What is sent is the
//! difference to the version that the asker has, or the whole document. Only a
//! higher version that can be read is ever adopted.
//!
//! docs/design/adoption.md weighs the ways.

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

/// Where the document is in the store.
pub const KEY: &str = "bluebellswitch/config";
/// Members of each domain that watch the store.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Differences that are kept for those who are a little behind.
const DELTAS: usize = 16;
/// How long a pull waits before another member is asked.
const PULL: Span = Span::from_ms(400);

/// What nodes tell each other of versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Send me what is newer than this.
    #[serde(rename = "p")]
    Pull {
        /// Who asks.
        #[serde(rename = "f")]
        from: Instance,
        /// The version that it has; zero when none, or when a difference did
        /// not fit.
        #[serde(rename = "v")]
        have: Version,
    },
    /// One or more consecutive changes.
    #[serde(rename = "d")]
    Deltas(Vec<Delta>),
    /// The whole document.
    #[serde(rename = "s")]
    Snapshot(Box<Document>),
    /// This version is in force here.
    #[serde(rename = "c")]
    Confirm {
        /// Where.
        #[serde(rename = "f")]
        from: Instance,
        /// The version.
        #[serde(rename = "v")]
        version: Version,
    },
    /// Tell me how far your domain has come.
    #[serde(rename = "q")]
    Survey {
        /// Who asks.
        #[serde(rename = "f")]
        from: Instance,
    },
    /// How far a domain has come.
    #[serde(rename = "r")]
    Report(Report),
}

/// A document that was refused, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedDocument {
    /// Its version.
    pub version: Version,
    /// What is wrong with it.
    pub reason: String,
}

#[derive(Clone, Debug)]
struct Pull {
    from: Instance,
    until: Time,
}

/// The configuration of one node.
#[derive(Clone, Debug, Default)]
pub struct Adopter {
    document: Option<Rc<Document>>,
    deltas: VecDeque<Delta>,
    pull: Option<Pull>,
    /// The newest version that was heard of, and from whom.
    heard: Option<(Version, Instance)>,
    /// A difference did not fit, so the next pull asks for everything.
    whole: bool,
    fault: Option<RejectedDocument>,
}

impl Adopter {
    /// The version in force; zero when there is none.
    pub fn version(&self) -> Version {
        self.document.as_ref().map_or(Version(0), |d| d.version)
    }

    /// The document in force.
    pub fn document(&self) -> Option<&Rc<Document>> {
        self.document.as_ref()
    }

    /// The newest document that was refused, unless a later one was adopted.
    pub fn fault(&self) -> Option<&RejectedDocument> {
        self.fault.as_ref()
    }

    /// Takes a document in force if it is higher and can be read.
    pub fn offer(&mut self, document: Document, counts: &mut Counts) -> Option<Shared> {
        if document.version <= self.version() {
            // An older answer of the store or of a peer. Taking it would bring
            // back a withdrawn key.
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
        let snapshot = match Snapshot::parse(&document) {
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
        self.remember(&document);
        self.document = Some(Rc::new(document));
        self.fault = None;
        self.whole = false;
        self.pull = None;
        Some(Rc::new(snapshot))
    }

    /// The store's value is no document at all.
    pub fn reject_value(&mut self, reason: String, counts: &mut Counts) {
        counts.add(Counter::Invalid);
        let version = self.version();
        self.fault = Some(RejectedDocument { version, reason });
    }

    /// A member has this version. Pulls it, unless a pull is under way.
    pub fn record_version(
        &mut self,
        now: Time,
        from: &Instance,
        version: Version,
    ) -> Option<Instance> {
        if version <= self.version() || self.fault.as_ref().is_some_and(|f| f.version == version) {
            return None;
        }
        if self.heard.as_ref().is_none_or(|(v, _)| *v <= version) {
            self.heard = Some((version, from.clone()));
        }
        if self.pull.as_ref().is_some_and(|pull| now < pull.until) {
            return None;
        }
        self.begin(now, from.clone())
    }

    /// Pulls again when no answer came.
    pub fn tick(&mut self, now: Time, other: Option<Instance>) -> Option<Instance> {
        let pull = self.pull.as_ref()?;
        if now < pull.until {
            return None;
        }
        let behind = self.heard.as_ref().filter(|(v, _)| *v > self.version());
        let Some((_, teller)) = behind else {
            self.pull = None;
            return None;
        };
        // The member that was asked in vain is left aside: it may have died.
        let next = match *teller == pull.from {
            true => other.unwrap_or_else(|| teller.clone()),
            false => teller.clone(),
        };
        self.begin(now, next)
    }

    fn begin(&mut self, now: Time, from: Instance) -> Option<Instance> {
        let until = now + PULL;
        self.pull = Some(Pull {
            from: from.clone(),
            until,
        });
        Some(from)
    }

    /// The version to name in a pull.
    pub fn pull_base(&self) -> Version {
        match self.whole {
            true => Version(0),
            false => self.version(),
        }
    }

    /// What brings a member with this version up to date.
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

    /// Takes consecutive changes in.
    pub fn apply(&mut self, deltas: Vec<Delta>, counts: &mut Counts) -> Option<Shared> {
        let mut document = Document::clone(self.document.as_ref()?);
        let mut moved = false;
        for delta in deltas {
            if delta.base < document.version {
                continue;
            }
            match delta.apply(&document) {
                Some(next) => document = next,
                // It belongs to another text, or was damaged: ask for all.
                None => {
                    self.whole = true;
                    return None;
                }
            }
            moved = true;
        }
        moved.then(|| self.offer(document, counts)).flatten()
    }

    fn remember(&mut self, next: &Document) {
        let old = self.document.as_ref();
        match old.and_then(|old| Delta::between(old, next)) {
            Some(delta) => {
                self.deltas.push_back(delta);
                if self.deltas.len() > DELTAS {
                    self.deltas.pop_front();
                }
            }
            None => self.deltas.clear(),
        }
    }
}
