//! Which instances get attempts.

use std::collections::BTreeMap;

use bluebellswitch::{
    balance::{
        Balancer,
        Observation, //
    },
    clock::{
        Span,
        Time, //
    },
    id,
    member::{
        Peer,
        Status,
        Table, //
    },
    outcome::Report,
    policy::Policy,
    standin::{
        site::Site,
        trial::{
            self,
            Illness, //
        },
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

struct Bench {
    balancer: Balancer,
    members: Table,
    rng: ChaCha8Rng,
    now: Time,
}

fn peer(name: &str, domain: &str) -> Peer {
    Peer {
        instance: name.parse().expect("a name"),
        domain: domain.parse().expect("a name"),
        pool: "p".parse().expect("a name"),
        link: "127.0.0.1:1".parse().expect("an address"),
        datagram: "127.0.0.1:1".parse().expect("an address"),
        incarnation: id::Incarnation(1),
        status: Status::Alive,
        ready: true,
    }
}

impl Bench {
    fn new(peers: &[(&str, &str)]) -> Self {
        let mut members = Table::default();
        peers
            .iter()
            .for_each(|(name, domain)| members.insert(peer(name, domain)));
        Self {
            balancer: Balancer::new(&peer("me", "north")),
            members,
            rng: ChaCha8Rng::seed_from_u64(5),
            now: Time::from_ms(100_000),
        }
    }

    fn pick(&mut self, tried: &[id::Instance]) -> Option<id::Instance> {
        let pool = "p".parse().expect("a name");
        let policy = Policy::default();
        self.balancer
            .pick(self.now, &self.members, &pool, tried, policy, &mut self.rng)
            .map(|(instance, _)| instance)
    }

    fn evacuate(&mut self, domains: &[&str]) {
        let domains = domains.iter().map(|name| name.parse().expect("a name"));
        self.members.set_evacuated_domains(domains.collect());
    }

    fn told(&mut self, name: &str, load: u32, slots: u32) {
        let report = Report {
            load,
            slots,
            life: id::Incarnation(1),
            ..Report::default()
        };
        let name = name.parse().expect("a name");
        self.balancer.record_report(self.now, &name, &report);
    }

    /// Sends requests that last for a while; how each instance ends them is up
    /// to `mark`. Returns how many each got.
    fn run(
        &mut self,
        count: u32,
        mark: impl Fn(&str) -> (Observation, u64),
    ) -> BTreeMap<String, u32> {
        let mut got: BTreeMap<String, u32> = BTreeMap::new();
        let mut open: Vec<(Time, id::Instance)> = Vec::new();
        for _ in 0..count {
            self.now += Span::from_ms(2);
            let instance = self.pick(&[]).expect("an instance");
            self.balancer.record_sent(self.now, &instance);
            let (_, lasts) = mark(instance.as_str());
            open.push((self.now + Span::from_ms(lasts), instance.clone()));
            *got.entry(instance.to_string()).or_default() += 1;
            let over: Vec<_> = open.extract_if(.., |(end, _)| *end <= self.now).collect();
            for (_, instance) in over {
                let (mark, _) = mark(instance.as_str());
                self.told(instance.as_str(), 0, 10);
                self.balancer.record_end(self.now, &instance, mark);
            }
        }
        got
    }
}

/// One instance of three fails every request at once. It is never busy, so the
/// balance sent it nearly everything.
#[test]
fn failing_fast_attracts_no_load() {
    let mut bench = Bench::new(&[("b", "north"), ("c", "north"), ("d", "north")]);
    let mark = |name: &str| match name {
        "d" => (Observation::Unhealthy, 1),
        _ => (Observation::Healthy, 20),
    };
    let got = bench.run(3000, mark);
    assert!(got["d"] < 200, "{got:?}");
    assert!(got["b"] > 1200 && got["c"] > 1200, "{got:?}");
}

/// A service that all instances need is down, and so all of them fail. Ejecting
/// them left nobody, or one that drowned.
#[test]
fn when_all_look_ill_none_is_left_out() {
    let mut bench = Bench::new(&[("b", "north"), ("c", "north"), ("d", "north")]);
    bench.run(300, |_| (Observation::Unhealthy, 10));
    let got = bench.run(300, |_| (Observation::Unhealthy, 10));
    assert_eq!(got.len(), 3, "{got:?}");
    assert!(got.values().all(|count| *count > 50), "{got:?}");
}

/// An instance that was ill is well again. It stayed left out for ever.
#[test]
fn an_ejected_instance_comes_back() {
    let mut bench = Bench::new(&[("b", "north"), ("c", "north"), ("d", "north")]);
    let ill = |name: &str| match name {
        "d" => (Observation::Unhealthy, 1),
        _ => (Observation::Healthy, 20),
    };
    bench.run(1000, ill);
    bench.now += Span::from_secs(60);
    let got = bench.run(900, |_| (Observation::Healthy, 20));
    assert!(got["d"] > 150, "{got:?}");
}

/// More and more requests are under way. They crossed domains although there was
/// room at home, or stayed at home until it was overfull, then all went away.
fn spills(count: u32, least: u32, most: u32) {
    let mut bench = Bench::new(&[
        ("b", "north"),
        ("c", "north"),
        ("d", "south"),
        ("e", "south"),
    ]);
    let all = ["b", "c", "d", "e"];
    all.iter().for_each(|name| bench.told(name, 0, 10));
    let mut far = 0;
    for _ in 0..count {
        let name = bench.pick(&[]).expect("an instance");
        bench.balancer.record_sent(bench.now, &name);
        far += u32::from(["d", "e"].contains(&name.as_str()));
    }
    assert!((least..=most).contains(&far), "{far}");
}

cases! { spills:
    not_while_there_is_room => (12, 0, 0),
    some_when_nearly_full => (20, 3, 9),
    evenly_when_full => (40, 18, 22),
    evenly_when_overfull => (80, 38, 42),
}

/// All domains are equally full, and their loads differ by a request or two at any
/// moment. Each small difference drew requests away from home: most went to
/// another domain, and none was answered earlier there.
#[test]
fn small_differences_draw_nothing_away() {
    let mut bench = Bench::new(&[("b", "north"), ("d", "south"), ("e", "west")]);
    let mut far = 0;
    for turn in 0..300 {
        bench.told("b", 10 + turn % 2, 12);
        bench.told("d", 10 - turn % 2, 12);
        bench.told("e", 10, 12);
        let name = bench.pick(&[]).expect("an instance");
        far += u32::from(name.as_str() != "b");
    }
    assert!(far <= 30, "{far} of 300 left");
}

/// The only instance of the own domain has become ten times slower. Its callers
/// kept to it, and it shed a tenth of all requests while others had room.
#[test]
fn a_slow_neighbour_is_left_for_a_quick_one_elsewhere() {
    let share = trial::ill(&Site::tuul(), Policy::default(), 3, Illness::Slow);
    assert!(share > 0.95, "{share}");
}

/// One instance answers every request at once with a failure, and each looks
/// like a free slot. A quarter of all requests failed there.
#[test]
fn an_instance_that_fails_is_left_out() {
    let share = trial::ill(&Site::kandy(), Policy::default(), 3, Illness::Failing);
    assert!(share > 0.99, "{share}");
}

/// A retry goes to the instance that failed, or to its neighbour in the same
/// failing domain, and fails the same way.
#[test]
fn a_retry_goes_to_another_domain() {
    let mut bench = Bench::new(&[("b", "north"), ("c", "north"), ("d", "south")]);
    let tried: id::Instance = "b".parse().expect("a name");
    for _ in 0..50 {
        let next = bench
            .pick(std::slice::from_ref(&tried))
            .expect("an instance");
        assert_eq!(next.as_str(), "d");
    }
}

/// An instance said with an answer that it leaves, before gossip did. It got new
/// requests until the gossip arrived.
#[test]
fn one_that_leaves_gets_nothing_until_its_next_life() {
    let mut bench = Bench::new(&[("b", "north"), ("c", "north")]);
    let leaving = Report {
        leaving: true,
        slots: 10,
        life: id::Incarnation(1),
        ..Report::default()
    };
    let name: id::Instance = "b".parse().expect("a name");
    bench.balancer.record_report(bench.now, &name, &leaving);
    assert!((0..100).all(|_| bench.pick(&[]).is_some_and(|i| i.as_str() == "c")));
    let mut reborn = peer("b", "north");
    reborn.incarnation = id::Incarnation(2);
    bench.members.insert(reborn);
    assert!((0..100).any(|_| bench.pick(&[]).is_some_and(|i| i.as_str() == "b")));
}

/// A pool has a thousand instances. Every node kept links to all of them.
#[test]
fn a_large_pool_is_met_through_a_bounded_subset() {
    let names: Vec<String> = (0..1000).map(|n| format!("i{n}")).collect();
    let peers: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(n, name)| (name.as_str(), if n % 3 == 0 { "north" } else { "south" }))
        .collect();
    let mut bench = Bench::new(&peers);
    let mut met = BTreeMap::new();
    for _ in 0..5000 {
        let instance = bench.pick(&[]).expect("an instance");
        bench.told(instance.as_str(), 12, 10);
        *met.entry(instance).or_insert(0) += 1;
    }
    assert!(met.len() <= 16, "{}", met.len());
}

/// Guards against attempts to upstreams of a failure domain that is evacuated.
#[test]
fn an_evacuated_domain_gets_nothing() {
    let mut bench = Bench::new(&[("b", "north"), ("c", "south"), ("d", "west")]);
    bench.evacuate(&["north", "south"]);
    assert!((0..100).all(|_| bench.pick(&[]).expect("an instance").as_str() == "d"));
    bench.evacuate(&["north", "south", "west"]);
    assert_eq!(bench.pick(&[]), None);
    let pool = "p".parse().expect("a name");
    assert!(bench.members.is_evacuated(&pool));
    assert!(!bench.balancer.has_untried(&bench.members, &pool, &[]));
    bench.evacuate(&[]);
    assert!(bench.pick(&[]).is_some());
}

/// Guards against ill instances that are taken back as most of the pool is away:
/// those that are evacuated are neither ill nor well.
#[test]
fn evacuated_instances_count_neither_as_ill_nor_as_well() {
    let here = [
        ("b", "north"),
        ("c", "north"),
        ("d", "north"),
        ("e", "south"),
    ];
    let mut bench = Bench::new(&here);
    bench.run(400, |name| match name {
        "b" | "e" => (Observation::Unhealthy, 1),
        _ => (Observation::Healthy, 5),
    });
    bench.evacuate(&["south"]);
    assert!((0..200).all(|_| bench.pick(&[]).expect("an instance").as_str() != "b"));
}

/// Guards against slow instances that get as much as fast ones, so that their queues
/// time out while others have room.
#[test]
fn slower_instances_get_less() {
    let mut bench = Bench::new(&[("b", "north"), ("c", "north"), ("d", "north")]);
    let route = "r".parse().expect("a name");
    let service = |name: &str| match name {
        "b" => 34,
        "c" => 20,
        _ => 14,
    };
    for _ in 0..200 {
        for name in ["b", "c", "d"] {
            let peer = name.parse().expect("a name");
            bench
                .balancer
                .record_service_time(&peer, &route, service(name));
        }
    }
    let got = bench.run(6000, |name| {
        (Observation::Healthy, u64::from(service(name)))
    });
    assert!(got["b"] < got["c"] && got["c"] < got["d"], "{got:?}");
    assert!(got["b"] > 600, "{got:?}");
}
