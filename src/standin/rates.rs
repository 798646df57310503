//! A fleet that shares rates, in virtual time.
//!
//! The real [`Bank`] of every node runs over a network of delays and losses.
//! Each team has clients at some nodes, which call at random moments. Beside it
//! one bucket a team, without any network, tells what could have been served.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::{
        Span,
        Time, //
    },
    context::Importance,
    id::{
        Domain,
        Incarnation,
        Instance,
        Pool, //
    },
    member::{
        Peer,
        Status, //
    },
    quota::{
        Bucket, Charge,
        bank::{
            Bank,
            JOIN_DELAY,
            MAX_VIEW_AGE,
            Message,
            WaitingCounts, //
        },
    },
    team::Team,
    unit::{
        Rate,
        Weight, //
    },
};

/// One way within a failure domain and between two, as on the largest site.
const NEAR_DELAY: Span = Span::from_ms(1);
const FAR_DELAY: Span = Span::from_ms(3);
/// How long a call waits for a token.
const TOKEN_WAIT: Span = Span::from_ms(150);
const TICK_MS: u64 = 10;
const REFRESH_MS: u64 = 100;
/// How long a record outlives its node, and how long a node counts itself in.
const RECORD_TTL: Span = Span::from_secs(6);
const MEMBERSHIP_VALIDITY: Span = Span::from_secs(4);
const DOMAIN_COUNT: usize = 5;
/// When the fleet begins: after whatever times are looked back to.
const START_TIME: Time = Time::from_ms(60_000);

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Size {
    /// Nodes.
    pub nodes: usize,
    /// The teams' rates and bursts.
    pub teams: Vec<(u64, u32)>,
    /// Nodes that each team's calls come to.
    pub clients: usize,
    /// The share of messages that are lost.
    pub loss: f64,
    /// How old the views of nodes are, at most.
    pub lag: Span,
}

impl Size {
    /// A fleet of this many nodes and teams, a few of them large.
    pub fn of(nodes: usize, teams: usize, clients: usize) -> Self {
        let rate = |team: usize| (2 + 160 / (team as u64 + 2)).min(81);
        Self {
            nodes,
            teams: (0..teams).map(|n| (rate(n), rate(n) as u32)).collect(),
            clients: clients.min(nodes),
            loss: 0.0,
            lag: Span::from_ms(1500),
        }
    }
}

/// A call that waits for a token.
#[derive(Debug)]
struct Call {
    team: usize,
    importance: Importance,
    until: Time,
}

#[derive(Debug)]
struct Node {
    bank: Bank,
    alive: bool,
    woken: Time,
    /// Cut off from all other nodes, and from the store.
    cut: bool,
    unlisted: bool,
    /// Its record in the store.
    since: Time,
    record: Time,
    /// The records that it saw last, with the times since when they are there.
    view: Vec<(usize, Time)>,
    viewed: Time,
    next_view: Time,
    calls: Vec<Call>,
    held_up: VecDeque<Message>,
}

/// What became of one team's calls.
#[derive(Clone, Debug, Default)]
pub struct Served {
    /// Calls.
    pub asked: u32,
    /// Those that got a token.
    pub taken: u32,
    /// Those that one bucket would have served.
    pub ideal: u32,
    /// Critical calls, and those of them that got a token.
    pub critical: (u32, u32),
}

impl Served {
    /// The share of the calls that one bucket would have served and that got no
    /// token.
    pub fn refused(&self) -> f64 {
        f64::from(self.ideal.saturating_sub(self.taken)) / f64::from(self.ideal.max(1))
    }
}

/// Nodes that share the rates of some teams.
#[derive(Debug)]
pub struct Fleet {
    now: Time,
    size: Size,
    peers: Vec<Peer>,
    teams: Vec<Team>,
    nodes: Vec<Node>,
    clients: Vec<Vec<usize>>,
    wires: BTreeMap<(Time, u64), (usize, usize, Message)>,
    sent: u64,
    rng: ChaCha8Rng,
    served: Vec<Served>,
    ideal: Vec<Bucket>,
    /// How far each team's calls are below rate and burst, in millionths: a full
    /// bucket that every token drains. Below zero it is the excess of a window.
    spare: Vec<(i128, Time)>,
    excess: Vec<f64>,
    /// The share of the calls that are critical.
    pub critical: f64,
}

impl Fleet {
    /// A fleet whose buckets have filled.
    pub fn new(size: Size, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let peers: Vec<_> = (0..size.nodes).map(peer).collect();
        let teams: Vec<_> = size.teams.iter().enumerate().map(team).collect();
        let node = |peer: &Peer| Node {
            bank: Bank::new(peer.clone()),
            alive: true,
            woken: Time::ZERO,
            cut: false,
            unlisted: false,
            since: Time::ZERO,
            record: START_TIME + RECORD_TTL,
            view: Vec::new(),
            viewed: START_TIME,
            next_view: START_TIME,
            calls: Vec::new(),
            held_up: VecDeque::new(),
        };
        let clients = teams.iter().map(|_| {
            let mut chosen = Vec::new();
            while chosen.len() < size.clients {
                let node = rng.random_range(0..size.nodes);
                if !chosen.contains(&node) {
                    chosen.push(node);
                }
            }
            chosen
        });
        let full = |team: &Team| Bucket::with_millis(u64::from(team.burst) * 1000, START_TIME);
        let mut fleet = Self {
            now: START_TIME,
            clients: clients.collect(),
            nodes: peers.iter().map(node).collect(),
            wires: BTreeMap::new(),
            sent: 0,
            served: vec![Served::default(); teams.len()],
            ideal: teams.iter().map(full).collect(),
            spare: vec![(i128::MAX, START_TIME); teams.len()],
            excess: vec![0.0; teams.len()],
            critical: 0.0,
            rng,
            size,
            peers,
            teams,
        };
        for node in &mut fleet.nodes {
            node.bank.set_teams(START_TIME, &fleet.teams);
        }
        fleet.run(Span::from_secs(3), 0.0);
        fleet
    }

    /// Runs for a while; every team calls at this part of its rate.
    pub fn run(&mut self, span: Span, load: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += Span::from_ms(1);
            self.deliver();
            self.wake();
            for team in 0..self.teams.len() {
                let rate = self.teams[team].rate.as_f64() * load;
                if rate > 0.0 && self.rng.random_bool((rate / 1000.0).min(1.0)) {
                    self.call(team);
                }
            }
            if self.now.as_ms().is_multiple_of(TICK_MS) {
                (0..self.nodes.len()).for_each(|node| self.tick(node));
            }
        }
    }

    /// The node that serves most tokens of a team: the first that its clients ask.
    pub fn server(&self, team: usize) -> usize {
        let mut asked = vec![0; self.nodes.len()];
        for node in &self.nodes {
            let name = &self.teams[team].name;
            for (place, server) in node.bank.servers(name).iter().enumerate() {
                asked[self.position(server)] += 10 - place;
            }
        }
        let most = (0..asked.len()).max_by_key(|node| asked[*node]);
        most.unwrap_or_default()
    }

    /// Kills a node. Its record lapses later.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.nodes[node].calls.clear();
    }

    /// Starts a killed node again. Where its record has not lapsed it may mint at
    /// once.
    pub fn restart(&mut self, node: usize) {
        let mut bank = Bank::new(self.peers[node].clone());
        bank.set_teams(self.now, &self.teams);
        let restarted = &mut self.nodes[node];
        if restarted.record <= self.now {
            restarted.since = self.now;
        }
        restarted.bank = bank;
        restarted.alive = true;
        restarted.record = self.now + RECORD_TTL;
        restarted.next_view = self.now;
    }

    /// Suspends a node; what is sent to it waits.
    pub fn pause(&mut self, node: usize, span: Span) {
        self.nodes[node].woken = self.now + span;
    }

    /// Cuts a node off from the others and from the store, or heals the cut.
    pub fn cut(&mut self, node: usize, cut: bool) {
        self.nodes[node].cut = cut;
    }

    /// Cuts a node off from the store alone, or heals the cut.
    pub fn unlist(&mut self, node: usize, unlisted: bool) {
        self.nodes[node].unlisted = unlisted;
    }

    /// Moves all clients of a team to one node.
    pub fn gather(&mut self, team: usize, node: usize) {
        self.clients[team] = vec![node];
    }

    /// Forgets what was counted, but for the excess.
    pub fn count_anew(&mut self) {
        self.served.fill(Served::default());
        self.sent = 0;
    }

    /// What became of each team's calls.
    pub fn served(&self) -> &[Served] {
        &self.served
    }

    /// The worst share of calls within their rate that were refused.
    pub fn worst(&self) -> f64 {
        let refused = self.served.iter().map(Served::refused);
        refused.fold(0.0, f64::max)
    }

    /// The share of all calls within their rates that were refused.
    pub fn refused(&self) -> f64 {
        let missing = |s: &Served| s.ideal.saturating_sub(s.taken);
        let missed: u32 = self.served.iter().map(missing).sum();
        let ideal: u32 = self.served.iter().map(|s| s.ideal).sum();
        f64::from(missed) / f64::from(ideal.max(1))
    }

    /// The most tokens above rate and burst in any window, over all teams.
    pub fn excess(&self) -> f64 {
        self.excess.iter().copied().fold(0.0, f64::max)
    }

    /// Messages between nodes since the count began.
    pub fn messages(&self) -> u64 {
        self.sent
    }

    fn position(&self, name: &Instance) -> usize {
        let found = self.peers.binary_search_by(|p| p.instance.cmp(name));
        found.unwrap_or_default()
    }

    fn is_awake(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.alive && self.now >= node.woken
    }

    /// Hands over what waited for nodes that were suspended.
    fn wake(&mut self) {
        for node in 0..self.nodes.len() {
            while self.is_awake(node)
                && let Some(message) = self.nodes[node].held_up.pop_front()
            {
                self.receive(node, message);
            }
        }
    }

    fn tick(&mut self, node: usize) {
        if !self.is_awake(node) {
            return;
        }
        self.view(node);
        if self.now.as_ms().is_multiple_of(REFRESH_MS) {
            self.adopt(node);
        }
        let now = self.now;
        let ticked = &mut self.nodes[node];
        ticked.calls.retain(|call| call.until > now);
        let mut waiting: BTreeMap<_, WaitingCounts> = BTreeMap::new();
        for call in &ticked.calls {
            let team = self.teams[call.team].name.clone();
            waiting.entry(team).or_default().add(call.importance);
        }
        let again = ticked.bank.tick(now, &waiting);
        self.send(node);
        for team in again {
            let team = self.teams.iter().position(|t| t.name == team);
            self.again(node, team.unwrap_or_default());
        }
    }

    /// Renews the record of a node and looks at those of the others.
    fn view(&mut self, node: usize) {
        let now = self.now;
        let looking = &mut self.nodes[node];
        if looking.cut || looking.unlisted || now < looking.next_view {
            return;
        }
        if looking.record <= now {
            looking.since = now;
        }
        looking.record = now + RECORD_TTL;
        looking.viewed = now;
        let lag = self.size.lag.as_ms().max(TICK_MS);
        looking.next_view = now + Span::from_ms(self.rng.random_range(TICK_MS..=lag));
        let records = self.nodes.iter().enumerate();
        let listed = records.filter(|(_, other)| other.record > now);
        self.nodes[node].view = listed.map(|(n, other)| (n, other.since)).collect();
    }

    /// Chooses token servers among the records that a node saw.
    fn adopt(&mut self, node: usize) {
        let now = self.now;
        let adopting = &self.nodes[node];
        let is_new = |since: Time| now.since(since) < MAX_VIEW_AGE;
        let mut until = adopting.viewed + MEMBERSHIP_VALIDITY.min(MAX_VIEW_AGE);
        let mut counted = Vec::new();
        for (other, since) in &adopting.view {
            match is_new(*since) {
                true => until = until.min(*since + JOIN_DELAY),
                false => counted.push(&self.peers[*other]),
            }
        }
        if now.since(adopting.since) < JOIN_DELAY {
            until = Time::ZERO;
        }
        self.nodes[node].bank.update_nodes(now, until, &counted);
    }

    fn call(&mut self, team: usize) {
        let at = self.rng.random_range(0..self.clients[team].len());
        let node = self.clients[team][at];
        let critical = self.critical > 0.0 && self.rng.random_bool(self.critical);
        if !self.is_awake(node) {
            return;
        }
        // Callers are sent away from nodes that are cut off.
        if !self.nodes[node].cut {
            self.count(team, critical);
        }
        let call = Call {
            team,
            importance: match critical {
                true => Importance::Critical,
                false => Importance::Normal,
            },
            until: self.now + TOKEN_WAIT,
        };
        self.charge(node, call);
    }

    fn count(&mut self, team: usize, critical: bool) {
        let served = &mut self.served[team];
        served.asked += 1;
        served.critical.0 += u32::from(critical);
        let limits = &self.teams[team];
        self.ideal[team].refill(self.now, limits.rate, u64::from(limits.burst) * 1000);
        served.ideal += u32::from(self.ideal[team].take(1));
    }

    fn charge(&mut self, node: usize, call: Call) {
        let mut others = WaitingCounts::default();
        let charged = &mut self.nodes[node];
        let beside = charged.calls.iter().filter(|w| w.team == call.team);
        beside.for_each(|other| others.add(other.importance));
        let team = &self.teams[call.team];
        match charged
            .bank
            .take(self.now, &team.name, call.importance, others)
        {
            Charge::Taken(_) => self.taken(&call),
            _ => charged.calls.push(call),
        }
        self.send(node);
    }

    fn taken(&mut self, call: &Call) {
        let critical = call.importance == Importance::Critical;
        self.served[call.team].taken += 1;
        self.served[call.team].critical.1 += u32::from(critical);
        let team = &self.teams[call.team];
        let full = i128::from(team.burst) * 1_000_000;
        let (spare, last) = self.spare[call.team];
        let minted = i128::from(team.rate.as_millis()) * i128::from(self.now.since(last).as_ms());
        let left = spare.saturating_add(minted).min(full) - 1_000_000;
        self.spare[call.team] = (left, self.now);
        let excess = -left as f64 / 1_000_000.0;
        self.excess[call.team] = self.excess[call.team].max(excess);
    }

    fn again(&mut self, node: usize, team: usize) {
        let now = self.now;
        let of_team = |call: &mut Call| call.team == team;
        let mut calls: Vec<_> = self.nodes[node].calls.extract_if(.., of_team).collect();
        calls.sort_by_key(|call| std::cmp::Reverse(call.importance));
        for call in calls.into_iter().filter(|call| call.until > now) {
            self.charge(node, call);
        }
    }

    fn send(&mut self, node: usize) {
        for (to, message) in self.nodes[node].bank.outbox() {
            let to = self.position(&to);
            self.sent += 1;
            let delay = match self.peers[node].domain == self.peers[to].domain {
                true => NEAR_DELAY,
                false => FAR_DELAY,
            };
            let lost = self.size.loss > 0.0 && self.rng.random_bool(self.size.loss);
            if !lost {
                let place = (self.now + delay, self.sent);
                self.wires.insert(place, (node, to, message));
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.wires.first_entry()
            && first.key().0 <= self.now
        {
            let (from, to, message) = first.remove();
            let arrives = !self.nodes[from].cut && !self.nodes[to].cut && self.nodes[to].alive;
            match self.is_awake(to) {
                _ if !arrives => {}
                true => self.receive(to, message),
                false => self.nodes[to].held_up.push_back(message),
            }
        }
    }

    fn receive(&mut self, node: usize, message: Message) {
        let team = self.nodes[node].bank.on_message(self.now, message);
        self.send(node);
        if let Some(team) = team {
            let team = self.teams.iter().position(|t| t.name == team);
            self.again(node, team.unwrap_or_default());
        }
    }
}

fn peer(number: usize) -> Peer {
    let name = format!("node-{number:05}");
    let domain = format!("domain-{}", number % DOMAIN_COUNT);
    let address = ([127, 0, 0, 1], 7000).into();
    Peer {
        instance: name.parse::<Instance>().expect("a name"),
        domain: domain.parse::<Domain>().expect("a name"),
        pool: "mill".parse::<Pool>().expect("a name"),
        link: address,
        datagram: address,
        incarnation: Incarnation(1),
        status: Status::Alive,
        ready: true,
    }
}

fn team((number, (rate, burst)): (usize, &(u64, u32))) -> Team {
    Team {
        name: format!("team-{number}").parse().expect("a name"),
        rate: Rate::per_second(*rate),
        burst: *burst,
        weight: Weight::default(),
    }
}
