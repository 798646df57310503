//! Membership, configuration and freshness of several nodes over the driver.

#[macro_use]
mod support;

#[path = "fleet/adoption.rs"]
mod adoption;
#[path = "fleet/contact.rs"]
mod contact;
#[path = "fleet/delta.rs"]
mod delta;
#[path = "fleet/departure.rs"]
mod departure;
#[path = "fleet/directory.rs"]
mod directory;
#[path = "fleet/feed.rs"]
mod feed;
#[path = "fleet/follow.rs"]
mod follow;
#[path = "fleet/freshness.rs"]
mod freshness;
#[path = "fleet/introducer.rs"]
mod introducer;
#[path = "fleet/listed.rs"]
mod listed;
#[path = "fleet/membership.rs"]
mod membership;
#[path = "fleet/odd_messages.rs"]
mod odd_messages;
#[path = "fleet/odd_records.rs"]
mod odd_records;
#[path = "fleet/propagation.rs"]
mod propagation;
#[path = "fleet/site.rs"]
mod site;
#[path = "fleet/size.rs"]
mod size;
#[path = "fleet/store.rs"]
mod store;
