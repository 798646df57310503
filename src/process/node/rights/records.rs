//! Attempts with an idempotency claim. They go to the record owner, which alone
//! passes them to the upstream.

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
        Name,
        Reply,
        Verdict, //
    },
};

/// Minimum lifetime of an idempotency record.
const MIN_RECORD_LIFETIME: Span = Span::from_secs(20);

impl Core {
    /// Sets the wall-clock time, in milliseconds since 1970. Without it, no key is
    /// considered certainly new after an unplanned change of its record owner.
    pub fn set_wall_clock(&mut self, now: Time, wall: u64) {
        self.leases.wall_clock = Some((now, wall));
    }

    /// Checks an attempt with an idempotency claim against the records. Returns
    /// whether it may run here.
    pub(in super::super) fn admit_claimed_attempt(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        details: (&id::Route, &Context, &record::Claim),
        out: &mut Vec<Action>,
    ) -> bool {
        let (route, context, claim) = details;
        let Some(route) = self.snapshot.tables.route_by_name(route) else {
            return true;
        };
        let name = Name {
            team: context.team.clone(),
            key: claim.key.clone(),
        };
        let arrival = Arrival {
            seat: record::seat_of(&route.pool, &name),
            name,
            fingerprint: claim.fingerprint,
            request,
            peer: peer.clone(),
        };
        let verdict = match route.pool == self.identity.peer.pool {
            true => self.check_record(now, &arrival, out),
            false => Verdict::Refuse(Code::RecordUnavailable),
        };
        if verdict == Verdict::Run {
            return true;
        }
        // Prevents a delayed copy of this attempt from running later.
        let cancel = inbound::Event::Cancel(peer.clone(), request);
        self.run_proxy(now, cancel, out);
        let answer = match verdict {
            Verdict::Run | Verdict::Join => return false,
            Verdict::Replay(whole) => Ok(whole),
            Verdict::Refuse(code) => Err(code),
        };
        let fate = Reply {
            peer: peer.clone(),
            request,
            answer,
        };
        self.send_record_outcomes(now, vec![fate], out);
        false
    }

    fn check_record(&mut self, now: Time, arrival: &Arrival, out: &mut Vec<Action>) -> Verdict {
        let lifetime = self.record_lifetime();
        let leases = &mut self.leases;
        let ownership = leases.seat_manager.ownership(now, &arrival.seat);
        let wall = leases
            .wall_clock
            .map(|(at, wall)| wall + now.since(at).as_ms());
        if let Some(ownership) = ownership.filter(|_| leases.leaving_since.is_none()) {
            return leases
                .record_owner
                .handle_arrival(now, ownership, arrival, lifetime, wall);
        }
        if leases.leaving_since.is_none() {
            leases
                .seat_manager
                .note_unreachable_owner(now, &arrival.seat);
        }
        let owner = leases.seat_manager.owner(&arrival.seat).cloned();
        if let Some(owner) = owner.filter(|owner| *owner != self.identity.peer.instance) {
            let message = record::Message::Elsewhere(arrival.seat.clone(), owner);
            self.send_record_message(now, &arrival.peer, message, out);
        }
        Verdict::Refuse(Code::RecordUnavailable)
    }

    /// Twice the longest deadline, after which every attempt has ended.
    fn record_lifetime(&self) -> Span {
        let deadlines = self.snapshot.tables.routes.iter().map(|r| r.deadline);
        let longest = deadlines.max().unwrap_or_default();
        (longest + longest).max(MIN_RECORD_LIFETIME)
    }

    pub(in super::super) fn store_record_answer(
        &mut self,
        request: id::Request,
        whole: Box<Whole>,
    ) {
        self.leases.record_owner.store_response(request, whole);
    }

    pub(in super::super) fn record_attempt_ended(
        &mut self,
        now: Time,
        request: id::Request,
        end: inbound::End,
        out: &mut Vec<Action>,
    ) {
        let fates = self.leases.record_owner.ended(now, request, end);
        self.send_record_outcomes(now, fates, out);
    }

    pub(in super::super) fn record_attempt_refused(
        &mut self,
        now: Time,
        request: id::Request,
        code: Code,
        out: &mut Vec<Action>,
    ) {
        let fates = self.leases.record_owner.refused(request, code);
        self.send_record_outcomes(now, fates, out);
    }

    /// Returns whether an attempt with a record is running. It continues even if
    /// its caller is gone, because a repeat of the call needs the answer.
    pub(in super::super) fn is_recorded_attempt_running(&self, request: id::Request) -> bool {
        self.leases.record_owner.is_running(request) && self.proxy.runs(request)
    }

    /// Returns the fate of an attempt that waits for the answer to another attempt
    /// with the same key. The key is being executed, so reporting the attempt as
    /// not run would be wrong.
    pub(in super::super) fn joined_attempt_fate(
        &self,
        request: id::Request,
    ) -> Option<frame::Fate> {
        let is_waiting = self.leases.record_owner.is_waiting(request);
        is_waiting.then_some(frame::Fate::Running)
    }

    pub(super) fn records_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let lifetime = self.record_lifetime();
        let proxy = &self.proxy;
        let holds = |request| proxy.holds(request);
        let fates = self.leases.record_owner.tick(now, lifetime, holds);
        self.send_record_outcomes(now, fates, out);
    }

    fn send_record_outcomes(&mut self, now: Time, fates: Vec<Reply>, out: &mut Vec<Action>) {
        for Reply {
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

    /// Sends all records to the successor.
    pub(super) fn hand_over_records(
        &mut self,
        now: Time,
        to: &id::Instance,
        out: &mut Vec<Action>,
    ) {
        for (seat, epoch, records) in self.leases.record_owner.export() {
            let message = record::Message::Records(seat, epoch, records);
            self.send_record_message(now, to, message, out);
        }
    }

    fn send_record_message(
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
            record::Message::Elsewhere(seat, owner) => {
                self.leases.record_directory.set_owner(seat, owner)
            }
            record::Message::Records(seat, epoch, records) => {
                self.leases.record_owner.import(seat, epoch, records);
            }
        }
    }
}
