//! The process of a node, which is started again whenever it has ended.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    fs, io,
    path::PathBuf,
    process::{
        Child,
        Command,
        ExitStatus, //
    },
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
use tokio::sync::Notify;

use crate::{
    clock::{
        Clock,
        Span,
        Time, //
    },
    error::Result,
};

/// The process of a node.
pub(super) struct Process {
    command: RefCell<Command>,
    /// Path and text of the settings file.
    path: PathBuf,
    settings: RefCell<String>,
    /// Whether the file holds something else for now.
    is_torn: Cell<bool>,
    child: RefCell<Option<Child>>,
    /// Processes that end beside their successor, and when each is killed.
    predecessors: RefCell<Vec<(Child, Time)>>,
    /// Whether the process was told to end, so that its end is no fault.
    told_to_end: Cell<bool>,
    /// When it is killed, if it still runs then.
    kill_at: Cell<Time>,
    /// When it may be started.
    start_at: Cell<Time>,
    /// Told at each start.
    pub(super) started: Notify,
    /// Most memory that each process had resident, in bytes, by its id.
    peaks: RefCell<BTreeMap<u32, u64>>,
}

impl Process {
    pub(super) fn new(command: Command, path: PathBuf, settings: String) -> Result<Self> {
        fs::write(&path, &settings)?;
        Ok(Self {
            command: RefCell::new(command),
            path,
            settings: RefCell::new(settings),
            is_torn: Cell::new(false),
            child: RefCell::default(),
            predecessors: RefCell::default(),
            told_to_end: Cell::new(false),
            kill_at: Cell::new(Time::NEVER),
            start_at: Cell::new(Time::ZERO),
            started: Notify::new(),
            peaks: RefCell::default(),
        })
    }

    pub(super) fn signal(&self, signal: Signal) {
        if let Some(child) = &*self.child.borrow() {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Whether the process runs its program and no longer its loader: the runtime catches
    /// faults of memory before `main`. Before that no program can hold a signal back.
    pub(super) fn has_begun(&self) -> bool {
        let Some(id) = self.child.borrow().as_ref().map(Child::id) else {
            return false;
        };
        let caught = status(id, "SigCgt:");
        caught.is_none_or(|set| set.chars().any(|digit| digit != '0'))
    }

    /// Records how much memory the processes have used so far.
    pub(super) fn measure(&self) {
        let predecessors = self.predecessors.borrow();
        let child = self.child.borrow();
        let running = predecessors.iter().map(|(child, _)| child).chain(&*child);
        for id in running.map(Child::id) {
            if let Some(peak) = peak(id) {
                let mut peaks = self.peaks.borrow_mut();
                let highest = peaks.entry(id).or_default();
                *highest = peak.max(*highest);
            }
        }
    }

    /// The most memory that each process had resident, in bytes.
    pub(super) fn peaks(&self) -> Vec<u64> {
        self.peaks.borrow().values().copied().collect()
    }

    /// Kills the process, which starts again at a time.
    pub(super) fn kill(&self, start_at: Time) {
        self.told_to_end.set(true);
        self.start_at.set(start_at);
        self.signal(Signal::KILL);
    }

    /// Tells the process to end, and starts it again at a time at the earliest.
    pub(super) fn terminate(&self, grace: Span, start_at: Time) {
        self.told_to_end.set(true);
        self.start_at.set(start_at);
        self.kill_at.set(Clock.now() + grace);
        self.signal(Signal::TERM);
        self.signal(Signal::CONT);
    }

    /// Tells the process to end, and starts its successor at a time, whether it has ended
    /// or not.
    pub(super) fn succeed(&self, grace: Span, start_at: Time) {
        self.terminate(grace, start_at);
        if let Some(child) = self.child.borrow_mut().take() {
            let mut predecessors = self.predecessors.borrow_mut();
            predecessors.push((child, self.kill_at.get()));
        }
    }

    /// Starts the process at once, if it was not to start before.
    pub(super) fn release(&self) {
        if self.start_at.get() == Time::NEVER {
            self.start_at.set(Clock.now());
        }
    }

    /// Whether there is no process.
    pub(super) fn is_gone(&self) -> bool {
        self.child.borrow().is_none() && !self.has_predecessor()
    }

    /// Whether a process ends beside its successor.
    pub(super) fn has_predecessor(&self) -> bool {
        !self.predecessors.borrow().is_empty()
    }

    /// Changes the settings file in a way that changes nothing.
    pub(super) fn touch(&self) -> Result<()> {
        self.settings.borrow_mut().push_str("\n// changed\n");
        match self.is_torn.get() {
            true => Ok(()),
            false => self.mend(),
        }
    }

    /// Writes something else to the settings file, or removes it.
    pub(super) fn tear(&self, change: impl FnOnce(&str) -> Option<String>) -> Result<()> {
        self.is_torn.set(true);
        match change(&self.settings.borrow()) {
            Some(text) => fs::write(&self.path, text)?,
            None => fs::remove_file(&self.path).or_else(|error| match error.kind() {
                io::ErrorKind::NotFound => Ok(()),
                _ => Err(error),
            })?,
        }
        Ok(())
    }

    /// Writes the settings file.
    pub(super) fn mend(&self) -> Result<()> {
        self.is_torn.set(false);
        Ok(fs::write(&self.path, &*self.settings.borrow())?)
    }

    /// Ends the process for good.
    pub(super) fn end(&self) {
        self.told_to_end.set(true);
        self.start_at.set(Time::NEVER);
        let predecessors = self.predecessors.take().into_iter();
        let child = self.child.borrow_mut().take();
        for mut child in predecessors.map(|(child, _)| child).chain(child) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts and ends the process as it is due. Returns how processes ended that were not
    /// told to, or with a failure.
    pub(super) fn look_after(&self) -> Result<Vec<ExitStatus>> {
        let mut ends = Vec::new();
        let mut kept = Vec::new();
        for (mut child, kill_at) in self.predecessors.take() {
            match ended(&mut child, kill_at)? {
                None => kept.push((child, kill_at)),
                Some(status) => ends.extend(is_failure(status).then_some(status)),
            }
        }
        self.predecessors.replace(kept);
        let mut child = self.child.borrow_mut();
        if let Some(running) = child.as_mut() {
            let Some(status) = ended(running, self.kill_at.get())? else {
                return Ok(ends);
            };
            *child = None;
            self.kill_at.set(Time::NEVER);
            if !self.told_to_end.replace(false) || is_failure(status) {
                ends.push(status);
            }
        }
        if Clock.now() >= self.start_at.get() {
            self.told_to_end.set(false);
            self.kill_at.set(Time::NEVER);
            *child = Some(self.command.borrow_mut().spawn()?);
            self.start_at.set(Time::ZERO);
            self.started.notify_waiters();
        }
        Ok(ends)
    }
}

/// Returns a line of what the system says of a process.
fn status(id: u32, name: &str) -> Option<String> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    Some(value.trim().to_owned())
}

/// The most memory that a process has had resident, in bytes.
fn peak(id: u32) -> Option<u64> {
    let text = status(id, "VmHWM:")?;
    let kilobytes: u64 = text.strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024)
}

/// The exit code of a process whose grace period was over before all requests had ended.
const UNDRAINED: i32 = 1;

/// Returns how a process ended, which is killed if it runs longer than it may.
fn ended(child: &mut Child, kill_at: Time) -> Result<Option<ExitStatus>> {
    if Clock.now() >= kill_at {
        let _ = child.kill();
    }
    Ok(child.try_wait()?)
}

/// Whether a process that was told to end ended for another reason.
fn is_failure(status: ExitStatus) -> bool {
    status.code().is_some_and(|code| code > UNDRAINED)
}
