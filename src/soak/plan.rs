//! The faults of a soak, drawn by its seed. They come in series that overlap.

use std::{
    cell::Cell,
    fmt,
    rc::Rc,
    str::FromStr, //
};

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use super::{
    COOL_DOWN, Mood, WARM_UP, World, client,
    config::{
        Callers,
        Route,
        SERVICES,
        TEAMS, //
    },
    depart,
    endless::Endless,
    life,
    machine::{
        Machine,
        State, //
    },
    odd, pause, planned,
    record::Rule,
    relay::{
        Mode,
        Relay, //
    },
    server::{
        self,
        Faults,
        GARBLES,
        Garble, //
    },
};
use crate::{
    clock::{
        Clock,
        Span,
        Time, //
    },
    error::{
        Code,
        Error,
        Result, //
    },
};

macro_rules! faults {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// A kind of fault.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum Fault {
            $($(#[$doc])* $name,)*
        }

        impl Fault {
            const ALL: &[Self] = &[$(Self::$name,)*];

            const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

faults! {
    /// A server rejects a share of its requests.
    Shed = "shed";
    /// The same, and it sends some answers twice.
    ShedAndCopy = "shed-and-copy";
    /// A server spoils answers.
    Garble = "garble";
    /// A server runs requests and answers with a status that promises the opposite.
    Unproven = "unproven";
    /// A server breaks off within the heads of answers.
    HeadCut = "head-cut";
    /// A server sends heads that are not HTTP.
    OddHead = "odd-head";
    /// A server answers uploads at their head with a part of an answer without a length,
    /// and resets the connection.
    Abandon = "abandon";
    /// A server answers some requests without end.
    EndlessAnswer = "endless-answer";
    /// A server loses answers.
    Lose = "lose";
    /// A server accepts requests and does not answer.
    Silent = "silent";
    /// A server takes longer.
    Slow = "slow";
    /// A server ends, and starts again under its id or another one.
    Crash = "crash";
    /// A server ends, and one of another service takes its address for a while.
    Reuse = "reuse";
    /// A server leaves, and another one takes its place.
    Leave = "leave";
    /// A server leaves while its node restarts, and some of its heartbeats arrive late.
    LeaveAndRestart = "leave-and-restart";
    /// A node's process stands still.
    Stop = "stop";
    /// A node's process gets little processor time.
    Starve = "starve";
    /// Two nodes' processes stand still, the second one from the middle of the first on.
    StopAcross = "stop-across";
    /// A node's process is killed.
    Kill = "kill";
    /// A node's process is told to end.
    Terminate = "terminate";
    /// A node's process is told to end in calm, and clients stay with it.
    PlannedStop = "planned-stop";
    /// A node's settings file changes, with a signal.
    HangUp = "hang-up";
    /// A node's process gets a signal while it starts, again and again.
    EarlyHangUp = "early-hang-up";
    /// An address of a node is in use when its process starts.
    AddressInUse = "address-in-use";
    /// A node's settings file is not whole for a while.
    TornSettings = "torn-settings";
    /// A node's process is started while the one before it ends.
    Successor = "successor";
    /// Links to a node are delayed, held back or reset.
    Link = "link";
    /// Links to a node are reset again and again.
    Flap = "flap";
    /// A node's connections to the store are delayed, held back or reset.
    StoreLink = "store-link";
    /// A node cannot reach the store until its records lapse.
    StoreAway = "store-away";
    /// The store refuses, is silent, or writes late.
    Store = "store";
    /// Another writer of the store writes odd entries.
    OddWriter = "odd-writer";
    /// The operator moves a route or exchanges a key.
    Configure = "configure";
}

impl Fault {
    /// Whether requests may fail and nodes be unready for it.
    fn ails(self) -> bool {
        !matches!(self, Self::HangUp | Self::Configure | Self::OddWriter)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for Fault {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let found = Self::ALL.iter().find(|fault| fault.name() == text);
        found.copied().ok_or_else(|| {
            let all: Vec<_> = Self::ALL.iter().map(|fault| fault.name()).collect();
            let reason = format!("`{text}` is no fault: use {}", all.join(", "));
            Error::new(Code::Usage, reason)
        })
    }
}

/// Mean time between two faults at one node.
const FAULT_INTERVAL: Span = Span::from_secs(6);
/// How long faults last, in milliseconds.
const SHORT_MS: std::ops::Range<u64> = 20..1500;
const LONG_MS: std::ops::Range<u64> = 300..5000;
/// How long a node cannot reach the store, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 9000..14_000;
/// Time between two resets of a link, in milliseconds.
const FLAP_MS: std::ops::Range<u64> = 30..250;
/// How long a starved process stands still and runs, in turn, in milliseconds.
const STARVED_MS: std::ops::Range<u64> = 20..90;
const RUNNING_MS: std::ops::Range<u64> = 2..20;

/// Clients beyond the usual ones while a server answers without end.
const MORE_CLIENTS: usize = 20;
/// How long a server answers without end, in milliseconds, and what share of requests.
const ENDLESS_MS: std::ops::Range<u64> = 2000..6000;
const ENDLESS_SHARE: std::ops::Range<f64> = 0.1..0.5;

/// One fault as it was drawn.
struct Event {
    after: Span,
    fault: Fault,
    machine: usize,
    rng: ChaCha8Rng,
}

/// Draws the faults of a soak.
fn draw(world: &World) -> Vec<Event> {
    let options = &world.options;
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let kinds = match options.only.is_empty() {
        true => Fault::ALL,
        false => &options.only,
    };
    let interval = FAULT_INTERVAL.as_ms() / options.nodes as u64;
    let length = options.length.as_ms();
    let end = length.saturating_sub((WARM_UP + COOL_DOWN).as_ms());
    let mut events = Vec::new();
    let mut at = 0;
    let mut last = 0;
    let mut next_stop = 0;
    while at < end {
        at += rng.random_range(0..=2 * interval);
        let event = Event {
            after: Span::from_ms(at - last),
            fault: kinds[rng.random_range(0..kinds.len())],
            machine: rng.random_range(0..options.nodes),
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
        };
        // One after the other, as a planned stop is judged only in calm.
        if event.fault == Fault::PlannedStop {
            if at < next_stop {
                continue;
            }
            let grace = world.dialect.bounds().grace;
            next_stop = at + planned::length(grace).as_ms();
        }
        last = at;
        events.push(event);
    }
    events
}

/// Plays the faults.
pub(super) async fn play(world: &Rc<World>) {
    for event in draw(world) {
        pause(event.after).await;
        let faults = &mut world.record().faults;
        *faults.entry(event.fault.to_string()).or_default() += 1;
        actix_rt::spawn(strike(world.clone(), event));
    }
}

/// Plays a fault, and records how long the machine has it.
async fn strike(world: Rc<World>, event: Event) {
    let ailments = &world.machines[event.machine].ailments;
    let ailment = event.fault.ails().then(|| ailments.begin(Span::MAX));
    disturb(&world, event).await;
    if let Some(ailment) = ailment {
        ailments.end(ailment);
    }
}

async fn disturb(world: &Rc<World>, event: Event) {
    let Event {
        fault,
        machine: number,
        mut rng,
        ..
    } = event;
    let rng = &mut rng;
    let machine = &world.machines[number];
    let short = Span::from_ms(rng.random_range(SHORT_MS));
    let long = Span::from_ms(rng.random_range(LONG_MS));
    match fault {
        Fault::Slow => {
            machine.server.faults.borrow_mut().slow = rng.random_range(2..30);
            pause(long).await;
            machine.server.faults.borrow_mut().slow = 0;
        }
        Fault::Silent => spoil(machine, short, |faults| faults.silent = true).await,
        Fault::Shed
        | Fault::ShedAndCopy
        | Fault::Garble
        | Fault::Unproven
        | Fault::HeadCut
        | Fault::OddHead
        | Fault::Abandon
        | Fault::Lose => {
            spoil(machine, long, |faults| draw_spoil(fault, rng, faults)).await;
        }
        Fault::EndlessAnswer => pour(world, machine, rng).await,
        Fault::Crash | Fault::Reuse | Fault::Leave => {
            if machine.server.begin_change() {
                let changed = change_server(world, number, fault, rng).await;
                report(world, number, changed);
                machine.server.end_change();
            }
        }
        Fault::LeaveAndRestart => {
            if machine.server.begin_change() {
                report(world, number, depart::play(world, number, rng).await);
                machine.server.end_change();
            }
        }
        Fault::Stop => stand_still(machine, long).await,
        Fault::Starve => starve(machine, long, rng).await,
        Fault::StopAcross => {
            let other = &world.machines[rng.random_range(0..world.machines.len())];
            let late = async {
                pause(long.scale(0.5)).await;
                stand_still(other, long).await;
            };
            tokio::join!(stand_still(machine, long), late);
        }
        Fault::Kill => machine.kill(short),
        Fault::Terminate => machine.terminate(world.dialect.bounds().grace, short),
        Fault::PlannedStop => {
            if machine.begin_change() {
                planned::play(world, machine, rng).await;
                machine.end_change();
            }
        }
        Fault::HangUp => report(world, number, machine.hang_up()),
        Fault::EarlyHangUp | Fault::AddressInUse | Fault::TornSettings | Fault::Successor => {
            if machine.begin_change() {
                report(world, number, life::play(world, machine, fault, rng).await);
                machine.end_change();
            }
        }
        Fault::Link => {
            machine.disruptions.begin(long);
            harm(&machine.link_relay, draw_mode(rng), long).await;
        }
        Fault::Flap => flap(machine, long, rng).await,
        Fault::StoreLink => {
            machine.store_disruptions.begin(long);
            harm(&machine.store_relay, draw_mode(rng), long).await;
        }
        Fault::StoreAway => {
            let away = Span::from_ms(rng.random_range(AWAY_MS));
            machine.store_disruptions.begin(away);
            harm(&machine.store_relay, Mode::Reset, away).await;
        }
        Fault::Store => {
            let mood = match rng.random_range(0..4) {
                0 => Mood::Refuses(503),
                1 => Mood::Refuses(429),
                2 => Mood::Silent,
                _ => Mood::Late(short),
            };
            harm_store(world, mood, long).await;
        }
        Fault::OddWriter => odd::write(world, machine, rng).await,
        Fault::Configure => {
            let now = Clock.now();
            let team = TEAMS[rng.random_range(0..TEAMS.len())];
            match rng.random() {
                true => world.configuration.borrow_mut().move_route(now),
                false => world.configuration.borrow_mut().rotate_key(now, team),
            }
            world.publish();
        }
    }
}

/// Draws what is wrong with a server.
fn draw_spoil(fault: Fault, rng: &mut ChaCha8Rng, faults: &mut Faults) {
    match fault {
        Fault::Shed => {
            faults.shed = rng.random_range(0.1..0.9);
            faults.early = rng.random();
        }
        Fault::ShedAndCopy => {
            faults.shed = rng.random_range(0.1..0.5);
            faults.garble = rng.random_range(0.02..0.15);
            faults.garbles = vec![Garble::Late];
        }
        Fault::Garble => {
            faults.garble = rng.random_range(0.02..0.3);
            faults
                .garbles
                .push(GARBLES[rng.random_range(0..GARBLES.len())]);
        }
        Fault::Unproven => {
            faults.garble = rng.random_range(0.02..0.3);
            faults.garbles.push(Garble::Unproven);
        }
        Fault::HeadCut => {
            faults.garble = rng.random_range(0.02..0.3);
            faults.garbles.push(Garble::HeadCut);
        }
        Fault::OddHead => {
            faults.garble = rng.random_range(0.02..0.3);
            faults.garbles.push(Garble::OddHead);
        }
        Fault::Abandon => {
            faults.garble = rng.random_range(0.1..0.9);
            faults.garbles.push(Garble::Abandoned);
        }
        _ => {
            faults.lose = rng.random_range(0.02..0.3);
            faults.reset = rng.random();
        }
    }
}

/// Spoils a server for some time.
async fn spoil(machine: &Machine, span: Span, change: impl FnOnce(&mut Faults)) {
    machine.server.ail(span + Span::from_secs(1));
    change(&mut machine.server.faults.borrow_mut());
    pause(span).await;
    machine.server.faults.take();
}

/// Lets a server answer without end for some time, with more clients than usual.
async fn pour(world: &Rc<World>, machine: &Machine, rng: &mut ChaCha8Rng) {
    let span = Span::from_ms(rng.random_range(ENDLESS_MS));
    let is_over = Rc::new(Cell::new(false));
    for _ in 0..MORE_CLIENTS {
        let number = rng.random_range(0..world.machines.len());
        let mut routes = Route::of_callers(Callers::Patient);
        routes.retain(|route| route.service == Some(machine.identity.service));
        actix_rt::spawn(client::stay(world.clone(), number, routes, is_over.clone()));
    }
    let endless = (rng.random_range(ENDLESS_SHARE), Endless::draw(rng));
    spoil(machine, span, |faults| faults.endless = Some(endless)).await;
    is_over.set(true);
}

async fn stand_still(machine: &Machine, span: Span) {
    machine.disruptions.begin(span);
    machine.process.signal(Signal::STOP);
    pause(span).await;
    machine.process.signal(Signal::CONT);
}

/// Stops a process and lets it go on, in short turns.
async fn starve(machine: &Machine, span: Span, rng: &mut ChaCha8Rng) {
    machine.disruptions.begin(span);
    let end = Clock.now() + span;
    while Clock.now() < end {
        machine.process.signal(Signal::STOP);
        pause(Span::from_ms(rng.random_range(STARVED_MS))).await;
        machine.process.signal(Signal::CONT);
        pause(Span::from_ms(rng.random_range(RUNNING_MS))).await;
    }
}

/// Resets the links to a node again and again.
async fn flap(machine: &Machine, span: Span, rng: &mut ChaCha8Rng) {
    machine.disruptions.begin(span);
    let end = Clock.now() + span;
    while Clock.now() < end {
        machine.link_relay.reset();
        pause(Span::from_ms(rng.random_range(FLAP_MS))).await;
    }
}

async fn harm(relay: &Relay, mode: Mode, span: Span) {
    relay.set(mode);
    pause(span).await;
    relay.set(Mode::Pass);
}

async fn harm_store(world: &World, mood: Mood, span: Span) {
    for machine in &world.machines {
        machine.store_disruptions.begin(span);
    }
    world.store.set(mood);
    pause(span).await;
    world.store.set(Mood::Well);
}

fn draw_mode(rng: &mut ChaCha8Rng) -> Mode {
    match rng.random_range(0..5) {
        0 => Mode::Delay(Span::from_ms(rng.random_range(5..300))),
        1 => Mode::Silent,
        2 => Mode::SilentForward,
        3 => Mode::SilentBack,
        _ => Mode::Reset,
    }
}

/// Ends a server and starts it again, or another one in its place.
async fn change_server(
    world: &Rc<World>,
    number: usize,
    fault: Fault,
    rng: &mut ChaCha8Rng,
) -> Result<()> {
    let server = &world.machines[number].server;
    let down = Span::from_ms(rng.random_range(SHORT_MS));
    match fault {
        Fault::Reuse => {
            let other = SERVICES[(number + 1) % SERVICES.len()];
            server.ail(down + down + down);
            server.crash();
            pause(Span::from_ms(50)).await;
            server.lend(world, number, other).await?;
            pause(down + down).await;
            server.crash();
        }
        Fault::Leave => leave(world, number, rng.random()).await,
        _ => {
            server.ail(down + down);
            server.crash();
            pause(down).await;
            if rng.random() {
                return server.start_again(world, number).await;
            }
        }
    }
    server.start(world, number).await
}

/// Lets a server leave, with an announcement beforehand or without.
async fn leave(world: &Rc<World>, number: usize, announced: bool) {
    let server = &world.machines[number].server;
    let bounds = world.dialect.bounds();
    server
        .depart(
            world,
            number,
            match announced {
                true => State::Draining,
                false => State::Gone,
            },
        )
        .await;
    let left = bounds.drain + Span::from_secs(1);
    server.ail(left + Span::from_secs(2));
    pause(left).await;
    server.leave(State::Gone);
    server::say(world, number, State::Gone).await;
    server.crash();
    pause(Span::from_ms(200)).await;
}

/// Records a fault that could not be played.
fn report(world: &World, number: usize, played: Result<()>) {
    if let Err(error) = played {
        let case = format!("machine {number}: {error}, at {}", Time::as_ms(Clock.now()));
        world.record().break_rule(Rule::Ended, case);
    }
}
