//! The exact oracle of rate and burst, over the bare machines: owners that
//! follow each other, holders, and messages that are lost, doubled, late and
//! out of order.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    id,
    lease::{
        Epoch,
        Ownership, //
    },
    quota::{
        Charge,
        Holder,
        Message,
        Owner,
        Reply, //
    },
    team::Team,
    unit::{
        Rate,
        Weight, //
    },
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{
        Config,
        RngAlgorithm,
        TestRng,
        TestRunner, //
    },
};

/// One thing that happens.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// A request arrives at a holder.
    Take(usize),
    /// A request that took a token begins, or ends unrun.
    Resolve(usize, bool),
    /// A message of the bag arrives and stays in the bag or not.
    Deliver(usize, bool),
    /// A message of the bag is lost.
    Lose(usize),
    /// Another owner begins once the right before has ended.
    Takeover,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1u64..60).prop_map(Step::Wait),
        6 => (0usize..3).prop_map(Step::Take),
        4 => (any::<usize>(), prop::bool::weighted(0.8)).prop_map(|(n, run)| Step::Resolve(n, run)),
        8 => (any::<usize>(), prop::bool::weighted(0.15)).prop_map(|(n, keep)| Step::Deliver(n, keep)),
        1 => any::<usize>().prop_map(Step::Lose),
        1 => Just(Step::Takeover),
    ]
}

/// A token in the hand of a request that has not begun.
struct Taken {
    holder: usize,
    grant: id::Grant,
}

struct World {
    now: Time,
    team: Team,
    owners: Vec<(Owner, Ownership)>,
    holders: Vec<Holder>,
    /// Messages under way, with the holder they are for; none: for an owner.
    bag: Vec<(Option<usize>, usize, Message)>,
    taken: Vec<Taken>,
    begun: Vec<Time>,
}

const RIGHT: Span = Span::from_ms(1200);

impl World {
    fn new(rate: u64, burst: u32) -> Self {
        let name: id::Team = "mill".parse().expect("a name");
        let holder = |number: usize| {
            let instance = format!("n{number}").parse().expect("a name");
            Holder::new(instance, id::Incarnation(1))
        };
        let mut world = Self {
            now: Time::from_ms(1000),
            team: Team {
                name,
                rate: Rate::per_second(rate),
                burst,
                weight: Weight(1),
            },
            owners: Vec::new(),
            holders: (0..3).map(holder).collect(),
            bag: Vec::new(),
            taken: Vec::new(),
            begun: Vec::new(),
        };
        world.takeover();
        world
    }

    fn takeover(&mut self) {
        if let Some((_, right)) = self.owners.last() {
            self.now = self.now.max(right.until);
        }
        let right = Ownership {
            epoch: Epoch(self.owners.len() as u64 + 1),
            since: self.now,
            until: self.now + RIGHT,
            continued_epoch: None,
        };
        self.owners.push((Owner::default(), right));
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Wait(ms) => self.now += Span::from_ms(ms),
            Step::Take(holder) => {
                if let Charge::Taken(grant) = self.holders[holder].take(self.now, &self.team.name) {
                    self.taken.push(Taken { holder, grant });
                }
            }
            Step::Resolve(number, run) if !self.taken.is_empty() => {
                let taken = self.taken.remove(number % self.taken.len());
                self.resolve(&taken, run);
            }
            Step::Deliver(number, keep) if !self.bag.is_empty() => {
                let number = number % self.bag.len();
                let (to, owner, message) = match keep {
                    true => self.bag[number].clone(),
                    false => self.bag.remove(number),
                };
                self.deliver(to, owner, message);
            }
            Step::Lose(number) if !self.bag.is_empty() => {
                let number = number % self.bag.len();
                self.bag.remove(number);
            }
            Step::Takeover => self.takeover(),
            _ => {}
        }
        for holder in &mut self.holders {
            holder.tick(self.now);
        }
        self.collect();
    }

    /// A request begins only while its token lives, as inbound proxies see to.
    fn resolve(&mut self, taken: &Taken, run: bool) {
        let team = &self.team.name;
        let holder = &mut self.holders[taken.holder];
        match (run, holder.time_left(self.now, team, taken.grant)) {
            (true, Some(_)) => {
                self.begun.push(self.now);
                holder.mark_begun(team, taken.grant);
            }
            (false, _) => holder.give_back(self.now, team, taken.grant),
            (true, None) => {}
        }
    }

    fn collect(&mut self) {
        let owner = self.owners.len() - 1;
        for (number, holder) in self.holders.iter_mut().enumerate() {
            for (_, message) in holder.outbox() {
                self.bag.push((None, owner, message.clone()));
                let _ = number;
            }
        }
    }

    /// A paused owner may hear a message late: its right is checked at that
    /// moment, as everywhere.
    fn deliver(&mut self, to: Option<usize>, number: usize, message: Message) {
        let now = self.now;
        match (to, message) {
            (None, Message::Ask(ask)) => {
                let (owner, right) = &mut self.owners[number];
                let reply = match now < right.until {
                    true => owner.on_ask(now, *right, &self.team, &ask),
                    false => Reply::NotOwner(None),
                };
                let holder = ask.from.as_str()[1..].parse().expect("a number");
                let from = ask.from.clone();
                let message = Message::Reply {
                    from,
                    team: ask.team,
                    number: ask.number,
                    reply,
                };
                self.bag.push((Some(holder), number, message));
            }
            (None, Message::Return(_, returns)) => {
                self.owners[number].0.on_return(now, &self.team, &returns);
            }
            (
                Some(holder),
                Message::Reply {
                    team,
                    number,
                    reply,
                    ..
                },
            ) => {
                self.holders[holder].on_reply(now, &team, number, reply);
            }
            _ => {}
        }
    }

    /// Every window that begins and ends with a request that began.
    fn check(&self) -> Result<(), TestCaseError> {
        for (first, from) in self.begun.iter().enumerate() {
            for (count, until) in self.begun[first..].iter().enumerate() {
                let allowed = u64::from(self.team.burst) * 1000
                    + self.team.rate.millis_within(until.since(*from));
                let got = (count as u64 + 1) * 1000;
                prop_assert!(got <= allowed, "{got} of {allowed} from {from} to {until}");
            }
        }
        Ok(())
    }
}

/// A customer would see another team's requests crowded out: in some short
/// time its neighbour began more than rate and burst allow. Grants used at
/// their last moment, tokens given back late or twice, answers that come after
/// a takeover: each order of these is tried by chance.
fn every_window(rate: u64, burst: u32, seed: u8) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let mut begun = 0;
    let outcome = runner.run(&vec(step(), 50..500), |steps| {
        let mut world = World::new(rate, burst);
        steps.into_iter().for_each(|step| world.apply(step));
        world.check()
    });
    outcome.expect("no window exceeds rate and burst");
    // The same fixed course shows that the oracle had something to look at.
    let mut world = World::new(rate, burst);
    for turn in 0..400 {
        world.apply(Step::Take(turn % 3));
        world.apply(Step::Deliver(0, false));
        world.apply(Step::Resolve(0, true));
        world.apply(Step::Wait(5));
        begun = world.begun.len();
    }
    assert!(begun as u64 >= rate.min(10), "{begun}");
}

cases! { every_window:
    window_of_a_small_burst => (40, 4, 1),
    window_of_a_large_burst => (20, 60, 2),
    window_of_a_high_rate => (900, 30, 3),
    window_of_a_low_rate => (1, 2, 4),
}
