//! The quota owner's side: one bucket per team, and the grants outstanding.

use std::collections::BTreeMap;

use super::{
    Ask,
    BatchId,
    Bucket,
    BucketSnapshot,
    MAX_GRANT_LIFE,
    MIN_GRANT_LIFE,
    Reply,
    Return,
    bucket::MILLIS_PER_TOKEN, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Incarnation,
        Instance, //
    },
    lease::{
        Epoch,
        Ownership, //
    },
    team::Team,
    unit::Rate, //
};

/// Bounds of the wait that [`Reply::OverRate`] reports.
const MIN_WAIT: Span = Span::from_ms(20);
pub(super) const MAX_WAIT: Span = Span::from_ms(200);
/// A holder that has not sent a request for this long is forgotten.
const HOLDER_IDLE_TIMEOUT: Span = Span::from_secs(60);

#[derive(Clone, Debug)]
struct OutstandingGrant {
    holder: Instance,
    life: Incarnation,
    number: u64,
    tokens: u32,
    unused: u32,
    begun: u32,
    duration: Span,
    end: Time,
}

#[derive(Clone, Debug)]
struct LatestAsk {
    life: Incarnation,
    number: u64,
    at: Time,
}

/// One team's tokens under one ownership epoch.
#[derive(Clone, Debug)]
struct Ledger {
    epoch: Epoch,
    bucket: Bucket,
    rate: Rate,
    burst: u32,
    last_sequence: u64,
    granted_millis: u64,
    inherited: bool,
    outstanding: BTreeMap<BatchId, OutstandingGrant>,
    latest: BTreeMap<Instance, LatestAsk>,
}

/// All teams whose quota this node owns.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    ledgers: BTreeMap<crate::id::Team, Ledger>,
    withheld_percent: Option<u32>,
    inherited: BTreeMap<crate::id::Team, BucketSnapshot>,
}

impl Owner {
    /// Withholds a percentage of every rate and burst for the fixed shares of
    /// the holders.
    pub fn withhold_percent(&mut self, percent: u32) {
        self.withheld_percent = Some(percent);
    }

    /// Answers a holder's request under an ownership that is valid now.
    pub fn on_ask(&mut self, now: Time, ownership: Ownership, team: &Team, ask: &Ask) -> Reply {
        let kept_percent = 100 - u64::from(self.withheld_percent.unwrap_or(0));
        let team = scale_limits(team, kept_percent);
        let ledger = self.ledger_for(ownership, &team);
        ledger.advance(now, &team);
        ledger.apply_returns(now, &ask.returns);
        ledger.grant(now, ownership, ask)
    }

    /// Takes tokens back. Those that belong to another ownership or an expired
    /// grant count as spent.
    pub fn on_return(&mut self, now: Time, team: &Team, returns: &[Return]) {
        let kept_percent = 100 - u64::from(self.withheld_percent.unwrap_or(0));
        let team = scale_limits(team, kept_percent);
        if let Some(ledger) = self.ledgers.get_mut(&team.name) {
            ledger.advance(now, &team);
            ledger.apply_returns(now, returns);
        }
    }

    /// The buckets to be handed over by an owner that leaves, of teams with no
    /// grant outstanding.
    pub fn settled_buckets(&self) -> Vec<BucketSnapshot> {
        let settled = |ledger: &&Ledger| ledger.outstanding.is_empty();
        let snapshot = |(team, ledger): (&crate::id::Team, &Ledger)| BucketSnapshot {
            team: team.clone(),
            epoch: ledger.epoch,
            millis: ledger.bucket.millis(),
        };
        let ledgers = self.ledgers.iter().filter(|(_, ledger)| settled(ledger));
        ledgers.map(snapshot).collect()
    }

    /// Advances all buckets to `now`.
    pub fn advance(&mut self, now: Time) {
        for ledger in self.ledgers.values_mut() {
            ledger.advance_to(now);
        }
    }

    /// Records the buckets of an owner that left. They count only under the
    /// epoch that directly follows that owner's.
    pub fn inherit_buckets(&mut self, snapshots: Vec<BucketSnapshot>) {
        for snapshot in snapshots {
            self.inherited.insert(snapshot.team.clone(), snapshot);
        }
    }

    fn ledger_for(&mut self, ownership: Ownership, team: &Team) -> &mut Ledger {
        let fresh = || {
            let mut ledger = Ledger::new(ownership.epoch, Bucket::empty(ownership.since));
            (ledger.rate, ledger.burst) = (team.rate, team.burst);
            ledger
        };
        let ledger = self.ledgers.entry(team.name.clone()).or_insert_with(fresh);
        // After an interruption, another owner may have granted the tokens of
        // this node's earlier epoch again, so the ledger starts over, empty.
        if ownership.continued_epoch == Some(ledger.epoch) {
            ledger.epoch = ownership.epoch;
        } else if ledger.epoch != ownership.epoch {
            *ledger = fresh();
        }
        let directly_before =
            |snapshot: &&BucketSnapshot| ownership.epoch.directly_follows(snapshot.epoch);
        if let Some(snapshot) = self.inherited.get(&team.name).filter(directly_before) {
            ledger.credit(snapshot.millis);
        }
        ledger
    }
}

impl OutstandingGrant {
    /// Tokens that may still pay for a request.
    fn unspent(&self) -> u32 {
        self.tokens - self.unused - self.begun
    }
}

fn scale_limits(team: &Team, percent: u64) -> Team {
    if percent == 100 {
        return team.clone();
    }
    Team {
        rate: team.rate.percent(percent),
        burst: (u64::from(team.burst) * percent / 100) as u32,
        ..team.clone()
    }
}

impl Ledger {
    fn new(epoch: Epoch, bucket: Bucket) -> Self {
        Self {
            epoch,
            bucket,
            rate: Rate::per_second(0),
            burst: 0,
            last_sequence: 0,
            granted_millis: 0,
            inherited: false,
            outstanding: BTreeMap::new(),
            latest: BTreeMap::new(),
        }
    }

    /// Credits what the previous owner had in its bucket. Happens once and may
    /// come late: what was granted since is deducted, as if the credit had been
    /// there from the start.
    fn credit(&mut self, millis: u64) {
        if !std::mem::replace(&mut self.inherited, true) {
            let rest = millis.saturating_sub(self.granted_millis);
            self.bucket.raise_to_millis(rest);
        }
    }

    fn cap(&self) -> u64 {
        let out: u64 = self
            .outstanding
            .values()
            .map(|grant| u64::from(grant.unspent()))
            .sum();
        u64::from(self.burst).saturating_sub(out) * MILLIS_PER_TOKEN
    }

    /// Advances the bucket to `now`, through each grant expiry in order.
    ///
    /// Filling the bucket in one step under the cap at `now` would keep tokens
    /// that came due while the grants still occupied the burst: a holder could
    /// use its grant at the last moment and the next one immediately after,
    /// which together exceed the burst. Filling up to each expiry under the cap
    /// of that time prevents this.
    fn advance(&mut self, now: Time, team: &Team) {
        self.advance_to(now);
        (self.rate, self.burst) = (team.rate, team.burst);
        self.bucket.refill(now, self.rate, self.cap());
        self.latest
            .retain(|_, latest| now.since(latest.at) < HOLDER_IDLE_TIMEOUT);
    }

    fn advance_to(&mut self, now: Time) {
        loop {
            let ended = self
                .outstanding
                .iter()
                .filter(|(_, grant)| grant.end <= now)
                .min_by_key(|(_, grant)| grant.end)
                .map(|(batch, grant)| (*batch, grant.end));
            let Some((batch, end)) = ended else {
                break;
            };
            self.bucket.refill(end, self.rate, self.cap());
            self.outstanding.remove(&batch);
        }
        self.bucket.refill(now, self.rate, self.cap());
    }

    fn apply_returns(&mut self, now: Time, returns: &[Return]) {
        for returned in returns {
            let Some(outstanding) = self.outstanding.get_mut(&returned.batch) else {
                continue;
            };
            let increase = returned.unused.saturating_sub(outstanding.unused);
            let increase = increase.min(outstanding.unspent());
            outstanding.unused += increase;
            self.bucket.add(u64::from(increase));
            let increase = returned.begun.saturating_sub(outstanding.begun);
            outstanding.begun += increase.min(outstanding.unspent());
        }
        self.bucket.refill(now, self.rate, self.cap());
    }

    fn grant(&mut self, now: Time, ownership: Ownership, ask: &Ask) -> Reply {
        if let Some(reply) = self.repeated_reply(now, ask) {
            return reply;
        }
        // A grant never outlives the ownership under which it was made, so the
        // next owner, which starts after it, has no outstanding grants to
        // account for.
        let duration = self.grant_life().min(now.until(ownership.until));
        if duration < MIN_GRANT_LIFE {
            return Reply::NotOwner(None);
        }
        let tokens = self.bucket.tokens();
        let share = tokens.div_ceil(2).min(u64::from(ask.want));
        if share == 0 {
            return Reply::OverRate(self.wait_time());
        }
        self.bucket.take(share);
        self.granted_millis += share * MILLIS_PER_TOKEN;
        self.last_sequence += 1;
        let batch = BatchId {
            epoch: self.epoch,
            sequence: self.last_sequence,
        };
        let outstanding = OutstandingGrant {
            holder: ask.from.clone(),
            life: ask.life,
            number: ask.number,
            tokens: share as u32,
            unused: 0,
            begun: 0,
            duration,
            end: now + duration,
        };
        self.outstanding.insert(batch, outstanding);
        Reply::Granted {
            batch,
            tokens: share as u32,
            life: duration,
            scarce: self.is_scarce(),
        }
    }

    fn is_scarce(&self) -> bool {
        self.bucket.tokens() < u64::from(self.burst / 2)
    }

    /// Answers a retried request with the same grant, so that a lost answer
    /// costs nothing. A request older than the holder's latest is a late copy.
    fn repeated_reply(&mut self, now: Time, ask: &Ask) -> Option<Reply> {
        let mine = |grant: &&OutstandingGrant| grant.holder == ask.from && grant.life == ask.life;
        let found = self
            .outstanding
            .iter()
            .find(|(_, grant)| mine(grant) && grant.number == ask.number);
        if let Some((batch, grant)) = found {
            return Some(Reply::Granted {
                batch: *batch,
                tokens: grant.tokens,
                life: grant.duration,
                scarce: self.is_scarce(),
            });
        }
        let latest = LatestAsk {
            life: ask.life,
            number: ask.number,
            at: now,
        };
        let before = self.latest.get(&ask.from);
        let late = before.is_some_and(|last| (last.life, last.number) > (ask.life, ask.number));
        if late {
            return Some(Reply::OverRate(MIN_WAIT));
        }
        self.latest.insert(ask.from.clone(), latest);
        None
    }

    /// Grants live shorter when the burst is small compared to the rate,
    /// because outstanding tokens occupy the burst.
    fn grant_life(&self) -> Span {
        let half = u64::from(self.burst) * 1_000_000 / (2 * self.rate.as_millis().max(1));
        Span::from_ms(half).clamp(Span::from_ms(150), MAX_GRANT_LIFE)
    }

    fn wait_time(&self) -> Span {
        let missing = MILLIS_PER_TOKEN - self.bucket.millis() % MILLIS_PER_TOKEN;
        let wait = Span::from_ms(missing * 1000 / self.rate.as_millis().max(1));
        wait.clamp(MIN_WAIT, MAX_WAIT)
    }
}
