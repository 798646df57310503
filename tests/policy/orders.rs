//! A caller sends one non-idempotent request. Links break, frames arrive late,
//! crossed or twice, the inbound proxy restarts, or is replaced while its paused
//! predecessor still holds frames. The request must not run twice, and a caller
//! that was told "not run" must be told the truth, then and later.
//!
//! Every order of events within the budget of faults is tried.

use std::{
    collections::{
        BTreeMap,
        HashSet, //
    },
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    },
};

use bluebellswitch::{
    admission::seen::Levels,
    clock::{
        Span,
        Time, //
    },
    code::Verdict,
    document::Snapshot,
    id,
    inbound::{
        self,
        End,
        Proxy, //
    },
    ingress::{
        self,
        Arrival,
        Origin,
        Router, //
    },
    member::{
        Peer,
        Status,
        Table, //
    },
    metric::Counts,
    policy::Policy,
    quota::{
        Holder,
        Mode, //
    },
    tables::Tables,
    team::{
        Key,
        Team,
        Teams, //
    },
    unit::{
        Rate,
        Weight, //
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const CALL: id::Call = id::Call(1);
const DEADLINE: u64 = 5000;

/// How many of each fault a run may have.
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    cuts: u32,
    doubles: u32,
    restarts: u32,
    replacements: u32,
    waits: u32,
    refusals: u32,
    hangups: u32,
    drains: u32,
    stops: u32,
}

#[derive(Clone, Debug)]
enum Wire {
    ToProxy(usize, inbound::Event),
    ToRouter(ingress::Event),
}

/// One process of an inbound proxy.
#[derive(Clone, Debug)]
struct Process {
    instance: usize,
    life: u64,
    proxy: Proxy,
    started: Vec<id::Request>,
    aborted: Vec<id::Request>,
}

#[derive(Clone, Debug)]
struct State {
    now: Time,
    router: Router,
    processes: Vec<Option<Process>>,
    /// Which process the link to each instance leads to.
    links: [usize; 2],
    /// When the node of the router answers no more.
    ends_at: Time,
    wires: Vec<Wire>,
    budget: Budget,
    runs: i32,
    told_not_run: bool,
    told: bool,
    late: bool,
}

struct Fixed {
    snapshot: Snapshot,
    members: Table,
}

fn instance(number: usize) -> id::Instance {
    ["b", "c"][number].parse().expect("a name")
}

fn peer(name: &str, pool: &str, life: u64) -> Peer {
    Peer {
        instance: name.parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        pool: pool.parse().expect("a name"),
        link: "127.0.0.1:1".parse().expect("an address"),
        datagram: "127.0.0.1:1".parse().expect("an address"),
        incarnation: id::Incarnation(life),
        status: Status::Alive,
        ready: true,
    }
}

fn fixed() -> Fixed {
    let row = r#"{"name":"issue","method":"POST","path":"/issue","pool":"p","deadline":"5s"}"#;
    let team: id::Team = "mill".parse().expect("a name");
    let teams = Team {
        name: team.clone(),
        rate: Rate::per_second(100),
        burst: 100,
        weight: Weight(1),
    };
    let key = Key::seal("k".parse().expect("a name"), team, "salt", "secret");
    let mut members = Table::default();
    members.insert(peer("a", "front", 1));
    members.insert(peer("b", "p", 1));
    members.insert(peer("c", "p", 1));
    Fixed {
        snapshot: Snapshot {
            callers: None,
            evacuations: std::collections::BTreeMap::new(),
            version: id::Version(1),
            tables: Tables {
                routes: vec![serde_json::from_str(row).expect("a row")],
                pools: vec![serde_json::from_str(r#"{"name":"p","slots":4}"#).expect("a row")],
            },
            teams: Teams {
                teams: vec![teams],
                keys: vec![key],
            },
        },
        members,
    }
}

/// The whole rate lies at this node, so that nothing is asked of anybody.
fn holder(snapshot: &Snapshot) -> Holder {
    let mut holder = Holder::new("a".parse().expect("a name"), id::Incarnation(1));
    holder.set_mode(Mode::Slices(1));
    holder.set_teams(Time::ZERO, &snapshot.teams.teams);
    holder
}

fn process(instance: usize, life: u64) -> Process {
    let pool = "p".parse().expect("a name");
    Process {
        instance,
        life,
        proxy: Proxy::new(id::Incarnation(life), pool, true),
        started: Vec::new(),
        aborted: Vec::new(),
    }
}

/// One step that may come next.
#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    Double(usize),
    Cut(usize),
    Restart(usize),
    Replace(usize),
    Ended(usize, End),
    Wait,
    Deadline,
    HangUp,
    Drain(usize),
    /// The node of the router is about to stop.
    Stopping,
    Stop,
}

impl State {
    fn new(fixed: &Fixed, budget: Budget) -> Self {
        let mut state = Self {
            now: Time::from_ms(1000),
            router: Router::new(&peer("a", "front", 1)),
            processes: vec![Some(process(0, 1)), Some(process(1, 1))],
            links: [0, 1],
            ends_at: Time::NEVER,
            wires: Vec::new(),
            budget,
            runs: 0,
            told_not_run: false,
            told: false,
            late: false,
        };
        let arrival = Arrival {
            left: None,
            connection: id::Connection::default(),
            stale: false,
            leaving: false,
            call: CALL,
            origin: Origin::Caller {
                key: Some("k.secret".into()),
            },
            host: "h".into(),
            method: "POST".into(),
            path: "/issue".into(),
            claim: None,
            replayable: true,
            digest: None,
        };
        state.route(fixed, ingress::Event::Arrival(Box::new(arrival)));
        state
    }

    fn route(&mut self, fixed: &Fixed, event: ingress::Event) {
        let mut proxy = Proxy::new(id::Incarnation(1), "front".parse().expect("a name"), true);
        let mut world = ingress::Environment {
            snapshot: &fixed.snapshot,
            members: &fixed.members,
            quota: &mut holder(&fixed.snapshot),
            records: &bluebellswitch::record::Directory::default(),
            proxy: &mut proxy,
            levels: &mut Levels::default(),
            policy: Policy::default(),
            rng: &mut ChaCha8Rng::seed_from_u64(1),
            counts: &mut Counts::default(),
            ends_at: self.ends_at,
        };
        let mut out = Vec::new();
        self.router.on(self.now, event, &mut world, &mut out);
        out.into_iter().for_each(|action| self.routed(action));
    }

    fn routed(&mut self, action: ingress::Action) {
        let to = |name: &id::Instance| usize::from(name.as_str() == "c");
        match action {
            ingress::Action::Send {
                request,
                peer,
                life,
                route,
                context,
                claim,
                ..
            } => {
                let event = inbound::Event::Attempt {
                    request,
                    peer: "a".parse().expect("a name"),
                    life,
                    route,
                    context,
                    claim,
                };
                self.wire(to(&peer), event);
            }
            ingress::Action::Cancel(peer, request) => {
                let event = inbound::Event::Cancel("a".parse().expect("a name"), request);
                self.wire(to(&peer), event);
            }
            ingress::Action::Revoke {
                peer,
                request,
                life,
                left,
                unless_running,
            } => {
                let event = inbound::Event::Revoke {
                    request,
                    peer: "a".parse().expect("a name"),
                    life,
                    left,
                    unless_running,
                };
                self.wire(to(&peer), event);
            }
            ingress::Action::Hint(..) => {}
            ingress::Action::Deliver(call, _) => {
                self.told = true;
                self.router.record_delivered(call);
            }
            ingress::Action::Refuse(_, refusal) => {
                self.told = true;
                self.told_not_run |= refusal.code().verdict() == Verdict::NotRun;
            }
        }
    }

    fn wire(&mut self, instance: usize, event: inbound::Event) {
        self.wires.push(Wire::ToProxy(self.links[instance], event));
    }

    fn inbound(&mut self, fixed: &Fixed, number: usize, event: inbound::Event) {
        let now = self.now;
        let Some(process) = &mut self.processes[number] else {
            return;
        };
        let mut world = inbound::World {
            snapshot: &fixed.snapshot,
            domain: &"here".parse().expect("a name"),
            levels: &mut Levels::default(),
            policy: Policy::default(),
            rng: &mut ChaCha8Rng::seed_from_u64(1),
            counts: &mut Counts::default(),
        };
        let mut out = Vec::new();
        process.proxy.on(now, event, &mut world, &mut out);
        let from = instance(process.instance);
        for action in out {
            match action {
                inbound::Action::Start { request, .. } => {
                    process.started.push(request);
                    self.runs += 1;
                }
                inbound::Action::Abort(request) => process.aborted.push(request),
                inbound::Action::Refuse(_, request, code, report) => {
                    let event = ingress::Event::Refused(from.clone(), request, code, report);
                    self.wires.push(Wire::ToRouter(event));
                }
                inbound::Action::Finish(_, request, report) => {
                    let event = ingress::Event::Finished(from.clone(), request, report);
                    self.wires.push(Wire::ToRouter(event));
                }
                inbound::Action::Fate(_, request, fate) => {
                    let event = ingress::Event::RevokeResult(from.clone(), request, fate);
                    self.wires.push(Wire::ToRouter(event));
                }
                inbound::Action::EndNestedCalls(_)
                | inbound::Action::Warmup(_)
                | inbound::Action::Limit(_)
                | inbound::Action::Crashed(_)
                | inbound::Action::Suspects(_)
                | inbound::Action::Departing { .. } => {}
            }
        }
    }

    fn ended(&mut self, fixed: &Fixed, number: usize, end: End) {
        let Some(process) = &mut self.processes[number] else {
            return;
        };
        let request = process.started.remove(0);
        let from = instance(process.instance);
        match end {
            End::Answered(status) => {
                let levels = Levels::default();
                let report = process
                    .proxy
                    .answer(self.now, request, &levels, Policy::default());
                let event = ingress::Event::Answered(from, request, status, report);
                self.wires.push(Wire::ToRouter(event));
            }
            // Nothing reached the upstream.
            End::Refused => self.runs -= 1,
            End::Rejected | End::Cut | End::Crashed | End::Aborted => {}
        }
        self.inbound(fixed, number, inbound::Event::Ended(request, end));
    }

    fn cut(&mut self, number: usize) {
        let old = self.links[number];
        let lost = self.router.attempts_at(&instance(number));
        let broken = ingress::Event::LinkLost(instance(number), lost);
        self.wires.push(Wire::ToRouter(broken));
        let lost = inbound::Event::Broken("a".parse().expect("a name"));
        self.wires.push(Wire::ToProxy(old, lost));
        let newest = |p: &Option<Process>| p.as_ref().is_some_and(|p| p.instance == number);
        self.links[number] = self.processes.iter().rposition(newest).expect("a process");
    }

    /// A new process takes the instance's place. The old one is gone, or lives
    /// on behind its links, unaware.
    fn replace(&mut self, number: usize, gone: bool) {
        let old = self.links[number];
        let life = self.processes[old].as_ref().map_or(1, |p| p.life) + 1;
        self.processes.push(Some(process(number, life)));
        if gone {
            self.processes[old] = None;
            self.cut(number);
        }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for wire in 0..self.wires.len() {
            steps.push(Step::Deliver(wire));
            if self.budget.doubles > 0 {
                steps.push(Step::Double(wire));
            }
        }
        for (number, process) in self.processes.iter().enumerate() {
            let Some(process) = process else { continue };
            if let Some(request) = process.started.first() {
                steps.push(Step::Ended(number, End::Answered(200)));
                if process.aborted.contains(request) {
                    steps.push(Step::Ended(number, End::Aborted));
                }
                if self.budget.refusals > 0 {
                    steps.push(Step::Ended(number, End::Refused));
                }
            }
            if self.budget.drains > 0 {
                steps.push(Step::Drain(number));
            }
        }
        for number in 0..2 {
            if self.budget.cuts > 0 {
                steps.push(Step::Cut(number));
            }
            if self.budget.restarts > 0 {
                steps.push(Step::Restart(number));
            }
            if self.budget.replacements > 0 {
                steps.push(Step::Replace(number));
            }
        }
        if self.budget.stops > 0 && !self.late {
            steps.push(Step::Stopping);
        }
        if self.ends_at != Time::NEVER && !self.late {
            steps.push(Step::Stop);
        }
        if self.budget.waits > 0 && !self.late {
            steps.push(Step::Wait);
        }
        if self.budget.hangups > 0 && !self.told {
            steps.push(Step::HangUp);
        }
        if !self.late {
            steps.push(Step::Deadline);
        }
        steps
    }

    fn take(&mut self, fixed: &Fixed, step: Step) {
        match step {
            Step::Deliver(number) => {
                let wire = self.wires.remove(number);
                self.deliver(fixed, wire);
            }
            Step::Double(number) => {
                self.budget.doubles -= 1;
                let wire = self.wires[number].clone();
                self.deliver(fixed, wire);
            }
            Step::Cut(number) => {
                self.budget.cuts -= 1;
                self.cut(number);
            }
            Step::Restart(number) => {
                self.budget.restarts -= 1;
                self.replace(number, true);
            }
            Step::Replace(number) => {
                self.budget.replacements -= 1;
                self.replace(number, false);
            }
            Step::Ended(number, end) => {
                self.budget.refusals -= u32::from(end == End::Refused);
                self.ended(fixed, number, end);
            }
            Step::Wait => {
                self.budget.waits -= 1;
                self.pass(fixed, Span::from_ms(250));
            }
            Step::Deadline => {
                self.late = true;
                self.pass(fixed, Span::from_ms(DEADLINE));
            }
            Step::HangUp => {
                self.budget.hangups -= 1;
                self.told = true;
                self.route(fixed, ingress::Event::CallerGone(CALL));
            }
            Step::Drain(number) => {
                self.budget.drains -= 1;
                self.inbound(fixed, number, inbound::Event::Drain);
            }
            Step::Stopping => {
                self.budget.stops -= 1;
                self.ends_at = self.now + Span::from_ms(300);
                self.route(fixed, ingress::Event::Tick);
            }
            Step::Stop => {
                self.now = self.now.max(self.ends_at);
                self.late = true;
                self.route(fixed, ingress::Event::Stop);
            }
        }
    }

    fn deliver(&mut self, fixed: &Fixed, wire: Wire) {
        match wire {
            Wire::ToProxy(number, event) => self.inbound(fixed, number, event),
            Wire::ToRouter(event) => self.route(fixed, event),
        }
    }

    fn pass(&mut self, fixed: &Fixed, span: Span) {
        self.now += span;
        self.route(fixed, ingress::Event::Tick);
        for number in 0..self.processes.len() {
            self.inbound(fixed, number, inbound::Event::Tick);
        }
    }

    fn print(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

struct Search {
    fixed: Fixed,
    seen: HashSet<u64>,
    ends: BTreeMap<&'static str, u64>,
}

impl Search {
    fn explore(&mut self, state: &State, path: &mut Vec<Step>) {
        if !self.seen.insert(state.print()) {
            return;
        }
        assert!(state.runs <= 1, "it ran twice: {path:#?}");
        let truth = !(state.told_not_run && state.runs > 0);
        assert!(truth, "it ran and was told not to have: {path:#?}");
        if state.late {
            assert!(state.told, "nothing was told by the deadline: {path:#?}");
            let end = match (state.told_not_run, state.runs) {
                (true, _) => "not run",
                (false, 0) => "unknown, not run",
                (false, _) => "run",
            };
            *self.ends.entry(end).or_default() += 1;
        }
        for step in state.steps() {
            let mut next = state.clone();
            next.take(&self.fixed, step);
            path.push(step);
            self.explore(&next, path);
            path.pop();
        }
    }
}

/// Tries every order, and returns how many different states were met.
fn all(budget: Budget, at_least: usize) {
    let fixed = fixed();
    let state = State::new(&fixed, budget);
    let mut search = Search {
        fixed,
        seen: HashSet::new(),
        ends: BTreeMap::new(),
    };
    search.explore(&state, &mut Vec::new());
    println!("{} states, ends {:?}", search.seen.len(), search.ends);
    assert!(search.seen.len() >= at_least, "{}", search.seen.len());
    assert_eq!(search.ends.len(), 3, "{:?}", search.ends);
}

cases! { all:
    a_cut_and_time => (Budget { cuts: 1, waits: 2, ..Budget::default() }, 100),
    two_cuts => (Budget { cuts: 2, ..Budget::default() }, 100),
    a_cut_and_a_double => (Budget { cuts: 1, doubles: 1, ..Budget::default() }, 100),
    two_doubles => (Budget { doubles: 2, refusals: 1, ..Budget::default() }, 100),
    a_refusal_and_a_cut => (Budget { cuts: 1, refusals: 1, ..Budget::default() }, 100),
    a_refusal_and_a_double => (Budget { doubles: 1, refusals: 1, waits: 1, ..Budget::default() }, 100),
    a_restart => (Budget { restarts: 1, refusals: 1, ..Budget::default() }, 100),
    a_restart_and_a_cut => (Budget { restarts: 1, cuts: 1, ..Budget::default() }, 100),
    a_replacement_and_a_cut => (Budget { replacements: 1, cuts: 1, waits: 1, ..Budget::default() }, 100),
    a_hang_up_and_a_cut => (Budget { hangups: 1, cuts: 1, ..Budget::default() }, 100),
    a_drain_and_a_cut => (Budget { drains: 1, cuts: 1, ..Budget::default() }, 100),
    a_stop => (Budget { stops: 1, refusals: 1, ..Budget::default() }, 100),
    a_stop_and_a_cut => (Budget { stops: 1, cuts: 1, ..Budget::default() }, 100),
    a_stop_and_a_double => (Budget { stops: 1, doubles: 1, ..Budget::default() }, 100),
    a_stop_and_a_restart => (Budget { stops: 1, restarts: 1, ..Budget::default() }, 100),
    a_drain_and_a_restart => (Budget { drains: 1, restarts: 1, ..Budget::default() }, 100),
}
