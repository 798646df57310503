//! The parts of a node that depend on the platform it runs on.
//!
//! A node makes the same decisions on every platform. The header names, the
//! HTTP status of each error code, the format of announcements and the format of
//! the stored configuration are passed to it as data and plain functions.
//! [`Interface::own`] is the default; an adapter for another platform defines
//! its own.

use crate::{
    announce::Announcement,
    code::Code,
    connection::header::Names,
    document::Snapshot,
    error::Result,
    id,
    unit::Size, //
};

/// A configuration that a platform's own tools keep in the key-value store.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// The common prefix of all keys that operators write: the configuration's
    /// and those of evacuations.
    pub prefix: &'static str,
    /// The key of the configuration.
    pub key: &'static str,
    /// Returns the failure domain that is evacuated while the given key exists, or
    /// `None` if the key is not one of an evacuation.
    pub evacuated: fn(&str) -> Option<id::Domain>,
    /// Parses the configuration.
    ///
    /// # Errors
    ///
    /// Fails if the configuration is malformed or contradicts itself.
    pub read: fn(&str) -> Result<Snapshot>,
}

/// A request on the listener for announcements.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncementRequest<'a> {
    /// The method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// The platform-dependent parts of a node.
#[derive(Clone, Copy, Debug)]
pub struct Interface {
    /// The header names.
    pub names: Names,
    /// Returns the HTTP status with which a code is reported to a caller.
    pub status: fn(Code) -> u16,
    /// Statuses that tell a caller that its request has not run, and never will.
    pub promising_statuses: &'static [u16],
    /// The source of the configuration, or `None` to use the built-in document
    /// format.
    pub configuration: Option<Source>,
    /// Parses an announcement of a service.
    ///
    /// # Errors
    ///
    /// Fails if the announcement does not describe a usable upstream.
    pub announcement: fn(AnnouncementRequest<'_>) -> Result<Announcement>,
    /// The path of readiness checks: whether callers may be sent to this node.
    pub ready_path: &'static str,
    /// Whether an upstream may delimit an answer by closing the connection. The
    /// answer is complete if the connection closes cleanly.
    pub close_delimited_answers: bool,
    /// Answers up to this size are buffered until they are complete. A truncated
    /// answer can then still be retried, and is never reported as a success.
    pub max_buffered_answer: Size,
    /// Request bodies up to this size are buffered until they are complete, and
    /// can be sent again on a retry.
    pub max_buffered_body: Size,
}

impl Interface {
    /// The default interface.
    pub const fn own() -> Self {
        Self {
            names: Names::own(),
            status: Code::status,
            promising_statuses: &[],
            configuration: None,
            announcement: Announcement::read,
            ready_path: "/health",
            close_delimited_answers: false,
            max_buffered_answer: Size::bytes(0),
            max_buffered_body: Size::kib(64),
        }
    }
}
