//! The load policy: what it promises under faults and under overload.

#[macro_use]
mod support;

#[path = "policy/allowance.rs"]
mod allowance;
#[path = "policy/attribution.rs"]
mod attribution;
#[path = "policy/balance.rs"]
mod balance;
#[path = "policy/chain.rs"]
mod chain;
#[path = "policy/comeback.rs"]
mod comeback;
#[path = "policy/inbound.rs"]
mod inbound;
#[path = "policy/knee.rs"]
mod knee;
#[path = "policy/level.rs"]
mod level;
#[path = "policy/limit.rs"]
mod limit;
#[path = "policy/orders.rs"]
mod orders;
#[path = "policy/outcome.rs"]
mod outcome;
#[path = "policy/overload.rs"]
mod overload;
#[path = "policy/rejection.rs"]
mod rejection;
#[path = "policy/retry.rs"]
mod retry;
#[path = "policy/share.rs"]
mod share;
#[path = "policy/signal.rs"]
mod signal;
#[path = "policy/speed.rs"]
mod speed;
#[path = "policy/stall.rs"]
mod stall;
#[path = "policy/stop.rs"]
mod stop;
#[path = "policy/suspect.rs"]
mod suspect;
#[path = "policy/throttle.rs"]
mod throttle;
#[path = "policy/warmup.rs"]
mod warmup;
