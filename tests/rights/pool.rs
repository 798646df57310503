//! Rates without an owner: nodes mint their shares and lend through a bank.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    context::Importance,
    id,
    quota::{
        Bucket, Charge,
        pool::{
            self,
            Message,
            Pool, //
        },
    },
    team::Team,
    unit::{
        Rate,
        Weight, //
    },
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

/// How long a message is under way.
const TRANSIT: Span = Span::from_ms(1);
/// How long a call waits for a token.
const PATIENCE: Span = Span::from_ms(150);
/// How often nodes tick while calls wait.
const TICK: u64 = 10;

/// A call that waits for a token.
struct Waiting {
    team: usize,
    importance: Importance,
    until: Time,
}

/// Nodes of one site that share the rates of some teams.
struct Site {
    now: Time,
    names: Vec<id::Instance>,
    teams: Vec<Team>,
    nodes: Vec<Pool>,
    alive: Vec<bool>,
    wires: VecDeque<(Time, usize, Message)>,
    waiting: Vec<Vec<Waiting>>,
    rng: ChaCha8Rng,
    /// When a token was taken, by team.
    taken: Vec<Vec<Time>>,
    asked: Vec<u32>,
    /// The share of the calls that are critical.
    critical: f64,
    /// Critical calls: how many asked, and got a token.
    critical_asked: Vec<u32>,
    critical_taken: Vec<u32>,
    /// What one bucket for the whole fleet, without any delay, would do.
    ideal: Vec<(Bucket, u32)>,
}

impl Site {
    fn new(nodes: usize, teams: &[(u64, u32)], seed: u64) -> Self {
        let name = |n: usize| format!("node-{n}").parse().expect("a name");
        let names: Vec<id::Instance> = (0..nodes).map(name).collect();
        let team = |(n, (rate, burst)): (usize, &(u64, u32))| Team {
            name: format!("team-{n}").parse().expect("a name"),
            rate: Rate::per_second(*rate),
            burst: *burst,
            weight: Weight::default(),
        };
        let teams: Vec<_> = teams.iter().enumerate().map(team).collect();
        let mut site = Self {
            now: Time::from_ms(1000),
            nodes: names.iter().cloned().map(Pool::new).collect(),
            alive: vec![true; nodes],
            wires: VecDeque::new(),
            waiting: (0..nodes).map(|_| Vec::new()).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            taken: vec![Vec::new(); teams.len()],
            asked: vec![0; teams.len()],
            critical: 0.0,
            critical_asked: vec![0; teams.len()],
            critical_taken: vec![0; teams.len()],
            ideal: vec![(Bucket::empty(Time::from_ms(1000)), 0); teams.len()],
            names,
            teams,
        };
        for node in &mut site.nodes {
            node.teams(site.now, &site.teams);
        }
        site.list();
        // Everybody begins with nothing.
        site.run(Span::from_secs(2), |_, _| 0.0);
        site
    }

    /// All living nodes learn who is there.
    fn list(&mut self) {
        let count = self.alive.iter().filter(|alive| **alive).count() as u32;
        let names = self.names.iter().zip(&self.alive);
        let banks: Vec<_> = names
            .filter(|(_, alive)| **alive)
            .map(|(n, _)| n.clone())
            .collect();
        for (node, alive) in self.nodes.iter_mut().zip(&self.alive) {
            if *alive {
                node.adopt(self.now, count, true, banks.clone());
            }
        }
    }

    /// Runs for a while; `rate` tells the calls a second of a team at a node.
    fn run(&mut self, span: Span, rate: impl Fn(usize, usize) -> f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += Span::from_ms(1);
            self.deliver();
            for node in 0..self.nodes.len() {
                if self.alive[node] {
                    self.step(node, &rate);
                }
            }
        }
    }

    fn step(&mut self, node: usize, rate: &impl Fn(usize, usize) -> f64) {
        for team in 0..self.teams.len() {
            if self.rng.random_bool((rate(node, team) / 1000.0).min(1.0)) {
                self.asked[team] += 1;
                self.ask_ideal(team);
                let critical = self.critical > 0.0 && self.rng.random_bool(self.critical);
                self.critical_asked[team] += u32::from(critical);
                let call = Waiting {
                    team,
                    importance: match critical {
                        true => Importance::Critical,
                        false => Importance::Normal,
                    },
                    until: self.now + PATIENCE,
                };
                self.call(node, call);
            }
        }
        if self.now.as_ms().is_multiple_of(TICK) {
            let now = self.now;
            self.waiting[node].retain(|waiting| waiting.until > now);
            let mut waiting = BTreeMap::new();
            for call in &self.waiting[node] {
                let team = self.teams[call.team].name.clone();
                let waiting: &mut pool::Waiting = waiting.entry(team).or_default();
                waiting.add(call.importance);
            }
            for team in self.nodes[node].tick(now, &waiting) {
                self.again(node, &team);
            }
        }
        self.send(node);
    }

    fn ask_ideal(&mut self, number: usize) {
        let team = &self.teams[number];
        let (bucket, taken) = &mut self.ideal[number];
        bucket.fill(self.now, team.rate, u64::from(team.burst) * 1000);
        *taken += u32::from(bucket.take(1));
    }

    fn call(&mut self, node: usize, call: Waiting) {
        let mut others = pool::Waiting::default();
        let beside = self.waiting[node].iter().filter(|w| w.team == call.team);
        beside.for_each(|w| others.add(w.importance));
        let team = self.teams[call.team].name.clone();
        match self.nodes[node].take(self.now, &team, call.importance, others) {
            Charge::Taken(_) => {
                let critical = call.importance == Importance::Critical;
                self.critical_taken[call.team] += u32::from(critical);
                self.taken[call.team].push(self.now);
            }
            _ => self.waiting[node].push(call),
        }
        self.send(node);
    }

    fn again(&mut self, node: usize, team: &id::Team) {
        let of = |waiting: &mut Waiting| self.teams[waiting.team].name == *team;
        let mut mine: Vec<_> = self.waiting[node].extract_if(.., of).collect();
        mine.sort_by_key(|call| std::cmp::Reverse(call.importance));
        for call in mine {
            self.call(node, call);
        }
    }

    fn send(&mut self, node: usize) {
        for (to, message) in self.nodes[node].outbox() {
            let to = self
                .names
                .iter()
                .position(|name| *name == to)
                .expect("known");
            self.wires.push_back((self.now + TRANSIT, to, message));
        }
    }

    fn deliver(&mut self) {
        while let Some((at, ..)) = self.wires.front()
            && *at <= self.now
        {
            let Some((_, to, message)) = self.wires.pop_front() else {
                return;
            };
            if self.alive[to] {
                if let Some(team) = self.nodes[to].on(self.now, message) {
                    self.again(to, &team);
                }
                self.send(to);
            }
        }
    }

    /// The share of calls that got a token.
    fn served(&self, team: usize) -> f64 {
        self.taken[team].len() as f64 / f64::from(self.asked[team].max(1))
    }

    /// The share that one bucket would have served.
    fn ideal(&self, team: usize) -> f64 {
        f64::from(self.ideal[team].1) / f64::from(self.asked[team].max(1))
    }

    /// No window of time saw more than rate and burst.
    fn check(&self) {
        for (team, taken) in self.teams.iter().zip(&self.taken) {
            let rate = team.rate.as_f64();
            for (first, start) in taken.iter().enumerate() {
                for (count, end) in taken[first..].iter().enumerate() {
                    let span = end.since(*start).as_secs_f64();
                    let most = rate * span + f64::from(team.burst) + 1.0;
                    assert!(
                        (count + 1) as f64 <= most,
                        "{}: {} tokens in {span} s from {start}",
                        team.name,
                        count + 1
                    );
                }
            }
        }
    }
}

/// The teams of a site of twelve nodes: rate and burst.
const TEAMS: [(u64, u32); 8] = [
    (48, 48),
    (28, 28),
    (20, 20),
    (16, 16),
    (14, 14),
    (12, 12),
    (11, 11),
    (10, 10),
];

/// Every team asks for this share of its rate, half of it at three nodes.
fn demand(share: f64) -> impl Fn(usize, usize) -> f64 {
    move |node, team| {
        let rate = TEAMS[team].0 as f64 * share;
        if node < 3 { rate / 6.0 } else { rate / 18.0 }
    }
}

/// Teams stay a little inside their rates, and their calls fall unevenly on the
/// nodes. Refusing them for want of a token would be wrong: the fleet mints
/// enough, only not where the calls come. Hardly more may be refused than by one
/// bucket without any delay.
fn few_wrongful_refusals(share: f64, most: f64) {
    let mut site = Site::new(12, &TEAMS, 7);
    site.run(Span::from_secs(20), demand(share));
    for team in 0..TEAMS.len() {
        let lost = site.ideal(team) - site.served(team);
        assert!(
            lost <= most,
            "team {team}: {lost:.4} of {}",
            site.asked[team]
        );
    }
    site.check();
}

cases! { few_wrongful_refusals:
    at_half_the_rates => (0.5, 0.001),
    at_four_fifths_of_the_rates => (0.8, 0.02),
    close_to_the_rates => (0.95, 0.05),
}

/// A team asks for several times its rate at all nodes. It gets its rate, nearly
/// whole, and never more.
#[test]
fn a_flood_gets_the_rate() {
    let mut site = Site::new(12, &TEAMS, 8);
    site.run(Span::from_secs(10), demand(4.0));
    site.check();
    for (team, (rate, burst)) in TEAMS.iter().enumerate() {
        let most = *rate as f64 * 10.0 + f64::from(*burst);
        let got = site.taken[team].len() as f64;
        assert!(
            got >= 0.85 * *rate as f64 * 10.0,
            "team {team}: {got} of {most}"
        );
    }
}

/// Every team asks for three times its rate, and a fifth of the calls are critical.
/// Tokens went to whoever came first, so that a payment was refused as often as a
/// look at a list: a third of the critical calls were served. They fit into the
/// rate by far and are to be served, and the rate is still used up.
#[test]
fn a_flood_leaves_the_rate_to_critical_calls() {
    let mut site = Site::new(12, &TEAMS, 11);
    site.critical = 0.2;
    site.run(Span::from_secs(10), demand(3.0));
    site.check();
    for (team, (rate, _)) in TEAMS.iter().enumerate() {
        let (asked, taken) = (site.critical_asked[team], site.critical_taken[team]);
        let served = f64::from(taken) / f64::from(asked);
        assert!(
            served >= 0.95,
            "team {team}: {served:.3} of {asked} critical"
        );
        let got = site.taken[team].len() as f64;
        assert!(got >= 0.85 * *rate as f64 * 10.0, "team {team}: {got}");
    }
}

/// The bank of all teams is killed. Its stock is lost; within a moment the
/// nodes lend through the next one, and hardly a call is refused.
#[test]
fn a_bank_that_dies_is_replaced() {
    let mut site = Site::new(12, &TEAMS, 9);
    site.run(Span::from_secs(5), demand(0.7));
    site.alive[0] = false;
    site.run(Span::from_ms(500), demand(0.7));
    site.list();
    site.asked.fill(0);
    site.taken.iter_mut().for_each(Vec::clear);
    site.run(Span::from_secs(5), demand(0.6));
    // The new bank's stock fills within a quarter of a second.
    let taken: usize = site.taken.iter().map(Vec::len).sum();
    let asked: u32 = site.asked.iter().sum();
    let served = taken as f64 / f64::from(asked);
    assert!(served >= 0.95, "{served:.4} of {asked}");
}

/// A node is cut off from all others. It and they go on minting their shares,
/// which together are no more than before; nobody gets more than its rate.
#[test]
fn a_cut_node_mints_no_more_than_its_share() {
    let mut site = Site::new(12, &TEAMS, 10);
    site.run(Span::from_secs(3), demand(1.5));
    let alone = site.names[11].clone();
    site.nodes[11].adopt(site.now, 12, true, vec![alone]);
    site.run(Span::from_secs(5), demand(3.0));
    site.check();
}
