//! The borrower's side: one team's tokens at this node.

use super::{
    message::{
        BorrowRequest,
        LendReply, //
    },
    mint::MAX_WAIT,
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    context::Importance,
    id::{
        Instance,
        Team, //
    },
    quota::bucket::MILLIS_PER_TOKEN,
};

/// Lifetime of tokens borrowed for waiting calls, and of those borrowed ahead.
/// They count against their server's bucket for as long.
const WAITING_LOAN_LIFE: Span = Span::from_ms(40);
const PREFETCH_LOAN_LIFE: Span = Span::from_ms(150);
/// Time before the end of a loan at which the rest is returned.
const RETURN_BEFORE_END: Span = Span::from_ms(20);
/// A node borrows when its tokens last no longer than this many seconds.
const RESERVE_SECONDS: f64 = 0.1;
/// It borrows ahead for this many seconds of its demand.
const PREFETCH_SECONDS: f64 = 0.1;
/// An unanswered request is given up after this.
pub(super) const ANSWER_TIMEOUT: Span = Span::from_ms(60);
/// Bounds of the time before a server without tokens is asked again.
const MIN_PAUSE: Span = Span::from_ms(20);
const MAX_PAUSE: Span = Span::from_ms(100);
/// The time before a server is asked again that does not mint now.
const NOT_SERVING_PAUSE: Span = Span::from_ms(250);
/// How long a server's refusal counts as evidence that a team has exceeded its
/// rate.
const OVER_RATE_MEMORY: Span = Span::from_ms(500);
/// How often demand is measured, and the weight of the newest measurement.
const DEMAND_WINDOW: Span = Span::from_ms(200);
const DEMAND_EWMA_WEIGHT: f64 = 0.3;

const IMPORTANCE_COUNT: usize = Importance::ALL.len();

/// The number of calls that wait for a token, by importance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingCounts([u32; IMPORTANCE_COUNT]);

impl WaitingCounts {
    /// Adds one call.
    pub fn add(&mut self, importance: Importance) {
        self.0[importance as usize] += 1;
    }

    /// Removes one call.
    pub fn remove(&mut self, importance: Importance) {
        let count = &mut self.0[importance as usize];
        *count = count.saturating_sub(1);
    }

    /// The number of waiting calls of this importance.
    pub fn count(&self, importance: Importance) -> u32 {
        self.0[importance as usize]
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|count| *count == 0)
    }

    /// The importances of the waiting calls, highest first.
    fn importances(&self) -> impl Iterator<Item = Importance> {
        let all = Importance::ALL.into_iter().rev();
        all.filter(|importance| self.count(*importance) > 0)
    }
}

/// Borrowed tokens.
#[derive(Clone, Debug)]
struct Loan {
    server: Instance,
    tokens: u32,
    end: Time,
    /// The lowest importance that may use them.
    min_importance: Importance,
}

impl Loan {
    fn fits(&self, now: Time, importance: Importance) -> bool {
        now < self.end && self.tokens > 0 && importance >= self.min_importance
    }
}

/// A request that is not answered yet.
#[derive(Clone, Debug)]
struct PendingRequest {
    number: u64,
    sent_at: Time,
    importance: Importance,
    server: Instance,
    want: u32,
    life: Span,
}

/// A server of the team, as this node knows it.
#[derive(Clone, Debug)]
struct KnownServer {
    instance: Instance,
    /// Until when asking is pointless, by importance.
    paused_until: [Time; IMPORTANCE_COUNT],
    /// When it last reported that it had no token, and when it expects to have
    /// one.
    last_empty: Option<(Time, Time)>,
    /// When it last reported that it does not mint.
    last_not_serving: Option<Time>,
}

/// One team's tokens at this node.
#[derive(Clone, Debug)]
pub(super) struct Borrower {
    servers: Vec<KnownServer>,
    loans: Vec<Loan>,
    pending: Option<PendingRequest>,
    /// A fraction of a token, in thousandths, from a server that had no whole
    /// one.
    fraction: u64,
    /// Tokens whose requests were not run.
    returned: u32,
    waiting: WaitingCounts,
    demand: f64,
    taken: u32,
    window_start: Time,
    last_used: Time,
}

impl Borrower {
    pub(super) fn new(now: Time, servers: Vec<Instance>) -> Self {
        let mut borrower = Self {
            servers: Vec::new(),
            loans: Vec::new(),
            pending: None,
            fraction: 0,
            returned: 0,
            waiting: WaitingCounts::default(),
            demand: 0.0,
            taken: 0,
            window_start: now,
            last_used: now,
        };
        borrower.set_servers(servers);
        borrower
    }

    /// Replaces the servers, in the order in which they are asked, and keeps
    /// what is known of them.
    pub(super) fn set_servers(&mut self, servers: Vec<Instance>) {
        let mut previous = std::mem::take(&mut self.servers);
        for instance in servers {
            let known = previous.iter().position(|s| s.instance == instance);
            self.servers.push(match known {
                Some(place) => previous.swap_remove(place),
                None => KnownServer::new(instance),
            });
        }
    }

    /// Takes a token that is available here.
    pub(super) fn take(&mut self, now: Time, importance: Importance) -> bool {
        self.last_used = now;
        let usable = |loan: &&mut Loan| loan.fits(now, importance);
        let Some(loan) = self.loans.iter_mut().find(usable) else {
            return false;
        };
        loan.tokens -= 1;
        self.taken += 1;
        true
    }

    /// Whether the most important waiting calls would get a token.
    pub(super) fn can_take(&self, now: Time) -> bool {
        let first = self.waiting.importances().next();
        first.is_some_and(|first| self.loans.iter().any(|loan| loan.fits(now, first)))
    }

    pub(super) fn set_waiting(&mut self, waiting: WaitingCounts) {
        self.waiting = waiting;
    }

    pub(super) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(super) fn give_back(&mut self) {
        self.returned += 1;
    }

    /// Whether no server of the team had a token recently.
    pub(super) fn is_over_rate(&self, now: Time) -> bool {
        let is_empty = |server: &KnownServer| server.last_empty.is_some();
        let servers = &self.servers;
        servers.iter().any(is_empty) && servers.iter().all(|server| server.has_no_tokens(now))
    }

    /// The time until a server has a token again, as far as they reported.
    pub(super) fn time_until_token(&self, now: Time) -> Span {
        let ready = self.servers.iter().filter_map(|server| server.last_empty);
        let first = ready.map(|(_, ready)| ready).min();
        first.map_or(Span::ZERO, |ready| now.until(ready))
    }

    /// The next request and the server it goes to, unless one is in flight.
    pub(super) fn next_request(
        &mut self,
        now: Time,
        team: &Team,
        number: u64,
        is_silent: impl Fn(&Instance) -> bool,
    ) -> Option<(Instance, BorrowRequest)> {
        if self.pending.is_some() {
            return None;
        }
        let (importance, want) = self.needed(now)?;
        let life = match self.waiting.is_empty() {
            true => PREFETCH_LOAN_LIFE,
            false => WAITING_LOAN_LIFE,
        };
        let (silent, responsive): (Vec<_>, Vec<_>) = self
            .servers
            .iter()
            .partition(|server| is_silent(&server.instance));
        // A silent server may still have tokens when no other one mints, so it
        // is asked only then.
        let is_not_serving = |server: &&KnownServer| {
            server
                .last_not_serving
                .is_some_and(|at| now.since(at) <= OVER_RATE_MEMORY)
        };
        let silent = match responsive.iter().all(is_not_serving) {
            true => silent,
            false => Vec::new(),
        };
        let servers = responsive.into_iter().chain(silent);
        let mut servers = servers.filter(|server| server.paused_until[importance as usize] <= now);
        let server = servers.next()?.instance.clone();
        let last = servers.next().is_none();
        let request = BorrowRequest {
            team: team.clone(),
            number,
            want,
            importance,
            brought_millis: std::mem::take(&mut self.fraction),
            life,
            last,
        };
        self.pending = Some(PendingRequest {
            number,
            sent_at: now,
            importance,
            server: server.clone(),
            want,
            life,
        });
        Some((server, request))
    }

    /// How many tokens to borrow, and for which importance: for the most
    /// important waiting calls, otherwise ahead. Nothing is borrowed ahead that
    /// would probably not be used in time, or while servers have no tokens.
    fn needed(&self, now: Time) -> Option<(Importance, u32)> {
        let ahead = self.demand * PREFETCH_SECONDS;
        let scarce = self.servers.iter().any(|server| {
            let low = server.paused_until[Importance::Low as usize];
            now < low
        });
        for importance in self.waiting.importances() {
            let waiting = self.waiting.count(importance);
            let held = self.usable_tokens(now, importance);
            if waiting > held {
                let more = if scarce { 0 } else { ahead as u32 };
                return Some((importance, waiting - held + more));
            }
        }
        let low = f64::from(self.usable_tokens(now, Importance::Critical))
            < self.demand * RESERVE_SECONDS;
        let worthwhile = ahead >= 1.0 && low && !scarce && self.waiting.is_empty();
        worthwhile.then_some((Importance::Low, ahead as u32))
    }

    fn usable_tokens(&self, now: Time, importance: Importance) -> u32 {
        let usable = self.loans.iter().filter(|loan| loan.fits(now, importance));
        usable.map(|loan| loan.tokens).sum()
    }

    /// Handles the answer to the open request, and returns the server that sent
    /// it.
    pub(super) fn on_reply(
        &mut self,
        now: Time,
        number: u64,
        reply: LendReply,
    ) -> Option<Instance> {
        let pending = self.pending.take_if(|pending| pending.number == number)?;
        let reply = LendReply {
            tokens: reply.tokens.min(pending.want),
            fraction: reply.fraction.min(MILLIS_PER_TOKEN),
            wait: reply.wait.min(MAX_WAIT),
            ..reply
        };
        self.fraction = self.fraction.saturating_add(reply.fraction);
        if reply.tokens > 0 {
            self.loans.push(Loan {
                server: pending.server.clone(),
                tokens: reply.tokens,
                end: pending.sent_at + pending.life,
                min_importance: pending.importance,
            });
        }
        let server = self
            .servers
            .iter_mut()
            .find(|server| server.instance == pending.server);
        if let Some(server) = server {
            server.on_reply(now, pending.importance, reply);
        }
        Some(pending.server)
    }

    /// Gives up a request that got no answer, and returns the silent server.
    pub(super) fn take_overdue(&mut self, now: Time) -> Option<Instance> {
        let late = |pending: &mut PendingRequest| now.since(pending.sent_at) >= ANSWER_TIMEOUT;
        self.pending.take_if(late).map(|pending| pending.server)
    }

    /// Removes what goes back to servers: loans that will hardly be used in
    /// time, tokens whose requests were not run, and a fraction that no pending
    /// request carries.
    pub(super) fn take_returns(&mut self, now: Time) -> Vec<(Instance, u64)> {
        let mut returns = Vec::new();
        let over = |loan: &mut Loan| loan.tokens == 0 || now + RETURN_BEFORE_END >= loan.end;
        for loan in self.loans.extract_if(.., over) {
            if loan.tokens > 0 && now < loan.end {
                returns.push((loan.server, u64::from(loan.tokens) * MILLIS_PER_TOKEN));
            }
        }
        let rest = u64::from(std::mem::take(&mut self.returned)) * MILLIS_PER_TOKEN;
        let rest = match self.pending {
            Some(_) => rest,
            None => rest + std::mem::take(&mut self.fraction),
        };
        if let Some(first) = self.servers.first().filter(|_| rest > 0) {
            returns.push((first.instance.clone(), rest));
        }
        returns
    }

    pub(super) fn update_demand(&mut self, now: Time) {
        let span = now.since(self.window_start);
        if span >= DEMAND_WINDOW {
            let recent = f64::from(self.taken) / span.as_secs_f64();
            self.demand += (recent - self.demand) * DEMAND_EWMA_WEIGHT;
            self.taken = 0;
            self.window_start = now;
        }
    }

    /// Whether it has not been used for this long.
    pub(super) fn is_idle(&self, now: Time, span: Span) -> bool {
        now.since(self.last_used) >= span && self.pending.is_none() && self.loans.is_empty()
    }
}

impl KnownServer {
    fn new(instance: Instance) -> Self {
        Self {
            instance,
            paused_until: [Time::ZERO; IMPORTANCE_COUNT],
            last_empty: None,
            last_not_serving: None,
        }
    }

    /// Whether it reported recently that it has no token or does not mint.
    fn has_no_tokens(&self, now: Time) -> bool {
        let empty = self.last_empty.map(|(at, _)| at);
        empty
            .max(self.last_not_serving)
            .is_some_and(|at| now.since(at) <= OVER_RATE_MEMORY)
    }

    fn on_reply(&mut self, now: Time, importance: Importance, reply: LendReply) {
        if reply.tokens > 0 {
            self.last_empty = None;
            self.last_not_serving = None;
            return;
        }
        let pause = match reply.serving {
            true => {
                self.last_empty = Some((now, now + reply.wait));
                reply.wait.max(MIN_PAUSE).min(MAX_PAUSE)
            }
            false => {
                self.last_not_serving = Some(now);
                NOT_SERVING_PAUSE
            }
        };
        // What a server lacks for one importance it lacks for lower ones too.
        self.paused_until[..=importance as usize].fill(now + pause);
    }
}
