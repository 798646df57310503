//! An overload control layer for service call graphs.
//!
//! A node runs beside each upstream instance. It is ingress for any caller,
//! egress for the service beside it, and the only way to its own upstream.
//!
//! Every decision is a state machine without input and output: it is handed
//! the time and an event, and adds actions. That is what makes each failure
//! reproducible.
//!
//! ```
//! use bluebellswitch::clock::Span;
//! use bluebellswitch::unit::Rate;
//!
//! let rate: Rate = "30/min".parse()?;
//! assert_eq!(rate.millis_within(Span::from_secs(4)), 2000);
//! # Ok::<(), bluebellswitch::Error>(())
//! ```

mod connection;
mod process;
mod request;
mod soak;
mod version;

pub mod clock;
pub mod code;
pub mod command;
pub mod id;
pub mod standin;
pub mod unit;

#[path = "../platform/mod.rs"]
pub mod platform;

mod error;

pub use crate::{
    connection::{
        frame,
        header,
        message,
        socket, //
    },
    error::{
        Category,
        ERRORS,
        Error,
        Result, //
    },
    process::{
        announce,
        client,
        contact,
        directory,
        event,
        feed,
        interface,
        introducer,
        lease,
        log,
        member,
        memory,
        metric,
        node,
        quota,
        server,
        settings,
        start,
        store,
        task, //
    },
    request::{
        admission,
        allowance,
        backpressure,
        balance,
        comeback,
        context,
        estimate,
        inbound,
        ingress,
        limit,
        outcome,
        policy,
        record,
        retry,
        suspect,
        warmup, //
    },
    version::{
        adoption,
        change,
        check,
        commit,
        document,
        edit,
        evacuation,
        follow,
        freshness,
        tables,
        team, //
    },
};
use crate::{
    process::{
        beside,
        carrier,
        export,
        intake,
        links,
        probe,
        recovery,
        reported, //
    },
    request::pending,
    version::source,
};
