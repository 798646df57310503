//! The budget of a process: what its accounts hold, and which of them pays.

use std::{
    cell::Cell,
    rc::Rc, //
};

use bluebellswitch::{
    memory::{
        Account,
        Budget,
        Owner, //
    },
    unit::Size,
};
use proptest::prelude::*;

/// A limit of which the accounts may hold 1 KiB.
const LIMIT: Size = Size::kib(3);

#[derive(Clone, Debug)]
enum Step {
    Open(usize),
    Set(usize, usize),
    Add(usize, usize),
    Sub(usize, usize),
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let bytes = 0..500_usize;
    prop_oneof![
        (0..Owner::ALL.len()).prop_map(Step::Open),
        (any::<usize>(), bytes.clone()).prop_map(|(i, bytes)| Step::Set(i, bytes)),
        (any::<usize>(), bytes.clone()).prop_map(|(i, bytes)| Step::Add(i, bytes)),
        (any::<usize>(), bytes).prop_map(|(i, bytes)| Step::Sub(i, bytes)),
        any::<usize>().prop_map(Step::Close),
    ]
}

fn play(budget: &Budget, accounts: &mut Vec<(Owner, Account)>, step: &Step) {
    let count = accounts.len();
    match *step {
        Step::Open(owner) => {
            let owner = Owner::ALL[owner];
            accounts.push((owner, budget.open(owner)));
        }
        _ if count == 0 => {}
        Step::Set(i, bytes) => {
            accounts[i % count].1.set(bytes);
        }
        Step::Add(i, bytes) => {
            accounts[i % count].1.add(bytes);
        }
        Step::Sub(i, bytes) => accounts[i % count].1.sub(bytes),
        Step::Close(i) => drop(accounts.swap_remove(i % count)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// A gauge that drifts from its accounts would evict too much, or nothing.
    #[test]
    fn gauges_are_the_sums_of_their_accounts(steps in prop::collection::vec(step(), 0..80)) {
        let budget = Budget::new(LIMIT);
        let mut accounts = Vec::new();
        for step in &steps {
            play(&budget, &mut accounts, step);
            for owner in Owner::ALL {
                let of_owner = accounts.iter().filter(|(other, _)| *other == owner);
                let sum: usize = of_owner.map(|(_, account)| account.held()).sum();
                prop_assert_eq!(budget.held(owner), sum);
            }
            let sum: usize = Owner::ALL.iter().map(|owner| budget.held(*owner)).sum();
            prop_assert_eq!(budget.total(), sum);
        }
        drop(accounts);
        prop_assert_eq!(budget.total(), 0);
    }

    /// What is not evicted fits into the budget after every step.
    #[test]
    fn remaining_accounts_fit_the_budget(steps in prop::collection::vec(step(), 0..80)) {
        let budget = Budget::new(LIMIT);
        let mut accounts = Vec::new();
        for step in &steps {
            play(&budget, &mut accounts, step);
            let staying = accounts.iter().filter(|(_, account)| !account.is_evicted());
            let sum: usize = staying.map(|(_, account)| account.held()).sum();
            prop_assert!(sum <= budget.allowed(), "{sum}");
        }
    }

    /// Over the budget, the account that holds most pays, whoever exceeded it.
    #[test]
    fn the_largest_account_pays(held in prop::collection::vec(0..300_usize, 2..40)) {
        let budget = Budget::new(LIMIT);
        let mut accounts: Vec<Account> = Vec::new();
        for bytes in held {
            let newest = budget.open(Owner::Callers);
            let evicted = |account: &Account| account.is_evicted();
            let before: Vec<_> = accounts.iter().map(evicted).collect();
            newest.set(bytes);
            accounts.push(newest);
            let pays = |i: &usize| accounts[*i].is_evicted() && before.get(*i) != Some(&true);
            let (paying, staying): (Vec<_>, Vec<_>) = (0..accounts.len())
                .filter(|i| before.get(*i) != Some(&true))
                .partition(pays);
            let least_paying = paying.iter().map(|i| accounts[*i].held()).min();
            let most_staying = staying.iter().map(|i| accounts[*i].held()).max();
            if let (Some(least), Some(most)) = (least_paying, most_staying) {
                prop_assert!(least >= most, "{least} paid, {most} stayed");
            }
        }
    }
}

/// The newest account pays for itself if it holds as much as any other.
#[test]
fn the_newest_of_equal_accounts_pays() {
    let budget = Budget::new(LIMIT);
    let accounts: Vec<_> = (0..3).map(|_| budget.open(Owner::Upstream)).collect();
    let go_on: Vec<_> = accounts.iter().map(|account| account.set(400)).collect();
    assert_eq!(go_on, [true, true, false]);
    assert_eq!(budget.evicted(Owner::Upstream), 1);
}

/// An account that is being given up is not counted twice: its neighbours would pay
/// for the time that it takes.
#[test]
fn evicted_accounts_do_not_count_again() {
    let budget = Budget::new(LIMIT);
    let small = budget.open(Owner::Callers);
    assert!(small.set(100));
    let large = budget.open(Owner::Links);
    assert!(!large.set(2000));
    assert!(small.set(200));
    assert_eq!((budget.total(), budget.evicted(Owner::Callers)), (2200, 0));
}

/// The callback may release and close accounts, its own included.
#[test]
fn a_callback_closes_its_own_account() {
    let budget = Budget::new(LIMIT);
    let held = Rc::new(Cell::new(Some(budget.open(Owner::Callers))));
    let account = held.take().expect("open");
    let closing = held.clone();
    account.on_eviction(move || drop(closing.take()));
    assert!(account.set(600));
    held.set(Some(account));
    let other = budget.open(Owner::Callers);
    assert!(other.set(500));
    assert_eq!((budget.total(), held.take().is_none()), (500, true));
}

/// A shortage lasts until the accounts are well below the budget, so that it is
/// logged once.
#[test]
fn a_shortage_ends_well_below_the_budget() {
    let budget = Budget::new(LIMIT);
    let account = budget.open(Owner::Callers);
    let other = budget.open(Owner::Store);
    account.set(1000);
    assert!(!budget.is_short());
    other.set(100);
    assert!(account.is_evicted() && budget.is_short());
    account.set(800);
    assert!(budget.is_short());
    drop(account);
    assert!(!budget.is_short());
}

/// A smaller limit applies to what is already held.
#[test]
fn a_new_limit_applies_to_open_accounts() {
    let budget = Budget::new(LIMIT);
    let account = budget.open(Owner::Callers);
    assert!(account.set(1000));
    budget.set_limit(Size::kib(1));
    assert!(account.is_evicted());
}

/// A task that waits for the eviction is woken by it.
#[test]
fn waiting_for_the_eviction_ends() {
    let budget = Budget::new(LIMIT);
    let account = Rc::new(budget.open(Owner::Callers));
    actix_rt::System::new().block_on(async {
        let waiting = account.clone();
        let task = actix_rt::spawn(async move { waiting.evicted().await });
        actix_rt::task::yield_now().await;
        account.set(2000);
        task.await.expect("woken");
    });
}
