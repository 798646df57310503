//! Faults around the start and the end of a node's process.

use std::net::{
    TcpListener,
    UdpSocket, //
};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use super::{
    World,
    machine::Machine,
    pause,
    plan::Fault,
    within, //
};
use crate::{
    clock::{
        Clock,
        Span,
        Time, //
    },
    error::Result,
};

/// Lives of a process in one series, at most.
const MAX_LIVES: usize = 4;
/// Longest time between the start of a process and an early signal.
const LATEST_EARLY: Span = Span::from_ms(60);
/// Time between an early signal and the end of that life, in milliseconds.
const LIFE_MS: std::ops::Range<u64> = 50..800;
/// How long a process is down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 0..300;
/// How long an address is in use, in milliseconds.
const IN_USE_MS: std::ops::Range<u64> = 200..3000;
/// How long a settings file is not whole, in milliseconds.
const TORN_MS: std::ops::Range<u64> = 50..2500;
/// How long after its predecessor was told to end a process is started, in milliseconds.
const SUCCESSOR_MS: std::ops::Range<u64> = 0..300;
/// How often a process that is to end is looked at.
const END_CHECK_INTERVAL: Span = Span::from_ms(2);
/// How long the next start of a process is waited for beyond the grace period.
const START_SLACK: Span = Span::from_secs(2);

/// Plays a fault of this kind.
pub(super) async fn play(
    world: &World,
    machine: &Machine,
    fault: Fault,
    rng: &mut ChaCha8Rng,
) -> Result<()> {
    let grace = world.dialect.bounds().grace;
    match fault {
        Fault::EarlyHangUp => signal_early(machine, grace, rng).await,
        Fault::AddressInUse => {
            occupy(machine, grace, rng).await;
            Ok(())
        }
        Fault::TornSettings => match rng.random() {
            true => tear_at_start(machine, grace, rng).await,
            false => tear_while_up(machine, rng).await,
        },
        _ => {
            succeed(machine, grace, rng).await;
            Ok(())
        }
    }
}

/// Ends the process and signals the next one while it starts, several times.
async fn signal_early(machine: &Machine, grace: Span, rng: &mut ChaCha8Rng) -> Result<()> {
    for _ in 0..rng.random_range(1..=MAX_LIVES) {
        let started = machine.process.started.notified();
        let down = Span::from_ms(rng.random_range(DOWN_MS));
        match rng.random() {
            true => machine.kill(down),
            false => machine.terminate(grace, down),
        }
        if within(grace + START_SLACK, started).await.is_none() {
            return Ok(());
        }
        machine.disruptions.begin(Span::ZERO);
        let begun = async {
            while !machine.process.has_begun() {
                tokio::task::yield_now().await;
            }
        };
        if within(START_SLACK, begun).await.is_none() {
            return Ok(());
        }
        // Most signals come within the first milliseconds.
        let part: f64 = rng.random_range(0.0..1.0);
        pause(LATEST_EARLY.scale(part.powi(3))).await;
        match rng.random_range(0..4) {
            0 => machine.hang_up()?,
            1 => machine.terminate(grace, Span::ZERO),
            _ => machine.process.signal(Signal::HUP),
        }
        pause(Span::from_ms(rng.random_range(LIFE_MS))).await;
    }
    Ok(())
}

/// Ends the process, and holds one of its addresses when the next one starts.
async fn occupy(machine: &Machine, grace: Span, rng: &mut ChaCha8Rng) {
    let addresses = &machine.addresses;
    let listeners = [
        addresses.callers,
        addresses.links,
        addresses.operators,
        addresses.announcements,
        addresses.ready,
    ];
    let drawn = rng.random_range(0..=listeners.len());
    let span = Span::from_ms(rng.random_range(IN_USE_MS));
    if end(machine, grace, rng).await {
        let tcp = listeners.get(drawn).map(TcpListener::bind);
        let udp = tcp.is_none().then(|| UdpSocket::bind(addresses.links));
        machine.process.release();
        machine.disruptions.begin(span);
        pause(span).await;
        drop((tcp, udp));
    }
    machine.process.release();
}

/// Ends the process, and starts the next one with a settings file that becomes whole later.
async fn tear_at_start(machine: &Machine, grace: Span, rng: &mut ChaCha8Rng) -> Result<()> {
    if end(machine, grace, rng).await {
        let span = Span::from_ms(rng.random_range(TORN_MS));
        let torn = tear(machine, rng);
        machine.process.release();
        machine.disruptions.begin(span);
        pause(span).await;
        machine.process.mend()?;
        return torn;
    }
    machine.process.release();
    Ok(())
}

/// Signals the process while its settings file is not whole, and maybe again once it is.
async fn tear_while_up(machine: &Machine, rng: &mut ChaCha8Rng) -> Result<()> {
    let started = machine.process.started.notified();
    tear(machine, rng)?;
    machine.process.signal(Signal::HUP);
    pause(Span::from_ms(rng.random_range(TORN_MS))).await;
    machine.process.mend()?;
    if within(Span::ZERO, started).await.is_some() {
        machine.disruptions.begin(Span::ZERO);
    }
    if rng.random() {
        machine.process.signal(Signal::HUP);
    }
    Ok(())
}

/// Makes the settings file empty, half written, junk, or missing.
fn tear(machine: &Machine, rng: &mut ChaCha8Rng) -> Result<()> {
    let part = rng.random_range(0.0..1.0);
    let kind = rng.random_range(0..4);
    machine.process.tear(|text| match kind {
        0 => Some(String::new()),
        1 => {
            let length = (text.trim_end().len() as f64 * part) as usize;
            Some(String::from_utf8_lossy(&text.as_bytes()[..length]).into_owned())
        }
        2 => Some("\u{0}{[\"junk\": 1e999,".to_owned()),
        _ => None,
    })
}

/// Starts the next process while the present one ends.
async fn succeed(machine: &Machine, grace: Span, rng: &mut ChaCha8Rng) {
    let after = Span::from_ms(rng.random_range(SUCCESSOR_MS));
    let shutdown = machine.shutdowns.begin(grace);
    machine.process.succeed(grace, Clock.now() + after);
    pause(after).await;
    while machine.process.has_predecessor() {
        pause(END_CHECK_INTERVAL).await;
    }
    machine.shutdowns.end(shutdown);
}

/// Kills the process or tells it to end. Returns whether it has ended and waits to be
/// released.
async fn end(machine: &Machine, grace: Span, rng: &mut ChaCha8Rng) -> bool {
    let gone = async {
        while !machine.process.is_gone() {
            pause(END_CHECK_INTERVAL).await;
        }
    };
    let limit = grace + START_SLACK;
    match rng.random() {
        true => {
            machine.disruptions.begin(Span::ZERO);
            machine.process.kill(Time::NEVER);
            within(limit, gone).await.is_some()
        }
        false => {
            let shutdown = machine.shutdowns.begin(grace);
            machine.process.terminate(grace, Time::NEVER);
            let is_gone = within(limit, gone).await.is_some();
            machine.shutdowns.end(shutdown);
            is_gone
        }
    }
}
