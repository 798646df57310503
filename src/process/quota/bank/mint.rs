//! The server's side: the parts of rates that this node mints, and lends.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use super::{
    DELEGATION_LIFE, Delegated,
    message::{
        Lent,
        Wish, //
    },
    placement::SERVERS,
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

/// The time between two requests for parts, and the rest of a part's time at which
/// it is asked for again. A server that had lent just now gives at the next request.
const REQUEST_INTERVAL: Span = Span::from_ms(80);
const DELEGATION_RENEWAL: Span = Span::from_ms(300);
const YIELD_TIME: Span = Span::from_ms(200);
/// How long a team must be without wishes before its parts are minted apart again.
const DELEGATION_IDLE_TIMEOUT: Span = Span::from_secs(5);
/// How long a wish tells what more important requests will need.
const DEMAND_MEMORY: Span = Span::from_ms(500);
/// How long a wish that got nothing counts as one that comes back soon.
const CONTENTION_WINDOW: Span = Span::from_ms(100);
/// The part of a bucket that is kept at most for more important requests.
const MAX_RESERVE_DIVISOR: u64 = 4;
/// The longest wait that an answer tells.
const LONGEST_WAIT: Span = Span::from_secs(5);

/// What a node serves of a team: one part of as many as there are servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Share {
    /// Its place among the servers.
    pub(super) place: usize,
    /// The servers after it, which it asks for their parts.
    pub(super) later: Vec<Instance>,
    /// The team's whole rate.
    pub(super) rate: Rate,
    /// The team's whole burst, in thousandths.
    pub(super) burst: u64,
}

/// A wish that was answered.
#[derive(Clone, Copy, Debug)]
struct Answered {
    at: Time,
    importance: Importance,
    wanted: u32,
    millis: u64,
    /// How long what was lent may be used.
    life: Span,
}

/// One team's tokens at this server.
#[derive(Clone, Debug)]
struct Stock {
    share: Share,
    bucket: Bucket,
    answered: VecDeque<Answered>,
    /// Until when it has the parts of later servers too.
    others: BTreeMap<Instance, Time>,
    /// Until when its own part is given away, and to whom.
    given_until: Time,
    given_to: Option<Instance>,
    /// Until when it lends nothing, so that it can give its part away.
    yielding_until: Time,
    asked: Time,
    filled: Time,
}

/// The tokens that this node mints.
#[derive(Clone, Debug, Default)]
pub(super) struct Mint {
    stocks: BTreeMap<Team, Stock>,
    until: Time,
    next_request: Time,
}

impl Mint {
    /// Learns until when this node has the right to mint. What it holds is void
    /// when the right has ended meanwhile.
    pub(super) fn extend(&mut self, now: Time, until: Time) {
        let lapsed = now >= self.until;
        for stock in self.stocks.values_mut() {
            match lapsed {
                true => stock.clear(now),
                false => stock.fill(now),
            }
        }
        self.until = until;
    }

    /// Learns which teams this node serves. Buckets of new ones are empty.
    pub(super) fn serve(&mut self, now: Time, shares: BTreeMap<Team, Share>) {
        self.stocks.retain(|team, _| shares.contains_key(team));
        for (team, share) in shares {
            match self.stocks.get_mut(&team) {
                Some(stock) => stock.change(now, share),
                None => {
                    self.stocks.insert(team, Stock::new(now, share));
                }
            }
        }
    }

    /// Takes thousandths back, as far as there is room for them.
    pub(super) fn deposit(&mut self, now: Time, team: &Team, millis: u64) {
        if let Some(stock) = self.stock(now, team).filter(|s| s.is_serving(now)) {
            stock.fill(now);
            stock.put(now, millis);
        }
    }

    /// Answers a wish.
    pub(super) fn lend(&mut self, now: Time, wish: &Wish) -> Lent {
        match self.stock(now, &wish.team).filter(|s| s.is_serving(now)) {
            Some(stock) => stock.lend(now, wish),
            None => Lent {
                fraction: wish.brings,
                ..Lent::default()
            },
        }
    }

    /// The servers to ask for their parts now, of teams that are asked for.
    pub(super) fn wanted_parts(&mut self, now: Time) -> BTreeMap<Instance, Vec<Team>> {
        let mut wanted: BTreeMap<Instance, Vec<Team>> = BTreeMap::new();
        if now < self.next_request || now >= self.until {
            return wanted;
        }
        self.next_request = now + REQUEST_INTERVAL;
        for (team, stock) in &self.stocks {
            if !stock.is_serving(now) || now.since(stock.asked) >= DELEGATION_IDLE_TIMEOUT {
                continue;
            }
            let lasts = |server: &&Instance| {
                let until = stock.others.get(*server);
                until.is_some_and(|until| *until > now + DELEGATION_RENEWAL)
            };
            for server in stock.share.later.iter().filter(|server| !lasts(server)) {
                wanted.entry(server.clone()).or_default().push(team.clone());
            }
        }
        wanted
    }

    /// Gives the parts of these teams to an earlier server, as far as nothing lent
    /// out of them may still be used.
    pub(super) fn give(&mut self, now: Time, to: &Instance, teams: &[Team]) -> Vec<Delegated> {
        let until = self.until;
        let given = teams.iter().filter_map(|team| {
            let stock = self.stock(now, team)?;
            let (life, millis) = stock.give(now, until, to)?;
            Some(Delegated {
                team: team.clone(),
                life,
                millis,
            })
        });
        given.collect()
    }

    /// Takes the part of a later server, which this one asked for at a time.
    pub(super) fn take_part(&mut self, now: Time, asked: Time, from: &Instance, part: &Delegated) {
        let Some(stock) = self.stock(now, &part.team) else {
            return;
        };
        if !stock.share.later.contains(from) {
            return;
        }
        stock.fill(now);
        let until = asked + part.life;
        let known = stock.others.entry(from.clone()).or_insert(until);
        *known = until.max(*known);
        if now < until {
            stock.put(now, part.millis);
        }
    }

    /// The tokens of a team, if this node may mint them now.
    fn stock(&mut self, now: Time, team: &Team) -> Option<&mut Stock> {
        match now < self.until {
            true => self.stocks.get_mut(team),
            false => None,
        }
    }
}

impl Stock {
    fn new(now: Time, share: Share) -> Self {
        Self {
            share,
            bucket: Bucket::empty(now),
            answered: VecDeque::new(),
            others: BTreeMap::new(),
            given_until: Time::ZERO,
            given_to: None,
            yielding_until: Time::ZERO,
            asked: Time::ZERO,
            filled: now,
        }
    }

    /// Drops all tokens.
    fn clear(&mut self, now: Time) {
        self.bucket = Bucket::empty(now.max(self.given_until));
        self.others.clear();
    }

    /// Goes by another share from now on. A server at another place begins anew.
    fn change(&mut self, now: Time, share: Share) {
        self.fill(now);
        if self.share.place != share.place {
            self.clear(now);
        }
        self.others.retain(|server, _| share.later.contains(server));
        self.share = share;
        self.fill(now);
    }

    fn is_serving(&self, now: Time) -> bool {
        now >= self.given_until && now >= self.yielding_until
    }

    /// Mints up to a time, step by step: the room is less until each loan has ended.
    fn fill(&mut self, now: Time) {
        let last = self.filled;
        let between = |at: &Time| *at > last && *at < now;
        let lent = self.answered.iter().filter(|wish| wish.millis > 0);
        let ends = lent.map(|wish| wish.at + wish.life);
        let ends = ends.chain(self.others.values().copied());
        let mut steps: Vec<Time> = ends.filter(between).collect();
        steps.sort_unstable();
        for step in steps.into_iter().chain([now]) {
            let room = self.room(step);
            let rate = self.rate(step);
            self.bucket.refill(step, rate, room);
        }
        self.filled = now;
    }

    /// How many parts are minted here.
    fn parts(&self, now: Time) -> u64 {
        let others = self.others.values().filter(|until| now <= **until);
        1 + others.count() as u64
    }

    fn rate(&self, now: Time) -> Rate {
        self.share
            .rate
            .scaled(MILLIS_PER_TOKEN * self.parts(now) / SERVERS as u64)
    }

    fn cap(&self, now: Time) -> u64 {
        self.share.burst * self.parts(now) / SERVERS as u64
    }

    /// What the bucket may hold beside what is lent and may still be used.
    fn room(&self, now: Time) -> u64 {
        let usable = |wish: &&Answered| now.since(wish.at) <= wish.life;
        let lent = self.answered.iter().filter(usable);
        let lent: u64 = lent.map(|wish| wish.millis).sum();
        self.cap(now).saturating_sub(lent)
    }

    /// Puts thousandths into the bucket, and returns how many there was room for.
    fn put(&mut self, now: Time, millis: u64) -> u64 {
        let before = self.bucket.millis();
        let room = self.room(now);
        self.bucket.raise_to_millis((before + millis).min(room));
        self.bucket.millis() - before
    }

    fn lend(&mut self, now: Time, wish: &Wish) -> Lent {
        self.asked = now;
        self.fill(now);
        self.forget(now);
        let reserve = self.reserve(now, wish.importance);
        let free = self.bucket.millis().saturating_sub(reserve);
        let offered = free + wish.brings;
        let tokens = (offered / MILLIS_PER_TOKEN).min(u64::from(wish.want));
        let passes_on = tokens == 0 && !wish.last && self.parts(now) < SERVERS as u64;
        let lent = match passes_on {
            true => free,
            false => (tokens * MILLIS_PER_TOKEN).saturating_sub(wish.brings),
        };
        self.bucket.remove_millis(lent);
        self.answered.push_back(Answered {
            at: now,
            importance: wish.importance,
            wanted: wish.want,
            // What was brought is counted anew, as its loan begins now.
            millis: lent.max(tokens * MILLIS_PER_TOKEN),
            life: wish.life.min(DEMAND_MEMORY),
        });
        let rest = wish.brings + lent - tokens * MILLIS_PER_TOKEN;
        Lent {
            tokens: tokens as u32,
            fraction: match passes_on {
                true => rest,
                false => rest - self.put(now, rest),
            },
            wait: self.wait(
                now,
                reserve + MILLIS_PER_TOKEN + self.contended(now, wish.importance),
            ),
            serving: true,
        }
    }

    /// Thousandths for which others that got none will come back before this one.
    fn contended(&self, now: Time, importance: Importance) -> u64 {
        let recent = self.answered.iter().rev();
        let recent = recent.take_while(|wish| now.since(wish.at) <= CONTENTION_WINDOW);
        let refused =
            |wish: &&Answered| wish.millis < MILLIS_PER_TOKEN && wish.importance >= importance;
        recent.filter(refused).count() as u64 * MILLIS_PER_TOKEN
    }

    /// Gives its part to an earlier server; for how long, and what is in it. While
    /// anything lent out of it may still be used, it lends no more.
    fn give(&mut self, now: Time, right: Time, to: &Instance) -> Option<(Span, u64)> {
        let is_given = now < self.given_until;
        let elsewhere = is_given && self.given_to.as_ref() != Some(to);
        if self.share.place == 0 || elsewhere {
            return None;
        }
        let usable = |wish: &Answered| wish.millis > 0 && now.since(wish.at) <= wish.life;
        if self.answered.iter().any(usable) {
            self.yielding_until = now + YIELD_TIME;
            return None;
        }
        let millis = match is_given {
            true => 0,
            false => {
                self.others.clear();
                self.fill(now);
                self.bucket.millis()
            }
        };
        let until = right.min(now + DELEGATION_LIFE);
        self.given_until = self.given_until.max(until);
        self.given_to = Some(to.clone());
        self.yielding_until = Time::ZERO;
        self.bucket = Bucket::empty(self.given_until);
        Some((now.until(until), millis))
    }

    /// The time until the bucket holds this much.
    fn wait(&self, now: Time, millis: u64) -> Span {
        let missing = millis.saturating_sub(self.bucket.millis());
        match self.rate(now).as_millis() {
            0 => LONGEST_WAIT,
            rate => Span::from_ms(missing * 1000 / rate).min(LONGEST_WAIT),
        }
    }

    /// Thousandths kept for those above an importance: as many as they asked for
    /// lately, so that nothing is kept where they lack no tokens.
    fn reserve(&self, now: Time, importance: Importance) -> u64 {
        let above = self.answered.iter().filter(|a| a.importance > importance);
        let wanted: u64 = above.map(|answered| u64::from(answered.wanted)).sum();
        (wanted * MILLIS_PER_TOKEN).min(self.cap(now) / MAX_RESERVE_DIVISOR)
    }

    fn forget(&mut self, now: Time) {
        while let Some(first) = self.answered.front()
            && now.since(first.at) > DEMAND_MEMORY
        {
            self.answered.pop_front();
        }
    }
}
