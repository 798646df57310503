//! Which calls the requests of a route make, from what runs together.
//!
//! At an overloaded chain the calls of nearly all requests fail one by one, and
//! the work done for their requests is wasted. Requests are held to the level of
//! what they will call, so that has to be learnt, and a route that calls nothing
//! must not be blamed for the calls of others that run beside it.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    habit::Habits,
    id::Route,
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

fn route(name: &str) -> Route {
    name.parse().expect("a name")
}

/// Requests a second, milliseconds that each takes, calls that each makes.
type Kind = (&'static str, f64, u64, u32);

/// Plays requests of these kinds for a while, each of which makes its calls
/// evenly over its run.
fn learnt(kinds: &[Kind], seconds: u64) -> Habits {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut habits = Habits::default();
    let mut running: Vec<(usize, u64)> = Vec::new();
    let called = route("called");
    for ms in 0..seconds * 1000 {
        for (kind, (_, rate, took, _)) in kinds.iter().enumerate() {
            // The mix changes: each kind has better and worse seconds.
            let swing = 1.0 + 0.5 * ((ms / 700 + kind as u64 * 3) % 5) as f64 / 4.0;
            if rng.random_bool(rate * swing / 1000.0) {
                running.push((kind, ms + took));
            }
        }
        for (kind, _) in &running {
            let (_, _, took, calls) = kinds[*kind];
            if rng.random_bool(f64::from(calls) / took as f64) {
                habits.called(&called);
            }
        }
        running.retain(|(_, end)| *end > ms);
        let names: Vec<_> = running
            .iter()
            .map(|(kind, _)| route(kinds[*kind].0))
            .collect();
        habits.look(Time::from_ms(ms), names.iter());
    }
    habits
}

#[test]
fn the_route_that_calls_is_found_and_the_other_is_not_blamed() {
    let kinds = [("index", 50.0, 250, 4), ("upload", 10.0, 260, 0)];
    let habits = learnt(&kinds, 30);
    let share = |name, took| habits.share(&route(name), &route("called"), Span::from_ms(took));
    assert!(
        (3.0..5.0).contains(&share("index", 250)),
        "{}",
        share("index", 250)
    );
    assert!(share("upload", 260) < 0.3, "{}", share("upload", 260));
}

#[test]
fn nothing_is_said_before_enough_was_seen() {
    let habits = learnt(&[("index", 50.0, 250, 4)], 1);
    let share = habits.share(&route("index"), &route("called"), Span::from_ms(250));
    assert!(share.abs() < f64::EPSILON, "{share}");
}
