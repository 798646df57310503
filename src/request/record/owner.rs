//! Record owner: decides about each attempt that carries an idempotency key.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use super::{
    Name, Slice, Transferred,
    slice::{
        Record,
        State, //
    },
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    code::{
        Code,
        Verdict as CodeVerdict, //
    },
    frame::Whole,
    id::{
        Instance,
        Request, //
    },
    inbound::End,
    lease::{
        Epoch,
        Ownership,
        Seat, //
    },
};

/// Maximum number of records in a slice. If it is reached, requests with new keys
/// are refused and not run.
const MAX_RECORDS_PER_SLICE: usize = 32_768;
/// Maximum total size of stored responses. If it is exceeded, the oldest are dropped.
const MAX_STORED_BYTES: usize = 16 << 20;
/// Epoch of the first owner of a slice.
const FIRST_EPOCH: Epoch = Epoch(2);

/// An attempt that carries an idempotency key.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Slice that the key belongs to.
    pub seat: Seat,
    /// Identifies the record.
    pub name: Name,
    /// Checksum of the whole request.
    pub fingerprint: u64,
    /// Identifies the attempt.
    pub request: Request,
    /// Node that sent the attempt.
    pub peer: Instance,
}

/// Decision about an attempt that carries an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The key is recorded now: run the attempt.
    Run,
    /// Wait for the response of the attempt that is running already.
    Join,
    /// The request ran before and got this response.
    Replay(Box<Whole>),
    /// Refuse the attempt without running it.
    Refuse(Code),
}

/// Reply to an attempt that was waiting for another one.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Node that sent the attempt.
    pub peer: Instance,
    /// Identifies the attempt.
    pub request: Request,
    /// Response of the attempt that ran, or the reason why there is none.
    pub answer: Result<Box<Whole>, Code>,
}

/// All records that this node owns.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    slices: BTreeMap<Seat, Slice>,
    running: BTreeMap<Request, (Seat, Name)>,
    pending_responses: BTreeMap<Request, Box<Whole>>,
    stored_responses: VecDeque<(Seat, Name, usize)>,
    stored_bytes: usize,
    transferred: BTreeMap<Seat, (Epoch, Vec<Transferred>)>,
}

impl Owner {
    /// Decides about an attempt under an ownership that is valid at `now`. Records
    /// are kept for `retention`. `wall_clock_ms` is the wall clock in milliseconds
    /// since 1970, if known.
    pub fn handle_arrival(
        &mut self,
        now: Time,
        ownership: Ownership,
        arrival: &Arrival,
        retention: Span,
        wall_clock_ms: Option<u64>,
    ) -> Verdict {
        self.prepare_slice(now, ownership, &arrival.seat);
        let Some(slice) = self.slices.get_mut(&arrival.seat) else {
            return Verdict::Refuse(Code::RecordUnavailable);
        };
        if let Some(record) = slice.records.get_mut(&arrival.name) {
            return handle_repeat(record, arrival);
        }
        if !slice.is_certainly_new(now, &arrival.name.key, retention, wall_clock_ms) {
            return Verdict::Refuse(Code::RecordLost);
        }
        if slice.records.len() >= MAX_RECORDS_PER_SLICE {
            return Verdict::Refuse(Code::RecordUnavailable);
        }
        let record = Record {
            fingerprint: arrival.fingerprint,
            state: State::Running(arrival.request, Vec::new()),
            updated: now,
        };
        slice.records.insert(arrival.name.clone(), record);
        let location = (arrival.seat.clone(), arrival.name.clone());
        self.running.insert(arrival.request, location);
        Verdict::Run
    }

    /// Returns whether the attempt is recorded and hasn't ended.
    pub fn is_running(&self, request: Request) -> bool {
        self.running.contains_key(&request)
    }

    /// Returns whether any recorded attempt hasn't ended.
    pub fn is_busy(&self) -> bool {
        !self.running.is_empty()
    }

    /// Returns whether the attempt is waiting for another one's response.
    pub fn is_waiting(&self, request: Request) -> bool {
        self.running.values().any(|(seat, name)| {
            let record = self.slices.get(seat).and_then(|s| s.records.get(name));
            matches!(record.map(|record| &record.state),
                Some(State::Running(_, waiting)) if waiting.iter().any(|(_, r)| *r == request))
        })
    }

    /// Stores the complete response of an attempt that is about to end.
    pub fn store_response(&mut self, request: Request, whole: Box<Whole>) {
        if self.running.contains_key(&request) {
            self.pending_responses.insert(request, whole);
        }
    }

    /// Handles the end of an attempt at the upstream.
    pub fn ended(&mut self, now: Time, request: Request, end: End) -> Vec<Reply> {
        let whole = self.pending_responses.remove(&request);
        match (end, whole) {
            (End::Refused, _) => self.remove_not_run(request, Code::UpstreamRefused),
            (End::Answered(_), Some(whole)) => self.mark_done(now, request, whole),
            _ => self.mark_unknown(now, request),
        }
    }

    /// Handles the refusal of an attempt before it started.
    pub fn refused(&mut self, request: Request, code: Code) -> Vec<Reply> {
        match code.verdict() {
            CodeVerdict::NotRun => self.remove_not_run(request, code),
            CodeVerdict::Unknown => Vec::new(),
        }
    }

    /// Removes records older than `retention`, and records of attempts that were
    /// withdrawn before they started, for which `is_held` returns false.
    pub fn tick(
        &mut self,
        now: Time,
        retention: Span,
        is_held: impl Fn(Request) -> bool,
    ) -> Vec<Reply> {
        for slice in self.slices.values_mut() {
            slice.records.retain(|_, record| {
                now.since(record.updated) < retention || matches!(record.state, State::Running(..))
            });
        }
        let withdrawn = self.running.keys().copied().filter(|r| !is_held(*r));
        let withdrawn: Vec<Request> = withdrawn.collect();
        let mut replies = Vec::new();
        for request in withdrawn {
            replies.extend(self.remove_not_run(request, Code::RecordUnavailable));
        }
        replies
    }

    /// Returns the records of all complete slices, to be transferred to the successor
    /// when this node leaves.
    pub fn export(&self) -> Vec<(Seat, Epoch, Vec<Transferred>)> {
        let complete = self.slices.iter().filter(|(_, slice)| slice.complete);
        let transferred = |(name, record): (&Name, &Record)| Transferred {
            name: name.clone(),
            fingerprint: record.fingerprint,
            whole: match &record.state {
                State::Done(whole) => Some((**whole).clone()),
                State::Running(..) | State::Unknown => None,
            },
        };
        complete
            .map(|(seat, slice)| {
                let records = slice.records.iter().map(transferred).collect();
                (seat.clone(), slice.epoch, records)
            })
            .collect()
    }

    /// Accepts the records of an owner that left. They are used only by the ownership
    /// that directly follows that owner's.
    pub fn import(&mut self, seat: Seat, epoch: Epoch, records: Vec<Transferred>) {
        self.transferred.insert(seat, (epoch, records));
    }

    /// Updates the slice to the current ownership.
    fn prepare_slice(&mut self, now: Time, ownership: Ownership, seat: &Seat) {
        let known = self.slices.get_mut(seat);
        match known {
            Some(slice) if slice.epoch == ownership.epoch => {}
            Some(slice) if ownership.continued_epoch == Some(slice.epoch) => {
                slice.epoch = ownership.epoch
            }
            // Another node may have run keys in the meantime, so the records here
            // are no longer complete.
            _ => {
                let slice = Slice::new(ownership.epoch, now, ownership.epoch == FIRST_EPOCH);
                self.slices.insert(seat.clone(), slice);
                self.running
                    .retain(|_, (running_seat, _)| running_seat != seat);
            }
        }
        self.merge_transferred(now, seat);
    }

    /// Merges the records transferred by the previous owner, however late they arrive.
    fn merge_transferred(&mut self, now: Time, seat: &Seat) {
        let Some(slice) = self.slices.get_mut(seat).filter(|slice| !slice.complete) else {
            return;
        };
        let Some((epoch, records)) = self.transferred.get(seat) else {
            return;
        };
        if !slice.epoch.directly_follows(*epoch) {
            return;
        }
        slice.complete = true;
        for transferred in records {
            let state = match &transferred.whole {
                Some(whole) => State::Done(Box::new(whole.clone())),
                None => State::Unknown,
            };
            let record = Record {
                fingerprint: transferred.fingerprint,
                state,
                updated: now,
            };
            slice
                .records
                .entry(transferred.name.clone())
                .or_insert(record);
        }
        self.transferred.remove(seat);
    }

    fn take_running(&mut self, request: Request) -> Option<(&mut Record, Seat, Name)> {
        let (seat, name) = self.running.remove(&request)?;
        let record = self.slices.get_mut(&seat)?.records.get_mut(&name)?;
        Some((record, seat, name))
    }

    /// Removes the record of an attempt that didn't run, so that a repeat can run.
    fn remove_not_run(&mut self, request: Request, code: Code) -> Vec<Reply> {
        let Some((record, seat, name)) = self.take_running(request) else {
            return Vec::new();
        };
        let replies = notify_waiting(record, &Err(code));
        if let Some(slice) = self.slices.get_mut(&seat) {
            slice.records.remove(&name);
        }
        replies
    }

    fn mark_unknown(&mut self, now: Time, request: Request) -> Vec<Reply> {
        let Some((record, ..)) = self.take_running(request) else {
            return Vec::new();
        };
        let replies = notify_waiting(record, &Err(Code::RecordUnknown));
        (record.state, record.updated) = (State::Unknown, now);
        replies
    }

    fn mark_done(&mut self, now: Time, request: Request, whole: Box<Whole>) -> Vec<Reply> {
        let size = whole.body.len() + 512;
        let Some((record, seat, name)) = self.take_running(request) else {
            return Vec::new();
        };
        let replies = notify_waiting(record, &Ok(whole.clone()));
        (record.state, record.updated) = (State::Done(whole), now);
        self.stored_responses.push_back((seat, name, size));
        self.stored_bytes += size;
        while self.stored_bytes > MAX_STORED_BYTES {
            self.drop_oldest();
        }
        replies
    }

    fn drop_oldest(&mut self) {
        let Some((seat, name, size)) = self.stored_responses.pop_front() else {
            self.stored_bytes = 0;
            return;
        };
        self.stored_bytes = self.stored_bytes.saturating_sub(size);
        let slice = self.slices.get_mut(&seat);
        if let Some(record) = slice.and_then(|slice| slice.records.get_mut(&name))
            && matches!(record.state, State::Done(_))
        {
            record.state = State::Unknown;
        }
    }
}

/// Decides about an attempt whose key is already recorded.
fn handle_repeat(record: &mut Record, arrival: &Arrival) -> Verdict {
    if record.fingerprint != arrival.fingerprint {
        return Verdict::Refuse(Code::KeyReused);
    }
    match &mut record.state {
        State::Running(first, _) if *first == arrival.request => Verdict::Run,
        State::Running(_, waiting) => {
            waiting.push((arrival.peer.clone(), arrival.request));
            Verdict::Join
        }
        State::Done(whole) => Verdict::Replay(whole.clone()),
        State::Unknown => Verdict::Refuse(Code::RecordUnknown),
    }
}

fn notify_waiting(record: &mut Record, answer: &Result<Box<Whole>, Code>) -> Vec<Reply> {
    let State::Running(_, waiting) = &mut record.state else {
        return Vec::new();
    };
    let reply = |(peer, request)| Reply {
        peer,
        request,
        answer: answer.clone(),
    };
    waiting.drain(..).map(reply).collect()
}
