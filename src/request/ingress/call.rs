//! State of one call and of its attempts.

use std::{
    cmp::Reverse,
    collections::BTreeSet, //
};

use crate::{
    allowance::{
        Allowance,
        Allowances, //
    },
    balance::Observation,
    clock::{
        Span,
        Time, //
    },
    code::Code,
    context::{
        Context,
        Importance, //
    },
    id,
    outcome::Exposure,
    quota::{
        Charge,
        bank::WaitingCounts, //
    },
    record::Claim, //
};

/// State of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Waits for a rate token, at most until this time.
    AwaitingToken(Time),
    /// Waits until this time before it is sent again.
    Backoff(Time),
    /// The attempt was sent to an inbound proxy.
    Sent(id::Request),
    /// The link was lost, and the inbound proxy is queried repeatedly about the
    /// outcome of the attempt.
    Revoking {
        /// The attempt.
        request: id::Request,
        /// When to repeat the query if the link can't be established.
        next_query: Time,
        /// When to give up.
        give_up_at: Time,
    },
    /// The response of this attempt is being relayed to the caller.
    Delivering(id::Request),
}

/// A call that hasn't been answered yet.
#[derive(Clone, Debug)]
pub struct Call {
    /// Route of the call.
    pub route: id::Route,
    /// Pool that serves the call.
    pub pool: id::Pool,
    /// Whether the request can safely run more than once.
    pub idempotent: bool,
    /// Whether the body can be sent again.
    pub replayable: bool,
    /// Idempotency key and request checksum.
    pub claim: Option<Claim>,
    /// Context to propagate; `left`, `age` and `allowance` are set for each attempt.
    pub context: Context,
    /// When the root arrived, as far as this node knows.
    pub root_arrived: Time,
    /// When the call must be answered.
    pub deadline: Time,
    /// Target latency of the route, counted from the arrival.
    pub target: Option<Span>,
    /// Maximum time to wait for a rate token.
    pub max_token_wait: Span,
    /// Current state.
    pub state: State,
    /// When the call's timer expires.
    pub timer: Time,
    /// Instances that an attempt was sent to.
    pub tried: Vec<id::Instance>,
    /// Number of retries after a backoff.
    pub retries: u8,
    /// Whether the call was already sent elsewhere because an instance was leaving.
    pub left_leaving_instance: bool,
    /// Retry allowance, if the call is a root.
    pub allowance: Allowance,
    /// Number of reroutes after instances refused the call before an upstream saw it.
    pub reroutes: u8,
    /// The rate token of the call, as long as it can be returned.
    pub grant: Option<id::Grant>,
    /// Whether an attempt may have run. No refusal may claim the contrary then.
    pub exposure: Exposure,
    /// The local attempt that most likely made the call, if the call names none.
    pub attributed_to: Option<id::Request>,
    /// Whether it is certain which attempt made the call, so that the progress of its
    /// chain is known.
    pub is_chain_known: bool,
    /// Whether the upstream's response is a success.
    pub succeeded: bool,
    /// Connection over which the call arrived.
    pub connection: id::Connection,
    /// Instances whose upstream answered that it hasn't run the call, with one entry
    /// for each such answer.
    pub rejected_by: Vec<id::Instance>,
    /// Whether the call may be sent only to the instances in [`Call::rejected_by`]
    /// again, and to no others.
    pub only_rejecting_instances: bool,
}

/// One attempt of a call.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The call that the attempt belongs to.
    pub call: id::Call,
    /// Instance that the attempt was sent to.
    pub peer: id::Instance,
    /// Incarnation that the attempt was sent to.
    pub life: id::Incarnation,
    /// Number of retries reserved for the attempt and the calls below it.
    pub reserved_retries: u8,
    /// When the attempt was sent.
    pub sent_at: Time,
    /// What the response says about the health of the instance.
    pub observation: Observation,
    /// Whether a retry was already considered because the instance is suspected.
    pub silence_handled: bool,
    /// How often a retry was considered because the instance is stalled.
    pub stall_checks: u8,
    /// When to consider it next.
    pub next_stall_check: Time,
    /// Whether the inbound proxy was asked not to start it, as this node stops.
    pub is_queried: bool,
    /// Whether the inbound proxy then replied that it runs.
    pub has_started: bool,
}

impl Call {
    /// Returns the allowance that pays for this call's retries: its own if it is a
    /// root, that of the parent attempt if it is a nested call.
    pub fn allowance<'a>(
        &'a mut self,
        allowances: &'a mut Allowances,
    ) -> Option<&'a mut Allowance> {
        match self.context.parent {
            Some(parent) => allowances.get_mut(&parent),
            None => Some(&mut self.allowance),
        }
    }

    /// The attempt that made the call, as far as this node knows.
    pub fn maker(&self) -> Option<id::Request> {
        self.context.parent.or(self.attributed_to)
    }

    /// Returns whether the call can be retried elsewhere if the outcome of its attempt
    /// is unknown.
    pub fn is_repeatable(&self) -> bool {
        self.idempotent && self.replayable && self.claim.is_none()
    }

    /// Whether an earlier attempt has reached an upstream.
    pub fn has_reached_upstream(&self) -> bool {
        self.exposure.may_have_run() || !self.rejected_by.is_empty()
    }
}

/// Calls of one team that wait for a rate token, by descending importance and then
/// by age.
#[derive(Clone, Debug, Default)]
pub struct TokenQueue {
    calls: BTreeSet<(Reverse<Importance>, id::Call)>,
    waiting: WaitingCounts,
}

impl TokenQueue {
    /// Adds a call unless it is queued already.
    pub fn insert(&mut self, importance: Importance, call: id::Call) {
        if self.calls.insert((Reverse(importance), call)) {
            self.waiting.add(importance);
        }
    }

    /// Removes a call if it is queued.
    pub fn remove(&mut self, importance: Importance, call: id::Call) {
        if self.calls.remove(&(Reverse(importance), call)) {
            self.waiting.remove(importance);
        }
    }

    /// Returns the call that gets the next token.
    pub fn first(&self) -> Option<id::Call> {
        self.calls.first().map(|(_, call)| *call)
    }

    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of queued calls by importance, without this call.
    pub fn waiting_besides(&self, importance: Importance, call: id::Call) -> WaitingCounts {
        let mut waiting = self.waiting;
        if self.calls.contains(&(Reverse(importance), call)) {
            waiting.remove(importance);
        }
        waiting
    }

    /// Returns the number of queued calls by importance.
    pub fn waiting(&self) -> WaitingCounts {
        self.waiting
    }
}

/// Converts the result of a charge: a grant, `None` while pending, or a refusal.
pub fn charge_result(charge: Charge) -> Result<Option<id::Grant>, Code> {
    match charge {
        Charge::Taken(grant) => Ok(Some(grant)),
        Charge::Pending => Ok(None),
        Charge::OverRate => Err(Code::RateExceeded),
        Charge::Unavailable => Err(Code::RateUnavailable),
    }
}
