//! Servers that leave while the node beside them restarts, and whose heartbeats arrive late.

use std::rc::Rc;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{
    Mood,
    World,
    machine::State,
    pause,
    server, //
};
use crate::{
    clock::Span,
    error::Result, //
};

/// How late heartbeats are that were sent before the server left, in milliseconds: while the
/// store is away, no longer than nodes allow for. And how many there are.
const DELAY_MS: std::ops::Range<u64> = 200..7000;
const DELAY_WITHOUT_STORE_MS: std::ops::Range<u64> = 200..3500;
const DELAYED: std::ops::Range<usize> = 1..4;
/// How long a node is down, and how much later the second kill is, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 50..1500;
const SECOND_KILL_MS: std::ops::Range<u64> = 100..2000;
/// How long the store is away from just before the departure on, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 300..5000;
/// How long the server serves on after it has left.
const SERVING: Span = Span::from_secs(9);

/// Lets a server leave while its node restarts, and starts another one in its place.
pub(super) async fn play(world: &Rc<World>, number: usize, rng: &mut ChaCha8Rng) -> Result<()> {
    let server = &world.machines[number].server;
    server.ail(SERVING + Span::from_secs(5));
    let is_store_away = rng.random_bool(0.3);
    let delays = match is_store_away {
        true => DELAY_WITHOUT_STORE_MS,
        false => DELAY_MS,
    };
    for _ in 0..rng.random_range(DELAYED) {
        let announcement = server::prepare(world, number, State::Ready);
        let delay = Span::from_ms(rng.random_range(delays.clone()));
        let world = world.clone();
        actix_rt::spawn(async move {
            pause(delay).await;
            server::deliver(&world, number, &announcement).await;
        });
    }
    if is_store_away {
        actix_rt::spawn(take_store_away(
            world.clone(),
            Span::from_ms(rng.random_range(AWAY_MS)),
        ));
        pause(Span::from_ms(50)).await;
    }
    let state = match rng.random() {
        true => State::Draining,
        false => State::Gone,
    };
    if server.depart(world, number, state).await {
        restart(world, number, rng).await;
        pause(SERVING).await;
    }
    server.leave(State::Gone);
    server.crash();
    pause(Span::from_ms(200)).await;
    server.start(world, number).await
}

async fn take_store_away(world: Rc<World>, span: Span) {
    for machine in &world.machines {
        machine.store_disruptions.begin(span);
    }
    world.store.set(Mood::Refuses(503));
    pause(span).await;
    world.store.set(Mood::Well);
}

/// Restarts the node in one of the ways in which nodes restart.
async fn restart(world: &Rc<World>, number: usize, rng: &mut ChaCha8Rng) {
    let machine = &world.machines[number];
    let down = Span::from_ms(rng.random_range(DOWN_MS));
    match rng.random_range(0..5) {
        0 => machine.terminate(world.dialect.bounds().grace, down),
        1 => {
            machine.kill(down);
            pause(down + Span::from_ms(rng.random_range(SECOND_KILL_MS))).await;
            machine.kill(down);
        }
        2 => world.machines.iter().for_each(|machine| machine.kill(down)),
        _ => machine.kill(down),
    }
}
