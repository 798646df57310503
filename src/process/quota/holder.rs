//! The holder's side: the grants that a node holds, and when it asks for more.

use std::collections::BTreeMap;

use super::{
    Ask,
    Bank,
    BatchId,
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

/// A grant covers this much of the recent demand.
const GRANT_HORIZON: Span = Span::from_ms(150);
/// More tokens are requested when the remaining ones last no longer than this.
const LOW_WATERMARK: Span = Span::from_ms(50);
/// Reserved at the end of a grant so that its requests can still begin in time.
const START_MARGIN: Span = Span::from_ms(100);
/// Tokens of the bank are spent when they are taken, so they never expire for
/// their request.
const BANK_TOKEN_LIFE: Span = Span::from_secs(3600);
/// Allowance for an attempt in transit to a node whose clock is unknown.
const TRANSIT_ALLOWANCE: Span = Span::from_ms(20);
/// Two clocks differ by at most one part in this many.
const CLOCK_DRIFT_DIVISOR: u64 = 1000;
/// An unanswered request is retried after this.
const RETRY_INTERVAL: Span = Span::from_ms(40);
/// Age at which a request is replaced by a new one.
const MAX_ASK_AGE: Span = Span::from_ms(160);
/// Time without an answer after which the quota owner counts as unreachable.
const OWNER_TIMEOUT: Span = Span::from_ms(800);
/// Time between requests while the quota owner is unreachable.
const PROBE_INTERVAL: Span = Span::from_ms(200);
/// How often demand is measured.
const DEMAND_WINDOW: Span = Span::from_ms(100);
/// The most tokens that one request asks for.
const MAX_WANT: u32 = 10_000;
/// Time after which an idle team is forgotten.
const ACCOUNT_IDLE_TIMEOUT: Span = Span::from_secs(30);

/// How the fleet shares a rate. All modes but the first exist for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Grants sized by demand.
    #[default]
    Grants,
    /// Every token is fetched from the quota owner when it is needed.
    Central,
    /// Each of this many nodes has an equal share, and there is no owner.
    Slices(u32),
    /// As [`Mode::Grants`], with a percentage of the rate split into fixed
    /// shares for this many nodes.
    GrantsAndFixedShares(u32, u32),
}

#[derive(Clone, Debug)]
struct HeldGrant {
    grant: Grant,
    batch: BatchId,
    end: Time,
    unspent: u32,
    taken: u32,
    unused: u32,
    begun: u32,
    reported: (u32, Time),
}

#[derive(Clone, Debug)]
struct PendingAsk {
    number: u64,
    first_sent: Time,
    last_sent: Time,
}

#[derive(Clone, Debug)]
struct TeamGrants {
    held: Vec<HeldGrant>,
    pending_ask: Option<PendingAsk>,
    over_rate_until: Time,
    scarce: bool,
    unanswered_since: Option<Time>,
    owner_unreachable: bool,
    waiting: u32,
    demand: f64,
    recent_takes: u32,
    window_start: Time,
    last_used: Time,
}

#[derive(Clone, Debug)]
struct FixedShare {
    rate: Rate,
    burst: u64,
    bucket: Bucket,
}

/// Another node's clock reading, as of its last report.
#[derive(Clone, Copy, Debug)]
struct PeerClock {
    life: Incarnation,
    clock: u64,
    at: Time,
}

/// The tokens that a node holds.
#[derive(Clone, Debug)]
pub struct Holder {
    instance: Instance,
    life: Incarnation,
    mode: Mode,
    team_grants: BTreeMap<Team, TeamGrants>,
    fixed_shares: BTreeMap<Team, FixedShare>,
    last_ask_number: u64,
    last_grant: u64,
    outbox: Vec<(Team, Message)>,
    peer_clocks: BTreeMap<Instance, PeerClock>,
    bank: Option<Bank>,
}

impl Holder {
    /// A holder without tokens.
    pub fn new(instance: Instance, life: Incarnation) -> Self {
        Self {
            instance,
            life,
            mode: Mode::default(),
            team_grants: BTreeMap::new(),
            fixed_shares: BTreeMap::new(),
            last_ask_number: 0,
            last_grant: 0,
            outbox: Vec::new(),
            peer_clocks: BTreeMap::new(),
            bank: None,
        }
    }

    /// Takes tokens from the bank from now on, in place of grants.
    pub fn use_bank(&mut self, bank: Bank) {
        self.bank = Some(bank);
    }

    /// The bank, if rates have no owner.
    pub fn bank(&mut self) -> Option<&mut Bank> {
        self.bank.as_mut()
    }

    /// Sets how rates are shared. Call it before the first request.
    pub fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
    }

    /// Sets the teams' rates, which only fixed shares use.
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
            let share = FixedShare {
                rate,
                burst: burst / u64::from(nodes.max(1)),
                bucket: Bucket::empty(now),
            };
            self.fixed_shares.entry(team.name.clone()).or_insert(share);
        }
    }

    /// Takes a token for one root request of the team, while the calls counted
    /// by `others` also wait for one. It pays for a request that begins within
    /// [`Holder::time_left`].
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

    /// Takes a token where rates have owners.
    pub fn take(&mut self, now: Time, team: &Team) -> Charge {
        if let Some(charge) = self.take_from_fixed_share(now, team) {
            return charge;
        }
        let central = self.mode == Mode::Central;
        let grants = self
            .team_grants
            .entry(team.clone())
            .or_insert_with(|| TeamGrants::new(now));
        grants.last_used = now;
        grants.recent_takes += 1;
        let charge = grants.take(now);
        match charge {
            Charge::Taken(_) if grants.is_low(now) && !central => self.send_ask(now, team),
            Charge::Pending if grants.pending_ask.is_none() => self.send_ask(now, team),
            _ => {}
        }
        charge
    }

    /// Gives a token back because its request was not run.
    ///
    /// The token returns to its grant and expires with it, so the tokens
    /// outstanding never exceed what the quota owner counts.
    pub fn give_back(&mut self, now: Time, team: &Team, grant: Grant) {
        if let Some(bank) = &mut self.bank {
            return bank.give_back(team);
        }
        if let Some(held) = self.find_grant(team, grant)
            && held.taken > 0
            && now < held.end
        {
            held.taken -= 1;
            held.unspent += 1;
        }
    }

    /// Whether a team that gets no token has exceeded its rate; otherwise no
    /// owner of its rate can be reached.
    pub fn is_over_rate(&self, now: Time, team: &Team) -> bool {
        self.bank
            .as_ref()
            .is_some_and(|bank| bank.is_over_rate(now, team))
    }

    /// The time until the team has a token again, as far as it is known.
    pub fn time_until_token(&self, now: Time, team: &Team) -> Span {
        let bank = self.bank.as_ref();
        bank.map_or(Span::ZERO, |bank| bank.time_until_token(now, team))
    }

    /// Notes that the request which took this token has begun.
    ///
    /// The owner may then refill the token's place in the burst. Until it
    /// learns of this, or the grant expires, the token counts as outstanding.
    pub fn mark_begun(&mut self, team: &Team, grant: Grant) {
        if let Some(held) = self.find_grant(team, grant)
            && held.taken > 0
        {
            held.taken -= 1;
            held.begun += 1;
        }
    }

    /// Time left in which the request that took this token may begin.
    pub fn time_left(&self, now: Time, team: &Team, grant: Grant) -> Option<Span> {
        if self.bank.is_some() {
            return Some(BANK_TOKEN_LIFE);
        }
        if grant == Grant(0) {
            return Some(START_MARGIN);
        }
        let grants = self.team_grants.get(team)?;
        let held = grants.held.iter().find(|held| held.grant == grant)?;
        (now < held.end).then(|| now.until(held.end))
    }

    /// Records another node's clock reading.
    pub fn record_peer_clock(&mut self, now: Time, peer: &Instance, life: Incarnation, clock: u64) {
        let clock_reading = PeerClock {
            life,
            clock,
            at: now,
        };
        self.peer_clocks.insert(peer.clone(), clock_reading);
    }

    /// The time until which a root request may begin at another node when its
    /// token has `left` to live. The clock reading was in transit before it
    /// arrived, so the peer's clock has advanced at least as far as this one
    /// since; the result is never too late.
    pub fn begin_deadline(
        &self,
        now: Time,
        peer: &Instance,
        life: Incarnation,
        left: Span,
    ) -> StartLimit {
        match self
            .peer_clocks
            .get(peer)
            .filter(|clock_reading| clock_reading.life == life)
        {
            Some(clock_reading) => {
                let passed = now.since(clock_reading.at).as_ms();
                let passed = passed - passed / CLOCK_DRIFT_DIVISOR;
                let clock = clock_reading.clock.saturating_add(passed);
                StartLimit::Clock(clock.saturating_add(left.as_ms()))
            }
            None => StartLimit::Within(left - TRANSIT_ALLOWANCE),
        }
    }

    /// Handles the quota owner's answer. Returns whether waiting requests
    /// should try again.
    pub fn on_reply(&mut self, now: Time, team: &Team, number: u64, reply: Reply) -> bool {
        let grant = Grant(self.last_grant + 1);
        let Some(grants) = self.team_grants.get_mut(team) else {
            return false;
        };
        let Some(pending) = grants
            .pending_ask
            .clone()
            .filter(|pending| pending.number == number)
        else {
            return false;
        };
        match reply {
            Reply::NotOwner(other) => {
                if let (Some(_), Some(pending)) = (other, &mut grants.pending_ask) {
                    pending.last_sent = Time::ZERO;
                }
                return false;
            }
            Reply::OverRate(wait) => {
                grants.over_rate_until = now + wait;
                grants.scarce = true;
            }
            Reply::Granted {
                batch,
                tokens,
                life,
                scarce,
            } => {
                grants.scarce = scarce;
                self.last_grant += 1;
                grants.held.push(HeldGrant {
                    grant,
                    batch,
                    end: pending.first_sent + life,
                    unspent: tokens,
                    taken: 0,
                    unused: 0,
                    begun: 0,
                    reported: (0, now),
                });
            }
        }
        grants.pending_ask = None;
        grants.unanswered_since = None;
        grants.owner_unreachable = false;
        grants.waiting = 0;
        true
    }

    /// Retries requests, gives back what will not be used, and returns the
    /// teams whose waiting requests should try again.
    pub fn tick(&mut self, now: Time) -> Vec<Team> {
        let mut retry = Vec::new();
        let teams: Vec<Team> = self.team_grants.keys().cloned().collect();
        for team in teams {
            self.return_unused(now, &team);
            if self.retry_ask(now, &team) {
                retry.push(team);
            }
        }
        self.team_grants.retain(|_, grants| {
            now.since(grants.last_used) < ACCOUNT_IDLE_TIMEOUT || !grants.held.is_empty()
        });
        retry
    }

    /// Gives back all tokens that are not taken, because the node leaves.
    pub fn drain(&mut self) {
        for (team, grants) in &mut self.team_grants {
            let returns = grants.collect_returns(Time::NEVER);
            if !returns.is_empty() {
                self.outbox
                    .push((team.clone(), Message::Return(team.clone(), returns)));
            }
        }
    }

    /// Removes and returns the messages to be sent to the teams' quota owners.
    pub fn outbox(&mut self) -> Vec<(Team, Message)> {
        std::mem::take(&mut self.outbox)
    }

    fn find_grant(&mut self, team: &Team, grant: Grant) -> Option<&mut HeldGrant> {
        let grants = self.team_grants.get_mut(team)?;
        grants.held.iter_mut().find(|held| held.grant == grant)
    }

    fn take_from_fixed_share(&mut self, now: Time, team: &Team) -> Option<Charge> {
        let share = self.fixed_shares.get_mut(team)?;
        share.bucket.refill(now, share.rate, share.burst);
        if share.bucket.take(1) {
            return Some(Charge::Taken(Grant(0)));
        }
        matches!(self.mode, Mode::Slices(_)).then_some(Charge::OverRate)
    }

    fn send_ask(&mut self, now: Time, team: &Team) {
        let central = self.mode == Mode::Central;
        let number = self.last_ask_number + 1;
        let Some(grants) = self.team_grants.get_mut(team) else {
            return;
        };
        if grants.pending_ask.is_none() {
            self.last_ask_number = number;
            grants.pending_ask = Some(PendingAsk {
                number,
                first_sent: now,
                last_sent: now,
            });
            grants.unanswered_since.get_or_insert(now);
        }
        let Some(pending) = &mut grants.pending_ask else {
            return;
        };
        pending.last_sent = now;
        let number = pending.number;
        let want = if central {
            grants.waiting.max(1)
        } else {
            grants.want(now)
        };
        let ask = Ask {
            from: self.instance.clone(),
            life: self.life,
            number,
            team: team.clone(),
            want,
            returns: grants.pending_returns(now),
        };
        self.outbox.push((team.clone(), Message::Ask(ask)));
    }

    fn return_unused(&mut self, now: Time, team: &Team) {
        let Some(grants) = self.team_grants.get_mut(team) else {
            return;
        };
        grants.update_demand(now);
        let returns = grants.collect_returns(now);
        grants.held.retain(|held| now < held.end);
        if !returns.is_empty() {
            self.outbox
                .push((team.clone(), Message::Return(team.clone(), returns)));
        }
    }

    /// Retries an unanswered request. Returns whether waiting requests should
    /// learn that the quota owner has become unreachable.
    fn retry_ask(&mut self, now: Time, team: &Team) -> bool {
        let Some(grants) = self.team_grants.get_mut(team) else {
            return false;
        };
        let Some(pending) = &grants.pending_ask else {
            return false;
        };
        let silence = grants
            .unanswered_since
            .map_or(Span::ZERO, |since| now.since(since));
        let was_unreachable = grants.owner_unreachable;
        grants.owner_unreachable = silence >= OWNER_TIMEOUT;
        let gap = if grants.owner_unreachable {
            PROBE_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        if now.since(pending.last_sent) >= gap {
            // A grant counts from when it was requested, so an old request
            // would yield tokens with no time left.
            if now.since(pending.first_sent) >= MAX_ASK_AGE {
                grants.pending_ask = None;
            }
            let wanted = now.since(grants.last_used) < PROBE_INTERVAL + PROBE_INTERVAL;
            if wanted || grants.pending_ask.is_some() {
                self.send_ask(now, team);
            }
        }
        let Some(grants) = self.team_grants.get_mut(team) else {
            return false;
        };
        if grants.pending_ask.is_none() {
            grants.unanswered_since = None;
            grants.owner_unreachable = false;
        }
        grants.owner_unreachable && !was_unreachable
    }
}

impl TeamGrants {
    fn new(now: Time) -> Self {
        Self {
            held: Vec::new(),
            pending_ask: None,
            over_rate_until: Time::ZERO,
            scarce: false,
            unanswered_since: None,
            owner_unreachable: false,
            waiting: 0,
            demand: 0.0,
            recent_takes: 0,
            window_start: now,
            last_used: now,
        }
    }

    fn take(&mut self, now: Time) -> Charge {
        let usable = |held: &&mut HeldGrant| held.unspent > 0 && now + START_MARGIN < held.end;
        if let Some(held) = self.held.iter_mut().find(usable) {
            held.unspent -= 1;
            held.taken += 1;
            return Charge::Taken(held.grant);
        }
        if now < self.over_rate_until {
            return Charge::OverRate;
        }
        if self.owner_unreachable {
            return Charge::Unavailable;
        }
        self.waiting += 1;
        Charge::Pending
    }

    fn demand_rate(&self, now: Time) -> f64 {
        let span = now.since(self.window_start).as_ms().max(20) as f64 / 1000.0;
        let recent = f64::from(self.recent_takes) / span;
        match self.recent_takes {
            0..3 => self.demand,
            _ => self.demand.max(recent),
        }
    }

    fn want(&self, now: Time) -> u32 {
        // When the bucket is low, tokens held here are missing elsewhere.
        let horizon = if self.scarce {
            Span::ZERO
        } else {
            GRANT_HORIZON
        };
        let ahead = self.demand_rate(now) * horizon.as_secs_f64();
        let want = ahead.round() as u32 + self.waiting;
        want.clamp(1, MAX_WANT)
    }

    fn is_low(&self, now: Time) -> bool {
        let usable = |held: &&HeldGrant| now + START_MARGIN < held.end;
        let left: u32 = self
            .held
            .iter()
            .filter(usable)
            .map(|held| held.unspent)
            .sum();
        let reserve = self.demand_rate(now) * LOW_WATERMARK.as_secs_f64();
        !self.scarce
            && self.pending_ask.is_none()
            && now >= self.over_rate_until
            && f64::from(left) + 0.5 < reserve
    }

    fn update_demand(&mut self, now: Time) {
        let span = now.since(self.window_start);
        if span >= DEMAND_WINDOW {
            let recent = f64::from(self.recent_takes) / span.as_secs_f64();
            self.demand = (self.demand + recent) / 2.0;
            self.recent_takes = 0;
            self.window_start = now;
        }
    }

    /// Gives up the tokens of grants that are about to expire. Reports each
    /// total once here, and again with every request until the grant has
    /// expired.
    fn collect_returns(&mut self, now: Time) -> Vec<Return> {
        let mut returns = Vec::new();
        for held in &mut self.held {
            let ending = held.unspent > 0 && now + START_MARGIN >= held.end;
            if ending {
                held.unused += held.unspent;
                held.unspent = 0;
            }
            // Without a retry, a lost return would leave its tokens unused
            // until they expire.
            let resend = held.unused > 0 && now.since(held.reported.1) >= RETRY_INTERVAL;
            let newly_begun = held.begun > held.reported.0 && (self.scarce || resend);
            if ending || resend || newly_begun {
                held.reported = (held.begun, now);
                returns.push(held.to_return());
            }
        }
        returns
    }

    fn pending_returns(&self, now: Time) -> Vec<Return> {
        let to_report = |held: &&HeldGrant| held.unused + held.begun > 0 && now < held.end;
        self.held
            .iter()
            .filter(to_report)
            .map(HeldGrant::to_return)
            .collect()
    }
}

impl HeldGrant {
    fn to_return(&self) -> Return {
        Return {
            batch: self.batch,
            unused: self.unused,
            begun: self.begun,
        }
    }
}
