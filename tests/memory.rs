//! What other parties' bytes may occupy in a node's process.

#[path = "memory/bound.rs"]
mod bound;
#[path = "memory/budget.rs"]
mod budget;
#[path = "memory/release.rs"]
mod release;
#[path = "platform/site.rs"]
#[expect(dead_code, reason = "the platform tests use the rest")]
mod site;
