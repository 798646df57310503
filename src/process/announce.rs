//! Announcements of the upstream beside a node, and the state derived from them.
//!
//! Announcements may arrive late, duplicated or out of order, from an earlier life
//! of the upstream, or from a different service. The [`UpstreamTracker`] orders
//! them by life (one run of the upstream) and then by sequence number. Once an
//! upstream has announced [`State::Gone`], it stays gone for that life, so a
//! delayed announcement can't make it ready again.
//!
//! A process that has just started doesn't know what earlier ones have acknowledged, and
//! the first announcement that it receives may be a delayed one. Until it knows of every
//! [`Departure`], it takes an upstream for ready only after [`MAX_DELAY`].

#![warn(clippy::arithmetic_side_effects, clippy::indexing_slicing)]

use std::{
    collections::BTreeSet,
    net::SocketAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
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

/// Number of heartbeat intervals without a sign of life after which an upstream
/// counts as silent. Announcements may be a few heartbeats late, and a refused
/// connection reveals a failure earlier.
const MAX_SILENT_HEARTBEATS: u64 = 4;

/// Maximum delay of an announcement. One that is received later than this after the start
/// of the process was sent after it.
pub const MAX_DELAY: Span = Span::from_secs(4);

/// Highest sequence number at which an announcement is taken to come from an
/// upstream that has just started.
const MAX_INITIAL_SEQUENCE: u64 = 3;

/// Highest life and highest sequence number of an announcement: the largest integer
/// that every JSON parser reads exactly. Nothing could follow a higher one.
const MAX_ORDINAL: u64 = 1 << 53;
/// Highest number of slots of one upstream.
const MAX_SLOTS: u32 = 1 << 20;
/// Longest remaining warm-up; a longer one is shortened to it.
const MAX_WARMUP: Span = Span::from_secs(24 * 3600);
/// Number of paths whose refused announcements are logged.
const MAX_LOGGED_PATHS: usize = 64;

/// State that an upstream announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It accepts requests.
    Ready,
    /// It finishes running requests and accepts no new ones.
    Draining,
    /// It is about to exit. This is the last announcement of its life.
    Gone,
}

/// An announcement of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The name that the upstream gives itself.
    pub upstream: String,
    /// Start time of this life by the upstream's own clock. A later life has a higher
    /// value.
    #[serde(default)]
    pub life: Option<u64>,
    /// Sequence number of the announcement within the life.
    #[serde(default)]
    pub sequence: Option<u64>,
    /// The announced state.
    pub state: State,
    /// The pool that it belongs to, if announced.
    #[serde(default)]
    pub pool: Option<id::Pool>,
    /// The address that it listens on, if announced.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Maximum number of concurrent requests, if announced.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Remaining warm-up time, during which it is slow after its start.
    #[serde(default)]
    pub warmup: Span,
}

impl Announcement {
    /// Parses an announcement in this project's own JSON format.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a valid announcement.
    pub fn read(notice: AnnouncementRequest<'_>) -> Result<Self> {
        let announcement: Self = serde_json::from_slice(notice.body)
            .map_err(|error| Error::new(Code::Field, error.to_string()))?;
        announcement.validated()
    }

    /// Checks the numbers of an announcement, and shortens a warm-up that is too long.
    ///
    /// # Errors
    ///
    /// Returns an error if the life or the sequence number is so high that the
    /// upstream's next announcement could not exceed it, if the address has no port, or
    /// if the number of slots is too high.
    pub fn validated(self) -> Result<Self> {
        let is_low = |ordinal: Option<u64>| ordinal.is_none_or(|ordinal| ordinal <= MAX_ORDINAL);
        let reason = match &self {
            announcement if !is_low(announcement.life) => "the life is too high",
            announcement if !is_low(announcement.sequence) => "the sequence number is too high",
            announcement if announcement.address.is_some_and(|at| at.port() == 0) => {
                "the address has no port"
            }
            announcement if announcement.slots.is_some_and(|slots| slots > MAX_SLOTS) => {
                "the number of slots is too high"
            }
            _ => {
                let warmup = self.warmup.min(MAX_WARMUP);
                return Ok(Self { warmup, ..self });
            }
        };
        Err(Error::new(Code::Field, reason))
    }
}

/// An announcement by which an upstream leaves. Once acknowledged, it also binds the next
/// process of the node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The name that the upstream gives itself.
    pub upstream: String,
    /// Its life, if announced.
    pub life: Option<u64>,
    /// The sequence number of the announcement, if any.
    pub sequence: Option<u64>,
    /// The announced state: any but [`State::Ready`].
    pub state: State,
}

impl Departure {
    /// Returns an identifier of the upstream in this life.
    pub fn id(&self) -> id::Upstream {
        upstream_id(&self.upstream, self.life.unwrap_or_default())
    }

    /// Whether both are departures of one life of an upstream.
    pub fn is_same_life(&self, other: &Self) -> bool {
        self.upstream == other.upstream && self.life == other.life
    }
}

/// Result of handling an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was accepted and changed the known state or number of slots.
    Changed,
    /// It was accepted and changed neither the state nor the number of slots.
    Same,
    /// It is outdated: it is acknowledged and ignored.
    Old,
    /// It concerns a service other than the upstream beside this node, or lacks the life
    /// that the upstream's own announcements name. It is not acknowledged.
    Foreign,
}

/// Last known state of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The name that the upstream gives itself.
    pub name: String,
    /// Its current life, see [`Announcement::life`].
    pub life: u64,
    /// The last sequence number accepted in that life.
    pub sequence: u64,
    /// The state that it announced last.
    pub state: State,
    /// Maximum number of concurrent requests.
    pub slots: Option<u32>,
    /// Remaining warm-up time when it made its last announcement.
    pub warmup: Span,
}

/// Tracks the state of the upstream beside a node from its announcements and
/// responses.
#[derive(Clone, Debug)]
pub struct UpstreamTracker {
    pool: id::Pool,
    address: SocketAddr,
    heartbeat: Span,
    upstream: Option<Upstream>,
    /// The departure of an upstream of which no other announcement was accepted.
    last_departure: Option<Departure>,
    /// When the last announcement was accepted.
    last_announced: Time,
    /// An upstream counts as ready only if it has announced so since then.
    trusted_from: Time,
    last_heard: Time,
    /// Paths of refused announcements that were reported.
    refused_paths: BTreeSet<String>,
}

impl Upstream {
    /// Returns an identifier of this upstream in this life.
    pub fn id(&self) -> id::Upstream {
        upstream_id(&self.name, self.life)
    }
}

fn upstream_id(name: &str, life: u64) -> id::Upstream {
    id::Upstream(xxh3_64_with_seed(name.as_bytes(), life))
}

impl UpstreamTracker {
    /// Creates a tracker for the upstream at this address.
    pub fn new(pool: id::Pool, address: SocketAddr, heartbeat: Span) -> Self {
        Self {
            pool,
            address,
            heartbeat,
            upstream: None,
            last_departure: None,
            last_announced: Time::ZERO,
            trusted_from: Time::ZERO,
            last_heard: Time::ZERO,
            refused_paths: BTreeSet::new(),
        }
    }

    /// Sets the expected interval between two announcements.
    pub fn set_heartbeat(&mut self, heartbeat: Span) {
        self.heartbeat = heartbeat;
    }

    /// Returns the known state, or `None` before the first accepted announcement.
    pub fn upstream(&self) -> Option<&Upstream> {
        self.upstream.as_ref()
    }

    /// Reports whether the upstream accepts requests.
    pub fn is_ready(&self) -> bool {
        let has_announced_so = self
            .upstream
            .as_ref()
            .is_some_and(|upstream| upstream.state == State::Ready);
        has_announced_so && self.last_announced >= self.trusted_from
    }

    /// Reports whether the upstream has announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.upstream
            .as_ref()
            .is_some_and(|upstream| upstream.state != State::Ready)
    }

    /// Returns the departure of the upstream, if it has announced one.
    pub fn departure(&self) -> Option<Departure> {
        let Some(upstream) = &self.upstream else {
            return self.last_departure.clone();
        };
        self.is_leaving().then(|| Departure {
            upstream: upstream.name.clone(),
            life: Some(upstream.life),
            sequence: Some(upstream.sequence),
            state: upstream.state,
        })
    }

    /// Distrusts announcements that may have been sent before the process started, at
    /// `started`.
    #[expect(clippy::arithmetic_side_effects, reason = "times saturate")]
    pub fn distrust_delayed(&mut self, started: Time) {
        self.trusted_from = started + MAX_DELAY;
    }

    /// Trusts announcements however late they may be, as all departures are known.
    pub fn trust_delayed(&mut self) {
        self.trusted_from = Time::ZERO;
    }

    /// Handles a departure that an earlier process of the node acknowledged.
    pub fn restore(&mut self, departure: Departure) {
        let Some(known) = &mut self.upstream else {
            self.restore_unknown(departure);
            return;
        };
        let life = departure.life.unwrap_or_default();
        let is_same_life = known.name == departure.upstream && known.life == life;
        let sequence = departure.sequence.unwrap_or_default();
        if is_same_life && (departure.state == State::Gone || known.sequence <= sequence) {
            known.state = departure.state;
            known.sequence = known.sequence.max(sequence);
        } else if known.life < life {
            self.upstream = None;
            self.restore_unknown(departure);
        }
    }

    /// Restores a departure while no upstream is known.
    fn restore_unknown(&mut self, departure: Departure) {
        match departure.life {
            Some(life) => {
                self.upstream = Some(Upstream {
                    name: departure.upstream,
                    life,
                    sequence: departure.sequence.unwrap_or_default(),
                    state: departure.state,
                    slots: None,
                    warmup: Span::ZERO,
                });
            }
            None => self.last_departure = Some(departure),
        }
    }

    /// Handles an announcement.
    pub fn handle(&mut self, now: Time, announcement: &Announcement) -> Verdict {
        let foreign_pool = announcement
            .pool
            .as_ref()
            .is_some_and(|pool| *pool != self.pool);
        let foreign_address = announcement
            .address
            .is_some_and(|address| address != self.address);
        if foreign_pool || foreign_address || self.lacks_life(announcement) {
            return Verdict::Foreign;
        }
        match &self.upstream {
            None if announcement.state == State::Gone => {
                self.last_departure = Some(Departure {
                    upstream: announcement.upstream.clone(),
                    life: announcement.life,
                    sequence: announcement.sequence,
                    state: announcement.state,
                });
                Verdict::Old
            }
            None if self.is_of_ended_life(announcement) => Verdict::Old,
            None => self.accept(now, announcement, None),
            Some(known) => {
                let known = known.clone();
                self.handle_known(now, announcement, &known)
            }
        }
    }

    /// Reports whether an announcement lacks a life though the upstream names its own. Its
    /// sequence number would then be compared with those of a life that it is not of. Only
    /// the last announcement of a life may leave it out.
    fn lacks_life(&self, announcement: &Announcement) -> bool {
        let departed = self.last_departure.as_ref();
        let names_life = self
            .upstream
            .as_ref()
            .map(|upstream| upstream.life > 0)
            .or_else(|| departed.map(|departure| departure.life.is_some()));
        announcement.life.is_none() && announcement.state != State::Gone && names_life == Some(true)
    }

    /// Reports whether an announcement belongs to a life that has ended.
    ///
    /// If a node starts just as its upstream leaves, the first announcement that it
    /// receives is the upstream's last one, and a delayed heartbeat may follow.
    /// Accepting the heartbeat would send requests to an upstream whose departure
    /// was acknowledged. If either of the two announcements names no life, only one
    /// with a low or no sequence number is taken to be of a later life.
    fn is_of_ended_life(&self, announcement: &Announcement) -> bool {
        let Some(gone) = self
            .last_departure
            .as_ref()
            .filter(|gone| gone.upstream == announcement.upstream)
        else {
            return false;
        };
        match (gone.life, announcement.life) {
            (Some(gone_life), Some(life)) => life <= gone_life,
            _ => announcement
                .sequence
                .is_some_and(|sequence| sequence > MAX_INITIAL_SEQUENCE),
        }
    }

    fn handle_known(
        &mut self,
        now: Time,
        announcement: &Announcement,
        known: &Upstream,
    ) -> Verdict {
        let life = announcement.life.unwrap_or(known.life);
        if life < known.life {
            return Verdict::Old;
        }
        if life > known.life {
            // A later life replaces the known one whatever its state, also if its first
            // announcement received is `Gone`.
            return self.accept(now, announcement, None);
        }
        // The upstream may have started twice within one tick of its clock. The name
        // then distinguishes the lives, and `Gone` of the other one is outdated.
        if announcement.upstream != known.name && announcement.state == State::Gone {
            return Verdict::Old;
        }
        if announcement.upstream != known.name {
            return self.accept(now, announcement, None);
        }
        // `Gone` is the last announcement of a life; any other one is delayed.
        if known.state == State::Gone {
            return Verdict::Old;
        }
        let is_outdated = announcement
            .sequence
            .is_some_and(|sequence| sequence <= known.sequence);
        match is_outdated {
            true => Verdict::Old,
            false => self.accept(now, announcement, Some(known)),
        }
    }

    fn accept(
        &mut self,
        now: Time,
        announcement: &Announcement,
        previous: Option<&Upstream>,
    ) -> Verdict {
        let upstream = Upstream {
            name: announcement.upstream.clone(),
            life: announcement
                .life
                .or(previous.map(|p| p.life))
                .unwrap_or_default(),
            sequence: announcement
                .sequence
                .or(previous.map(|p| p.sequence))
                .unwrap_or_default(),
            state: announcement.state,
            slots: announcement.slots.or(previous.and_then(|p| p.slots)),
            warmup: announcement.warmup,
        };
        self.last_heard = now;
        self.last_announced = now;
        let is_same = previous.is_some_and(|previous| {
            previous.state == upstream.state && previous.slots == upstream.slots
        });
        self.upstream = Some(upstream);
        match is_same {
            true => Verdict::Same,
            false => Verdict::Changed,
        }
    }

    /// Records that the upstream responded to a request. It is alive then, even if
    /// its announcements were lost.
    pub fn record_response(&mut self, now: Time) {
        self.last_heard = self.last_heard.max(now);
    }

    /// Records that an announcement could not be read, and reports whether it is the
    /// first one with this path, up to [`MAX_LOGGED_PATHS`] of them.
    pub fn record_refused(&mut self, path: &str) -> bool {
        self.refused_paths.len() < MAX_LOGGED_PATHS && self.refused_paths.insert(path.to_owned())
    }

    /// Reports whether a ready upstream has given no sign of life for too long. The
    /// caller then treats it as gone until its next announcement.
    pub fn is_silent(&self, now: Time) -> bool {
        let limit = Span::from_ms(self.heartbeat.as_ms().saturating_mul(MAX_SILENT_HEARTBEATS));
        self.is_ready() && now.since(self.last_heard) > limit
    }
}
