//! Which mechanisms are in force.
//!
//! A node runs with [`Policy::default`]. Measurements and tests take single
//! mechanisms away, or put a well-known simpler one in their place, in this
//! same code.

use crate::clock::Span;

/// How long a call waits for a rate token: an owner that was lost has a
/// successor by then.
const TOKEN_WAIT: Span = Span::from_ms(500);

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
pub enum Choice {
    /// A coin for every attempt.
    Random,
    /// Importance, then the root, so that all hops decide alike.
    Root,
}

/// What bounds retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retries {
    /// Each hop retries this often on its own.
    Hop(u8),
    /// The root's allowance, shared by the whole tree.
    Allowance,
}

/// The mechanisms in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// How an inbound proxy decides what to take.
    pub admission: Admission,
    /// What decides which requests a level sheds.
    pub choice: Choice,
    /// What bounds retries.
    pub retries: Retries,
    /// A pool's retries are a share of its first tries.
    pub ratio: bool,
    /// Ingress refuses on the level carried back.
    pub early: bool,
    /// New requests are held to the levels of what they will call.
    pub below: bool,
    /// Teams share alike inside one importance.
    pub fair: bool,
    /// Nested work goes before new roots of the same importance.
    pub nested_first: bool,
    /// The least important band is served newest first under overload.
    pub newest_first: bool,
    /// What cannot finish in time is refused at once.
    pub deadline: bool,
    /// How often a call goes on to another instance, beside its retries, when
    /// one refused it before its upstream had seen it.
    pub reroutes: u8,
    /// How often a call may be sent again to upstreams that answered that they
    /// have not run it, once it may go to no further one.
    pub rejections: u8,
    /// Calls that name no attempt are given to the one that most likely made
    /// them; see [`crate::inbound::Proxy::caller`].
    pub attribution: bool,
    /// How long a call waits for a rate token.
    pub token_wait: Span,
    /// What nobody waits for any longer is cancelled, with its nested calls.
    pub cancel: bool,
    /// Instances are picked by load; else by chance.
    pub load: bool,
    /// Instances of the own failure domain come first.
    pub domain: bool,
    /// Failing instances are left out for a while.
    pub ejection: bool,
}

impl Policy {
    /// No control: every hop takes everything and retries on its own.
    pub fn open() -> Self {
        Self {
            admission: Admission::Open,
            retries: Retries::Hop(2),
            ratio: false,
            early: false,
            below: false,
            deadline: false,
            cancel: false,
            ..Self::default()
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            admission: Admission::Level,
            choice: Choice::Root,
            retries: Retries::Allowance,
            ratio: true,
            early: true,
            below: true,
            fair: true,
            nested_first: true,
            newest_first: true,
            deadline: true,
            reroutes: 0,
            rejections: 0,
            attribution: false,
            token_wait: TOKEN_WAIT,
            cancel: true,
            load: true,
            domain: true,
            ejection: true,
        }
    }
}
