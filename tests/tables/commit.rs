//! Changes reach the store whole and once, whatever becomes of the answers.

use bluebellswitch::{
    Category,
    change::{
        Author,
        Proposal, //
    },
    clock::Time,
    commit::{
        Commit,
        Done,
        Step, //
    },
    document::{
        Document,
        KEY, //
    },
    edit,
    id::Version,
    standin::keyvalue::Map,
    store::{
        Answer,
        Call, //
    },
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const NOW: Time = Time::ZERO;

/// What becomes of a call on its way.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answered,
    /// It takes effect, the answer is lost.
    Deaf,
    /// It never arrives.
    Dropped,
}

fn author(what: &str) -> Author {
    Author {
        by: "tester".into(),
        what: what.into(),
        at: 0,
    }
}

/// Sets one field of a pool's row.
fn set(pool: &str, queue: u32) -> Proposal {
    let pool = pool.to_owned();
    Proposal::Edit(Box::new(move |document: &mut Document| {
        let fields = [("queue".to_owned(), Some(queue.into()))];
        document.pools = edit::set(&document.pools, &pool, &fields)?;
        Ok(())
    }))
}

/// Adds one to a field, so that a change made twice shows.
fn add(pool: String) -> Proposal {
    Proposal::Edit(Box::new(move |document: &mut Document| {
        let rows = edit::rows(&document.pools)?;
        let queue = rows.get(&pool).and_then(|row| row["queue"].as_u64());
        let fields = [("queue".to_owned(), Some((queue.unwrap_or(0) + 1).into()))];
        document.pools = edit::set(&document.pools, &pool, &fields)?;
        Ok(())
    }))
}

fn tables(since: u64, routes: &str, pools: &str) -> Proposal {
    Proposal::Tables {
        since: Version(since),
        routes: routes.into(),
        pools: pools.into(),
    }
}

fn stored(map: &mut Map) -> Document {
    let key = KEY.to_owned();
    match map.on(NOW, &Call::Get { key }) {
        Some(Answer::Value(Some(entry))) => Document::decode(&entry.value).expect("a document"),
        _ => Document::default(),
    }
}

/// Runs a change whose calls fare as scripted, and then well.
fn run(
    map: &mut Map,
    wish: Proposal,
    seed: u64,
    fates: &[Fate],
) -> Result<Done, bluebellswitch::Error> {
    run_with(map, wish, seed, fates, |_, _| {})
}

/// As [`run`], with something that happens before each call.
fn run_with(
    map: &mut Map,
    wish: Proposal,
    seed: u64,
    fates: &[Fate],
    mut before: impl FnMut(&mut Map, &Call),
) -> Result<Done, bluebellswitch::Error> {
    let mut commit = Commit::new(wish, author("test"), false, seed);
    let mut fates = fates.iter().copied();
    let mut step = commit.begin();
    loop {
        let call = match step {
            Step::Call(_, call) => call,
            Step::Done(done) => return Ok(*done),
            Step::Failed(faults) => return Err(faults.into_iter().next().expect("one")),
        };
        before(map, &call);
        step = commit.on(match fates.next().unwrap_or(Fate::Answered) {
            Fate::Answered => map.on(NOW, &call).expect("no watch"),
            Fate::Deaf => {
                map.on(NOW, &call);
                Answer::Lost
            }
            Fate::Dropped => Answer::Lost,
        });
    }
}

fn accept(map: &mut Map, wish: Proposal) -> Version {
    run(map, wish, 1, &[]).expect("accepted").document.version
}

/// The operator's write took effect but the answer was lost; sent again, it
/// meets its own document and must neither be refused nor written twice.
#[test]
fn lost_answer_is_recognized_as_ones_own() {
    let mut map = Map::default();
    accept(&mut map, set("p", 1));
    let fates = [Fate::Answered, Fate::Deaf, Fate::Deaf, Fate::Dropped];
    let done = run(&mut map, set("p", 2), 2, &fates).expect("accepted");
    assert_eq!((done.version, done.races), (Some(Version(2)), 0));
    assert_eq!(stored(&mut map), done.document);
}

/// The answer was lost, and before the operator's command could ask, another
/// operator's change had followed. The store then shows a foreign change id;
/// taking that for a lost race would apply the change twice.
#[test]
fn lost_answer_is_recognized_after_later_changes() {
    let mut map = Map::default();
    accept(&mut map, set("p", 1));
    let mut calls = 0;
    let fates = [Fate::Answered, Fate::Deaf];
    let done = run_with(&mut map, set("p", 2), 2, &fates, |map, _| {
        calls += 1;
        if calls == 3 {
            for queue in 10..20 {
                run(map, set("q", queue), u64::from(queue), &[]).expect("accepted");
            }
        }
    });
    let done = done.expect("accepted");
    assert_eq!((done.version, done.races), (Some(Version(2)), 0));
    assert_eq!(stored(&mut map).version, Version(12));
}

/// So many changes followed a lost answer that the history no longer reaches
/// back to it: the command must say that it does not know.
#[test]
fn lost_answer_beyond_the_history_is_unknown() {
    let mut map = Map::default();
    let mut calls = 0;
    let fates = [Fate::Answered, Fate::Deaf];
    let error = run_with(&mut map, set("p", 2), 2, &fates, |map, _| {
        calls += 1;
        if calls == 3 {
            for queue in 0..70 {
                run(map, set("q", queue), 99 + u64::from(queue), &[]).expect("accepted");
            }
        }
    });
    let error = error.expect_err("unknown");
    assert_eq!(error.number(), 5001);
    assert!(error.reason().contains("is unknown"), "{error}");
}

#[test]
fn outage_ends_with_an_error_that_says_what_is_known() {
    let mut map = Map::default();
    let out = [Fate::Dropped; 20];
    let error = run(&mut map, set("p", 1), 1, &out).expect_err("an outage");
    assert_eq!(error.category(), Category::Store);
    assert!(error.reason().contains("nothing was changed"), "{error}");
    let mut out = out;
    out[0] = Fate::Answered;
    let error = run(&mut map, set("p", 1), 1, &out).expect_err("an outage");
    assert!(error.reason().contains("is unknown"), "{error}");
    assert_eq!(stored(&mut map), Document::default());
}

/// Two operators read version 1; the first changes another row, or the same.
fn race(ours: Proposal, theirs: Proposal, want: Result<u64, &str>) {
    let mut map = Map::default();
    accept(&mut map, tables(0, BOTH, POOLS));
    let mut theirs = Some(theirs);
    let done = run_with(&mut map, ours, 5, &[], |map, call| {
        if matches!(call, Call::Swap { .. })
            && let Some(theirs) = theirs.take()
        {
            accept(map, theirs);
        }
    });
    match (done, want) {
        (Ok(done), Ok(version)) => {
            assert_eq!(done.document.version, Version(version));
            assert!(done.document.pools.contains("/* kept */"));
        }
        (Err(error), Err(rows)) => {
            assert_eq!(error.category(), Category::Conflict, "{error}");
            assert!(error.reason().contains(rows), "{error}");
            assert_eq!(stored(&mut map).version, Version(2));
        }
        (done, want) => panic!("{done:?} instead of {want:?}"),
    }
}

const BOTH: &str = r#"{ "a": { "path": "/a", "pool": "p" }, "b": { "path": "/b", "pool": "q" } }"#;
const POOLS: &str = r#"{ "p": {}, "q": { /* kept */ }, "r": {} }"#;

cases! { race:
    other_row => (set("p", 7), set("q", 8), Ok(3)),
    same_row => (set("p", 7), set("p", 8), Err("pool p")),
    same_row_alike => (set("p", 7), set("p", 7), Ok(2)),
    tables_against_a_row => (
        tables(1, BOTH, r#"{ "p": { "slots": 5 }, "q": {}, "r": {} }"#),
        set("q", 8),
        Ok(3),
    ),
    tables_against_the_same_row => (
        tables(1, BOTH, r#"{ "p": { "slots": 5 }, "q": {}, "r": {} }"#),
        set("p", 8),
        Err("pool p"),
    ),
    tables_that_remove_against_a_row => (
        tables(1, BOTH, r#"{ "p": {}, "q": {} }"#),
        set("r", 8),
        Err("pool r"),
    ),
    tables_that_remove_another_row => (
        tables(1, BOTH, r#"{ "p": {}, "q": {} }"#),
        set("p", 8),
        Ok(3),
    ),
    tables_against_tables => (
        tables(1, BOTH, r#"{ "p": {}, "q": {}, "r": { "slots": 1 } }"#),
        tables(1, r#"{ "a": { "path": "/c", "pool": "p" }, "b": { "path": "/b", "pool": "q" } }"#, POOLS),
        Ok(3),
    ),
}

/// One operator removes a pool while another sends a route to it. No row was
/// touched by both, but together they would be a table with a fault.
#[test]
fn merge_that_breaks_the_checks_is_refused() {
    let mut map = Map::default();
    accept(&mut map, tables(0, BOTH, POOLS));
    let routes = BOTH.replace("\"q\"", "\"r\"");
    accept(&mut map, tables(1, &routes, POOLS));
    let error = run(&mut map, tables(1, BOTH, r#"{ "p": {}, "q": {} }"#), 3, &[]);
    assert_eq!(error.expect_err("a fault").number(), 4005);
    assert_eq!(stored(&mut map).version, Version(2));
}

#[test]
fn version_from_before_the_history_is_refused() {
    let mut map = Map::default();
    for queue in 0..70 {
        run(&mut map, set("q", queue), u64::from(queue), &[]).expect("accepted");
    }
    let error = run(&mut map, tables(1, "", ""), 3, &[]).expect_err("too old");
    assert_eq!(error.number(), 4101);
    let error = run(&mut map, tables(99, "", ""), 3, &[]).expect_err("not yet");
    assert_eq!(error.number(), 4101);
}

#[test]
fn dry_run_writes_nothing() {
    let mut map = Map::default();
    let mut commit = Commit::new(set("p", 1), author("test"), true, 1);
    let Step::Call(_, call) = commit.begin() else {
        panic!("no read");
    };
    let answer = map.on(NOW, &call).expect("no watch");
    assert!(matches!(commit.on(answer), Step::Done(_)));
    assert_eq!(stored(&mut map), Document::default());
}

/// An operator at work: a change under way, with the call not yet made.
struct Operator {
    commit: Commit,
    call: Option<Call>,
    end: Option<Result<Done, bluebellswitch::Error>>,
}

impl Operator {
    fn take(&mut self, step: Step) {
        match step {
            Step::Call(_, call) => self.call = Some(call),
            Step::Done(done) => self.end = Some(Ok(*done)),
            Step::Failed(faults) => self.end = faults.into_iter().next().map(Err),
        }
    }
}

/// Twelve operators change twelve rows at the same time while answers and
/// calls get lost and some calls take effect long after they were given up.
/// Whoever was told that a change is accepted finds it in the history once,
/// whoever was told that nothing changed finds nothing.
fn storm(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut map = Map::default();
    let mut operators: Vec<_> = (0..12_u64)
        .map(|n| {
            let wish = add(format!("p{n}"));
            let commit = Commit::new(wish, author(&n.to_string()), false, seed * 100 + n);
            let Step::Call(_, call) = commit.begin() else {
                panic!("no read");
            };
            Operator {
                commit,
                call: Some(call),
                end: None,
            }
        })
        .collect();
    let mut late = Vec::new();
    while operators.iter().any(|operator| operator.end.is_none()) {
        if !late.is_empty() && rng.random_bool(0.3) {
            let call = late.swap_remove(rng.random_range(0..late.len()));
            map.on(NOW, &call);
        }
        let chosen = rng.random_range(0..operators.len());
        let operator = &mut operators[chosen];
        let Some(call) = operator.call.take() else {
            continue;
        };
        let answer = match rng.random_range(0..10) {
            0 => Answer::Lost,
            1 => {
                late.push(call);
                Answer::Lost
            }
            2 => {
                map.on(NOW, &call);
                Answer::Lost
            }
            _ => map.on(NOW, &call).expect("no watch"),
        };
        let step = operator.commit.on(answer);
        operator.take(step);
    }
    late.iter().for_each(|call| drop(map.on(NOW, call)));
    let document = stored(&mut map);
    for (n, operator) in operators.iter().enumerate() {
        let kept = document
            .history
            .iter()
            .filter(|entry| entry.what == n.to_string());
        match operator.end.as_ref().expect("ended") {
            Ok(_) => assert_eq!(kept.count(), 1, "seed {seed}, operator {n}"),
            Err(error) if error.reason().contains("is unknown") => {}
            Err(_) => assert_eq!(kept.count(), 0, "seed {seed}, operator {n}"),
        }
    }
    let versions = document.history.iter().map(|entry| entry.version.0);
    assert!(versions.eq((1..=document.version.0).rev()), "seed {seed}");
}

#[test]
fn racing_operators_and_lost_answers() {
    (0..100).for_each(storm);
}
