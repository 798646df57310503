//! What differs between the product's own surroundings and others.
//!
//! A node decides the same things wherever it runs. How headers are called,
//! what a code is as a status, how the service announces itself and what the
//! stored configuration looks like are given to it as data and plain functions.
//! [`Interface::own`] is the product's own; an adapter makes another.

use crate::{
    announce::Announcement,
    code::Code,
    connection::header::Names,
    document::Snapshot,
    error::Result,
    id,
    unit::Size, //
};

/// A configuration that other operators' tools keep in the store.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// How the names begin of all that operators write, the configuration's and
    /// those of evacuations.
    pub prefix: &'static str,
    /// Its name in the store.
    pub key: &'static str,
    /// The failure domain that is evacuated while there is a value of this name.
    pub evacuated: fn(&str) -> Option<id::Domain>,
    /// Reads it.
    ///
    /// # Errors
    ///
    /// When it cannot be read, or contradicts itself.
    pub read: fn(&str) -> Result<Snapshot>,
}

/// A request on the listener for announcements.
#[derive(Clone, Copy, Debug)]
pub struct Notice<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its path.
    pub path: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

/// The surroundings of a node.
#[derive(Clone, Copy, Debug)]
pub struct Interface {
    /// The names of headers.
    pub names: Names,
    /// The status that carries a code to a caller.
    pub status: fn(Code) -> u16,
    /// Where the configuration comes from; by the product's own documents when
    /// absent.
    pub configuration: Option<Source>,
    /// Reads an announcement of a service.
    ///
    /// # Errors
    ///
    /// When it names no upstream that could be used.
    pub announcement: fn(Notice<'_>) -> Result<Announcement>,
    /// The path of the question whether callers may be sent here.
    pub ready_path: &'static str,
    /// Whether an upstream's answer may end with its connection, whole if that
    /// ends in order.
    pub closes: bool,
    /// Answers up to this size are held until they are whole. What is cut
    /// before can still be tried again, and never looks like a success.
    pub held_answer: Size,
    /// Bodies of requests up to this size are held until they are whole, and
    /// can be sent again.
    pub held_body: Size,
}

impl Interface {
    /// The product's own.
    pub const fn own() -> Self {
        Self {
            names: Names::own(),
            status: Code::status,
            configuration: None,
            announcement: Announcement::read,
            ready_path: "/health",
            closes: false,
            held_answer: Size::bytes(0),
            held_body: Size::kib(64),
        }
    }
}
