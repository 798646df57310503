//! Rights, rates and records: what one node holds for the whole fleet.

#[macro_use]
mod support;

#[path = "rights/bank.rs"]
mod bank;
#[path = "rights/fleet.rs"]
mod fleet;
#[path = "rights/odd_seats.rs"]
mod odd_seats;
#[path = "rights/odd_tokens.rs"]
mod odd_tokens;
#[path = "rights/seats.rs"]
mod seats;
#[path = "rights/unlisted_borrower.rs"]
mod unlisted_borrower;
#[path = "rights/window.rs"]
mod window;
#[path = "rights/wire.rs"]
mod wire;
