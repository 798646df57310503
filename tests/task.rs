//! What a panic costs: the request, link or call in which it occurs, and nothing else.

#[macro_use]
mod support;

#[path = "path/bench.rs"]
#[expect(dead_code, reason = "the path tests use the rest")]
mod bench;
#[path = "task/budget.rs"]
mod budget;
#[path = "task/containment.rs"]
mod containment;
#[path = "task/exit.rs"]
mod exit;
#[path = "task/hook.rs"]
mod hook;
#[path = "platform/site.rs"]
#[expect(dead_code, reason = "the platform tests use the rest")]
mod site;
#[path = "task/trap.rs"]
mod trap;
