//! Attempts that have arrived and not been started.

use rand::RngExt;

use super::{
    Action,
    Proxy,
    World, //
};
use crate::{
    admission::{
        RANKS_PER_IMPORTANCE, Rank,
        level::Measurement,
        queue::{
            Item,
            Order, //
        },
    },
    clock::{
        Span,
        Time, //
    },
    code::Code,
    context::{
        Context,
        StartLimit, //
    },
    id,
    metric::Counter,
    policy::{
        Admission,
        Policy,
        SheddingKey, //
    },
    record::Claim,
    suspect::{
        Judgement,
        Seen,
        Work, //
    },
};

/// Share of its remaining time that a nested call may wait. Refusing it fails the
/// whole request that made it, and wastes the work already done for that.
const MAX_NESTED_WAIT_SHARE: f64 = 0.5;
/// Lower bound of the time between two starts.
const MIN_INTERVAL_MS: f64 = 0.001;
/// The longest wait, in multiples of the target queue delay.
const MAX_WAIT_TARGETS: f64 = 10.0;

/// One waiting attempt.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The node that sent it.
    pub peer: id::Instance,
    /// Its route.
    pub route: id::Route,
    /// The metadata that came with it.
    pub context: Context,
    /// The idempotency record that guards it.
    pub claim: Option<Claim>,
    /// Its deadline.
    pub deadline: Time,
    /// When its root arrived, by the age in its context.
    pub root: Time,
    /// Latest time of its start: when the rate token that was taken for it expires.
    pub start_before: Time,
    /// When it is refused because it has waited too long.
    pub expires: Time,
}

impl Waiting {
    /// Creates an attempt that arrives now.
    pub fn new(
        now: Time,
        peer: id::Instance,
        route: id::Route,
        context: Context,
        claim: Option<Claim>,
    ) -> Self {
        let deadline = now + context.left;
        let root = Time::from_ms(now.as_ms().saturating_sub(context.age.as_ms()));
        let start_before = match context.begin {
            Some(StartLimit::Clock(clock)) => Time::from_ms(clock),
            Some(StartLimit::Within(left)) => now + left,
            None => Time::NEVER,
        };
        Self {
            peer,
            route,
            context,
            claim,
            deadline,
            root,
            start_before,
            expires: deadline.min(start_before),
        }
    }
}

impl Waiting {
    /// The request, if it can be recognized.
    pub(super) fn work(&self) -> Option<Work> {
        Work::of(&self.route, &self.context)
    }
}

impl Proxy {
    /// Admits and queues an attempt that has not been seen before, or refuses it.
    pub(super) fn enqueue(
        &mut self,
        now: Time,
        request: id::Request,
        mut waiting: Waiting,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        if world.policy.admission == Admission::Level {
            // The start limits are left out: other instances may accept more.
            let interval_ms = self.upstream_state.start_interval_ms(self.slots(now));
            let mut max_wait = self
                .upstream_state
                .target_delay(interval_ms)
                .scale(MAX_WAIT_TARGETS);
            if waiting.context.depth > 0 && world.policy.attribution {
                max_wait = max_wait.max(waiting.context.left.scale(MAX_NESTED_WAIT_SHARE));
            }
            waiting.expires = waiting.expires.min(now + max_wait);
        }
        let item = queue_item(request, &waiting, world);
        if let Err(code) = self.admit(now, &item, &waiting, world) {
            return self.refuse(now, request, waiting, code, world, out);
        }
        let order = queue_order(world.policy);
        let max_queue = self.upstream_state.max_queue as usize;
        if world.policy.admission != Admission::Open && self.queue.len() >= max_queue {
            let Some(evicted) = self.queue.evict(&item, order) else {
                return self.refuse(now, request, waiting, Code::QueueFull, world, out);
            };
            if let Some(evicted) = self
                .waiting
                .remove(&evicted.request)
                .map(|w| (evicted.request, w))
            {
                self.refuse(now, evicted.0, evicted.1, Code::QueueFull, world, out);
            }
        }
        self.queue.push(item, order);
        self.waiting.insert(request, waiting);
    }

    fn admit(
        &mut self,
        now: Time,
        item: &Item,
        waiting: &Waiting,
        world: &mut World<'_>,
    ) -> Result<(), Code> {
        if self.upstream_state.leaving() {
            return Err(Code::Leaving);
        }
        if self.upstream_state.is_evacuated() {
            return Err(Code::Evacuated);
        }
        if !self.upstream_state.ready {
            return Err(Code::UpstreamAbsent);
        }
        self.check_startable(now, waiting, world)?;
        if world.policy.admission != Admission::Level {
            return Ok(());
        }
        let (context, team) = (&waiting.context, &waiting.context.team);
        let rank = match world.policy.shedding_key {
            SheddingKey::Root => Rank::of(context, world.policy.nested_first),
            SheddingKey::Random => Rank::random(world.rng.random()),
        };
        let level = self.level(now, &waiting.route, team, world.levels, world.policy);
        if !rank.passes(level) {
            return Err(Code::Shed);
        }
        self.controller
            .record_admitted(context.importance, team, item.weight);
        let ahead = self.queue.ahead(item, queue_order(world.policy));
        if let Some(code) = self
            .start_limits
            .refusal(now, ahead, now.until(waiting.expires))
        {
            return Err(code);
        }
        let wait = self.wait(now, ahead);
        let service = self.upstream_state.service_time(now, &waiting.route);
        if world.policy.deadline_check && now + wait + service > waiting.deadline {
            return Err(Code::DeadlineUnfit);
        }
        Ok(())
    }

    /// Checks that an attempt may still be started now.
    pub(super) fn check_startable(
        &self,
        now: Time,
        waiting: &Waiting,
        world: &World<'_>,
    ) -> Result<(), Code> {
        let context = &waiting.context;
        // A configuration older than that of the ingress may not contain the key yet.
        let is_current = world.snapshot.version >= context.version;
        if let Some(key) = &context.key
            && is_current
            && !world.snapshot.teams.holds(key, &context.team)
        {
            return Err(Code::KeyWithdrawn);
        }
        let is_late = world.policy.deadline_check && now >= waiting.deadline;
        if is_late {
            return Err(Code::DeadlineUnfit);
        }
        if self.is_held_back(now, waiting) {
            return Err(Code::Suspect);
        }
        // A root that started after its token had expired could fall into the same
        // rate window as the token that was granted in its place.
        if now >= waiting.start_before {
            return Err(Code::QueueTimeout);
        }
        Ok(())
    }

    /// Whether upstreams have ended under the same request, so that it must not run now.
    fn is_held_back(&self, now: Time, waiting: &Waiting) -> bool {
        let seen = Seen {
            since: waiting.root,
            ends: waiting.context.crashes,
        };
        if self.suspects.is_empty() && seen.ends == 0 {
            return false;
        }
        let judgement = waiting
            .work()
            .map(|work| self.suspects.judge(now, &work, seen));
        judgement == Some(Judgement::Held)
    }

    /// Takes the next attempt to start from the queue.
    pub(super) fn next(&mut self, policy: Policy) -> Option<(id::Request, Waiting)> {
        let overloaded = self.controller.overloaded();
        let item = self.queue.pop(queue_order(policy), overloaded)?;
        let waiting = self.waiting.remove(&item.request)?;
        Some((item.request, waiting))
    }

    /// Removes a waiting attempt.
    pub(super) fn remove_waiting(&mut self, request: id::Request) -> Option<Waiting> {
        self.queue.remove(request);
        self.waiting.remove(&request)
    }

    /// Refuses an attempt as not run, and records that it must never be started.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        request: id::Request,
        waiting: Waiting,
        code: Code,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        let left = now.until(waiting.deadline);
        self.history.revoke(now, &waiting.peer, request, left);
        world.counts.add(Counter::Turned(code));
        let team = &waiting.context.team;
        let mut report = self.base_report(now);
        report.level = self.level(now, &waiting.route, team, world.levels, world.policy);
        out.push(Action::Refuse(waiting.peer, request, code, report));
    }

    /// Refuses all waiting attempts.
    pub(super) fn refuse_waiting(
        &mut self,
        now: Time,
        code: Code,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        let all: Vec<_> = self.queue.iter().collect();
        for request in all {
            if let Some(waiting) = self.remove_waiting(request) {
                self.refuse(now, request, waiting, code, world, out);
            }
        }
    }

    /// Refuses attempts that have waited too long.
    pub(super) fn expire_waiting(
        &mut self,
        now: Time,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        let expired = |(request, waiting): (&id::Request, &Waiting)| {
            (waiting.expires <= now).then_some(*request)
        };
        let expired: Vec<_> = self.waiting.iter().filter_map(expired).collect();
        for request in expired {
            if let Some(waiting) = self.remove_waiting(request) {
                let code = match waiting.deadline <= now {
                    true => Code::DeadlineUnfit,
                    false => Code::QueueTimeout,
                };
                self.refuse(now, request, waiting, code, world, out);
            }
        }
    }

    /// Updates the level from the queue delay.
    pub(super) fn update_level(&mut self, now: Time, world: &World<'_>) {
        if world.policy.admission != Admission::Level {
            return;
        }
        let queue_delay = match self.queue.is_empty() {
            true => Span::ZERO,
            false => self.queue_delay(now),
        };
        let measurement = Measurement {
            queue_delay,
            utilization: self.utilization(now),
            service_rate: 1000.0 / self.start_interval_ms(now).max(MIN_INTERVAL_MS),
        };
        self.controller
            .tick(now, measurement, self.target_delay(now));
    }

    fn target_delay(&self, now: Time) -> Span {
        self.upstream_state
            .target_delay(self.start_interval_ms(now))
    }

    /// The time in milliseconds between two starts, by the slots and the start limits.
    fn start_interval_ms(&self, now: Time) -> f64 {
        let slots = self.upstream_state.start_interval_ms(self.slots(now));
        slots.max(self.start_limits.interval_ms())
    }

    /// The expected wait of a request with this many others ahead of it.
    fn wait(&self, now: Time, ahead: usize) -> Span {
        let slots = ahead as f64 * self.upstream_state.start_interval_ms(self.slots(now));
        Span::from_ms(slots as u64).max(self.start_limits.wait(now, ahead))
    }

    /// The share of the slots in use; 1 while the start limits allow no start.
    fn utilization(&self, now: Time) -> f64 {
        let slots = self.running.len() as f64 / f64::from(self.slots(now));
        match self.start_limits.allows(now) {
            true => slots,
            false => 1.0,
        }
    }

    /// How long a request at the end of the queue would wait. It is at least the time
    /// since the last start, beyond the normal interval, in case the upstream has
    /// stalled.
    fn queue_delay(&self, now: Time) -> Span {
        let wait = self.wait(now, self.queue.len());
        wait.max(self.upstream_state.stall(now, self.start_interval_ms(now)))
    }
}

fn queue_item(request: id::Request, waiting: &Waiting, world: &World<'_>) -> Item {
    let context = &waiting.context;
    let team = world.snapshot.teams.team(&context.team);
    let by_rank = world.policy.attribution && context.depth > 0;
    Item {
        request,
        importance: context.importance,
        nested: context.depth > 0,
        team: context.team.clone(),
        weight: team.map_or(1, |team| team.weight.0),
        order_key: match by_rank {
            true => u64::from(RANKS_PER_IMPORTANCE - Rank::root_offset(context.root)),
            false => waiting.root.as_ms(),
        },
        by_rank,
    }
}

fn queue_order(policy: Policy) -> Order {
    let level = policy.admission == Admission::Level;
    Order {
        by_importance: level && policy.shedding_key == SheddingKey::Root,
        nested_first: level && policy.nested_first,
        fair: level && policy.fair_shares,
        newest_first: level && policy.newest_first,
    }
}
