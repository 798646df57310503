//! Claimed attempts: to the record owner, and only from there to the upstream.

use super::super::{
    Action,
    Core, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    code::Code,
    context::Context,
    frame::{
        self,
        Frame,
        Whole, //
    },
    id, inbound,
    message::Message,
    record::{
        self,
        Arrival,
        Fate,
        Name,
        Verdict, //
    },
};

/// Records live at least so long.
const LIFE: Span = Span::from_secs(20);

impl Core {
    /// Tells the wall clock, in milliseconds since 1970. Without it, no key is
    /// ever taken for certainly new after an unplanned change of its owner.
    pub fn set_wall_clock(&mut self, now: Time, wall: u64) {
        self.rights.wall = Some((now, wall));
    }

    /// Judges an attempt that carries a claim. Returns whether it may run here.
    pub(in super::super) fn guarded(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        place: (&id::Route, &Context, &record::Claim),
        out: &mut Vec<Action>,
    ) -> bool {
        let (route, context, claim) = place;
        let Some(route) = self.snapshot.tables.named(route) else {
            return true;
        };
        let name = Name {
            team: context.team.clone(),
            key: claim.key.clone(),
        };
        let arrival = Arrival {
            seat: record::seat(&route.pool, &name),
            name,
            fingerprint: claim.fingerprint,
            request,
            peer: peer.clone(),
        };
        let verdict = match route.pool == self.identity.peer.pool {
            true => self.judge(now, &arrival, out),
            false => Verdict::Refuse(Code::RecordUnavailable),
        };
        if verdict == Verdict::Run {
            return true;
        }
        // A copy of this attempt must not run later, when nobody expects it.
        let cancel = inbound::Event::Cancel(peer.clone(), request);
        self.run_proxy(now, cancel, out);
        let answer = match verdict {
            Verdict::Run | Verdict::Join => return false,
            Verdict::Replay(whole) => Ok(whole),
            Verdict::Refuse(code) => Err(code),
        };
        let fate = Fate {
            peer: peer.clone(),
            request,
            answer,
        };
        self.record_tell(now, vec![fate], out);
        false
    }

    fn judge(&mut self, now: Time, arrival: &Arrival, out: &mut Vec<Action>) -> Verdict {
        let life = self.record_life();
        let rights = &mut self.rights;
        let right = rights.keeper.ownership(now, &arrival.seat);
        let wall = rights.wall.map(|(at, wall)| wall + now.since(at).as_ms());
        if let Some(right) = right.filter(|_| rights.leaving.is_none()) {
            return rights.records.arrive(now, right, arrival, life, wall);
        }
        if rights.leaving.is_none() {
            rights.keeper.note_unreachable_owner(now, &arrival.seat);
        }
        let owner = rights.keeper.owner(&arrival.seat).cloned();
        if let Some(owner) = owner.filter(|owner| *owner != self.identity.peer.instance) {
            let message = record::Message::Elsewhere(arrival.seat.clone(), owner);
            self.record_send(now, &arrival.peer, message, out);
        }
        Verdict::Refuse(Code::RecordUnavailable)
    }

    /// Twice the longest deadline: by then every attempt has ended.
    fn record_life(&self) -> Span {
        let deadlines = self.snapshot.tables.routes.iter().map(|r| r.deadline);
        let longest = deadlines.max().unwrap_or_default();
        (longest + longest).max(LIFE)
    }

    pub(in super::super) fn record_kept(&mut self, request: id::Request, whole: Box<Whole>) {
        self.rights.records.keep(request, whole);
    }

    pub(in super::super) fn record_ended(
        &mut self,
        now: Time,
        request: id::Request,
        end: inbound::End,
        out: &mut Vec<Action>,
    ) {
        let fates = self.rights.records.ended(now, request, end);
        self.record_tell(now, fates, out);
    }

    pub(in super::super) fn record_refused(
        &mut self,
        now: Time,
        request: id::Request,
        code: Code,
        out: &mut Vec<Action>,
    ) {
        let fates = self.rights.records.refused(request, code);
        self.record_tell(now, fates, out);
    }

    /// Whether a recorded attempt goes on although its caller is gone: a repeat
    /// will want its answer.
    pub(in super::super) fn record_runs(&self, request: id::Request) -> bool {
        self.rights.records.is_running(request) && self.proxy.runs(request)
    }

    /// What became of an attempt that waits for another's answer: the key runs,
    /// so it would be false to say that it does not.
    pub(in super::super) fn record_fate(&self, request: id::Request) -> Option<frame::Fate> {
        let waits = self.rights.records.is_waiting(request);
        waits.then_some(frame::Fate::Running)
    }

    pub(super) fn records_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let life = self.record_life();
        let proxy = &self.proxy;
        let holds = |request| proxy.holds(request);
        let fates = self.rights.records.tick(now, life, holds);
        self.record_tell(now, fates, out);
    }

    fn record_tell(&mut self, now: Time, fates: Vec<Fate>, out: &mut Vec<Action>) {
        for Fate {
            peer,
            request,
            answer,
        } in fates
        {
            let report = self.report(now, request);
            match answer {
                Ok(whole) => {
                    out.push(Action::Replay(peer.clone(), request, whole));
                    out.push(Action::Frame(peer, Frame::Finish { request, report }));
                }
                Err(code) => {
                    let frame = Frame::Refuse {
                        request,
                        code,
                        report,
                    };
                    out.push(Action::Frame(peer, frame));
                }
            }
        }
    }

    /// Hands all records to the successor.
    pub(super) fn records_hand_on(&mut self, now: Time, to: &id::Instance, out: &mut Vec<Action>) {
        for (seat, epoch, records) in self.rights.records.hand_on() {
            let message = record::Message::Records(seat, epoch, records);
            self.record_send(now, to, message, out);
        }
    }

    fn record_send(
        &mut self,
        now: Time,
        to: &id::Instance,
        message: record::Message,
        out: &mut Vec<Action>,
    ) {
        match *to == self.identity.peer.instance {
            true => self.on_record_message(now, message, out),
            false => self.send_message(to, Message::Record(message), out),
        }
    }

    pub(in super::super) fn on_record_message(
        &mut self,
        _now: Time,
        message: record::Message,
        _out: &mut Vec<Action>,
    ) {
        match message {
            record::Message::Elsewhere(seat, owner) => self.rights.directory.learn(seat, owner),
            record::Message::Records(seat, epoch, records) => {
                self.rights.records.inherit(seat, epoch, records);
            }
        }
    }
}
