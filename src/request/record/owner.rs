//! The record owner: what it does with each claimed attempt.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use super::{
    Name, Slice, TransferredRecord,
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
        Verdict as Ran, //
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

/// Records of a slice at most. Beyond, new keys are refused and not run.
const RECORDS: usize = 32_768;
/// Bytes of kept answers at most. Beyond, the oldest are dropped.
const KEPT: usize = 16 << 20;
/// The number of the first owner that a slice ever had.
const FIRST: Epoch = Epoch(2);

/// A claimed attempt.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The slice of its key.
    pub seat: Seat,
    /// Its record's name.
    pub name: Name,
    /// A checksum of the whole request.
    pub fingerprint: u64,
    /// The attempt's number.
    pub request: Request,
    /// Who sent it.
    pub peer: Instance,
}

/// What becomes of a claimed attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is recorded: run it.
    Run,
    /// It waits for the attempt that runs.
    Join,
    /// It ran before, and this is its answer.
    Replay(Box<Whole>),
    /// It is not run.
    Refuse(Code),
}

/// What an attempt that waited is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Who sent it.
    pub peer: Instance,
    /// The attempt's number.
    pub request: Request,
    /// The answer of the attempt that ran, or why there is none.
    pub answer: Result<Box<Whole>, Code>,
}

/// All records that this node keeps.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    slices: BTreeMap<Seat, Slice>,
    running: BTreeMap<Request, (Seat, Name)>,
    fresh: BTreeMap<Request, Box<Whole>>,
    kept: VecDeque<(Seat, Name, usize)>,
    bytes: usize,
    inherited: BTreeMap<Seat, (Epoch, Vec<TransferredRecord>)>,
}

impl Owner {
    /// Judges a claimed attempt under a right that holds now. `life` is how long
    /// records live, `wall` the wall clock in milliseconds, where it is known.
    pub fn handle_arrival(
        &mut self,
        now: Time,
        right: Ownership,
        arrival: &Arrival,
        life: Span,
        wall: Option<u64>,
    ) -> Verdict {
        self.open(now, right, &arrival.seat);
        let Some(slice) = self.slices.get_mut(&arrival.seat) else {
            return Verdict::Refuse(Code::RecordUnavailable);
        };
        if let Some(record) = slice.records.get_mut(&arrival.name) {
            return again(record, arrival);
        }
        if !slice.is_new(now, &arrival.name.key, life, wall) {
            return Verdict::Refuse(Code::RecordLost);
        }
        if slice.records.len() >= RECORDS {
            return Verdict::Refuse(Code::RecordUnavailable);
        }
        let record = Record {
            fingerprint: arrival.fingerprint,
            state: State::Running(arrival.request, Vec::new()),
            at: now,
        };
        slice.records.insert(arrival.name.clone(), record);
        let place = (arrival.seat.clone(), arrival.name.clone());
        self.running.insert(arrival.request, place);
        Verdict::Run
    }

    /// Whether the attempt is recorded and has not ended.
    pub fn is_running(&self, request: Request) -> bool {
        self.running.contains_key(&request)
    }

    /// Whether any recorded attempt has not ended.
    pub fn is_busy(&self) -> bool {
        !self.running.is_empty()
    }

    /// Whether the attempt waits for another one's answer.
    pub fn is_waiting(&self, request: Request) -> bool {
        self.running.values().any(|(seat, name)| {
            let record = self.slices.get(seat).and_then(|s| s.records.get(name));
            matches!(record.map(|record| &record.state),
                Some(State::Running(_, waiting)) if waiting.iter().any(|(_, r)| *r == request))
        })
    }

    /// The whole answer of an attempt is about to end it.
    pub fn store_response(&mut self, request: Request, whole: Box<Whole>) {
        if self.running.contains_key(&request) {
            self.fresh.insert(request, whole);
        }
    }

    /// The upstream's part of an attempt has ended.
    pub fn ended(&mut self, now: Time, request: Request, end: End) -> Vec<Reply> {
        let whole = self.fresh.remove(&request);
        match (end, whole) {
            (End::Refused, _) => self.clear(request, Code::UpstreamRefused),
            (End::Answered(_), Some(whole)) => self.done(now, request, whole),
            _ => self.unknown(now, request),
        }
    }

    /// The attempt was refused before it began.
    pub fn refused(&mut self, request: Request, code: Code) -> Vec<Reply> {
        match code.verdict() {
            Ran::NotRun => self.clear(request, code),
            Ran::Unknown => Vec::new(),
        }
    }

    /// Forgets records that are older than `life`, and those of attempts that
    /// were withdrawn before they began, which `holds` does not know.
    pub fn tick(&mut self, now: Time, life: Span, holds: impl Fn(Request) -> bool) -> Vec<Reply> {
        for slice in self.slices.values_mut() {
            slice.records.retain(|_, record| {
                now.since(record.at) < life || matches!(record.state, State::Running(..))
            });
        }
        let withdrawn = self.running.keys().copied().filter(|r| !holds(*r));
        let withdrawn: Vec<Request> = withdrawn.collect();
        let mut fates = Vec::new();
        for request in withdrawn {
            fates.extend(self.clear(request, Code::RecordUnavailable));
        }
        fates
    }

    /// All records of the slices, for the node that follows an owner which leaves.
    pub fn export(&self) -> Vec<(Seat, Epoch, Vec<TransferredRecord>)> {
        let complete = self.slices.iter().filter(|(_, slice)| slice.complete);
        let handed = |(name, record): (&Name, &Record)| TransferredRecord {
            name: name.clone(),
            fingerprint: record.fingerprint,
            whole: match &record.state {
                State::Done(whole) => Some((**whole).clone()),
                State::Running(..) | State::Unknown => None,
            },
        };
        complete
            .map(|(seat, slice)| {
                let records = slice.records.iter().map(handed).collect();
                (seat.clone(), slice.epoch, records)
            })
            .collect()
    }

    /// Notes what an owner that left had recorded. It counts only for the right
    /// that directly follows that owner's.
    pub fn import(&mut self, seat: Seat, epoch: Epoch, records: Vec<TransferredRecord>) {
        self.inherited.insert(seat, (epoch, records));
    }

    /// Brings the slice to the right that holds now.
    fn open(&mut self, now: Time, right: Ownership, seat: &Seat) {
        let known = self.slices.get_mut(seat);
        match known {
            Some(slice) if slice.epoch == right.epoch => {}
            Some(slice) if right.continued_epoch == Some(slice.epoch) => slice.epoch = right.epoch,
            // Another node may have run keys in between: what was recorded here
            // is no longer the whole truth.
            _ => {
                let slice = Slice::new(right.epoch, now, right.epoch == FIRST);
                self.slices.insert(seat.clone(), slice);
                self.running.retain(|_, (place, _)| place != seat);
            }
        }
        self.adopt(now, seat);
    }

    /// Takes in what the owner before handed on, however late it comes.
    fn adopt(&mut self, now: Time, seat: &Seat) {
        let Some(slice) = self.slices.get_mut(seat).filter(|slice| !slice.complete) else {
            return;
        };
        let Some((epoch, records)) = self.inherited.get(seat) else {
            return;
        };
        if !slice.epoch.directly_follows(*epoch) {
            return;
        }
        slice.complete = true;
        for handed in records {
            let state = match &handed.whole {
                Some(whole) => State::Done(Box::new(whole.clone())),
                None => State::Unknown,
            };
            let record = Record {
                fingerprint: handed.fingerprint,
                state,
                at: now,
            };
            slice.records.entry(handed.name.clone()).or_insert(record);
        }
        self.inherited.remove(seat);
    }

    fn record(&mut self, request: Request) -> Option<(&mut Record, Seat, Name)> {
        let (seat, name) = self.running.remove(&request)?;
        let record = self.slices.get_mut(&seat)?.records.get_mut(&name)?;
        Some((record, seat, name))
    }

    /// It did not run: a repeat may.
    fn clear(&mut self, request: Request, code: Code) -> Vec<Reply> {
        let Some((record, seat, name)) = self.record(request) else {
            return Vec::new();
        };
        let fates = tell(record, &Err(code));
        if let Some(slice) = self.slices.get_mut(&seat) {
            slice.records.remove(&name);
        }
        fates
    }

    fn unknown(&mut self, now: Time, request: Request) -> Vec<Reply> {
        let Some((record, ..)) = self.record(request) else {
            return Vec::new();
        };
        let fates = tell(record, &Err(Code::RecordUnknown));
        (record.state, record.at) = (State::Unknown, now);
        fates
    }

    fn done(&mut self, now: Time, request: Request, whole: Box<Whole>) -> Vec<Reply> {
        let size = whole.body.len() + 512;
        let Some((record, seat, name)) = self.record(request) else {
            return Vec::new();
        };
        let fates = tell(record, &Ok(whole.clone()));
        (record.state, record.at) = (State::Done(whole), now);
        self.kept.push_back((seat, name, size));
        self.bytes += size;
        while self.bytes > KEPT {
            self.drop_oldest();
        }
        fates
    }

    fn drop_oldest(&mut self) {
        let Some((seat, name, size)) = self.kept.pop_front() else {
            self.bytes = 0;
            return;
        };
        self.bytes = self.bytes.saturating_sub(size);
        let slice = self.slices.get_mut(&seat);
        if let Some(record) = slice.and_then(|slice| slice.records.get_mut(&name))
            && matches!(record.state, State::Done(_))
        {
            record.state = State::Unknown;
        }
    }
}

/// An attempt under a key that is recorded.
fn again(record: &mut Record, arrival: &Arrival) -> Verdict {
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

fn tell(record: &mut Record, answer: &Result<Box<Whole>, Code>) -> Vec<Reply> {
    let State::Running(_, waiting) = &mut record.state else {
        return Vec::new();
    };
    let fate = |(peer, request)| Reply {
        peer,
        request,
        answer: answer.clone(),
    };
    waiting.drain(..).map(fate).collect()
}
