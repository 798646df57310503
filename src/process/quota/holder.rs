//! The holder's side: the grants at hand, and when to ask for more.

use std::collections::BTreeMap;

use super::{
    Ask,
    Bank,
    Batch,
    Bucket,
    Charge,
    Message,
    Reply,
    Return,
    bank::WaitingCounts,
    bucket::MILLIS_PER_TOKEN, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    context::{
        Importance,
        StartLimit, //
    },
    id::{
        Grant,
        Incarnation,
        Instance,
        Team, //
    },
    team,
    unit::Rate, //
};

/// A grant is sized for so much of the recent demand.
const HORIZON: Span = Span::from_ms(150);
/// More is asked for when what is left lasts no longer than this.
const RESERVE: Span = Span::from_ms(50);
/// Time kept at the end of a grant for its requests to begin.
const BEGIN: Span = Span::from_ms(100);
/// A shared token is spent when it is taken, and binds its request no more.
const LASTING: Span = Span::from_secs(3600);
/// Time that an attempt may be under way to a node whose clock is not known.
const TRANSIT: Span = Span::from_ms(20);
/// Two clocks differ by at most one part in so many.
const DRIFT: u64 = 1000;
/// Time after which an unanswered wish is repeated.
const REPEAT: Span = Span::from_ms(40);
/// Age at which a wish is given up for a new one.
const STALE: Span = Span::from_ms(160);
/// Time after which the quota owner counts as unreachable.
const PATIENCE: Span = Span::from_ms(800);
/// Time between wishes while the quota owner is unreachable.
const PROBE: Span = Span::from_ms(200);
/// How often demand is measured.
const WINDOW: Span = Span::from_ms(100);
const WANT_LIMIT: u32 = 10_000;
/// Time after which a team without demand is forgotten.
const IDLE: Span = Span::from_secs(30);

/// How the fleet shares a rate. All but the first are there to compare with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Grants sized by demand.
    #[default]
    Grants,
    /// Every token is fetched from the quota owner when it is needed.
    Central,
    /// Every one of so many nodes has an equal part, and there is no owner.
    Slices(u32),
    /// As [`Mode::Grants`], and a share in percent stands at so many nodes.
    GrantsAndFixedShares(u32, u32),
}

#[derive(Clone, Debug)]
struct Held {
    grant: Grant,
    batch: Batch,
    end: Time,
    left: u32,
    taken: u32,
    unused: u32,
    begun: u32,
    told: (u32, Time),
}

#[derive(Clone, Debug)]
struct Wish {
    number: u64,
    asked: Time,
    sent: Time,
}

#[derive(Clone, Debug)]
struct Account {
    held: Vec<Held>,
    wish: Option<Wish>,
    over: Time,
    scarce: bool,
    silent: Option<Time>,
    unreachable: bool,
    waiting: u32,
    demand: f64,
    wishes: u32,
    window: Time,
    used: Time,
}

#[derive(Clone, Debug)]
struct Share {
    rate: Rate,
    burst: u64,
    bucket: Bucket,
}

/// How another node's clock stood when its last report came.
#[derive(Clone, Copy, Debug)]
struct Heard {
    life: Incarnation,
    clock: u64,
    at: Time,
}

/// The tokens that a node holds.
#[derive(Clone, Debug)]
pub struct Holder {
    me: Instance,
    life: Incarnation,
    mode: Mode,
    accounts: BTreeMap<Team, Account>,
    shares: BTreeMap<Team, Share>,
    next_wish: u64,
    next_grant: u64,
    outbox: Vec<(Team, Message)>,
    clocks: BTreeMap<Instance, Heard>,
    bank: Option<Bank>,
}

impl Holder {
    /// A holder without tokens.
    pub fn new(me: Instance, life: Incarnation) -> Self {
        Self {
            me,
            life,
            mode: Mode::default(),
            accounts: BTreeMap::new(),
            shares: BTreeMap::new(),
            next_wish: 0,
            next_grant: 0,
            outbox: Vec::new(),
            clocks: BTreeMap::new(),
            bank: None,
        }
    }

    /// Borrows tokens from servers that the listed nodes choose, from now on.
    pub fn use_bank(&mut self, bank: Bank) {
        self.bank = Some(bank);
    }

    /// The tokens of token servers, where rates have no owner.
    pub fn bank(&mut self) -> Option<&mut Bank> {
        self.bank.as_mut()
    }

    /// Shares rates in another way, from the beginning of the node on.
    pub fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
    }

    /// Learns the teams' rates, of which only standing shares make use.
    pub fn set_teams(&mut self, now: Time, teams: &[team::Team]) {
        let (percent, nodes) = match self.mode {
            Mode::Grants | Mode::Central => return,
            Mode::Slices(nodes) => (100, nodes),
            Mode::GrantsAndFixedShares(percent, nodes) => (percent, nodes),
        };
        for team in teams {
            let rate = team
                .rate
                .percent(u64::from(percent))
                .split(u64::from(nodes));
            let burst = u64::from(team.burst) * MILLIS_PER_TOKEN * u64::from(percent) / 100;
            let fresh = Share {
                rate,
                burst: burst / u64::from(nodes.max(1)),
                bucket: Bucket::empty(now),
            };
            self.shares.entry(team.name.clone()).or_insert(fresh);
        }
    }

    /// Takes a token for one root request of the team, beside which these others
    /// wait for one. It pays for a request that begins within
    /// [`Holder::left`].
    pub fn take_with_waiting(
        &mut self,
        now: Time,
        team: &Team,
        importance: Importance,
        others: WaitingCounts,
    ) -> Charge {
        match &mut self.bank {
            Some(bank) => bank.take(now, team, importance, others),
            None => self.take(now, team),
        }
    }

    /// The same, where rates have owners.
    pub fn take(&mut self, now: Time, team: &Team) -> Charge {
        if let Some(charge) = self.take_share(now, team) {
            return charge;
        }
        let central = self.mode == Mode::Central;
        let account = self
            .accounts
            .entry(team.clone())
            .or_insert_with(|| Account::new(now));
        account.used = now;
        account.wishes += 1;
        let charge = account.take(now);
        match charge {
            Charge::Taken(_) if account.is_low(now) && !central => self.ask(now, team),
            Charge::Pending if account.wish.is_none() => self.ask(now, team),
            _ => {}
        }
        charge
    }

    /// Gives a token back, as its request was not run.
    ///
    /// The token returns to its grant and ends with it, so it never lifts what
    /// is outstanding above what the quota owner counts.
    pub fn give_back(&mut self, now: Time, team: &Team, grant: Grant) {
        if let Some(bank) = &mut self.bank {
            return bank.give_back(team);
        }
        if let Some(held) = self.find(team, grant)
            && held.taken > 0
            && now < held.end
        {
            held.taken -= 1;
            held.left += 1;
        }
    }

    /// Whether a team that gets no token is over its rate; else no owner of its
    /// rate can be reached.
    pub fn is_over_rate(&self, now: Time, team: &Team) -> bool {
        self.bank
            .as_ref()
            .is_some_and(|bank| bank.is_over_rate(now, team))
    }

    /// The time until a team has a token again, as far as it is known.
    pub fn time_until_token(&self, now: Time, team: &Team) -> Span {
        let bank = self.bank.as_ref();
        bank.map_or(Span::ZERO, |bank| bank.time_until_token(now, team))
    }

    /// Notes that the request which took this token has begun.
    ///
    /// Its owner may then fill the token's place in the burst again. Until it
    /// hears of it, or the grant ends, the token counts as outstanding.
    pub fn mark_begun(&mut self, team: &Team, grant: Grant) {
        if let Some(held) = self.find(team, grant)
            && held.taken > 0
        {
            held.taken -= 1;
            held.begun += 1;
        }
    }

    /// Time left in which the request that took this token may begin.
    pub fn time_left(&self, now: Time, team: &Team, grant: Grant) -> Option<Span> {
        if self.bank.is_some() {
            return Some(LASTING);
        }
        if grant == Grant(0) {
            return Some(BEGIN);
        }
        let account = self.accounts.get(team)?;
        let held = account.held.iter().find(|held| held.grant == grant)?;
        (now < held.end).then(|| now.until(held.end))
    }

    /// Notes how another node's clock stands.
    pub fn record_peer_clock(&mut self, now: Time, peer: &Instance, life: Incarnation, clock: u64) {
        let heard = Heard {
            life,
            clock,
            at: now,
        };
        self.clocks.insert(peer.clone(), heard);
    }

    /// Until when a root may begin at another node, when its token has this time
    /// left. A report was under way before it came, so that clock has moved on at
    /// least as far as this one since, and the time told is never too late.
    pub fn begin_deadline(
        &self,
        now: Time,
        peer: &Instance,
        life: Incarnation,
        left: Span,
    ) -> StartLimit {
        match self.clocks.get(peer).filter(|heard| heard.life == life) {
            Some(heard) => {
                let passed = now.since(heard.at).as_ms();
                let clock = heard.clock + passed - passed / DRIFT;
                StartLimit::Clock(clock + left.as_ms())
            }
            None => StartLimit::Within(left - TRANSIT),
        }
    }

    /// Takes the quota owner's answer, and says whether those who wait should
    /// try again.
    pub fn on_reply(&mut self, now: Time, team: &Team, number: u64, reply: Reply) -> bool {
        let grant = Grant(self.next_grant + 1);
        let Some(account) = self.accounts.get_mut(team) else {
            return false;
        };
        let Some(wish) = account.wish.clone().filter(|wish| wish.number == number) else {
            return false;
        };
        match reply {
            Reply::NotOwner(other) => {
                if let (Some(_), Some(wish)) = (other, &mut account.wish) {
                    wish.sent = Time::ZERO;
                }
                return false;
            }
            Reply::OverRate(wait) => {
                account.over = now + wait;
                account.scarce = true;
            }
            Reply::Granted {
                batch,
                tokens,
                life,
                scarce,
            } => {
                account.scarce = scarce;
                self.next_grant += 1;
                account.held.push(Held {
                    grant,
                    batch,
                    end: wish.asked + life,
                    left: tokens,
                    taken: 0,
                    unused: 0,
                    begun: 0,
                    told: (0, now),
                });
            }
        }
        account.wish = None;
        account.silent = None;
        account.unreachable = false;
        account.waiting = 0;
        true
    }

    /// Repeats wishes, gives back what will not be used, and lists the teams
    /// whose waiting requests should try again.
    pub fn tick(&mut self, now: Time) -> Vec<Team> {
        let mut again = Vec::new();
        let teams: Vec<Team> = self.accounts.keys().cloned().collect();
        for team in teams {
            self.hand_back(now, &team);
            if self.nag(now, &team) {
                again.push(team);
            }
        }
        self.accounts
            .retain(|_, account| now.since(account.used) < IDLE || !account.held.is_empty());
        again
    }

    /// Gives back everything that is not taken, as the node leaves.
    pub fn drain(&mut self) {
        for (team, account) in &mut self.accounts {
            let returns = account.hand_back(Time::NEVER);
            if !returns.is_empty() {
                self.outbox
                    .push((team.clone(), Message::Return(team.clone(), returns)));
            }
        }
    }

    /// Messages for the quota owners of teams, to be sent.
    pub fn outbox(&mut self) -> Vec<(Team, Message)> {
        std::mem::take(&mut self.outbox)
    }

    fn find(&mut self, team: &Team, grant: Grant) -> Option<&mut Held> {
        let account = self.accounts.get_mut(team)?;
        account.held.iter_mut().find(|held| held.grant == grant)
    }

    fn take_share(&mut self, now: Time, team: &Team) -> Option<Charge> {
        let share = self.shares.get_mut(team)?;
        share.bucket.refill(now, share.rate, share.burst);
        if share.bucket.take(1) {
            return Some(Charge::Taken(Grant(0)));
        }
        matches!(self.mode, Mode::Slices(_)).then_some(Charge::OverRate)
    }

    fn ask(&mut self, now: Time, team: &Team) {
        let central = self.mode == Mode::Central;
        let number = self.next_wish + 1;
        let Some(account) = self.accounts.get_mut(team) else {
            return;
        };
        if account.wish.is_none() {
            self.next_wish = number;
            account.wish = Some(Wish {
                number,
                asked: now,
                sent: now,
            });
            account.silent.get_or_insert(now);
        }
        let Some(wish) = &mut account.wish else {
            return;
        };
        wish.sent = now;
        let number = wish.number;
        let want = if central {
            account.waiting.max(1)
        } else {
            account.want(now)
        };
        let ask = Ask {
            from: self.me.clone(),
            life: self.life,
            number,
            team: team.clone(),
            want,
            returns: account.returns(now),
        };
        self.outbox.push((team.clone(), Message::Ask(ask)));
    }

    fn hand_back(&mut self, now: Time, team: &Team) {
        let Some(account) = self.accounts.get_mut(team) else {
            return;
        };
        account.measure(now);
        let returns = account.hand_back(now);
        account.held.retain(|held| now < held.end);
        if !returns.is_empty() {
            self.outbox
                .push((team.clone(), Message::Return(team.clone(), returns)));
        }
    }

    /// Repeats a wish that was not answered. Says whether those who wait should
    /// learn that the quota owner is unreachable.
    fn nag(&mut self, now: Time, team: &Team) -> bool {
        let Some(account) = self.accounts.get_mut(team) else {
            return false;
        };
        let Some(wish) = &account.wish else {
            return false;
        };
        let silence = account.silent.map_or(Span::ZERO, |since| now.since(since));
        let told = account.unreachable;
        account.unreachable = silence >= PATIENCE;
        let gap = if account.unreachable { PROBE } else { REPEAT };
        if now.since(wish.sent) >= gap {
            // A grant counts from when it was asked for, so an old wish would
            // bring tokens that have no time left.
            if now.since(wish.asked) >= STALE {
                account.wish = None;
            }
            let wanted = now.since(account.used) < PROBE + PROBE;
            if wanted || account.wish.is_some() {
                self.ask(now, team);
            }
        }
        let Some(account) = self.accounts.get_mut(team) else {
            return false;
        };
        if account.wish.is_none() {
            account.silent = None;
            account.unreachable = false;
        }
        account.unreachable && !told
    }
}

impl Account {
    fn new(now: Time) -> Self {
        Self {
            held: Vec::new(),
            wish: None,
            over: Time::ZERO,
            scarce: false,
            silent: None,
            unreachable: false,
            waiting: 0,
            demand: 0.0,
            wishes: 0,
            window: now,
            used: now,
        }
    }

    fn take(&mut self, now: Time) -> Charge {
        let usable = |held: &&mut Held| held.left > 0 && now + BEGIN < held.end;
        if let Some(held) = self.held.iter_mut().find(usable) {
            held.left -= 1;
            held.taken += 1;
            return Charge::Taken(held.grant);
        }
        if now < self.over {
            return Charge::OverRate;
        }
        if self.unreachable {
            return Charge::Unavailable;
        }
        self.waiting += 1;
        Charge::Pending
    }

    fn rate(&self, now: Time) -> f64 {
        let span = now.since(self.window).as_ms().max(20) as f64 / 1000.0;
        let recent = f64::from(self.wishes) / span;
        match self.wishes {
            0..3 => self.demand,
            _ => self.demand.max(recent),
        }
    }

    fn want(&self, now: Time) -> u32 {
        // When the bucket is low, tokens that lie here are missed elsewhere.
        let horizon = if self.scarce { Span::ZERO } else { HORIZON };
        let ahead = self.rate(now) * horizon.as_secs_f64();
        let want = ahead.round() as u32 + self.waiting;
        want.clamp(1, WANT_LIMIT)
    }

    fn is_low(&self, now: Time) -> bool {
        let usable = |held: &&Held| now + BEGIN < held.end;
        let left: u32 = self.held.iter().filter(usable).map(|held| held.left).sum();
        let reserve = self.rate(now) * RESERVE.as_secs_f64();
        !self.scarce && self.wish.is_none() && now >= self.over && f64::from(left) + 0.5 < reserve
    }

    fn measure(&mut self, now: Time) {
        let span = now.since(self.window);
        if span >= WINDOW {
            let recent = f64::from(self.wishes) / span.as_secs_f64();
            self.demand = (self.demand + recent) / 2.0;
            self.wishes = 0;
            self.window = now;
        }
    }

    /// Gives up tokens of grants that are about to end. Each total is told once
    /// here, and again with every wish until its grant has ended.
    fn hand_back(&mut self, now: Time) -> Vec<Return> {
        let mut returns = Vec::new();
        for held in &mut self.held {
            let ending = held.left > 0 && now + BEGIN >= held.end;
            if ending {
                held.unused += held.left;
                held.left = 0;
            }
            // A lost return would leave its tokens to end unused.
            let again = held.unused > 0 && now.since(held.told.1) >= REPEAT;
            let news = held.begun > held.told.0 && (self.scarce || again);
            if ending || again || news {
                held.told = (held.begun, now);
                returns.push(held.total());
            }
        }
        returns
    }

    fn returns(&self, now: Time) -> Vec<Return> {
        let told = |held: &&Held| held.unused + held.begun > 0 && now < held.end;
        self.held.iter().filter(told).map(Held::total).collect()
    }
}

impl Held {
    fn total(&self) -> Return {
        Return {
            batch: self.batch,
            unused: self.unused,
            begun: self.begun,
        }
    }
}
