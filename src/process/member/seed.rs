//! Seeds: a few members of each domain that are listed in the store, so that new
//! nodes find the fleet.
//!
//! A seed's entry is bound to a lease, so it disappears with its node. One call to
//! the store is in flight at a time, and lost calls are retried with randomized
//! exponential backoff, so that a recovering store meets no thundering herd.

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

/// Key prefix of the seed entries, followed by domain and instance.
pub const SEED_PREFIX: &str = "bluebellswitch/seed/";
/// Lease duration of an entry.
const ENTRY_TTL: Span = Span::from_secs(120);
/// Interval between lease renewals.
const RENEWAL_INTERVAL: Span = Span::from_secs(40);
/// Interval between reads of the list by the first seed of a domain.
const LIST_INTERVAL: Span = Span::from_secs(60);
/// Interval between reads of the list while no other member is known.
const ISOLATED_LIST_INTERVAL: Span = Span::from_secs(3);
/// Initial and maximum backoff after a lost call.
const INITIAL_BACKOFF: Span = Span::from_ms(500);
const MAX_BACKOFF: Span = Span::from_secs(30);

/// This node's role with regard to the seed list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedRole {
    /// It is one of the seeds of its domain.
    pub is_seed: bool,
    /// It reads the list regularly.
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

/// Maintains this node's entry in the seed list and reads the list.
#[derive(Clone, Debug, Default)]
pub struct SeedClient {
    in_flight: Option<Step>,
    lease: Option<Lease>,
    is_written: bool,
    revision: Revision,
    has_listed: bool,
    next_list_at: Time,
    next_lease_at: Time,
    lost_calls: u32,
}

impl SeedClient {
    /// The call that is due, if any. At most one call is in flight.
    pub fn tick(
        &mut self,
        now: Time,
        role: SeedRole,
        me: &Peer,
        rng: &mut ChaCha8Rng,
    ) -> Option<Call> {
        if self.in_flight.is_some() {
            return None;
        }
        let (step, call) = self.next_call(now, role, me, rng)?;
        self.in_flight = Some(step);
        Some(call)
    }

    fn next_call(
        &mut self,
        now: Time,
        role: SeedRole,
        me: &Peer,
        rng: &mut ChaCha8Rng,
    ) -> Option<(Step, Call)> {
        if now >= self.next_list_at && (role.is_alone || role.is_reader || !self.has_listed) {
            let interval = match role.is_alone {
                true => ISOLATED_LIST_INTERVAL,
                false => LIST_INTERVAL,
            };
            self.next_list_at = now + jittered(interval, rng);
            let prefix = SEED_PREFIX.to_owned();
            return Some((Step::List, Call::List { prefix }));
        }
        if now < self.next_lease_at || !self.has_listed {
            return None;
        }
        match (role.is_seed, self.lease) {
            (true, None) => Some((Step::Grant, Call::Grant { ttl: ENTRY_TTL })),
            (true, Some(lease)) if !self.is_written => {
                Some((Step::Write(lease), self.write_call(me, lease)?))
            }
            (true, Some(lease)) => Some((Step::Renew, Call::Renew { lease })),
            (false, Some(lease)) => Some((Step::Leave, Call::Revoke { lease })),
            (false, None) => None,
        }
    }

    fn write_call(&self, me: &Peer, lease: Lease) -> Option<Call> {
        let value = serde_json::to_string(me).ok()?;
        Some(Call::Swap {
            key: format!("{SEED_PREFIX}{}/{}", me.domain, me.instance),
            expect: self.revision,
            value: Some(value),
            lease: Some(lease),
            unless: None,
        })
    }

    /// Handles the answer to the call in flight, and returns the members that the
    /// store lists.
    pub fn handle_answer(&mut self, now: Time, answer: Answer, rng: &mut ChaCha8Rng) -> Vec<Peer> {
        let Some(step) = self.in_flight.take() else {
            return Vec::new();
        };
        if answer == Answer::Lost {
            self.back_off(now, step, rng);
            return Vec::new();
        }
        self.lost_calls = 0;
        match (step, answer) {
            (Step::List, Answer::Values(entries)) => {
                // Nodes that start at the same time spread their first writes
                // over a random delay.
                if !self.has_listed {
                    self.next_lease_at =
                        now + Span::from_ms(rng.random_range(0..ISOLATED_LIST_INTERVAL.as_ms()));
                }
                self.has_listed = true;
                let peers = entries
                    .iter()
                    .map(|entry| serde_json::from_str(&entry.value));
                return peers.filter_map(Result::ok).collect();
            }
            (Step::Grant, Answer::Leased { lease, .. }) => {
                self.lease = Some(lease);
                self.is_written = false;
            }
            (Step::Write(_), Answer::Swapped(revision)) => {
                self.is_written = true;
                self.revision = revision;
                self.next_lease_at = now + jittered(RENEWAL_INTERVAL, rng);
            }
            // An entry of a previous incarnation, or this node's own write
            // whose answer was lost: the next write replaces it.
            (Step::Write(_), Answer::Conflict(entry)) => {
                self.revision = entry.map_or(Revision(0), |entry| entry.revision);
            }
            (Step::Renew, Answer::Leased { .. }) => {
                self.next_lease_at = now + jittered(RENEWAL_INTERVAL, rng)
            }
            (Step::Renew | Step::Write(_), _) | (Step::Leave, _) => {
                self.lease = None;
                self.is_written = false;
                self.revision = Revision(0);
            }
            (Step::List | Step::Grant, _) => self.back_off(now, step, rng),
        }
        Vec::new()
    }

    fn back_off(&mut self, now: Time, step: Step, rng: &mut ChaCha8Rng) {
        let next_at = now + backoff_with_jitter(self.lost_calls, INITIAL_BACKOFF, MAX_BACKOFF, rng);
        self.lost_calls += 1;
        match step {
            Step::List => self.next_list_at = next_at,
            _ => self.next_lease_at = next_at,
        }
    }
}

/// Randomized exponential backoff: a random delay whose upper bound doubles with
/// each lost call.
pub(crate) fn backoff_with_jitter(
    lost_calls: u32,
    first: Span,
    limit: Span,
    rng: &mut ChaCha8Rng,
) -> Span {
    let bound = first.as_ms().saturating_mul(1 << lost_calls.min(16));
    let bound = bound.clamp(first.as_ms(), limit.as_ms());
    Span::from_ms(rng.random_range(bound / 4..=bound))
}

fn jittered(span: Span, rng: &mut ChaCha8Rng) -> Span {
    span.scale(rng.random_range(0.8..1.2))
}
