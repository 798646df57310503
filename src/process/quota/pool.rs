//! Rates shared without an owner.
//!
//! Every node mints its share of each team's rate, rate / nodes, and nobody
//! mints anything else. What a node does not need it deposits with the team's
//! bank, a node that all pick alike; what it lacks it borrows there. A bank
//! only passes tokens on, so it needs no right: when it dies its stock is lost,
//! another is picked at once, and two at a time do no harm.
//!
//! Why no window of time sees more than rate and burst. Minting: the nodes that
//! mint are among those that each of them counts, see [`Pool::adopt`], so the
//! shares add up to the rate at most. Stock: the nodes keep at most a quarter of
//! the burst; a bank keeps at most the rest, less what it lent in the last [`LOAN`], in proportion to the nodes that deposited with it just now; a
//! loan that was not used within [`LOAN`] of asking is void. So what lies
//! anywhere is at most the burst.
//!
//! While a team asks for more than its rate, its tokens go to its most important
//! requests first. The bank keeps for them as many tokens as they asked for just
//! now and lends the rest, and a node that was refused so leaves the tokens that
//! it mints to more important requests and to the bank.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Bucket,
    Charge,
    bucket::MILLI, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    context::Importance,
    id::{
        Grant,
        Instance,
        Team, //
    },
    team,
    unit::Rate, //
};

/// How long a loan may be used: by its holder from when it asked, by its bank
/// from when it lent. What is lent counts against the bank's stock for as long,
/// so a long one would starve teams whose burst is about a second of their rate.
const LOAN: Span = Span::from_ms(150);
/// Time before the end of a loan at which the rest is given back.
const RETURN: Span = Span::from_ms(50);
/// The part of the burst that all nodes keep themselves; banks keep the rest.
/// Tokens that lie at a node are missed elsewhere.
const KEPT_BURST: u64 = 4;
/// The time between two deposits. Tokens of an idle node are missed elsewhere
/// for this long.
const DEPOSIT: Span = Span::from_ms(200);
/// The same while others need them for more important requests.
const SCARCE_DEPOSIT: Span = Span::from_ms(50);
/// A node keeps tokens for so much of its recent demand.
const KEPT: f64 = 0.2;
/// It borrows when what it holds lasts no longer than this.
const RESERVE: f64 = 0.1;
/// It borrows for so much of its demand at a time.
const BORROWED: f64 = 0.1;
/// An unanswered wish is repeated after this, at the next bank in the order.
const REPEAT: Span = Span::from_ms(60);
/// A bank that did not answer is passed over for this long.
const PASSED_OVER: Span = Span::from_secs(2);
/// The time between two wishes while the bank has nothing to lend.
const EMPTY: Span = Span::from_ms(30);
/// Wishes of so long ago tell what more important requests will need.
const LATELY: Span = Span::from_ms(500);
/// The part of the burst that a bank keeps at most for more important requests.
const RESERVED: u64 = 4;
/// How long after the bank refused an importance in favour of a higher one the
/// tokens minted here are kept from it too.
const SCARCE: Span = Span::from_ms(500);
/// How often demand is measured, and the weight of the newest measurement.
const WINDOW: Span = Span::from_ms(200);
const FRESH: f64 = 0.3;
/// Requests a second below which a node keeps no tokens of a team.
const LIVELY: f64 = 0.5;
/// A node deposits at least this often, so that its bank counts it.
const DONOR: Span = Span::from_secs(1);
/// How long a node that has just joined mints nothing: until all others have
/// heard of it and mint less.
pub const JOINING: Span = Span::from_secs(2);

/// What nodes tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Tokens that a node does not need, in thousandths.
    Deposit {
        /// Who deposits.
        from: Instance,
        /// What.
        tokens: Vec<(Team, u64)>,
    },
    /// A node lacks tokens.
    Borrow {
        /// Who asks.
        from: Instance,
        /// For which team.
        team: Team,
        /// Counts the wishes of the asker.
        number: u64,
        /// Whole tokens.
        want: u32,
        /// The importance of the requests that they are for.
        #[serde(default)]
        importance: Importance,
    },
    /// The answer.
    Lend {
        /// For which team.
        team: Team,
        /// The wish.
        number: u64,
        /// Whole tokens; none when there are none.
        tokens: u32,
        /// There are some, for more important requests.
        #[serde(default)]
        reserved: bool,
    },
}

/// Calls that wait for a token, by their importance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting([u32; Importance::ALL.len()]);

impl Waiting {
    /// Adds one.
    pub fn add(&mut self, importance: Importance) {
        self.0[importance as usize] += 1;
    }

    /// Takes one out.
    pub fn remove(&mut self, importance: Importance) {
        let count = &mut self.0[importance as usize];
        *count = count.saturating_sub(1);
    }

    /// How many of this importance wait.
    pub fn of(&self, importance: Importance) -> u32 {
        self.0[importance as usize]
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|count| *count == 0)
    }
}

/// A loan that is being used.
#[derive(Clone, Copy, Debug)]
struct Loan {
    tokens: u32,
    end: Time,
    /// The least importance that may use it.
    least: Importance,
}

#[derive(Clone, Copy, Debug)]
struct Wish {
    number: u64,
    asked: Time,
    importance: Importance,
}

/// One team's tokens at this node.
#[derive(Clone, Debug)]
struct Account {
    rate: Rate,
    cap: u64,
    own: Bucket,
    loans: Vec<Loan>,
    wish: Option<Wish>,
    /// When the bank last had nothing for an importance.
    refused: [Option<Time>; Importance::ALL.len()],
    /// When it last kept what it had for a higher one.
    scarce: [Option<Time>; Importance::ALL.len()],
    demand: f64,
    taken: u32,
    waiting: Waiting,
    /// Whole tokens whose requests were not run. They are of use at once, or
    /// go to the bank with the next deposit.
    returned: u32,
    window: Time,
}

/// One team's stock at a bank.
#[derive(Clone, Debug, Default)]
struct Stock {
    millis: u64,
    lent: VecDeque<Lent>,
}

/// A wish that a bank has answered.
#[derive(Clone, Copy, Debug)]
struct Lent {
    at: Time,
    importance: Importance,
    wanted: u32,
    tokens: u32,
}

/// A bank's answer to a wish.
#[derive(Clone, Copy, Debug, Default)]
struct Loaned {
    tokens: u32,
    reserved: bool,
}

/// This node's part in sharing all rates, as a holder and as a bank.
#[derive(Clone, Debug)]
pub struct Pool {
    me: Instance,
    nodes: u32,
    minting: bool,
    banks: Vec<Instance>,
    silent: BTreeMap<Instance, Time>,
    accounts: BTreeMap<Team, Account>,
    limits: BTreeMap<Team, (Rate, u32)>,
    stocks: BTreeMap<Team, Stock>,
    donors: BTreeMap<Instance, Time>,
    next_deposit: Time,
    deposited: Time,
    next_number: u64,
    outbox: Vec<(Instance, Message)>,
}

impl Pool {
    /// A pool without teams.
    pub fn new(me: Instance) -> Self {
        Self {
            me,
            nodes: 1,
            minting: false,
            banks: Vec::new(),
            silent: BTreeMap::new(),
            accounts: BTreeMap::new(),
            limits: BTreeMap::new(),
            stocks: BTreeMap::new(),
            donors: BTreeMap::new(),
            next_deposit: Time::ZERO,
            deposited: Time::ZERO,
            next_number: 0,
            outbox: Vec::new(),
        }
    }

    /// Learns the teams.
    pub fn teams(&mut self, now: Time, teams: &[team::Team]) {
        self.limits = teams
            .iter()
            .map(|team| (team.name.clone(), (team.rate, team.burst)))
            .collect();
        let limits = &self.limits;
        self.accounts.retain(|team, _| limits.contains_key(team));
        self.stocks.retain(|team, _| limits.contains_key(team));
        self.share(now);
    }

    /// Learns how many nodes share the rates, whether this one is certainly
    /// counted by all of them, and which may be banks, best first.
    ///
    /// A node mints only while it is `certain`. Its record in the store outlives
    /// that certainty, so every node that mints is among the `nodes` that each
    /// other one counts.
    pub fn adopt(&mut self, now: Time, nodes: u32, certain: bool, banks: Vec<Instance>) {
        let changed = self.nodes != nodes || self.minting != certain;
        self.banks = banks;
        if changed {
            self.mint(now);
            self.nodes = nodes.max(1);
            self.minting = certain;
            self.share(now);
        }
    }

    /// Sets the share of each team; what lies above a smaller cap is void.
    fn share(&mut self, now: Time) {
        for (team, (rate, burst)) in &self.limits {
            let account = self
                .accounts
                .entry(team.clone())
                .or_insert_with(|| Account::new(now));
            account.mint(now, self.minting);
            account.rate = rate.split(u64::from(self.nodes));
            let burst = u64::from(*burst) * MILLI;
            account.cap = burst / KEPT_BURST / u64::from(self.nodes);
        }
    }

    fn mint(&mut self, now: Time) {
        let minting = self.minting;
        let accounts = self.accounts.values_mut();
        accounts.for_each(|account| account.mint(now, minting));
    }

    /// Takes a token for one root request of the team, beside which these others
    /// wait for one here.
    pub fn take(
        &mut self,
        now: Time,
        team: &Team,
        importance: Importance,
        others: Waiting,
    ) -> Charge {
        let Some((rate, _)) = self.limits.get(team) else {
            return Charge::Over;
        };
        if rate.as_millis() == 0 {
            return Charge::Taken(Grant(0));
        }
        let minting = self.minting;
        let Some(account) = self.accounts.get_mut(team) else {
            return Charge::Over;
        };
        account.mint(now, minting);
        let charge = match account.take(now, importance) {
            true => {
                account.taken += 1;
                Charge::Taken(Grant(0))
            }
            false => Charge::Pending,
        };
        account.waiting = others;
        if charge == Charge::Pending {
            account.waiting.add(importance);
        }
        self.borrow(now, team);
        charge
    }

    /// Whether the team is over its rate, as far as this node can tell: its
    /// bank had nothing to lend just now.
    pub fn is_over(&self, now: Time, team: &Team) -> bool {
        let account = self.accounts.get(team);
        account.is_none_or(|account| {
            let mut refused = account.refused.iter().flatten();
            refused.any(|at| now < *at + EMPTY + EMPTY + REPEAT)
        })
    }

    /// Gives a token back, as its request was not run.
    pub fn give_back(&mut self, now: Time, team: &Team) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.mint(now, self.minting);
            account.returned += 1;
        }
    }

    /// Takes a message, and says for which team those who wait should try
    /// again.
    pub fn on(&mut self, now: Time, message: Message) -> Option<Team> {
        match message {
            Message::Deposit { from, tokens } => {
                self.donors.insert(from, now);
                for (team, millis) in tokens {
                    self.deposit(now, &team, millis);
                }
                None
            }
            Message::Borrow {
                from,
                team,
                number,
                want,
                importance,
            } => {
                let loaned = self.lend(now, &team, want, importance);
                let answer = Message::Lend {
                    team,
                    number,
                    tokens: loaned.tokens,
                    reserved: loaned.reserved,
                };
                self.outbox.push((from, answer));
                None
            }
            Message::Lend {
                team,
                number,
                tokens,
                reserved,
            } => self.lent(now, team, number, Loaned { tokens, reserved }),
        }
    }

    fn lent(&mut self, now: Time, team: Team, number: u64, loaned: Loaned) -> Option<Team> {
        let account = self.accounts.get_mut(&team)?;
        let wish = account.wish.filter(|wish| wish.number == number)?;
        account.wish = None;
        let lent = account.lent(now, wish, loaned);
        lent.then_some(team)
    }

    /// Deposits, repeats wishes, and lists the teams whose waiting requests
    /// should try again. `waiting` tells how many of each team wait here: those
    /// that gave up must not go on borrowing tokens that nobody uses.
    pub fn tick(&mut self, now: Time, waiting: &BTreeMap<Team, Waiting>) -> Vec<Team> {
        self.mint(now);
        for (team, account) in &mut self.accounts {
            account.waiting = waiting.get(team).copied().unwrap_or_default();
        }
        let teams: Vec<_> = self.accounts.keys().cloned().collect();
        let mut again = Vec::new();
        for team in &teams {
            let waits = !self.accounts[team].waiting.is_empty();
            if self.overdue(now, team) || waits {
                self.borrow(now, team);
            }
            if let Some(account) = self.accounts.get_mut(team)
                && !account.waiting.is_empty()
                && account.can_take(now)
            {
                again.push(team.clone());
            }
        }
        let surplus = now >= self.next_deposit;
        if surplus {
            let mut accounts = self.accounts.values();
            let scarce = accounts.any(|account| account.is_scarce(now, Importance::Low));
            self.next_deposit = match scarce {
                true => now + SCARCE_DEPOSIT,
                false => now + DEPOSIT,
            };
        }
        self.give_up(now, surplus);
        again
    }

    /// Messages to be sent.
    pub fn outbox(&mut self) -> Vec<(Instance, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// When the next tick has something to do while requests come.
    pub fn due(&self) -> Time {
        self.next_deposit
    }

    /// Whether the wish of a team got no answer; its bank is passed over then.
    fn overdue(&mut self, now: Time, team: &Team) -> bool {
        let Some(account) = self.accounts.get_mut(team) else {
            return false;
        };
        let late = |wish: Wish| now.since(wish.asked) >= REPEAT;
        if !account.wish.is_some_and(late) {
            return false;
        }
        account.wish = None;
        if let Some(bank) = self.bank(now) {
            self.silent.insert(bank, now);
        }
        true
    }

    /// The bank now: the first that is not silent.
    fn bank(&mut self, now: Time) -> Option<Instance> {
        self.silent
            .retain(|_, since| now.since(*since) < PASSED_OVER);
        let mut speaking = self.banks.iter().filter(|b| !self.silent.contains_key(*b));
        speaking.next().or(self.banks.first()).cloned()
    }

    /// Asks the bank when what is here will not last.
    fn borrow(&mut self, now: Time, team: &Team) {
        let Some(bank) = self.bank(now) else {
            return;
        };
        let Some(account) = self.accounts.get_mut(team) else {
            return;
        };
        if account.wish.is_some() {
            return;
        }
        let Some((importance, want)) = account.wants(now) else {
            return;
        };
        self.next_number += 1;
        let number = self.next_number;
        let wish = Wish {
            number,
            asked: now,
            importance,
        };
        if bank == self.me {
            let loaned = self.lend(now, team, want, importance);
            if let Some(account) = self.accounts.get_mut(team) {
                account.lent(now, wish, loaned);
            }
            return;
        }
        account.wish = Some(wish);
        let wish = Message::Borrow {
            from: self.me.clone(),
            team: team.clone(),
            number,
            want,
            importance,
        };
        self.outbox.push((bank, wish));
    }

    /// Gives the bank what is borrowed and not used, and at times the surplus.
    fn give_up(&mut self, now: Time, surplus: bool) {
        let mut tokens = Vec::new();
        for (team, account) in &mut self.accounts {
            account.measure(now);
            let mut millis = account.unused(now);
            if surplus {
                millis += account.surplus(now);
            }
            if millis > 0 {
                tokens.push((team.clone(), millis));
            }
        }
        let silent = surplus && now.since(self.deposited) >= DONOR;
        let Some(bank) = self.bank(now).filter(|_| silent || !tokens.is_empty()) else {
            return;
        };
        self.deposited = now;
        if bank == self.me {
            self.donors.insert(self.me.clone(), now);
            for (team, millis) in tokens {
                self.deposit(now, &team, millis);
            }
            return;
        }
        let from = self.me.clone();
        self.outbox.push((bank, Message::Deposit { from, tokens }));
    }

    fn deposit(&mut self, now: Time, team: &Team, millis: u64) {
        let Some((_, burst)) = self.limits.get(team) else {
            return;
        };
        let recent = |at: &Time| now.since(*at) <= DONOR + DEPOSIT;
        self.donors.retain(|_, at| recent(at));
        let donors = (self.donors.len() as u64).min(u64::from(self.nodes));
        let burst = u64::from(*burst) * MILLI;
        let cap = (burst - burst / KEPT_BURST) * donors / u64::from(self.nodes);
        let stock = self.stocks.entry(team.clone()).or_default();
        let outstanding = stock.outstanding(now);
        stock.millis = (stock.millis + millis).min(cap.saturating_sub(outstanding));
    }

    fn lend(&mut self, now: Time, team: &Team, want: u32, importance: Importance) -> Loaned {
        let Some((_, burst)) = self.limits.get(team) else {
            return Loaned::default();
        };
        let Some(stock) = self.stocks.get_mut(team) else {
            return Loaned::default();
        };
        let whole = stock.millis / MILLI;
        let most = u64::from(*burst) / RESERVED;
        let reserve = stock.reserve(now, importance).min(most);
        let tokens = whole.saturating_sub(reserve).min(u64::from(want)) as u32;
        stock.millis -= u64::from(tokens) * MILLI;
        stock.lent.push_back(Lent {
            at: now,
            importance,
            wanted: want,
            tokens,
        });
        Loaned {
            tokens,
            reserved: reserve > 0,
        }
    }
}

impl Loan {
    fn fits(&self, now: Time, importance: Importance) -> bool {
        now < self.end && self.tokens > 0 && importance >= self.least
    }
}

impl Stock {
    /// Thousandths lent that may still be used.
    fn outstanding(&mut self, now: Time) -> u64 {
        self.forget(now);
        let usable = self.lent.iter().filter(|lent| now.since(lent.at) <= LOAN);
        let tokens = usable.map(|lent| u64::from(lent.tokens));
        tokens.sum::<u64>() * MILLI
    }

    /// Whole tokens wanted for those above an importance: as many as they asked for
    /// just now, so that nothing is kept where nodes have enough of their own.
    fn reserve(&mut self, now: Time, importance: Importance) -> u64 {
        self.forget(now);
        let above = self.lent.iter().filter(|lent| lent.importance > importance);
        above.map(|lent| u64::from(lent.wanted)).sum()
    }

    fn forget(&mut self, now: Time) {
        while let Some(lent) = self.lent.front()
            && now.since(lent.at) > LATELY
        {
            self.lent.pop_front();
        }
    }
}

impl Account {
    fn new(now: Time) -> Self {
        Self {
            rate: Rate::per_second(0),
            cap: 0,
            own: Bucket::empty(now),
            loans: Vec::new(),
            wish: None,
            refused: Default::default(),
            scarce: Default::default(),
            demand: 0.0,
            taken: 0,
            waiting: Waiting::default(),
            returned: 0,
            window: now,
        }
    }

    fn mint(&mut self, now: Time, minting: bool) {
        let rate = match minting {
            true => self.rate,
            false => Rate::per_second(0),
        };
        // A bucket below one token must still fill up to one, or a small share
        // could never be deposited.
        self.own.fill(now, rate, self.cap.max(1));
        self.loans.retain(|loan| now < loan.end && loan.tokens > 0);
    }

    /// Whether any of those that wait would get a token.
    fn can_take(&self, now: Time) -> bool {
        let waiting = Importance::ALL.into_iter().rev();
        let mut waiting = waiting.filter(|importance| self.waiting.of(*importance) > 0);
        waiting.next().is_some_and(|first| {
            let mut loans = self.loans.iter();
            let own = self.returned > 0 || self.own.tokens() > 0;
            loans.any(|loan| loan.fits(now, first)) || (own && !self.is_scarce(now, first))
        })
    }

    fn take(&mut self, now: Time, importance: Importance) -> bool {
        let usable = |loan: &&mut Loan| loan.fits(now, importance);
        if let Some(loan) = self.loans.iter_mut().find(usable) {
            loan.tokens -= 1;
            self.loans.retain(|loan| loan.tokens > 0);
            return true;
        }
        if self.is_scarce(now, importance) {
            return false;
        }
        if self.returned > 0 {
            self.returned -= 1;
            return true;
        }
        self.own.take(1)
    }

    /// Whether the team's tokens are short, so that those of this node are for
    /// more important requests. Critical ones have none above them.
    fn is_scarce(&self, now: Time, importance: Importance) -> bool {
        let scarce = self.scarce[importance as usize];
        scarce.is_some_and(|at| now < at + SCARCE)
    }

    /// The bank's answer to a wish; whether it lent anything.
    fn lent(&mut self, now: Time, wish: Wish, loaned: Loaned) -> bool {
        if loaned.tokens == 0 {
            // What it has not for one importance it has not for a lesser one.
            let lesser = ..=wish.importance as usize;
            self.refused[lesser].fill(Some(now));
            if loaned.reserved {
                self.scarce[lesser].fill(Some(now));
            }
            return false;
        }
        self.loans.push(Loan {
            tokens: loaned.tokens,
            end: wish.asked + LOAN,
            least: wish.importance,
        });
        true
    }

    fn holds(&self) -> f64 {
        let lent: u32 = self.loans.iter().map(|loan| loan.tokens).sum();
        f64::from(lent + self.returned) + self.own.millis() as f64 / MILLI as f64
    }

    /// What to borrow, and for which importance: for the most important calls that
    /// wait, else ahead. Nothing is borrowed ahead where it would likely not be
    /// used in time.
    fn wants(&self, now: Time) -> Option<(Importance, u32)> {
        let ahead = self.demand * BORROWED;
        let asked = |importance: Importance| {
            let refused = self.refused[importance as usize];
            refused.is_none_or(|at| now >= at + EMPTY)
        };
        let waiting = Importance::ALL.into_iter().rev();
        let mut waiting = waiting.filter(|importance| self.waiting.of(*importance) > 0);
        if let Some(importance) = waiting.find(|importance| asked(*importance)) {
            let more = match self.is_scarce(now, Importance::Low) {
                true => 0,
                false => ahead as u32,
            };
            return Some((importance, self.waiting.of(importance) + more));
        }
        let low = self.holds() < self.demand * RESERVE;
        let likely = ahead >= 1.0 && low && self.waiting.is_empty();
        (likely && asked(Importance::Low)).then_some((Importance::Low, ahead as u32))
    }

    /// Takes out what was borrowed and will hardly be used before its time is
    /// over, while the bank still counts it as lent.
    fn unused(&mut self, now: Time) -> u64 {
        let late = |loan: &mut Loan| now + RETURN >= loan.end;
        let late = self.loans.extract_if(.., late);
        let tokens: u64 = late.map(|loan| u64::from(loan.tokens)).sum();
        tokens * MILLI
    }

    /// What is not needed here in the near future, and what could not be kept.
    fn surplus(&mut self, now: Time) -> u64 {
        let keep = match self.is_scarce(now, Importance::Low) {
            true => 0,
            false => self.keep(),
        };
        let surplus = self.own.millis().saturating_sub(keep);
        self.own.drain(surplus);
        surplus + u64::from(std::mem::take(&mut self.returned)) * MILLI
    }

    /// Thousandths to be kept. Below the cap there must be room for what is
    /// minted until the next deposit, or it would be lost; where that leaves
    /// less than a token, nothing that is kept could be used.
    fn keep(&self) -> u64 {
        let minted = self.rate.millis_within(DEPOSIT) * 2;
        let room = self.cap.saturating_sub(minted);
        let wanted = (self.demand * KEPT).max(1.0) * MILLI as f64;
        match room >= MILLI && self.demand >= LIVELY {
            true => room.min(wanted as u64),
            false => 0,
        }
    }

    fn measure(&mut self, now: Time) {
        let span = now.since(self.window);
        if span >= WINDOW {
            let recent = f64::from(self.taken) / span.as_secs_f64();
            self.demand += (recent - self.demand) * FRESH;
            self.taken = 0;
            self.window = now;
        }
    }
}
