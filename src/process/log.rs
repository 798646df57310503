//! Structured logging as JSON lines on standard output.
//!
//! Each line holds the time, the level, the target, the message and the key-value
//! pairs of the log call. Log calls must not pass keys, tokens or bodies.

use std::{
    io::Write,
    panic::{
        self,
        PanicHookInfo, //
    },
    sync::{
        Mutex,
        atomic::{
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
        mpsc,
    },
    thread,
};

use log::kv::{
    self,
    Key,
    Value,
    VisitSource, //
};
use serde_json::{
    Map,
    Value as Json,
    json, //
};

use crate::{
    clock::{
        Clock,
        Span, //
    },
    event::LogBudget,
    task,
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
/// Maximum number of bytes of all queued lines, for a reader that stands still.
const MAX_QUEUED_BYTES: usize = 1 << 20;
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

/// Number of bytes of the lines that are queued or being written.
static UNWRITTEN_BYTES: AtomicUsize = AtomicUsize::new(0);

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
        thread::sleep(poll_interval.to_std());
    }
}

/// Maximum length of a panic's message in the log, in characters.
const MAX_PANIC_CHARS: usize = 1000;

/// Number of panics in the process.
static PANICS: AtomicU64 = AtomicU64::new(0);

/// Returns the number of panics since the process started, caught or not.
pub fn panics() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

/// Writes a panic as one JSON line: its message, place, thread and task.
///
/// # Errors
///
/// Returns an error if writing to `out` fails.
pub fn write_panic(out: &mut dyn Write, panic: &PanicHookInfo<'_>) -> std::io::Result<()> {
    let place = panic.location().map(ToString::to_string);
    let text: String = task::payload_text(panic.payload())
        .chars()
        .take(MAX_PANIC_CHARS)
        .collect();
    let line = json!({
        "time_ms": Clock.wall(),
        "level": "ERROR",
        "target": OWN_TARGET_PREFIX,
        "message": "a panic",
        "panic": text,
        "place": place.unwrap_or_default(),
        "thread": thread::current().name().unwrap_or_default(),
        "task": task::current_name(),
    });
    let mut line = line.to_string();
    line.push('\n');
    out.write_all(line.as_bytes())
}

/// Reports panics to the queue of lines, and counts them. A panic on any thread is
/// reported; what it ends is for the owner of the thread or task to say.
fn report_panics(lines: mpsc::SyncSender<Vec<u8>>) {
    let budget = Mutex::new(LogBudget::FAILURES);
    panic::set_hook(Box::new(move |panic| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        // A lock that is held belongs to a panic at the same moment, which is reported.
        let allowed = budget
            .try_lock()
            .is_ok_and(|mut budget| budget.take(Clock.now()));
        match allowed {
            true => drop(write_panic(&mut QueueWriter(lines.clone()), panic)),
            false => drop(DROPPED_LINES.fetch_add(1, Ordering::Relaxed)),
        }
    }));
}

/// Queues lines without blocking on the reader of standard output.
struct QueueWriter(mpsc::SyncSender<Vec<u8>>);

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        UNWRITTEN.fetch_add(1, Ordering::Relaxed);
        let others = UNWRITTEN_BYTES.fetch_add(line.len(), Ordering::Relaxed);
        let fits = others + line.len() <= MAX_QUEUED_BYTES;
        if !fits || self.0.try_send(line.to_vec()).is_err() {
            UNWRITTEN.fetch_sub(1, Ordering::Relaxed);
            UNWRITTEN_BYTES.fetch_sub(line.len(), Ordering::Relaxed);
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
        thread::sleep(WRITE_INTERVAL.to_std());
        while batch.len() < MAX_BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let written = output.write_all(&batch).and_then(|()| output.flush());
        UNWRITTEN.fetch_sub(count, Ordering::Relaxed);
        UNWRITTEN_BYTES.fetch_sub(batch.len(), Ordering::Relaxed);
        if written.is_err() {
            return;
        }
    }
}

/// Installs the logger, which writes to standard output, and reports panics there.
/// `RUST_LOG` sets the level; the default is `info`.
pub fn init() {
    let (sender, lines) = mpsc::sync_channel(QUEUE_CAPACITY);
    let writer = thread::Builder::new().name("log".to_owned());
    // Without the thread, lines are dropped and counted.
    let _ = writer.spawn(move || write_batches(&lines, std::io::stdout()));
    report_panics(sender.clone());
    let env = env_logger::Env::default().default_filter_or("info");
    let _ = env_logger::Builder::from_env(env)
        .format(|out, record| write(out, record))
        .target(env_logger::Target::Pipe(Box::new(QueueWriter(sender))))
        .try_init();
}
