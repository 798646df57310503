//! The server's side: the parts of rates that this node mints and lends.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use super::{
    DELEGATION_LIFE, DelegatedPart,
    message::{
        BorrowRequest, //
        LendReply,
    },
    placement::SERVERS_PER_TEAM,
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
    quota::bucket::{
        Bucket,
        MILLIS_PER_TOKEN, //
    },
    unit::Rate,
};

/// The time between two requests for parts, the remaining time at which a part
/// is requested again, and how long a server stops lending so that it can
/// delegate its part at the next request.
const REQUEST_INTERVAL: Span = Span::from_ms(80);
const DELEGATION_RENEWAL: Span = Span::from_ms(300);
const LENDING_PAUSE: Span = Span::from_ms(200);
/// How long a team must be without requests before its servers mint their parts
/// separately again.
const DELEGATION_IDLE_TIMEOUT: Span = Span::from_secs(5);
/// How long a request counts as an indication of what more important calls will
/// need.
const DEMAND_MEMORY: Span = Span::from_ms(500);
/// How long a request that got nothing counts as one that will be retried soon.
const CONTENTION_WINDOW: Span = Span::from_ms(100);
/// At most this fraction of a bucket is reserved for more important calls.
const MAX_RESERVE_DIVISOR: u64 = 4;
/// The longest wait that an answer reports.
pub(super) const MAX_WAIT: Span = Span::from_secs(5);

/// This node's share of a team: one of as many parts as there are servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ServerShare {
    /// Its rank among the servers.
    pub(super) rank: usize,
    /// The servers of lower rank, which it asks for their parts.
    pub(super) later_servers: Vec<Instance>,
    /// The team's whole rate.
    pub(super) rate: Rate,
    /// The team's whole burst, in thousandths of a token.
    pub(super) burst: u64,
}

/// A request that was answered.
#[derive(Clone, Copy, Debug)]
struct AnsweredRequest {
    at: Time,
    importance: Importance,
    requested: u32,
    millis: u64,
    /// How long what was lent may be used.
    life: Span,
}

/// One team's tokens at this server.
#[derive(Clone, Debug)]
struct ServerBucket {
    share: ServerShare,
    bucket: Bucket,
    answered: VecDeque<AnsweredRequest>,
    /// Later servers whose parts it has accepted, and until when.
    accepted_parts: BTreeMap<Instance, Time>,
    /// Until when its own part is delegated, and to which server.
    delegated_until: Time,
    delegated_to: Option<Instance>,
    /// Until when it lends nothing, so that it can delegate its part.
    lending_paused_until: Time,
    last_request: Time,
    refilled_at: Time,
}

/// The tokens that this node mints.
#[derive(Clone, Debug, Default)]
pub(super) struct Mint {
    buckets: BTreeMap<Team, ServerBucket>,
    until: Time,
    next_request: Time,
}

impl Mint {
    /// Sets until when this node may mint. Drops all tokens if its right had
    /// ended in between.
    pub(super) fn extend_right(&mut self, now: Time, until: Time) {
        let expired = now >= self.until;
        for server_bucket in self.buckets.values_mut() {
            match expired {
                true => server_bucket.reset(now),
                false => server_bucket.refill(now),
            }
        }
        self.until = until;
    }

    /// Sets the teams that this node serves. Buckets of new ones are empty.
    pub(super) fn set_shares(&mut self, now: Time, shares: BTreeMap<Team, ServerShare>) {
        self.buckets.retain(|team, _| shares.contains_key(team));
        for (team, share) in shares {
            match self.buckets.get_mut(&team) {
                Some(server_bucket) => server_bucket.set_share(now, share),
                None => {
                    self.buckets.insert(team, ServerBucket::new(now, share));
                }
            }
        }
    }

    /// Takes thousandths back, as far as there is room for them.
    pub(super) fn deposit(&mut self, now: Time, team: &Team, millis: u64) {
        if let Some(server_bucket) = self.active_bucket(now, team).filter(|s| s.is_serving(now)) {
            server_bucket.refill(now);
            server_bucket.add(now, millis);
        }
    }

    /// Answers a request for tokens.
    pub(super) fn lend(&mut self, now: Time, request: &BorrowRequest) -> LendReply {
        match self
            .active_bucket(now, &request.team)
            .filter(|s| s.is_serving(now))
        {
            Some(server_bucket) => server_bucket.lend(now, request),
            None => LendReply {
                fraction: request.brought_millis,
                ..LendReply::default()
            },
        }
    }

    /// The servers to ask for their parts now, with the teams that are in
    /// demand.
    pub(super) fn wanted_parts(&mut self, now: Time) -> BTreeMap<Instance, Vec<Team>> {
        let mut requested: BTreeMap<Instance, Vec<Team>> = BTreeMap::new();
        if now < self.next_request || now >= self.until {
            return requested;
        }
        self.next_request = now + REQUEST_INTERVAL;
        for (team, server_bucket) in &self.buckets {
            if !server_bucket.is_serving(now)
                || now.since(server_bucket.last_request) >= DELEGATION_IDLE_TIMEOUT
            {
                continue;
            }
            let lasts = |server: &&Instance| {
                let until = server_bucket.accepted_parts.get(*server);
                until.is_some_and(|until| *until > now + DELEGATION_RENEWAL)
            };
            for server in server_bucket
                .share
                .later_servers
                .iter()
                .filter(|server| !lasts(server))
            {
                requested
                    .entry(server.clone())
                    .or_default()
                    .push(team.clone());
            }
        }
        requested
    }

    /// Delegates the parts of these teams to an earlier server, unless
    /// something lent out of them may still be used.
    pub(super) fn delegate(
        &mut self,
        now: Time,
        to: &Instance,
        teams: &[Team],
    ) -> Vec<DelegatedPart> {
        let until = self.until;
        let given = teams.iter().filter_map(|team| {
            let server_bucket = self.active_bucket(now, team)?;
            let (life, millis) = server_bucket.delegate(now, until, to)?;
            Some(DelegatedPart {
                team: team.clone(),
                life,
                millis,
            })
        });
        given.collect()
    }

    /// Accepts the part of a later server, which this one requested at `asked`.
    pub(super) fn accept_part(
        &mut self,
        now: Time,
        asked: Time,
        from: &Instance,
        part: &DelegatedPart,
    ) {
        let Some(server_bucket) = self.active_bucket(now, &part.team) else {
            return;
        };
        if !server_bucket.share.later_servers.contains(from) {
            return;
        }
        server_bucket.refill(now);
        let until = asked + part.life.min(DELEGATION_LIFE);
        let known = server_bucket
            .accepted_parts
            .entry(from.clone())
            .or_insert(until);
        *known = until.max(*known);
        if now < until {
            server_bucket.add(now, part.millis);
        }
    }

    /// A team's bucket, if this node may mint now.
    fn active_bucket(&mut self, now: Time, team: &Team) -> Option<&mut ServerBucket> {
        match now < self.until {
            true => self.buckets.get_mut(team),
            false => None,
        }
    }
}

impl ServerBucket {
    fn new(now: Time, share: ServerShare) -> Self {
        Self {
            share,
            bucket: Bucket::empty(now),
            answered: VecDeque::new(),
            accepted_parts: BTreeMap::new(),
            delegated_until: Time::ZERO,
            delegated_to: None,
            lending_paused_until: Time::ZERO,
            last_request: Time::ZERO,
            refilled_at: now,
        }
    }

    /// Drops all tokens.
    fn reset(&mut self, now: Time) {
        self.bucket = Bucket::empty(now.max(self.delegated_until));
        self.accepted_parts.clear();
    }

    /// Replaces the share. A server whose rank changes starts empty.
    fn set_share(&mut self, now: Time, share: ServerShare) {
        self.refill(now);
        if self.share.rank != share.rank {
            self.reset(now);
        }
        self.accepted_parts
            .retain(|server, _| share.later_servers.contains(server));
        self.share = share;
        self.refill(now);
    }

    fn is_serving(&self, now: Time) -> bool {
        now >= self.delegated_until && now >= self.lending_paused_until
    }

    /// Mints up to `now`, stepwise: a loan reduces the free capacity until it
    /// ends.
    fn refill(&mut self, now: Time) {
        let last = self.refilled_at;
        let between = |at: &Time| *at > last && *at < now;
        let lent = self.answered.iter().filter(|request| request.millis > 0);
        let ends = lent.map(|request| request.at + request.life);
        let ends = ends.chain(self.accepted_parts.values().copied());
        let mut steps: Vec<Time> = ends.filter(between).collect();
        steps.sort_unstable();
        for step in steps.into_iter().chain([now]) {
            let free_capacity = self.free_capacity(step);
            let rate = self.mint_rate(step);
            self.bucket.refill(step, rate, free_capacity);
        }
        self.refilled_at = now;
    }

    /// The number of parts minted here.
    fn part_count(&self, now: Time) -> u64 {
        let others = self.accepted_parts.values().filter(|until| now <= **until);
        1 + others.count() as u64
    }

    fn mint_rate(&self, now: Time) -> Rate {
        self.share
            .rate
            .scaled(MILLIS_PER_TOKEN * self.part_count(now) / SERVERS_PER_TEAM as u64)
    }

    fn cap(&self, now: Time) -> u64 {
        self.share.burst * self.part_count(now) / SERVERS_PER_TEAM as u64
    }

    /// What the bucket may hold in addition to loans that may still be used.
    fn free_capacity(&self, now: Time) -> u64 {
        let usable = |request: &&AnsweredRequest| now.since(request.at) <= request.life;
        let lent = self.answered.iter().filter(usable);
        let lent: u64 = lent.map(|request| request.millis).sum();
        self.cap(now).saturating_sub(lent)
    }

    /// Adds thousandths to the bucket, and returns how many there was room for.
    fn add(&mut self, now: Time, millis: u64) -> u64 {
        let before = self.bucket.millis();
        let free_capacity = self.free_capacity(now);
        self.bucket
            .raise_to_millis(before.saturating_add(millis).min(free_capacity));
        self.bucket.millis() - before
    }

    /// Lends tokens. A borrower brings less than a whole token.
    fn lend(&mut self, now: Time, request: &BorrowRequest) -> LendReply {
        let brought_millis = request.brought_millis.min(MILLIS_PER_TOKEN);
        self.last_request = now;
        self.refill(now);
        self.forget_old_requests(now);
        let reserve = self.reserved_millis(now, request.importance);
        let free = self.bucket.millis().saturating_sub(reserve);
        let offered = free.saturating_add(brought_millis);
        let tokens = (offered / MILLIS_PER_TOKEN).min(u64::from(request.want));
        let leaves_fraction =
            tokens == 0 && !request.last && self.part_count(now) < SERVERS_PER_TEAM as u64;
        let lent = match leaves_fraction {
            true => free,
            false => (tokens * MILLIS_PER_TOKEN).saturating_sub(brought_millis),
        };
        self.bucket.remove_millis(lent);
        self.answered.push_back(AnsweredRequest {
            at: now,
            importance: request.importance,
            requested: request.want,
            // What the request brought counts again, because its loan begins
            // now.
            millis: lent.max(tokens * MILLIS_PER_TOKEN),
            life: request.life.min(DEMAND_MEMORY),
        });
        let held = brought_millis.saturating_add(lent);
        let rest = held - tokens * MILLIS_PER_TOKEN;
        LendReply {
            tokens: tokens as u32,
            fraction: match leaves_fraction {
                true => rest,
                false => rest - self.add(now, rest),
            },
            wait: self.time_until(
                now,
                reserve + MILLIS_PER_TOKEN + self.contended_millis(now, request.importance),
            ),
            serving: true,
        }
    }

    /// Thousandths needed by other requests that got nothing and will be
    /// retried before this one.
    fn contended_millis(&self, now: Time, importance: Importance) -> u64 {
        let recent = self.answered.iter().rev();
        let recent = recent.take_while(|request| now.since(request.at) <= CONTENTION_WINDOW);
        let refused = |request: &&AnsweredRequest| {
            request.millis < MILLIS_PER_TOKEN && request.importance >= importance
        };
        recent.filter(refused).count() as u64 * MILLIS_PER_TOKEN
    }

    /// Delegates the part to an earlier server; returns the duration and the
    /// content of the bucket. While anything lent out of the part may still be
    /// used, stops lending instead.
    fn delegate(&mut self, now: Time, right_until: Time, to: &Instance) -> Option<(Span, u64)> {
        let is_delegated = now < self.delegated_until;
        let to_another = is_delegated && self.delegated_to.as_ref() != Some(to);
        if self.share.rank == 0 || to_another {
            return None;
        }
        let usable =
            |request: &AnsweredRequest| request.millis > 0 && now.since(request.at) <= request.life;
        if self.answered.iter().any(usable) {
            self.lending_paused_until = now + LENDING_PAUSE;
            return None;
        }
        let millis = match is_delegated {
            true => 0,
            false => {
                self.accepted_parts.clear();
                self.refill(now);
                self.bucket.millis()
            }
        };
        let until = right_until.min(now + DELEGATION_LIFE);
        self.delegated_until = self.delegated_until.max(until);
        self.delegated_to = Some(to.clone());
        self.lending_paused_until = Time::ZERO;
        self.bucket = Bucket::empty(self.delegated_until);
        Some((now.until(until), millis))
    }

    /// The time until the bucket holds this much.
    fn time_until(&self, now: Time, millis: u64) -> Span {
        let missing = millis.saturating_sub(self.bucket.millis());
        match self.mint_rate(now).as_millis() {
            0 => MAX_WAIT,
            rate => Span::from_ms(missing * 1000 / rate).min(MAX_WAIT),
        }
    }

    /// Thousandths reserved for calls above this importance: as many as they
    /// requested recently, so that nothing is reserved where they lack no
    /// tokens.
    fn reserved_millis(&self, now: Time, importance: Importance) -> u64 {
        let above = self.answered.iter().filter(|a| a.importance > importance);
        let requested: u64 = above.map(|answered| u64::from(answered.requested)).sum();
        (requested * MILLIS_PER_TOKEN).min(self.cap(now) / MAX_RESERVE_DIVISOR)
    }

    fn forget_old_requests(&mut self, now: Time) {
        while let Some(first) = self.answered.front()
            && now.since(first.at) > DEMAND_MEMORY
        {
            self.answered.pop_front();
        }
    }
}
