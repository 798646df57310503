//! A logger that panics at a chosen line, which stands for a fault in the code that
//! writes the line.

use std::cell::RefCell;

/// A line that panics, and how often it still does.
struct Trap {
    message: &'static str,
    left: usize,
}

thread_local! {
    static TRAP: RefCell<Option<Trap>> = const { RefCell::new(None) };
}

struct Logger;

impl log::Log for Logger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let message = record.args().to_string();
        let springs = TRAP.with_borrow_mut(|trap| match trap {
            Some(trap) if trap.left > 0 && message.starts_with(trap.message) => {
                trap.left -= 1;
                true
            }
            _ => false,
        });
        assert!(!springs, "a trap: {message}");
    }

    fn flush(&self) {}
}

/// Makes lines that begin like this panic on this thread, so many times.
pub fn set(message: &'static str, times: usize) {
    // Another test of the process may have set the logger already.
    let _ = log::set_logger(&Logger);
    log::set_max_level(log::LevelFilter::Info);
    TRAP.set(Some(Trap {
        message,
        left: times,
    }));
}

/// Returns how often the line still panics.
pub fn left() -> usize {
    TRAP.with_borrow(|trap| trap.as_ref().map_or(0, |trap| trap.left))
}
