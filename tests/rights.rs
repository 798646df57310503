//! Rights, rates and records: what one node holds for the whole fleet.

#[macro_use]
mod support;

#[path = "rights/fleet.rs"]
mod fleet;
#[path = "rights/pool.rs"]
mod pool;
#[path = "rights/seats.rs"]
mod seats;
#[path = "rights/window.rs"]
mod window;
