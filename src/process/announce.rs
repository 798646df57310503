//! What the service beside a node says of itself, and which of its words count.
//!
//! Words may come late, doubled or out of order, from an earlier life of the
//! service, or from another writer altogether. The [`Announcer`] goes by the
//! life first and by the place in that life second. A service that has left
//! stays gone for that life, so that no late word brings it back.

use std::net::SocketAddr;

use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{
        Span,
        Time, //
    },
    error::{
        Code,
        Error,
        Result, //
    },
    id,
    interface::AnnouncementRequest, //
};

/// Silence after which a service counts as gone, in its own heartbeats. Words
/// may be a few heartbeats late, and a refused connection tells sooner.
const SILENT_HEARTBEATS: u64 = 4;

/// Words of a life that only a service which has just begun sends.
const FIRST_WORDS: u64 = 3;

/// What a service says that it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes requests.
    Ready,
    /// It finishes what runs and takes nothing new.
    Draining,
    /// It will end, and says nothing more.
    Gone,
}

/// One announcement.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The name that the service gives itself.
    pub upstream: String,
    /// When this life of it began, by its own clock; a later life is higher.
    #[serde(default)]
    pub life: Option<u64>,
    /// The place of the word in that life.
    #[serde(default)]
    pub sequence: Option<u64>,
    /// What it does.
    pub state: State,
    /// The pool it belongs to, where it says so.
    #[serde(default)]
    pub pool: Option<id::Pool>,
    /// Where it listens, where it says so.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Requests that it runs at a time, where it says so.
    #[serde(default)]
    pub slots: Option<u32>,
    /// How much longer it is slow after its start.
    #[serde(default)]
    pub warmup: Span,
}

impl Announcement {
    /// Reads the product's own form.
    ///
    /// # Errors
    ///
    /// When the body is no announcement.
    pub fn read(notice: AnnouncementRequest<'_>) -> Result<Self> {
        serde_json::from_slice(notice.body)
            .map_err(|error| Error::new(Code::Field, error.to_string()))
    }
}

/// What became of a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It counts, and changed what is believed.
    Changed,
    /// It counts, and said nothing new.
    Same,
    /// It is older than what is known; it is acknowledged and changes nothing.
    Old,
    /// It speaks of a service that is not the one beside this node.
    Foreign,
}

/// The service as this node believes it to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its name for itself.
    pub name: String,
    /// Its life.
    pub life: u64,
    /// The last place in that life.
    pub sequence: u64,
    /// What it does.
    pub state: State,
    /// Requests that it runs at a time.
    pub slots: Option<u32>,
    /// How much longer it is slow.
    pub warmup: Span,
}

/// Judges the words of the service beside a node.
#[derive(Clone, Debug)]
pub struct Announcer {
    pool: id::Pool,
    address: SocketAddr,
    heartbeat: Span,
    upstream: Option<Upstream>,
    /// The last word of a service of which nothing else is known.
    left: Option<Announcement>,
    heard: Time,
}

impl Upstream {
    /// What tells this life of it from all others.
    pub fn id(&self) -> id::Upstream {
        id::Upstream(xxh3_64_with_seed(self.name.as_bytes(), self.life))
    }
}

impl Announcer {
    /// An announcer for the service at this address.
    pub fn new(pool: id::Pool, address: SocketAddr, heartbeat: Span) -> Self {
        Self {
            pool,
            address,
            heartbeat,
            upstream: None,
            left: None,
            heard: Time::ZERO,
        }
    }

    /// The time between two words of the service, from now on.
    pub fn set_heartbeat(&mut self, heartbeat: Span) {
        self.heartbeat = heartbeat;
    }

    /// The service, once it has spoken.
    pub fn upstream(&self) -> Option<&Upstream> {
        self.upstream.as_ref()
    }

    /// Whether it takes requests.
    pub fn is_ready(&self) -> bool {
        self.upstream
            .as_ref()
            .is_some_and(|upstream| upstream.state == State::Ready)
    }

    /// Takes a word.
    pub fn on(&mut self, now: Time, word: &Announcement) -> Verdict {
        let foreign_pool = word.pool.as_ref().is_some_and(|pool| *pool != self.pool);
        let foreign_place = word.address.is_some_and(|address| address != self.address);
        if foreign_pool || foreign_place {
            return Verdict::Foreign;
        }
        match &self.upstream {
            None if word.state == State::Gone => {
                self.left = Some(word.clone());
                Verdict::Old
            }
            None if self.has_left(word) => Verdict::Old,
            None => self.believe(now, word, None),
            Some(known) => {
                let known = known.clone();
                self.compare(now, word, &known)
            }
        }
    }

    /// Whether a word is of a life that has left.
    ///
    /// Guards against a node that begins just as its service leaves: the first
    /// word that it hears is the last one of the service, and a heartbeat that was
    /// delayed comes after it. Believing that would send requests to a service
    /// whose leaving was acknowledged. Where the last word names no life, only the
    /// first words of a life are of a later one.
    fn has_left(&self, word: &Announcement) -> bool {
        let Some(left) = self.left.as_ref().filter(|l| l.upstream == word.upstream) else {
            return false;
        };
        match (left.life, word.life) {
            (Some(left), Some(life)) => life <= left,
            _ => word.sequence.is_some_and(|place| place > FIRST_WORDS),
        }
    }

    fn compare(&mut self, now: Time, word: &Announcement, known: &Upstream) -> Verdict {
        let life = word.life.unwrap_or(known.life);
        if life < known.life {
            return Verdict::Old;
        }
        if life > known.life {
            // A later life that leaves before it was ever heard leaves nobody.
            return self.believe(now, word, None);
        }
        // The service may have begun twice in one tick of its clock; the name
        // then tells the lives apart, and the words of the other are old.
        if word.upstream != known.name && word.state == State::Gone {
            return Verdict::Old;
        }
        if word.upstream != known.name {
            return self.believe(now, word, None);
        }
        // It has said its last word in this life; whatever comes is late.
        if known.state == State::Gone {
            return Verdict::Old;
        }
        let old = word
            .sequence
            .is_some_and(|sequence| sequence <= known.sequence);
        match old {
            true => Verdict::Old,
            false => self.believe(now, word, Some(known)),
        }
    }

    fn believe(&mut self, now: Time, word: &Announcement, before: Option<&Upstream>) -> Verdict {
        let upstream = Upstream {
            name: word.upstream.clone(),
            life: word.life.or(before.map(|b| b.life)).unwrap_or_default(),
            sequence: word
                .sequence
                .or(before.map(|b| b.sequence))
                .unwrap_or_default(),
            state: word.state,
            slots: word.slots.or(before.and_then(|b| b.slots)),
            warmup: word.warmup,
        };
        self.heard = now;
        let same = before
            .is_some_and(|before| before.state == upstream.state && before.slots == upstream.slots);
        self.upstream = Some(upstream);
        match same {
            true => Verdict::Same,
            false => Verdict::Changed,
        }
    }

    /// Notes that the service answered a request: it lives, whatever became of
    /// its words.
    pub fn answered(&mut self, now: Time) {
        self.heard = self.heard.max(now);
    }

    /// Whether nothing was heard of a ready service for too long. It then
    /// counts as silent until its next word.
    pub fn is_silent(&self, now: Time) -> bool {
        let limit = Span::from_ms(self.heartbeat.as_ms() * SILENT_HEARTBEATS);
        self.is_ready() && now.since(self.heard) > limit
    }
}
