//! A planned stop of one node in calm, while clients stay with it until its process is
//! gone.

use std::{
    cell::Cell,
    rc::Rc, //
};

use rand::{
    RngExt,
    seq::IndexedRandom, //
};
use rand_chacha::ChaCha8Rng;

use super::{
    World,
    client,
    config::{
        Callers,
        Route, //
    },
    machine::Machine,
    pause,
    record::Stop,
    within, //
};
use crate::clock::{
    Clock,
    Span,
    Time, //
};

/// Time between the begin of the clients' work and the signal.
const LEAD: Span = Span::from_ms(1500);
/// Time without faults before and after.
const CALM: Span = Span::from_ms(3500);
/// Clients that stay with the node, and those at other nodes.
const STAYERS: usize = 24;
const OTHERS: usize = 8;
/// The service that these clients call.
const CALLED: &str = "orders";
const FEW_SLOTS: u32 = 4;
const SHED_SHARE: f64 = 0.3;
/// How often a process that is to end is looked at.
const END_CHECK_INTERVAL: Span = Span::from_ms(2);
const END_SLACK: Span = Span::from_secs(2);

/// How short of room the called servers are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Room {
    Enough,
    /// They have few slots, so that requests wait.
    Few,
    /// They reject a share of the requests.
    Shedding,
}

impl Room {
    fn give(self, machine: &Machine) {
        let server = &machine.server;
        match self {
            Self::Enough => {}
            Self::Few => server.slots.set(FEW_SLOTS),
            // A node cannot tell which request a rejection without an id belongs to.
            Self::Shedding => {
                let mut faults = server.faults.borrow_mut();
                faults.shed = SHED_SHARE;
                faults.named = true;
            }
        }
    }

    fn take_back(self, machine: &Machine) {
        let server = &machine.server;
        match self {
            Self::Enough => {}
            Self::Few => server.restore_slots(),
            Self::Shedding => {
                server.faults.take();
            }
        }
    }
}

/// How long a planned stop takes at most, with the calm around it.
pub(super) fn length(grace: Span) -> Span {
    LEAD + grace + CALM
}

pub(super) async fn play(world: &Rc<World>, machine: &Machine, rng: &mut ChaCha8Rng) {
    let room = *[Room::Enough, Room::Few, Room::Shedding]
        .choose(rng)
        .unwrap_or(&Room::Enough);
    let machines = world.machines.iter();
    let called: Vec<_> = machines
        .filter(|machine| machine.identity.service == CALLED)
        .collect();
    called.iter().for_each(|machine| room.give(machine));
    let is_over = Rc::new(Cell::new(false));
    for client in 0..STAYERS + OTHERS {
        let other = rng.random_range(0..world.machines.len());
        let number = match client < STAYERS {
            true => machine.number,
            false => other,
        };
        let routes = Route::of_callers(Callers::Stayers);
        let staying = client::stay(world.clone(), number, routes, is_over.clone());
        actix_rt::spawn(staying);
    }
    pause(LEAD).await;
    stop(world, machine).await;
    is_over.set(true);
    called.iter().for_each(|machine| room.take_back(machine));
}

/// Tells the process to end, and starts the next one once it is gone.
async fn stop(world: &World, machine: &Machine) {
    let grace = world.dialect.bounds().grace;
    let at = Clock.now();
    let shutdown = machine.shutdowns.begin(grace);
    machine.process.terminate(grace, Time::NEVER);
    let gone = async {
        while !machine.process.is_gone() {
            pause(END_CHECK_INTERVAL).await;
        }
    };
    let _ = within(grace + END_SLACK, gone).await;
    machine.shutdowns.end(shutdown);
    world.record().stops.push(Stop {
        machine: machine.number,
        at,
        gone: Clock.now(),
    });
    machine.process.release();
}
