//! Answers without end, as a faulty server sends them.

use std::{
    cell::Cell,
    rc::Rc, //
};

use bytes::Bytes;
use futures_util::{
    FutureExt,
    future::LocalBoxFuture, //
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::pause;
use crate::{
    clock::{
        Clock,
        Span,
        Time, //
    },
    standin::upstream::Act, //
};

/// Which part of an answer has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Part {
    StatusLine,
    /// One field of the head.
    Field,
    /// The fields of the head.
    Fields,
    /// Letters that are no answer.
    Letters,
    /// Interim answers.
    Interim,
    /// Whole answers to other requests.
    Strays,
    /// The extension of a chunk.
    Extension,
    Trailer,
    /// The digits of a chunk's size.
    Size,
    /// Chunks of one byte, each with a long extension.
    ExtendedChunks,
    /// Chunks of one byte.
    SmallChunks,
    LargeChunks,
    /// A body of an enormous length.
    Length,
    /// A body that ends with its connection.
    Unsized,
}

const PARTS: [Part; 14] = [
    Part::StatusLine,
    Part::Field,
    Part::Fields,
    Part::Letters,
    Part::Interim,
    Part::Strays,
    Part::Extension,
    Part::Trailer,
    Part::Size,
    Part::ExtendedChunks,
    Part::SmallChunks,
    Part::LargeChunks,
    Part::Length,
    Part::Unsized,
];

/// Bytes written in each interval.
#[derive(Clone, Copy, Debug)]
struct Pace {
    bytes: usize,
    interval: Span,
}

const FAST: Pace = Pace {
    bytes: 65_536,
    interval: Span::from_ms(1),
};
const TRICKLE: Pace = Pace {
    bytes: 20,
    interval: Span::from_ms(50),
};

/// Most intervals whose bytes are written at once, where the last write came late.
const MAX_INTERVALS: u64 = 16;
/// Share of answers whose few bytes of body come with the most other bytes.
const PINNING_SHARE: f64 = 0.25;
const FAST_SHARE: f64 = 0.7;
const EXTENSION_BYTES: usize = 32_000;
const LARGE_CHUNK_BYTES: usize = 65_536;
const STRAY_BYTES: usize = 1 << 20;
const ENORMOUS_LENGTH: u64 = 1_000_000_000_000;

/// An answer without end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Endless {
    part: Part,
    pace: Pace,
}

impl Endless {
    pub(super) fn draw(rng: &mut ChaCha8Rng) -> Self {
        let part = match rng.random_bool(PINNING_SHARE) {
            true => Part::ExtendedChunks,
            false => PARTS[rng.random_range(0..PARTS.len())],
        };
        let pace = match rng.random_bool(FAST_SHARE) {
            true => FAST,
            false => TRICKLE,
        };
        Self { part, pace }
    }

    /// Writes an answer with these headers until the connection is closed.
    pub(super) fn act(self, headers: &str, body: &[u8]) -> Act {
        let (first, unit) = self.part.bytes(headers, body);
        let stream = Stream::new(&unit.into(), self.pace);
        Act::Before(first.into(), Box::new(pour(Rc::new(stream))))
    }
}

impl Part {
    /// What is written once, and what is written again and again.
    fn bytes(self, headers: &str, body: &[u8]) -> (String, String) {
        let head = |framing: &str| format!("HTTP/1.1 200 OK\r\n{headers}{framing}\r\n");
        let chunked = |rest: &str| head("transfer-encoding: chunked\r\n") + rest;
        let (first, unit) = match self {
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), "reason ".to_owned()),
            Self::Field => {
                let first = format!("HTTP/1.1 200 OK\r\n{headers}x-field: ");
                (first, "value ".to_owned())
            }
            Self::Fields => {
                let first = format!("HTTP/1.1 200 OK\r\n{headers}");
                (first, "x-field: value\r\n".to_owned())
            }
            Self::Letters => (String::new(), "letters ".to_owned()),
            Self::Interim => {
                let unit = "HTTP/1.1 103 Early Hints\r\n\r\n";
                (String::new(), unit.to_owned())
            }
            Self::Strays => {
                let unit = format!("HTTP/1.1 200 OK\r\ncontent-length: {STRAY_BYTES}\r\n\r\n");
                (String::new(), unit + &"s".repeat(STRAY_BYTES))
            }
            Self::Extension => (chunked("1;"), "p".to_owned()),
            Self::Trailer => {
                let body = String::from_utf8_lossy(body);
                let chunk = format!("{:x}\r\n{body}\r\n0\r\n", body.len());
                (chunked(&chunk), "x-trailer: value\r\n".to_owned())
            }
            Self::Size => (chunked(""), "0".to_owned()),
            Self::ExtendedChunks => {
                let extension = "p".repeat(EXTENSION_BYTES);
                (chunked(""), format!("1;{extension}\r\nP\r\n"))
            }
            Self::SmallChunks => (chunked(""), "1\r\nP\r\n".to_owned()),
            Self::LargeChunks => {
                let chunk = "P".repeat(LARGE_CHUNK_BYTES);
                (chunked(""), format!("{LARGE_CHUNK_BYTES:x}\r\n{chunk}\r\n"))
            }
            Self::Length => {
                let length = format!("content-length: {ENORMOUS_LENGTH}\r\n");
                (head(&length), "P".to_owned())
            }
            Self::Unsized => (head(""), "P".to_owned()),
        };
        (first, unit)
    }
}

/// A unit of bytes again and again.
struct Stream {
    /// The unit as often as one write needs from any position on.
    bytes: Bytes,
    unit: usize,
    position: Cell<usize>,
    pace: Pace,
    /// Until when its bytes have been written.
    written: Cell<Time>,
}

impl Stream {
    fn new(unit: &Bytes, pace: Pace) -> Self {
        let longest = pace.bytes * MAX_INTERVALS as usize;
        let times = longest.div_ceil(unit.len()) + 1;
        Self {
            bytes: unit.repeat(times).into(),
            unit: unit.len(),
            position: Cell::new(0),
            pace,
            written: Cell::new(Clock.now()),
        }
    }

    /// Returns what is due by now.
    fn next(&self) -> Bytes {
        let now = Clock.now();
        let late = now.since(self.written.replace(now)).as_ms();
        let intervals = (late / self.pace.interval.as_ms()).clamp(1, MAX_INTERVALS);
        let from = self.position.get();
        let to = from + self.pace.bytes * intervals as usize;
        self.position.set(to % self.unit);
        self.bytes.slice(from..to)
    }
}

fn pour(stream: Rc<Stream>) -> Act {
    Act::Work(Rc::new(move || -> LocalBoxFuture<'static, Act> {
        let stream = stream.clone();
        let next = async move {
            pause(stream.pace.interval).await;
            Act::Before(stream.next(), Box::new(pour(stream)))
        };
        next.boxed_local()
    }))
}
