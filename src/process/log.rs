//! Logs as JSON lines.
//!
//! Lines go to standard output. A line has the time, the level, the place, the message and the fields that
//! its call names. No call names a key, a token or a body.

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

/// Fields of one line, as JSON.
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

/// How the targets of this program's own records begin.
const OWN: &str = "bluebellswitch";

/// Writes a record as one JSON line.
///
/// Libraries are heard from `info` on only: below that some print the bytes
/// that they send, and with them bodies and keys. Whatever `RUST_LOG` asks for,
/// that must not come into a log.
///
/// # Errors
///
/// When the output fails.
pub fn write(out: &mut dyn Write, record: &log::Record<'_>) -> std::io::Result<()> {
    if record.level() > log::Level::Info && !record.target().starts_with(OWN) {
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

/// Lines that wait to be written. A reader that falls further behind costs
/// lines, which are counted, and nothing else.
const WAITING: usize = 4096;
/// Lines are written together, this often: each write wakes the process.
const PAUSE: Span = Span::from_ms(50);
/// Bytes that are written at once.
const BATCH: usize = 64 << 10;

/// Lines that were dropped as nobody took them.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that were dropped since the process began.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Lines that were taken and not written yet.
static OPEN: AtomicU64 = AtomicU64::new(0);

/// The longest wait for the last lines.
const LAST: Span = Span::from_ms(300);

/// Waits, not for long, until everything that was logged has been written: the
/// process is about to end.
pub fn flush() {
    let pause = Span::from_ms(5);
    for _ in 0..LAST.as_ms() / pause.as_ms() {
        if OPEN.load(Ordering::Relaxed) == 0 {
            return;
        }
        std::thread::sleep(pause.to_std());
    }
}

/// Takes lines without ever waiting for whoever reads them.
struct Outlet(mpsc::SyncSender<Vec<u8>>);

impl Write for Outlet {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        OPEN.fetch_add(1, Ordering::Relaxed);
        if self.0.try_send(line.to_vec()).is_err() {
            OPEN.fetch_sub(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writes lines as they come, on a thread of its own: standard output may stand
/// still for as long as its reader does.
fn drain(lines: &mpsc::Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        let mut count = 1;
        std::thread::sleep(PAUSE.to_std());
        while batch.len() < BATCH
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let written = output.write_all(&batch).and_then(|()| output.flush());
        OPEN.fetch_sub(count, Ordering::Relaxed);
        if written.is_err() {
            return;
        }
    }
}

/// Begins to log to standard output; `RUST_LOG` says how much.
pub fn init() {
    let (sender, lines) = mpsc::sync_channel(WAITING);
    std::thread::spawn(move || drain(&lines, std::io::stdout()));
    let env = env_logger::Env::default().default_filter_or("info");
    let _ = env_logger::Builder::from_env(env)
        .format(|out, record| write(out, record))
        .target(env_logger::Target::Pipe(Box::new(Outlet(sender))))
        .try_init();
}
