//! The first member that a starting node asks for all others.
//!
//! A listing of all members is as large as the fleet, so a fleet in which every node
//! lists them at its start loads the store with the square of its size. Instead one
//! member of each failure domain, the introducer, is named in the store. A starting
//! node reads that name and asks the introducer for members and configuration.
//!
//! The first nodes of a domain find no introducer, or one that does not answer. Each of
//! them waits for a time of its own and then claims the role by compare-and-swap. The
//! one that succeeds lists the members itself; the others learn from the conflict whom
//! to ask.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::{
        Span,
        Time, //
    },
    directory,
    id::Revision,
    member::Peer,
    store::{
        Answer,
        Call,
        Entry, //
    },
};

/// Key prefix of the introducers, one for each failure domain.
const INTRODUCER_PREFIX: &str = "bluebellswitch/introducers/";
/// Delay between two reads while no introducer can be asked.
const LOOKUP_INTERVAL: Span = Span::from_ms(200);
/// Claims of the nodes of a domain are spread over this time.
const CLAIM_WINDOW: Span = Span::from_ms(1500);
/// First and longest delay between calls while the store does not answer.
const MIN_BACKOFF: Span = Span::from_ms(50);
const MAX_BACKOFF: Span = Span::from_ms(800);

#[derive(Clone, Debug)]
enum State {
    /// No introducer can be asked.
    Searching,
    /// This member can be asked.
    Introduced(Peer),
    /// This node is the introducer since this time.
    Introducer(Time),
}

/// Finds the introducer of the own failure domain, or becomes it.
#[derive(Clone, Debug)]
pub struct Introduction {
    me: Peer,
    key: String,
    state: State,
    in_flight: bool,
    next_at: Time,
    backoff: Span,
    /// The revision that a claim replaces; zero if there is no introducer.
    replaces: Revision,
    /// Whether there is an introducer whose revision cannot be read, so that a claim
    /// cannot expect it.
    is_unreadable: bool,
    /// When this node claims the role, if no introducer answers before.
    claim_at: Option<Time>,
    claims: u64,
}

impl Introduction {
    /// Creates the search of a node that has just started.
    pub fn new(me: Peer) -> Self {
        Self {
            key: format!("{INTRODUCER_PREFIX}{}", me.domain),
            me,
            state: State::Searching,
            in_flight: false,
            next_at: Time::ZERO,
            backoff: MIN_BACKOFF,
            replaces: Revision::default(),
            is_unreadable: false,
            claim_at: None,
            claims: 0,
        }
    }

    /// The member to ask.
    pub fn introducer(&self) -> Option<&Peer> {
        match &self.state {
            State::Introduced(peer) => Some(peer),
            _ => None,
        }
    }

    /// Since when this node itself is the introducer.
    pub fn introducer_since(&self) -> Option<Time> {
        match self.state {
            State::Introducer(since) => Some(since),
            _ => None,
        }
    }

    /// When [`Introduction::tick`] is to be called next.
    pub fn due(&self) -> Time {
        match self.state {
            State::Searching if !self.in_flight => {
                self.next_at.min(self.claim_at.unwrap_or(Time::NEVER))
            }
            _ => Time::NEVER,
        }
    }

    /// The store call that is due, if any.
    pub fn tick(&mut self, now: Time) -> Option<Call> {
        if self.due() > now {
            return None;
        }
        self.in_flight = true;
        let key = self.key.clone();
        let may_claim = self.claim_at.is_some_and(|at| at <= now);
        Some(match may_claim {
            true => self.claim(key)?,
            false => Call::Peek { key },
        })
    }

    fn claim(&self, key: String) -> Option<Call> {
        let value = serde_json::to_string(&self.me).ok()?;
        let lease = None;
        Some(match self.is_unreadable {
            true => Call::Put { key, value, lease },
            false => Call::Swap {
                key,
                expect: self.replaces,
                value: Some(value),
                lease,
                unless: None,
            },
        })
    }

    /// Handles the answer to the last call.
    pub fn handle_answer(&mut self, now: Time, answer: Answer) {
        self.in_flight = false;
        self.next_at = now + LOOKUP_INTERVAL;
        match answer {
            Answer::Swapped(_) => self.state = State::Introducer(now),
            Answer::Value(entry) | Answer::Conflict(entry) => self.handle_entry(now, entry),
            _ => {
                self.next_at = now + self.backoff;
                self.claim_at = self.claim_at.map(|at| at.max(self.next_at));
                self.backoff = Span::from_ms(self.backoff.as_ms() * 2).min(MAX_BACKOFF);
                return;
            }
        }
        self.backoff = MIN_BACKOFF;
    }

    fn handle_entry(&mut self, now: Time, entry: Option<Entry>) {
        let revision = entry.as_ref().map_or(Revision::default(), |e| e.revision);
        self.is_unreadable = entry.is_some() && revision == Revision::default();
        // A read may be older than a conflict.
        if revision > self.replaces {
            self.replaces = revision;
            self.claim_at = None;
        }
        let peer = entry.and_then(|entry| serde_json::from_str::<Peer>(&entry.value).ok());
        let peer = peer.filter(directory::is_self_description);
        self.state = match peer {
            Some(peer) if peer.instance == self.me.instance => State::Introducer(now),
            Some(peer) if peer.domain == self.me.domain => State::Introduced(peer),
            _ => State::Searching,
        };
        if matches!(self.state, State::Searching) {
            self.schedule_claim(now);
        }
    }

    /// Handles an introducer that cannot be reached or knows nothing.
    pub fn introducer_failed(&mut self, now: Time) {
        self.state = State::Searching;
        self.next_at = now + LOOKUP_INTERVAL;
        self.schedule_claim(now);
    }

    fn schedule_claim(&mut self, now: Time) {
        if self.claim_at.is_some() {
            return;
        }
        self.claims += 1;
        let seed = format!(
            "{}/{}/{}",
            self.me.instance, self.me.incarnation, self.claims
        );
        let delay = xxh3_64(seed.as_bytes()) % CLAIM_WINDOW.as_ms();
        self.claim_at = Some(now + Span::from_ms(delay));
    }
}
