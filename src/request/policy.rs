//! Which mechanisms are in force.
//!
//! A node runs with [`Policy::default`]. Measurements and tests take single
//! mechanisms away, or put a well-known simpler one in their place, in this
//! same code.

use crate::clock::Span;

/// How long a call waits for a rate token: an owner that was lost has a
/// successor by then.
const DEFAULT_TOKEN_WAIT: Span = Span::from_ms(500);

/// How an inbound proxy decides what to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Everything goes to the upstream at once.
    Open,
    /// A fixed number at a time, and a queue in order of arrival.
    Fixed,
    /// A learnt limit, an ordered queue and a level that follows its delay.
    Level,
}

/// What decides which requests a level sheds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SheddingKey {
    /// A coin for every attempt.
    Random,
    /// Importance, then the root, so that all hops decide alike.
    Root,
}

/// What bounds retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryLimit {
    /// Each hop retries this often on its own.
    PerHop(u8),
    /// The root's allowance, shared by the whole tree.
    Allowance,
}

/// The mechanisms in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// How an inbound proxy decides what to take.
    pub admission: Admission,
    /// What decides which requests a level sheds.
    pub shedding_key: SheddingKey,
    /// What bounds retries.
    pub retry_limit: RetryLimit,
    /// A pool's retries are a share of its first tries.
    pub retry_budget: bool,
    /// Ingress refuses on the level carried back.
    pub early_shedding: bool,
    /// New requests are held to the levels of what they will call.
    pub downstream_levels: bool,
    /// Teams share alike inside one importance.
    pub fair_shares: bool,
    /// Nested work goes before new roots of the same importance.
    pub nested_first: bool,
    /// The least important band is served newest first under overload.
    pub newest_first: bool,
    /// What cannot finish in time is refused at once.
    pub deadline_check: bool,
    /// How often a call goes on to another instance, beside its retries, when
    /// one refused it before its upstream had seen it.
    pub max_reroutes: u8,
    /// How often a call may be sent again to upstreams that answered that they
    /// have not run it, once it may go to no further one.
    pub max_rejection_retries: u8,
    /// Calls that name no attempt are given to the one that most likely made
    /// them; see [`crate::inbound::Proxy::caller`].
    pub attribution: bool,
    /// How long a call waits for a rate token.
    pub max_token_wait: Span,
    /// What nobody waits for any longer is cancelled, with its nested calls.
    pub cancellation: bool,
    /// Instances are picked by load; else by chance.
    pub load_balancing: bool,
    /// Instances of the own failure domain come first.
    pub prefer_local_domain: bool,
    /// Failing instances are left out for a while.
    pub ejection: bool,
}

impl Policy {
    /// No control: every hop takes everything and retries on its own.
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
        }
    }
}
