//! Attempts that have arrived and are not started.

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
};

/// The share of its time that a call of a service may wait. Refusing it fails
/// the whole request that made it, with all that was done for that.
const MAX_NESTED_WAIT_SHARE: f64 = 0.5;
/// Lower bound in ms of the time between two starts.
const MIN_GAP: f64 = 0.001;
/// The longest wait, in targets of the queue's delay.
const MAX_WAIT_TARGETS: f64 = 10.0;

/// One attempt before its start.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Who sent it.
    pub peer: id::Instance,
    /// Its route.
    pub route: id::Route,
    /// What came along.
    pub context: Context,
    /// The idempotency record that guards it.
    pub claim: Option<Claim>,
    /// When it must have ended.
    pub deadline: Time,
    /// When its root arrived, as far as this node can tell.
    pub root: Time,
    /// When the rate token that pays for it ends, if it has not begun.
    pub begin: Time,
    /// When it has waited too long.
    pub expires: Time,
}

impl Waiting {
    /// An attempt that arrives now.
    pub fn new(
        now: Time,
        peer: id::Instance,
        route: id::Route,
        context: Context,
        claim: Option<Claim>,
    ) -> Self {
        let deadline = now + context.left;
        let root = Time::from_ms(now.as_ms().saturating_sub(context.age.as_ms()));
        let begin = match context.begin {
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
            begin,
            expires: deadline.min(begin),
        }
    }
}

impl Proxy {
    /// An attempt that was never seen before.
    pub(super) fn arrived(
        &mut self,
        now: Time,
        request: id::Request,
        mut waiting: Waiting,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        if world.policy.admission == Admission::Level {
            // The pace does not count: other instances may take more.
            let gap = self.site.gap(self.slots(now));
            let mut patience = self.site.target(gap).scale(MAX_WAIT_TARGETS);
            if waiting.context.depth > 0 && world.policy.attribution {
                patience = patience.max(waiting.context.left.scale(MAX_NESTED_WAIT_SHARE));
            }
            waiting.expires = waiting.expires.min(now + patience);
        }
        let item = item(request, &waiting, world);
        if let Err(code) = self.admit(now, &item, &waiting, world) {
            return self.refuse(now, request, waiting, code, world, out);
        }
        let order = order(world.policy);
        let room = self.site.queue as usize;
        if world.policy.admission != Admission::Open && self.queue.len() >= room {
            let Some(last) = self.queue.evict(&item, order) else {
                return self.refuse(now, request, waiting, Code::QueueFull, world, out);
            };
            if let Some(last) = self
                .waiting
                .remove(&last.request)
                .map(|w| (last.request, w))
            {
                self.refuse(now, last.0, last.1, Code::QueueFull, world, out);
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
        if self.site.leaving() {
            return Err(Code::Leaving);
        }
        if self.site.is_evacuated() {
            return Err(Code::Evacuated);
        }
        if !self.site.ready {
            return Err(Code::UpstreamAbsent);
        }
        self.fit(now, waiting, world)?;
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
        let ahead = self.queue.ahead(item, order(world.policy));
        if let Some(code) = self.pace.refusal(now, ahead, now.until(waiting.expires)) {
            return Err(code);
        }
        let wait = self.wait(now, ahead);
        let work = self.site.typical(now, &waiting.route);
        if world.policy.deadline_check && now + wait + work > waiting.deadline {
            return Err(Code::DeadlineUnfit);
        }
        Ok(())
    }

    /// Whether it may still be started now.
    pub(super) fn fit(&self, now: Time, waiting: &Waiting, world: &World<'_>) -> Result<(), Code> {
        let context = &waiting.context;
        // A version older than the ingress's may not know the key yet.
        let newer = world.snapshot.version >= context.version;
        if let Some(key) = &context.key
            && newer
            && !world.snapshot.teams.holds(key, &context.team)
        {
            return Err(Code::KeyWithdrawn);
        }
        let unfit = world.policy.deadline_check && now >= waiting.deadline;
        if unfit {
            return Err(Code::DeadlineUnfit);
        }
        // A root that began after its token had ended could fall into a window
        // together with the token granted in its place.
        if now >= waiting.begin {
            return Err(Code::QueueTimeout);
        }
        Ok(())
    }

    /// The next to be started.
    pub(super) fn next(&mut self, policy: Policy) -> Option<(id::Request, Waiting)> {
        let overloaded = self.controller.overloaded();
        let item = self.queue.pop(order(policy), overloaded)?;
        let waiting = self.waiting.remove(&item.request)?;
        Some((item.request, waiting))
    }

    /// Takes a waiting attempt out.
    pub(super) fn unqueue(&mut self, request: id::Request) -> Option<Waiting> {
        self.queue.remove(request);
        self.waiting.remove(&request)
    }

    /// Tells that an attempt was not run, and makes that true for ever.
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
        self.memory.revoke(now, &waiting.peer, request, left);
        world.counts.add(Counter::Turned(code));
        let team = &waiting.context.team;
        let mut report = self.state(now);
        report.level = self.level(now, &waiting.route, team, world.levels, world.policy);
        out.push(Action::Refuse(waiting.peer, request, code, report));
    }

    /// Refuses everything that waits.
    pub(super) fn flush(
        &mut self,
        now: Time,
        code: Code,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        let all: Vec<_> = self.queue.iter().collect();
        for request in all {
            if let Some(waiting) = self.unqueue(request) {
                self.refuse(now, request, waiting, code, world, out);
            }
        }
    }

    /// Refuses what has waited too long.
    pub(super) fn expire(&mut self, now: Time, world: &mut World<'_>, out: &mut Vec<Action>) {
        let late = |(request, waiting): (&id::Request, &Waiting)| {
            (waiting.expires <= now).then_some(*request)
        };
        let late: Vec<_> = self.waiting.iter().filter_map(late).collect();
        for request in late {
            if let Some(waiting) = self.unqueue(request) {
                let code = match waiting.deadline <= now {
                    true => Code::DeadlineUnfit,
                    false => Code::QueueTimeout,
                };
                self.refuse(now, request, waiting, code, world, out);
            }
        }
    }

    /// Moves the level by the queue's delay.
    pub(super) fn control(&mut self, now: Time, world: &World<'_>) {
        if world.policy.admission != Admission::Level {
            return;
        }
        let queue_delay = match self.queue.is_empty() {
            true => Span::ZERO,
            false => self.delay(now),
        };
        let measurement = Measurement {
            queue_delay,
            utilization: self.used(now),
            service_rate: 1000.0 / self.gap(now).max(MIN_GAP),
        };
        self.controller.tick(now, measurement, self.target(now));
    }

    fn target(&self, now: Time) -> Span {
        self.site.target(self.gap(now))
    }

    /// The time in ms between two starts, by slots or by the pace of the upstream.
    fn gap(&self, now: Time) -> f64 {
        let slots = self.site.gap(self.slots(now));
        slots.max(self.pace.gap())
    }

    /// How long a request waits that this many are ahead of.
    fn wait(&self, now: Time, ahead: usize) -> Span {
        let slots = ahead as f64 * self.site.gap(self.slots(now));
        Span::from_ms(slots as u64).max(self.pace.wait(now, ahead))
    }

    /// The share of what the upstream can take that is in use.
    fn used(&self, now: Time) -> f64 {
        let slots = self.running.len() as f64 / f64::from(self.slots(now));
        match self.pace.allows(now) {
            true => slots,
            false => 1.0,
        }
    }

    /// How long a request that came last would wait; at least the time since
    /// anything was started, in case the upstream stands still.
    fn delay(&self, now: Time) -> Span {
        let little = self.wait(now, self.queue.len());
        little.max(self.site.still(now, self.gap(now)))
    }
}

fn item(request: id::Request, waiting: &Waiting, world: &World<'_>) -> Item {
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

fn order(policy: Policy) -> Order {
    let level = policy.admission == Admission::Level;
    Order {
        by_importance: level && policy.shedding_key == SheddingKey::Root,
        nested_first: level && policy.nested_first,
        fair: level && policy.fair_shares,
        newest_first: level && policy.newest_first,
    }
}
