//! Retries are bounded by one allowance for the whole tree of a root.

use std::collections::BTreeMap;

use bluebellswitch::{
    allowance::Allowance,
    policy::{
        Policy,
        RetryLimit, //
    },
    standin::trial::{
        self,
        Tree, //
    },
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

/// The allowance of a route that does not say.
const ALLOWANCE: u32 = 2;

/// The deepest service fails every call. Users see one failed page, but each hop
/// above it retries, and the retries of the hops multiply until the failing
/// service drowns in them.
fn bounded(tree: Tree, calls: u32) {
    assert!(tree.retries <= ALLOWANCE, "{tree:?}");
    assert!(tree.deepest <= calls + ALLOWANCE, "{tree:?}");
    assert!(tree.retries > 0, "the allowance was never used: {tree:?}");
}

cases! { bounded:
    three_in_a_row => (trial::chain(Policy::default(), 1), 1),
    three_wide_and_four_deep => (trial::fan(Policy::default(), 1), 27),
}

#[test]
fn hops_that_retry_on_their_own_multiply() {
    let policy = Policy {
        retry_limit: RetryLimit::PerHop(2),
        retry_budget: false,
        ..Policy::default()
    };
    assert_eq!(trial::chain(policy, 1).deepest, 27);
}

/// A tree of attempts in which answers get lost, calls fail and retry at random,
/// and peers claim to have spent more than they got.
struct Forest {
    rng: ChaCha8Rng,
    retries: u32,
}

impl Forest {
    /// Runs one attempt with a loan, and returns what its answer says it spent;
    /// none when the answer is lost.
    fn attempt(&mut self, loan: u8, depth: u32) -> Option<u8> {
        let mut purse = Allowance::new(loan);
        let mut open: BTreeMap<u32, (u8, Option<u8>)> = BTreeMap::new();
        if depth < 4 {
            for number in 0..self.rng.random_range(0..4) {
                self.call(&mut purse, depth, number, &mut open);
                // Answers arrive in any order, or after others were sent.
                if self.rng.random_bool(0.5) {
                    settle(&mut purse, open.pop_first());
                }
            }
            while !open.is_empty() {
                settle(&mut purse, open.pop_last());
            }
        }
        // A purse may be closed by the head of an answer that goes on.
        if self.rng.random_bool(0.3) {
            purse.close();
        }
        let lie = if self.rng.random_bool(0.1) { 200 } else { 0 };
        let told = purse.spent().saturating_add(lie);
        (!self.rng.random_bool(0.2)).then_some(told)
    }

    fn call(
        &mut self,
        purse: &mut Allowance,
        depth: u32,
        number: u32,
        open: &mut BTreeMap<u32, (u8, Option<u8>)>,
    ) {
        let loan = purse.reserve();
        let spent = self.attempt(loan, depth + 1);
        open.insert(number, (loan, spent));
        while self.rng.random_bool(0.7) {
            // A failure is mostly known before the retry; a lost answer is not.
            if self.rng.random_bool(0.7) {
                settle(purse, open.remove_entry(&number));
            }
            if !purse.try_take() {
                return;
            }
            self.retries += 1;
            let loan = purse.reserve();
            let spent = self.attempt(loan, depth + 1);
            settle(purse, Some((number, (loan, spent))));
        }
    }
}

fn settle(purse: &mut Allowance, answer: Option<(u32, (u8, Option<u8>))>) {
    if let Some((_, (loan, Some(spent)))) = answer {
        purse.release(loan, spent);
    }
}

/// Fan-out children borrow from one counter, return what they did not use in any
/// order, and some answers never come. However it goes, the whole tree must not
/// retry more often than its root may.
fn tree_spends_at_most(allowance: u8) {
    let mut most = 0;
    for seed in 0..3000 {
        let mut forest = Forest {
            rng: ChaCha8Rng::seed_from_u64(seed),
            retries: 0,
        };
        forest.attempt(allowance, 0);
        assert!(forest.retries <= u32::from(allowance), "seed {seed}");
        most = most.max(forest.retries);
    }
    assert_eq!(most, u32::from(allowance), "no tree used its allowance");
}

cases! { tree_spends_at_most:
    one_retry => (1),
    two_retries => (2),
    seven_retries => (7),
}
