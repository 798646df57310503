//! Faults that were found, one file each.

#[macro_use]
mod support;

#[path = "regression/fatal_request.rs"]
mod fatal_request;
#[path = "regression/frozen_owner.rs"]
mod frozen_owner;
#[path = "regression/leaving_upstream.rs"]
mod leaving_upstream;
#[path = "regression/named_limit.rs"]
mod named_limit;
#[path = "regression/turned_away.rs"]
mod turned_away;
#[path = "regression/unanswered.rs"]
mod unanswered;
