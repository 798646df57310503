//! Whether fast instances are preferred while slots are free, and slow ones are found
//! out and tried again, in a model of several senders without a network.

use std::collections::VecDeque;

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
    inbound::{
        Action,
        End,
        Event,
        speed::Meter, //
    },
    member::{
        Peer,
        Status,
        Table, //
    },
    metric::Counter,
    outcome::Report,
    policy::{
        Policy,
        Scheduling, //
    },
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::inbound::Bench;

const SENDERS: usize = 6;
const SLOTS: usize = 8;
/// Mean work of a request, in milliseconds at an instance of speed 1.
const WORK: f64 = 50.0;
/// Weight of the newest answer in the average that is reported without the switch.
const ROUTE_WEIGHT: f64 = 0.1;

fn policy(speed_balancing: bool) -> Policy {
    Policy {
        scheduling: Scheduling {
            speed_balancing,
            ..Scheduling::default()
        },
        ..Policy::default()
    }
}

fn peer(name: &str) -> Peer {
    Peer {
        instance: name.parse().expect("a name"),
        domain: "north".parse().expect("a name"),
        pool: "p".parse().expect("a name"),
        link: "127.0.0.1:1".parse().expect("an address"),
        datagram: "127.0.0.1:1".parse().expect("an address"),
        incarnation: id::Incarnation(1),
        status: Status::Alive,
        ready: true,
    }
}

/// One request, from its choice to its end.
#[derive(Clone, Copy)]
struct Request {
    sender: usize,
    instance: usize,
    sent: u64,
    started: u64,
    ended: u64,
    work: f64,
}

#[derive(Default)]
struct Server {
    running: Vec<Request>,
    waiting: VecDeque<Request>,
    meter: Meter,
    mean_ms: f64,
}

/// Senders and the instances of one pool; `speed` gives the work that an instance does
/// per millisecond at a time.
struct Model<F> {
    policy: Policy,
    speed: F,
    members: Table,
    names: Vec<id::Instance>,
    servers: Vec<Server>,
    senders: Vec<Balancer>,
    rng: ChaCha8Rng,
    done: Vec<Request>,
    preferred: u32,
    probed: u32,
}

impl<F: Fn(usize, u64) -> f64> Model<F> {
    fn new(instances: usize, speed_balancing: bool, speed: F) -> Self {
        let names: Vec<String> = (0..instances).map(|n| format!("i{n}")).collect();
        let mut members = Table::default();
        names.iter().for_each(|name| members.insert(peer(name)));
        let sender = |n| Balancer::new(&peer(&format!("s{n}")));
        Self {
            policy: policy(speed_balancing),
            speed,
            members,
            names: names
                .iter()
                .map(|name| name.parse().expect("a name"))
                .collect(),
            servers: (0..instances).map(|_| Server::default()).collect(),
            senders: (0..SENDERS).map(sender).collect(),
            rng: ChaCha8Rng::seed_from_u64(11),
            done: Vec::new(),
            preferred: 0,
            probed: 0,
        }
    }

    /// Runs for `length` milliseconds with `rate` requests per millisecond.
    fn run(mut self, rate: f64, length: u64) -> Self {
        for now in 1000..1000 + length {
            (0..self.servers.len()).for_each(|instance| self.work(now, instance));
            let more = u32::from(self.rng.random_bool(rate.fract()));
            (0..rate as u32 + more).for_each(|_| self.send(now));
        }
        self
    }

    fn send(&mut self, now: u64) {
        let sender = self.rng.random_range(0..SENDERS);
        let (at, pool) = (Time::from_ms(now), "p".parse().expect("a name"));
        let balancer = &mut self.senders[sender];
        let (name, _) = balancer
            .pick(at, &self.members, &pool, &[], self.policy, &mut self.rng)
            .expect("an instance");
        balancer.record_sent(at, &name);
        match balancer.take_speed_choice() {
            Some(Counter::SpeedPreferred) => self.preferred += 1,
            Some(_) => self.probed += 1,
            None => {}
        }
        let instance = self.names.iter().position(|other| *other == name);
        let instance = instance.expect("a known instance");
        self.servers[instance].waiting.push_back(Request {
            sender,
            instance,
            sent: now,
            started: 0,
            ended: 0,
            work: WORK * self.rng.random_range(0.5..1.5),
        });
    }

    fn work(&mut self, now: u64, instance: usize) {
        let speed = (self.speed)(instance, now);
        let server = &mut self.servers[instance];
        while server.running.len() < SLOTS
            && let Some(mut request) = server.waiting.pop_front()
        {
            request.started = now;
            server.running.push(request);
        }
        let running = &mut server.running;
        running.iter_mut().for_each(|request| request.work -= speed);
        let ended: Vec<_> = running
            .extract_if(.., |request| request.work <= 0.0)
            .collect();
        ended.into_iter().for_each(|request| self.end(now, request));
    }

    fn end(&mut self, now: u64, mut request: Request) {
        let (at, route) = (Time::from_ms(now), "r".parse().expect("a name"));
        request.ended = now;
        let server = &mut self.servers[request.instance];
        let took = now - request.started;
        server.meter.record(at, &route, Span::from_ms(took));
        server.mean_ms += (took as f64 - server.mean_ms) * ROUTE_WEIGHT;
        let is_on = self.policy.scheduling.speed_balancing;
        let service = match is_on {
            true => server.meter.service_time(at, &route).as_ms() as u32,
            false => server.mean_ms as u32,
        };
        let report = Report {
            load: (server.running.len() + server.waiting.len()) as u32,
            slots: SLOTS as u32,
            life: id::Incarnation(1),
            ..Report::default()
        };
        let (sender, name) = (
            &mut self.senders[request.sender],
            &self.names[request.instance],
        );
        sender.record_report(at, name, &report);
        sender.record_service_time(name, &route, service);
        if is_on {
            sender.record_speed(at, name, &route, service);
        }
        sender.record_end(at, name, Observation::Healthy);
        self.done.push(request);
    }

    /// Returns how many requests per second an instance was sent between two times
    /// after the start.
    fn rate(&self, instance: usize, from: u64, to: u64) -> f64 {
        let (done, servers) = (self.done.iter(), self.servers.iter());
        let open = servers.flat_map(|server| server.running.iter().chain(&server.waiting));
        let window = 1000 + from..1000 + to;
        let sent = done
            .chain(open)
            .filter(|request| request.instance == instance && window.contains(&request.sent));
        sent.count() as f64 * 1000.0 / (to - from) as f64
    }

    fn mean(&self, of: impl Fn(&Request) -> u64) -> f64 {
        self.done.iter().map(of).sum::<u64>() as f64 / self.done.len() as f64
    }
}

/// Service times of 0.6, 1 and 1.4 times the mean.
fn unequal(instance: usize, _: u64) -> f64 {
    1.0 / [0.6, 1.0, 1.4][instance % 3]
}

/// Requests per millisecond that twelve unequal instances serve at this utilization.
fn unequal_rate(utilization: f64) -> f64 {
    let speeds: f64 = (0..12).map(|instance| unequal(instance, 0)).sum();
    speeds * SLOTS as f64 / WORK * utilization
}

/// Guards against requests that go to idle slow instances while fast ones have free
/// slots, and against queues at the fast ones.
#[test]
fn fast_instances_serve_more_while_slots_are_free() {
    let run = |on| Model::new(12, on, unequal).run(unequal_rate(0.3), 20_000);
    let (on, off) = (run(true), run(false));
    let service = |model: &Model<_>| model.mean(|request| request.ended - request.started);
    let wait = |model: &Model<_>| model.mean(|request| request.started - request.sent);
    // Two random choices limit the gain, as two fifths of the pairs have no fast instance.
    assert!(service(&on) < 0.94 * service(&off));
    assert!(wait(&on) < 0.05 * WORK, "{}", wait(&on));
    assert!(on.preferred > 0 && on.probed > 0);
    assert_eq!((off.preferred, off.probed), (0, 0));
}

/// Guards against load that concentrates on a few instances when all slots are needed.
#[test]
fn throughput_near_capacity_is_not_lower() {
    let run = |on| Model::new(12, on, unequal).run(unequal_rate(0.95), 20_000);
    let (on, off) = (run(true), run(false));
    let in_time = |model: &Model<_>| {
        let times = model
            .done
            .iter()
            .map(|request| request.ended - request.sent);
        times.filter(|time| *time <= 4 * WORK as u64).count()
    };
    // Up to as many requests as there are slots are under way at the end of a run.
    let slots = 12 * SLOTS;
    assert!(on.done.len() + slots >= off.done.len());
    assert!(in_time(&on) + slots >= in_time(&off));
}

/// Guards against senders that follow a slowdown only when it is over, or avoid the
/// instance afterwards. The times are those of ten periods of four seconds.
fn follows_a_slowdown(speed: f64, most: f64) {
    let slowed = move |instance: usize, now: u64| match instance == 0 && now % 4000 < 600 {
        true => speed,
        false => 1.0,
    };
    let rate = 12.0 * SLOTS as f64 / WORK * 0.3;
    let run = |on| Model::new(12, on, slowed).run(rate, 43_000);
    let (on, off) = (run(true), run(false));
    let share = |model: &Model<_>, from: u64, to: u64| {
        let starts = (0..10).map(|period| 3000 + 4000 * period);
        let rates = starts.map(|start| model.rate(0, start + from, start + to));
        let others = (1..12).map(|n| model.rate(n, 3000, 43_000)).sum::<f64>() / 11.0;
        rates.sum::<f64>() / 10.0 / others
    };
    assert!(share(&on, 300, 600) < most);
    assert!(share(&on, 300, 600) < share(&off, 300, 600));
    assert!(share(&on, 1600, 2600) > 0.7);
}

cases! { follows_a_slowdown:
    of_a_pause => (0.0, 0.4),
    by_a_factor => (0.4, 0.6),
}

/// Guards against an instance that stays slow in the memory of its senders: it is four
/// times slower for ten seconds.
#[test]
fn an_instance_that_recovers_gets_its_share_again() {
    let recovering = |instance: usize, now: u64| match instance == 0 && now < 11_000 {
        true => 0.25,
        false => 1.0,
    };
    let rate = 12.0 * SLOTS as f64 / WORK * 0.3;
    let model = Model::new(12, true, recovering).run(rate, 30_000);
    let usual = rate * 1000.0 / 12.0;
    assert!(model.rate(0, 5_000, 10_000) < 0.3 * usual);
    assert!(model.rate(0, 20_000, 30_000) > 0.6 * usual);
}

/// Guards against a slowdown that the reported time shows only after its end. Answers of
/// four routes share fifty responses per second.
#[test]
fn the_reported_time_follows_within_the_slowdown() {
    let mut meter = Meter::default();
    let route = |n: u64| format!("r{}", n % 4).parse().expect("a name");
    let mut record = |n: u64, ms| meter.record(Time::from_ms(1000 + 20 * n), &route(n), ms);
    (0..500).for_each(|n| record(n, Span::from_ms(100)));
    (500..530).for_each(|n| record(n, Span::from_ms(250)));
    let time = |meter: &Meter, n| meter.service_time(Time::from_ms(1000 + 20 * 529), &route(n));
    let slowed: Vec<_> = (0..4).map(|n| time(&meter, n).as_ms()).collect();
    assert!(
        slowed.iter().all(|ms| (225..=275).contains(ms)),
        "{slowed:?}"
    );
    let later = Time::from_ms(1000 + 20 * 529 + 501);
    assert_eq!(meter.service_time(later, &route(0)), Span::ZERO);
}

/// Sends requests to three instances of which "i2" answers each at once with a failure,
/// and returns how many each got.
fn send_with_failing(policy: Policy, reports: bool) -> Vec<usize> {
    let mut members = Table::default();
    let names = ["i0", "i1", "i2"];
    names.iter().for_each(|name| members.insert(peer(name)));
    let mut balancer = Balancer::new(&peer("s"));
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let (pool, route) = ("p".parse().expect("a name"), "r".parse().expect("a name"));
    let mut open: Vec<(u64, id::Instance)> = Vec::new();
    let mut got = vec![0; 3];
    for now in (1000..7000).step_by(2) {
        let at = Time::from_ms(now);
        let picked = balancer.pick(at, &members, &pool, &[], policy, &mut rng);
        let (name, _) = picked.expect("an instance");
        balancer.record_sent(at, &name);
        let index = names.iter().position(|other| *other == name.as_str());
        let index = index.expect("a known instance");
        got[index] += 1;
        open.push((now + [20, 20, 1][index], name));
        for (_, name) in open.extract_if(.., |(end, _)| *end <= now) {
            let (service, mark) = match name.as_str() {
                "i2" => (1, Observation::Unhealthy),
                _ => (20, Observation::Healthy),
            };
            let report = Report {
                slots: 100,
                life: id::Incarnation(1),
                ..Report::default()
            };
            balancer.record_report(at, &name, &report);
            balancer.record_service_time(&name, &route, service);
            if reports {
                balancer.record_speed(at, &name, &route, service);
            }
            balancer.record_end(at, &name, mark);
        }
    }
    got
}

/// Guards against an instance that fails at once and so looks twenty times as fast.
#[test]
fn an_instance_that_fails_at_once_is_not_fast() {
    let got = send_with_failing(policy(true), true);
    assert!(got[2] < 200, "{got:?}");
    assert!(got[0] > 1000 && got[1] > 1000, "{got:?}");
}

/// Guards against a service time that includes failures, or that changes while the part
/// is off. Answers take 100 ms, then five failures take 1 ms.
fn reports_a_service_time(on: bool, least: u32, most: u32) {
    let mut bench = Bench::new(r#"{"name":"p","slots":4,"queue":8}"#);
    bench.policy = policy(on);
    let mut answer = |status: u16, took: u64| {
        let (request, _) = bench.attempt(|_| {});
        bench.now += Span::from_ms(took);
        let actions = bench.on(Event::Ended(request, End::Answered(status)));
        actions.into_iter().find_map(|action| match action {
            Action::Finish(_, _, report) => Some(report.service),
            _ => None,
        })
    };
    (0..20).for_each(|_| assert!(answer(200, 100).is_some()));
    (0..5).for_each(|_| assert!(answer(503, 1).is_some()));
    let service = answer(200, 1).expect("a report");
    assert!((least..=most).contains(&service), "{service}");
}

cases! { reports_a_service_time:
    without_failures => (true, 100, 100),
    with_failures_while_off => (false, 59, 60),
}

/// Guards against effects of what is recorded for this part on the choices without it.
#[test]
fn nothing_changes_while_it_is_off() {
    let plain = send_with_failing(Policy::default(), false);
    assert_eq!(send_with_failing(policy(false), true), plain);
}
