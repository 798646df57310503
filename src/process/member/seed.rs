//! The few members of each domain that the store names, for those who join.
//!
//! A seed's entry hangs on a lease, so it goes with its node. Every call to
//! the store waits for the one before it, and a lost one for a random time
//! that doubles: a store that comes back meets no herd.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::Peer;
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
        Call, //
    },
};

/// Where seeds are in the store, by domain and instance.
pub const SEEDS: &str = "bluebellswitch/seed/";
/// How long an entry outlives its node.
const TTL: Span = Span::from_secs(120);
/// Time between two renewals.
const RENEW: Span = Span::from_secs(40);
/// Time between two looks at the list, by the first seed of a domain.
const LIST: Span = Span::from_secs(60);
/// Time between two looks at the list while nobody else is known.
const LONELY: Span = Span::from_secs(3);
/// The first and the longest wait after a lost call.
const BACKOFF: Span = Span::from_ms(500);
const BACKOFF_LIMIT: Span = Span::from_secs(30);

/// What this node is to the store's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedRole {
    /// It is one of its domain's seeds.
    pub is_seed: bool,
    /// It looks at the list regularly.
    pub is_reader: bool,
    /// It knows no other member.
    pub is_alone: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    List,
    Grant,
    Write(Lease),
    Renew,
    Leave,
}

/// One node's entry in the list, and its view of it.
#[derive(Clone, Debug, Default)]
pub struct SeedClient {
    waiting: Option<Step>,
    lease: Option<Lease>,
    written: bool,
    revision: Revision,
    listed: bool,
    next_list: Time,
    next_lease: Time,
    lost: u32,
}

impl SeedClient {
    /// The call that is due, if any. One call is under way at a time.
    pub fn tick(
        &mut self,
        now: Time,
        role: SeedRole,
        me: &Peer,
        rng: &mut ChaCha8Rng,
    ) -> Option<Call> {
        if self.waiting.is_some() {
            return None;
        }
        let (step, call) = self.due(now, role, me, rng)?;
        self.waiting = Some(step);
        Some(call)
    }

    fn due(
        &mut self,
        now: Time,
        role: SeedRole,
        me: &Peer,
        rng: &mut ChaCha8Rng,
    ) -> Option<(Step, Call)> {
        if now >= self.next_list && (role.is_alone || role.is_reader || !self.listed) {
            let pause = match role.is_alone {
                true => LONELY,
                false => LIST,
            };
            self.next_list = now + jittered(pause, rng);
            let prefix = SEEDS.to_owned();
            return Some((Step::List, Call::List { prefix }));
        }
        if now < self.next_lease || !self.listed {
            return None;
        }
        match (role.is_seed, self.lease) {
            (true, None) => Some((Step::Grant, Call::Grant { ttl: TTL })),
            (true, Some(lease)) if !self.written => {
                Some((Step::Write(lease), self.write(me, lease)?))
            }
            (true, Some(lease)) => Some((Step::Renew, Call::Renew { lease })),
            (false, Some(lease)) => Some((Step::Leave, Call::Revoke { lease })),
            (false, None) => None,
        }
    }

    fn write(&self, me: &Peer, lease: Lease) -> Option<Call> {
        let value = serde_json::to_string(me).ok()?;
        Some(Call::Swap {
            key: format!("{SEEDS}{}/{}", me.domain, me.instance),
            expect: self.revision,
            value: Some(value),
            lease: Some(lease),
        })
    }

    /// Takes the answer in, and returns the members that the store names.
    pub fn handle_answer(&mut self, now: Time, answer: Answer, rng: &mut ChaCha8Rng) -> Vec<Peer> {
        let Some(step) = self.waiting.take() else {
            return Vec::new();
        };
        if answer == Answer::Lost {
            self.back_off(now, step, rng);
            return Vec::new();
        }
        self.lost = 0;
        match (step, answer) {
            (Step::List, Answer::Values(entries)) => {
                // Nodes that begin together and find nothing do not write
                // their entries together.
                if !self.listed {
                    self.next_lease = now + Span::from_ms(rng.random_range(0..LONELY.as_ms()));
                }
                self.listed = true;
                let peers = entries
                    .iter()
                    .map(|entry| serde_json::from_str(&entry.value));
                return peers.filter_map(Result::ok).collect();
            }
            (Step::Grant, Answer::Leased { lease, .. }) => {
                self.lease = Some(lease);
                self.written = false;
            }
            (Step::Write(_), Answer::Swapped(revision)) => {
                self.written = true;
                self.revision = revision;
                self.next_lease = now + jittered(RENEW, rng);
            }
            // An entry of a former life, or this node's own write whose answer
            // was lost: it is written again over that.
            (Step::Write(_), Answer::Conflict(entry)) => {
                self.revision = entry.map_or(Revision(0), |entry| entry.revision);
            }
            (Step::Renew, Answer::Leased { .. }) => self.next_lease = now + jittered(RENEW, rng),
            (Step::Renew | Step::Write(_), _) | (Step::Leave, _) => {
                self.lease = None;
                self.written = false;
                self.revision = Revision(0);
            }
            (Step::List | Step::Grant, _) => self.back_off(now, step, rng),
        }
        Vec::new()
    }

    fn back_off(&mut self, now: Time, step: Step, rng: &mut ChaCha8Rng) {
        let next = now + backoff_with_jitter(self.lost, BACKOFF, BACKOFF_LIMIT, rng);
        self.lost += 1;
        match step {
            Step::List => self.next_list = next,
            _ => self.next_lease = next,
        }
    }
}

/// A random wait whose bound doubles with each loss.
pub(crate) fn backoff_with_jitter(
    lost: u32,
    first: Span,
    limit: Span,
    rng: &mut ChaCha8Rng,
) -> Span {
    let bound = first.as_ms().saturating_mul(1 << lost.min(16));
    let bound = bound.clamp(first.as_ms(), limit.as_ms());
    Span::from_ms(rng.random_range(bound / 4..=bound))
}

fn jittered(span: Span, rng: &mut ChaCha8Rng) -> Span {
    span.scale(rng.random_range(0.8..1.2))
}
