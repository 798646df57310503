//! The retries of a fleet whose nodes each hold a share of its budget.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    context::Importance,
    id::Pool,
    retry::{
        Budget,
        Limits, //
    },
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const RATIO: f64 = 0.2;
const WINDOW: Span = Span::from_secs(10);
const STEP: Span = Span::from_ms(100);

/// First attempts and retries of a whole fleet in each step.
struct Played {
    first: Vec<u32>,
    retries: Vec<u32>,
}

/// Plays a fleet with a slack of one retry a node, a request a second at each node, of
/// which a share fails. Failed requests are retried up to three times.
fn play(nodes: usize, failing: f64, importance: Importance) -> Played {
    let slack = nodes as f64;
    let share = slack / nodes as f64;
    let limits = Limits {
        ratio: RATIO * 0.8,
        min_rate: share * 0.4 / WINDOW.as_secs_f64(),
        burst: share * 0.4,
        burst_window: WINDOW.scale(0.2),
        critical_reserve: 0.5,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let pool: Pool = "mill".parse().expect("a name");
    let mut budgets = vec![Budget::default(); nodes];
    budgets
        .iter_mut()
        .for_each(|budget| budget.set_limits(limits));
    let mut played = Played {
        first: Vec::new(),
        retries: Vec::new(),
    };
    let mut now = Time::from_ms(1_000_000);
    for _ in 0..400 {
        let (mut first, mut retries) = (0, 0);
        for budget in &mut budgets {
            if !rng.random_bool(STEP.as_secs_f64()) {
                continue;
            }
            first += 1;
            budget.record_first_attempt(now, &pool);
            for _ in 0..3 {
                let retried =
                    rng.random_bool(failing) && budget.try_take(now, &pool, importance, &mut rng);
                if !retried {
                    break;
                }
                retries += 1;
            }
        }
        played.first.push(first);
        played.retries.push(retries);
        now += STEP;
    }
    played
}

/// The largest share of what is allowed in any window that was used.
fn highest_use(nodes: usize, played: &Played) -> f64 {
    let steps = (WINDOW.as_ms() / STEP.as_ms()) as usize;
    let windows = played
        .first
        .windows(steps)
        .zip(played.retries.windows(steps));
    let used = windows.map(|(first, retries)| {
        let allowed = RATIO * f64::from(first.iter().sum::<u32>()) + nodes as f64;
        f64::from(retries.iter().sum::<u32>()) / allowed
    });
    used.fold(0.0, f64::max)
}

/// Guards against a budget that no node can use, because each holds less than one retry
/// of it, and against one that is exceeded by the sum of all.
fn a_large_fleet_retries(nodes: usize, importance: Importance) {
    for failing in [0.05, 0.3, 1.0] {
        let played = play(nodes, failing, importance);
        let used = highest_use(nodes, &played);
        assert!(used < 0.95, "{used} of the budget at {failing} failing");
        let retries = f64::from(played.retries.iter().sum::<u32>());
        let first = f64::from(played.first.iter().sum::<u32>());
        let windows = played.first.len() as f64 * STEP.as_secs_f64() / WINDOW.as_secs_f64();
        let allowed = RATIO * first + windows * nodes as f64;
        // Half of the budget is reserved for critical requests.
        let least = match importance {
            Importance::Critical => 0.25,
            _ => 0.1,
        };
        let wanted = (failing * first).min(allowed);
        assert!(
            retries > least * wanted,
            "{retries} of {wanted} at {failing} failing"
        );
    }
}

cases! { a_large_fleet_retries:
    critical_at_200 => (200, Importance::Critical),
    critical_at_2000 => (2000, Importance::Critical),
    normal_at_200 => (200, Importance::Normal),
    normal_at_2000 => (2000, Importance::Normal),
}
