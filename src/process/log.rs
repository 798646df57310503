//! Structured logging as JSON lines on standard output.
//!
//! Each line holds the time, the level, the target, the message and the key-value
//! pairs of the log call. Log calls must not pass keys, tokens or bodies.

use std::{
    io::Write,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc, //
    },
};

use log::kv::{
    self,
    Key,
    Value,
    VisitSource, //
};
use serde_json::{
    Map,
    Value as Json, //
};

use crate::clock::{
    Clock,
    Span, //
};

/// Collects the key-value pairs of a record as JSON.
struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = if let Some(flag) = value.to_bool() {
            flag.into()
        } else if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Target prefix of the records that this program itself logs.
const OWN_TARGET_PREFIX: &str = "bluebellswitch";

/// Writes a record as one JSON line.
///
/// Records of libraries below `info` are discarded whatever `RUST_LOG` says:
/// some libraries log the bytes that they send at these levels, which would leak
/// bodies and keys into the log.
///
/// # Errors
///
/// Returns an error if writing to `out` fails.
pub fn write(out: &mut dyn Write, record: &log::Record<'_>) -> std::io::Result<()> {
    if record.level() > log::Level::Info && !record.target().starts_with(OWN_TARGET_PREFIX) {
        return Ok(());
    }
    let mut fields = Fields(Map::new());
    let _ = record.key_values().visit(&mut fields);
    let mut line = fields.0;
    line.insert("time_ms".to_owned(), Clock.wall().into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("target".to_owned(), record.target().into());
    line.insert("message".to_owned(), record.args().to_string().into());
    writeln!(out, "{}", Json::Object(line))
}

/// Capacity of the queue of lines to be written. If the reader of standard output
/// falls further behind, lines are dropped and counted; logging never blocks.
const QUEUE_CAPACITY: usize = 4096;
/// Interval between batched writes. Writing each line by itself would wake the
/// process for every line.
const WRITE_INTERVAL: Span = Span::from_ms(50);
/// Batch size in bytes above which no further line is added to a write.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// Number of lines dropped because the queue was full or its writer had stopped.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the process started.
pub fn dropped() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Number of lines that are queued or being written.
static UNWRITTEN: AtomicU64 = AtomicU64::new(0);

/// Maximum time that [`flush`] waits.
const FLUSH_TIMEOUT: Span = Span::from_ms(300);

/// Waits a bounded time until all queued lines are written. Called before the
/// process exits.
pub fn flush() {
    let poll_interval = Span::from_ms(5);
    for _ in 0..FLUSH_TIMEOUT.as_ms() / poll_interval.as_ms() {
        if UNWRITTEN.load(Ordering::Relaxed) == 0 {
            return;
        }
        std::thread::sleep(poll_interval.to_std());
    }
}

/// Queues lines without blocking on the reader of standard output.
struct QueueWriter(mpsc::SyncSender<Vec<u8>>);

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        UNWRITTEN.fetch_add(1, Ordering::Relaxed);
        if self.0.try_send(line.to_vec()).is_err() {
            UNWRITTEN.fetch_sub(1, Ordering::Relaxed);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines in batches. Runs on its own thread because a write to
/// standard output blocks while its reader is stalled.
fn write_batches(lines: &mpsc::Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        let mut count = 1;
        std::thread::sleep(WRITE_INTERVAL.to_std());
        while batch.len() < MAX_BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let written = output.write_all(&batch).and_then(|()| output.flush());
        UNWRITTEN.fetch_sub(count, Ordering::Relaxed);
        if written.is_err() {
            return;
        }
    }
}

/// Installs the logger, which writes to standard output. `RUST_LOG` sets the level;
/// the default is `info`.
pub fn init() {
    let (sender, lines) = mpsc::sync_channel(QUEUE_CAPACITY);
    std::thread::spawn(move || write_batches(&lines, std::io::stdout()));
    let env = env_logger::Env::default().default_filter_or("info");
    let _ = env_logger::Builder::from_env(env)
        .format(|out, record| write(out, record))
        .target(env_logger::Target::Pipe(Box::new(QueueWriter(sender))))
        .try_init();
}
