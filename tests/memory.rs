//! What other parties' bytes may occupy in a node's process.

#[path = "memory/budget.rs"]
mod budget;
