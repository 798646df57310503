//! One call and its attempt.

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
    quota::{
        Charge,
        bank::WaitingCounts, //
    },
    record::Claim, //
};

/// Where a call stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It waits for a rate token, until then at most.
    Charging(Time),
    /// It waits to be sent again.
    Backoff(Time),
    /// Its attempt is at an inbound proxy.
    Sent(id::Request),
    /// The link broke; the inbound proxy is asked what became of the attempt,
    /// again at a time, and no longer than until another.
    Revoking {
        /// The attempt.
        request: id::Request,
        /// When to ask again, if the link cannot be made.
        again: Time,
        /// When to give up.
        until: Time,
    },
    /// Its answer is on its way to the caller.
    Delivering(id::Request),
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its route.
    pub route: id::Route,
    /// Its pool.
    pub pool: id::Pool,
    /// Running it twice does no harm.
    pub repeatable: bool,
    /// Its body can be sent again.
    pub replayable: bool,
    /// Its idempotency record.
    pub claim: Option<Claim>,
    /// What rides along; `left`, `age` and `allowance` are made when it is sent.
    pub context: Context,
    /// When its root arrived, as far as this node can tell.
    pub root: Time,
    /// When it must have its answer.
    pub deadline: Time,
    /// The time within which an answer is of full use, counted from its arrival.
    pub target: Option<Span>,
    /// How long it may wait for a rate token.
    pub patience: Span,
    /// Where it stands.
    pub state: State,
    /// When it is looked at next.
    pub wake: Time,
    /// Instances that had an attempt.
    pub tried: Vec<id::Instance>,
    /// Attempts beyond the first.
    pub retries: u8,
    /// A leaving instance has already sent it elsewhere.
    pub rerouted: bool,
    /// What a root has for retries.
    pub purse: Allowance,
    /// Instances that refused it before an upstream saw it, and from which it
    /// went on.
    pub reroutes: u8,
    /// The token it took, while it may be given back.
    pub grant: Option<id::Grant>,
    /// An earlier attempt may have run: no refusal may say otherwise.
    pub tainted: Option<Code>,
    /// The attempt beside this node that most likely made it, where it names
    /// none.
    pub maker: Option<id::Request>,
    /// The connection that it came over.
    pub connection: id::Connection,
    /// Instances whose upstream answered that it has not run it, as often as it
    /// did.
    pub rejected: Vec<id::Instance>,
    /// It may be sent to no further instance, only again to those in
    /// [`Call::rejected`].
    pub confined: bool,
}

/// One attempt of a call.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The call.
    pub call: id::Call,
    /// Where it was sent.
    pub peer: id::Instance,
    /// The life that it is for.
    pub life: id::Incarnation,
    /// What it borrowed.
    pub loan: u8,
    /// When it was sent.
    pub sent: Time,
    /// What its answer tells of the instance.
    pub mark: Observation,
    /// Whether the silence of its instance has been considered.
    pub judged: bool,
}

impl Call {
    /// The purse that this call's retries come out of: its own for a root, that
    /// of the running attempt which made it for a nested call.
    pub fn purse<'a>(&'a mut self, purses: &'a mut Allowances) -> Option<&'a mut Allowance> {
        match self.context.parent {
            Some(parent) => purses.get_mut(&parent),
            None => Some(&mut self.purse),
        }
    }

    /// Remembers that an attempt may have run.
    pub fn taint(&mut self, code: Code) {
        self.tainted.get_or_insert(code);
    }
}

/// Calls of one team that wait for a rate token: the most important first, and of
/// these the oldest.
#[derive(Clone, Debug, Default)]
pub struct Line {
    calls: BTreeSet<(Reverse<Importance>, id::Call)>,
    waiting: WaitingCounts,
}

impl Line {
    /// Adds a call, if it is not there.
    pub fn insert(&mut self, importance: Importance, call: id::Call) {
        if self.calls.insert((Reverse(importance), call)) {
            self.waiting.add(importance);
        }
    }

    /// Takes a call out, if it is there.
    pub fn remove(&mut self, importance: Importance, call: id::Call) {
        if self.calls.remove(&(Reverse(importance), call)) {
            self.waiting.remove(importance);
        }
    }

    /// The call that gets the next token.
    pub fn first(&self) -> Option<id::Call> {
        self.calls.first().map(|(_, call)| *call)
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// How many of each importance wait beside this call.
    pub fn beside(&self, importance: Importance, call: id::Call) -> WaitingCounts {
        let mut waiting = self.waiting;
        if self.calls.contains(&(Reverse(importance), call)) {
            waiting.remove(importance);
        }
        waiting
    }

    /// How many of each importance wait.
    pub fn waiting(&self) -> WaitingCounts {
        self.waiting
    }
}

/// What a charge leads to.
pub fn charged(charge: Charge) -> Result<Option<id::Grant>, Code> {
    match charge {
        Charge::Taken(grant) => Ok(Some(grant)),
        Charge::Pending => Ok(None),
        Charge::OverRate => Err(Code::RateExceeded),
        Charge::Unavailable => Err(Code::RateUnavailable),
    }
}
