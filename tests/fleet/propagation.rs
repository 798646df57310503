//! The time within which a change in the store is in force at every node that reaches
//! the store, whatever happens to the nodes that it hears from.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    directory::RECORD_PREFIX,
    id::{
        Incarnation,
        Instance,
        Version, //
    },
    member::{
        Peer,
        Status, //
    },
    standin::driver::Driver,
};

use crate::listed;

/// The operators' bound on changes of routes and of members.
const BOUND: Span = Span::from_ms(2000);
/// How long a node must have been undisturbed before the bound holds for it.
const CONTACT: Span = Span::from_ms(3000);
/// Nodes in each failure domain. Those of the first are the lowest numbers.
const DOMAIN_SIZE: usize = 4;
/// Failure domains of a fleet.
const DOMAINS: u64 = 3;
/// Least time between the end of a disturbance and the next one.
const RECOVERY: Span = Span::from_secs(6);
/// Step by which this time varies, so that changes meet every phase of the calls that
/// wait in the store.
const PHASE_STEP_MS: u64 = 70;
/// Number of disturbances in each test.
const ROUNDS: usize = 72;

/// What happens to some nodes.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// They do not reach the store, and notice it by time-outs alone.
    Cut,
    /// They stand still.
    Frozen,
    /// The first is cut from the store, the others stand still.
    CutAndFrozen,
}

/// What is written to the store.
#[derive(Clone, Copy, Debug)]
enum Written {
    Configuration,
    Member,
}

struct Fleet {
    driver: Driver,
    version: u64,
    bound: Span,
}

impl Fleet {
    fn new() -> Self {
        Self::with(DOMAIN_SIZE, BOUND)
    }

    /// A fleet of three failure domains that have found each other.
    fn with(domain_size: usize, bound: Span) -> Self {
        let mut fleet = Self {
            driver: listed::fleet(domain_size, bound, true),
            version: 1,
            bound,
        };
        fleet.driver.run_for(Span::from_secs(10));
        fleet
    }

    fn newcomer(&self) -> Instance {
        format!("newcomer-{}", self.version)
            .parse()
            .expect("a name")
    }

    /// Writes a change to the store; the store has then acknowledged it.
    fn write(&mut self, written: Written) {
        self.version += 1;
        match written {
            Written::Configuration => {
                listed::put(&mut self.driver, listed::KEY, &self.version.to_string());
            }
            Written::Member => {
                let address = "10.9.9.9:7000".parse().expect("an address");
                let peer = Peer {
                    instance: self.newcomer(),
                    domain: "c".parse().expect("a name"),
                    pool: "registry".parse().expect("a name"),
                    link: address,
                    datagram: address,
                    incarnation: Incarnation(1),
                    status: Status::Alive,
                    ready: true,
                };
                let value = serde_json::to_string(&peer).expect("a record");
                let key = format!("{RECORD_PREFIX}{}", peer.instance);
                listed::put(&mut self.driver, &key, &value);
            }
        }
    }

    fn is_in_force(&mut self, written: Written, node: usize) -> bool {
        let (version, newcomer) = (Version(self.version), self.newcomer());
        let core = self.driver.core(node).expect("a living node");
        match written {
            Written::Configuration => core.snapshot().version == version,
            Written::Member => core.members().get(&newcomer).is_some(),
        }
    }

    fn disturb(&mut self, trouble: Trouble, nodes: &[usize]) {
        for (rank, node) in nodes.iter().enumerate() {
            match (trouble, rank) {
                (Trouble::Cut, _) | (Trouble::CutAndFrozen, 0) => {
                    self.driver.unreached.insert(*node);
                }
                _ => self.driver.pause(*node, Span::from_secs(4)),
            }
        }
    }

    /// Disturbs some nodes, writes a change 30 ms later, and returns the others at which
    /// it is not in force within the bound.
    fn late_nodes(&mut self, trouble: Trouble, nodes: &[usize], written: Written) -> Vec<usize> {
        self.disturb(trouble, nodes);
        self.driver.run_for(Span::from_ms(30));
        self.write(written);
        self.driver.run_for(self.bound);
        let others = (0..self.driver.len()).filter(|node| !nodes.contains(node));
        let others: Vec<_> = others.collect();
        let late = others
            .into_iter()
            .filter(|node| !self.is_in_force(written, *node))
            .collect();
        self.driver.run_for(Span::from_secs(2));
        self.driver.unreached.clear();
        late
    }
}

/// All groups of this many nodes of the first failure domain, in any order.
fn groups(size: usize) -> Vec<Vec<usize>> {
    let mut groups = vec![Vec::new()];
    for _ in 0..size {
        let extend = |group: &Vec<usize>| {
            let rest = (0..DOMAIN_SIZE).filter(|node| !group.contains(node));
            let group = group.clone();
            rest.map(move |node| [group.clone(), vec![node]].concat())
                .collect::<Vec<_>>()
        };
        groups = groups.iter().flat_map(extend).collect();
    }
    groups
}

/// Guards against a confirmed change that is in force too late, as a node keeps to those
/// which have lost the store, or asks several that are silent one after the other.
fn change_is_in_force_in_time(trouble: Trouble, count: usize, written: Written) {
    change_is_in_force_within(BOUND, trouble, count, written);
}

fn change_is_in_force_within(bound: Span, trouble: Trouble, count: usize, written: Written) {
    let mut fleet = Fleet::with(DOMAIN_SIZE, bound);
    let mut late = Vec::new();
    let groups = groups(count);
    for round in 0..ROUNDS {
        let group = groups[round % groups.len()].clone();
        let phase = Span::from_ms(round as u64 * PHASE_STEP_MS % 1000);
        fleet.driver.run_for(RECOVERY + phase);
        let nodes = fleet.late_nodes(trouble, &group, written);
        if !nodes.is_empty() {
            late.push((group, nodes));
        }
    }
    assert!(late.is_empty(), "late with {trouble:?}: {late:?}");
}

cases! { change_is_in_force_in_time:
    one_is_cut_from_the_store => (Trouble::Cut, 1, Written::Configuration),
    two_are_cut_from_the_store => (Trouble::Cut, 2, Written::Configuration),
    three_are_cut_from_the_store => (Trouble::Cut, 3, Written::Configuration),
    one_is_frozen => (Trouble::Frozen, 1, Written::Configuration),
    two_are_frozen => (Trouble::Frozen, 2, Written::Configuration),
    three_are_frozen => (Trouble::Frozen, 3, Written::Configuration),
    one_is_cut_and_one_frozen => (Trouble::CutAndFrozen, 2, Written::Configuration),
    one_is_cut_and_two_frozen => (Trouble::CutAndFrozen, 3, Written::Configuration),
    a_member_joins_as_one_is_cut => (Trouble::Cut, 1, Written::Member),
    a_member_joins_as_three_are_cut => (Trouble::Cut, 3, Written::Member),
    a_member_joins_as_three_are_frozen => (Trouble::Frozen, 3, Written::Member),
}

cases! { change_is_in_force_within:
    one_is_cut_under_a_tight_bound =>
        (Span::from_ms(1000), Trouble::Cut, 1, Written::Configuration),
    three_are_cut_under_a_tight_bound =>
        (Span::from_ms(1000), Trouble::Cut, 3, Written::Configuration),
    three_are_frozen_under_a_tight_bound =>
        (Span::from_ms(1000), Trouble::Frozen, 3, Written::Configuration),
    three_are_cut_under_a_loose_bound =>
        (Span::from_ms(4000), Trouble::Cut, 3, Written::Configuration),
}

/// Guards against a rush of all nodes to the store while it is away, and when it returns.
fn an_outage_costs_few_calls(domain_size: usize) {
    let mut fleet = Fleet::with(domain_size, BOUND);
    let asked = |fleet: &Fleet| {
        let store = &fleet.driver.store;
        store.calls_under("operators") + store.calls_under("bluebellswitch")
    };
    fleet.driver.run_for(Span::from_secs(10));
    let before = asked(&fleet);
    fleet.driver.run_for(Span::from_secs(10));
    let steady = asked(&fleet) - before;
    fleet.driver.weather.out = true;
    fleet.driver.run_for(Span::from_secs(5));
    fleet.driver.weather.out = false;
    let nodes = fleet.driver.len() as u64;
    // Each node renews its lease and checks the store once; the watchers of a domain, three
    // at most, go on asking about both topics.
    let lost = fleet.driver.lost_calls;
    let most = 5 * nodes + DOMAINS * 3 * 2 * 5;
    assert!(lost <= most, "{lost} calls of {nodes} nodes in an outage");
    let before = asked(&fleet);
    fleet.driver.run_for(Span::from_secs(10));
    let after = asked(&fleet) - before;
    // Each node may register again: a lease and a record. Two more watchers a domain ask
    // about both topics until they are no longer asked, 3 s later.
    let most = steady + 3 * nodes + DOMAINS * 2 * 2 * 4;
    assert!(
        after <= most,
        "{after} calls after an outage, {steady} in steady state"
    );
}

cases! { an_outage_costs_few_calls:
    an_outage_at_12_nodes => (4),
    an_outage_at_60_nodes => (20),
    an_outage_at_120_nodes => (40),
}

/// Guards against a rush of all nodes to a store that withholds changes for a second, as
/// while it compacts its history, and against a change that is lost there.
fn a_compaction_costs_few_calls(domain_size: usize, bound: Span) {
    let mut fleet = Fleet::with(domain_size, bound);
    let asked = |fleet: &Fleet| {
        let store = &fleet.driver.store;
        store.calls_under("operators") + store.calls_under("bluebellswitch")
    };
    let window = Span::from_secs(5);
    let rounds = 8;
    let mut steady = 0;
    let mut compacting = 0;
    for round in 0..rounds {
        fleet.driver.run_for(RECOVERY + Span::from_ms(round * 110));
        let before = asked(&fleet);
        fleet.driver.run_for(window);
        steady += asked(&fleet) - before;
        let before = asked(&fleet);
        fleet.driver.weather.deaf = true;
        fleet.driver.run_for(Span::from_ms(300));
        fleet.write(Written::Configuration);
        fleet.driver.run_for(Span::from_ms(700));
        fleet.driver.compact();
        fleet.driver.run_for(window - Span::from_secs(1));
        compacting += asked(&fleet) - before;
        let late = (0..fleet.driver.len())
            .filter(|node| !fleet.is_in_force(Written::Configuration, *node))
            .count();
        assert_eq!(late, 0, "nodes without the change in round {round}");
    }
    // A watcher checks and then lists both topics; a second one may take over.
    let most = steady + rounds * DOMAINS * 2 * 2 * 3;
    assert!(
        compacting <= most,
        "{compacting} calls, {steady} in steady state"
    );
}

cases! { a_compaction_costs_few_calls:
    a_compaction_at_12_nodes => (4, BOUND),
    a_compaction_at_60_nodes => (20, BOUND),
    a_compaction_at_120_nodes => (40, Span::from_ms(4000)),
}

/// Guards against a node that starts beside an introducer which has lost the store, and
/// serves by the old configuration that it gets from there.
#[test]
fn newcomer_beside_an_introducer_without_the_store() {
    let mut late = Vec::new();
    for round in 0..ROUNDS {
        let newcomer = round % DOMAIN_SIZE;
        let phase = Span::from_ms(round as u64 * PHASE_STEP_MS % 1000);
        let mut fleet = Fleet::new();
        fleet.driver.run_for(phase);
        fleet.driver.kill(newcomer);
        let others: Vec<_> = (0..DOMAIN_SIZE).filter(|node| *node != newcomer).collect();
        fleet.disturb(Trouble::Cut, &others);
        fleet.driver.run_for(Span::from_ms(30));
        fleet.write(Written::Configuration);
        fleet.driver.restart(newcomer);
        let started: Time = fleet.driver.now();
        fleet.driver.run_for(CONTACT);
        while fleet.driver.now().since(started) < Span::from_secs(8) {
            let core = fleet.driver.core(newcomer).expect("a living node");
            let version = core.snapshot().version;
            if version != Version(0) && version != Version(fleet.version) {
                late.push((newcomer, fleet.driver.now().since(started)));
                break;
            }
            fleet.driver.run_for(Span::from_ms(10));
        }
        assert!(
            fleet.is_in_force(Written::Configuration, newcomer),
            "node {newcomer} has no configuration after 8 s"
        );
    }
    assert!(late.is_empty(), "an older version is in force: {late:?}");
}

/// Guards against a node that starts and serves, if only for a moment, by a version that
/// was replaced longer ago than the bound.
#[test]
fn newcomer_beside_nodes_that_lost_the_store_long_ago() {
    for newcomer in 0..DOMAIN_SIZE {
        let mut fleet = Fleet::new();
        fleet.driver.kill(newcomer);
        let others: Vec<_> = (0..DOMAIN_SIZE).filter(|node| *node != newcomer).collect();
        fleet.disturb(Trouble::Cut, &others);
        fleet.write(Written::Configuration);
        fleet.driver.run_for(Span::from_ms(2500));
        fleet.driver.restart(newcomer);
        let started: Time = fleet.driver.now();
        while !fleet.is_in_force(Written::Configuration, newcomer) {
            let core = fleet.driver.core(newcomer).expect("a living node");
            let version = core.snapshot().version;
            assert_eq!(version, Version(0), "at node {newcomer}");
            let waited = fleet.driver.now().since(started);
            assert!(
                waited < Span::from_secs(8),
                "node {newcomer} after {waited}"
            );
            fleet.driver.run_for(Span::from_ms(1));
        }
    }
}
