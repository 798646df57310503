//! The start of a node, until it has all that it needs to serve.

use std::path::Path;

use tokio::signal::unix::{
    Signal,
    SignalKind,
    signal, //
};

use crate::{
    error::{
        Error,
        Result, //
    },
    settings::Settings,
};

/// SIGTERM and SIGINT.
pub(crate) struct Terminate {
    terminate: Signal,
    interrupt: Signal,
}

impl Terminate {
    /// Waits until the process is told to stop.
    pub(crate) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// SIGHUP.
pub(crate) struct Hangup(Signal);

impl Hangup {
    /// Waits until the process is told that its settings file has changed.
    pub(crate) async fn received(&mut self) {
        self.0.recv().await;
    }
}

/// The signals that control a process. None of them ends it by itself once the
/// handlers are installed, and one that arrives early is kept.
pub(crate) struct Signals {
    pub(crate) terminate: Terminate,
    pub(crate) hangup: Hangup,
}

impl Signals {
    /// Installs the handlers. Must be called on a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses a handler.
    pub(crate) fn install() -> Result<Self> {
        // SIGHUP first: only there does the default action differ from what is asked.
        let hangup = Hangup(signal(SignalKind::hangup())?);
        let terminate = Terminate {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        };
        Ok(Self { terminate, hangup })
    }
}

/// Reads and validates the settings, together with the text that they came from.
///
/// # Errors
///
/// Fails if the file cannot be read or is not valid. The error has its name.
pub(crate) fn read(path: &Path) -> Result<(String, Settings)> {
    let within = |error: Error| error.within(path.display().to_string());
    let text = std::fs::read_to_string(path).map_err(|error| within(error.into()))?;
    let settings = Settings::parse(&text).map_err(within)?;
    Ok((text, settings))
}
