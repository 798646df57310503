//! Selects the overload control mechanisms that are enabled.
//!
//! A node starts with [`Policy::default`]. Measurements and tests disable single
//! mechanisms, or replace them with well-known simpler ones, in the same code.

use serde::Deserialize;

use crate::clock::Span;

/// Default of [`Policy::max_token_wait`]. A failed owner of a team's rate has been
/// replaced within this time.
const DEFAULT_TOKEN_WAIT: Span = Span::from_ms(500);

/// How an inbound proxy admits requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Sends every request to the upstream at once.
    Open,
    /// Fixed concurrency limit with a FIFO queue.
    Fixed,
    /// Adaptive concurrency limit, priority queue, and an admission level that
    /// follows the queue delay.
    Level,
}

/// What determines which requests are shed at an admission level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SheddingKey {
    /// A random choice for each attempt.
    Random,
    /// Importance first, then the root, so that all hops make the same decision.
    Root,
}

/// What limits retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryLimit {
    /// Each hop retries independently, up to this many times.
    PerHop(u8),
    /// The root's allowance, shared by its whole call tree.
    Allowance,
}

/// Mechanisms for scarce and uneven capacity, which the settings of a node enable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scheduling {
    /// Spends scarce retries on the calls of a few requests, so that these complete.
    pub chain_retries: bool,
    /// Avoids instances that have stopped answering, and retries what they hold.
    pub stall_detection: bool,
    /// Prefers fast instances while slots are free.
    pub speed_balancing: bool,
    /// Sends a share of a pool's calls to failure domains with lower utilization.
    pub domain_shares: bool,
}

/// The overload control mechanisms of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// How an inbound proxy admits requests.
    pub admission: Admission,
    /// What determines which requests are shed at an admission level.
    pub shedding_key: SheddingKey,
    /// What limits retries.
    pub retry_limit: RetryLimit,
    /// Limits a pool's retries to a fraction of its first attempts.
    pub retry_budget: bool,
    /// Sheds at the ingress, by the level that inbound proxies report.
    pub early_shedding: bool,
    /// Applies the levels of downstream services to new requests that will call them.
    pub downstream_levels: bool,
    /// Gives teams equal shares within one importance.
    pub fair_shares: bool,
    /// Serves nested calls before new roots of the same importance.
    pub nested_first: bool,
    /// Serves the lowest importance newest first under overload.
    pub newest_first: bool,
    /// Refuses at once requests that can't finish before their deadline.
    pub deadline_check: bool,
    /// Maximum number of reroutes of a call. A reroute goes to another instance after
    /// one refused the call before its upstream had seen it, and isn't a retry.
    pub max_reroutes: u8,
    /// Maximum number of times that a call is sent again to upstreams that answered
    /// that they haven't run it, once it can't be sent to any other instance.
    pub max_rejection_retries: u8,
    /// Attributes calls that name no attempt to the attempt that most likely made
    /// them; see [`crate::inbound::Proxy::attribute_call`].
    pub attribution: bool,
    /// Maximum time that a call waits for a rate token.
    pub max_token_wait: Span,
    /// Cancels requests that nobody waits for any more, with their nested calls.
    pub cancellation: bool,
    /// Selects instances by load instead of at random.
    pub load_balancing: bool,
    /// Prefers instances of the local failure domain.
    pub prefer_local_domain: bool,
    /// Ejects failing instances for a while.
    pub ejection: bool,
    /// Sends idempotent requests again that an upstream has answered with a failure, and
    /// counts such answers against the health of the instance.
    pub retry_failures: bool,
    /// Statuses that tell callers that their request has not run. An upstream's own
    /// response to a request that must not run twice is not relayed with one of them.
    pub promising_statuses: &'static [u16],
    /// Mechanisms for scarce and uneven capacity.
    pub scheduling: Scheduling,
}

impl Policy {
    /// Returns a policy without overload control: every hop admits every request and
    /// retries independently.
    pub fn open() -> Self {
        Self {
            admission: Admission::Open,
            retry_limit: RetryLimit::PerHop(2),
            retry_budget: false,
            early_shedding: false,
            downstream_levels: false,
            deadline_check: false,
            cancellation: false,
            ..Self::default()
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            admission: Admission::Level,
            shedding_key: SheddingKey::Root,
            retry_limit: RetryLimit::Allowance,
            retry_budget: true,
            early_shedding: true,
            downstream_levels: true,
            fair_shares: true,
            nested_first: true,
            newest_first: true,
            deadline_check: true,
            max_reroutes: 0,
            max_rejection_retries: 0,
            attribution: false,
            max_token_wait: DEFAULT_TOKEN_WAIT,
            cancellation: true,
            load_balancing: true,
            prefer_local_domain: true,
            ejection: true,
            retry_failures: true,
            promising_statuses: &[],
            scheduling: Scheduling::default(),
        }
    }
}
