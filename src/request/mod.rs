//! Request handling: state that lives as long as one request.

pub mod admission;
pub mod allowance;
pub mod backpressure;
pub mod balance;
pub mod comeback;
pub mod context;
pub mod estimate;
pub mod inbound;
pub mod ingress;
pub mod limit;
pub mod outcome;
pub(crate) mod pending;
pub mod policy;
pub mod record;
pub mod retry;
pub mod suspect;
pub mod warmup;
