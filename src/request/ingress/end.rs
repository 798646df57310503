//! How calls end, and what they leave behind.

use super::{
    Action,
    Environment,
    Router,
    call::State, //
};
use crate::{
    balance::Observation,
    clock::{
        Span,
        Time, //
    },
    code::{
        Code,
        Verdict, //
    },
    comeback,
    id,
    metric::Counter,
    outcome::Report,
    policy::Policy, //
};

impl Router {
    /// The call fails for good. If an earlier attempt may have run, the code
    /// that says "not run" would be false and gives way.
    pub(super) fn fail(
        &mut self,
        now: Time,
        number: id::Call,
        code: Code,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let not_run = code.verdict() == Verdict::NotRun;
        let code = match call.tainted {
            Some(earlier) if not_run => earlier,
            _ => code,
        };
        if code.verdict() == Verdict::NotRun
            && let Some(grant) = call.grant.take()
        {
            world.quota.give_back(now, &call.context.team, grant);
        }
        self.last_word(now, number, world);
        world.counts.add(Counter::Refused(code));
        let wait = self.wait(now, number, code, world);
        out.push(Action::Refuse(number, code, wait));
        self.forget(now, number, world);
    }

    /// When the caller had best come back.
    fn wait(
        &self,
        now: Time,
        number: id::Call,
        code: Code,
        world: &mut Environment<'_>,
    ) -> Option<Span> {
        let call = self.calls.get(&number)?;
        let usual = self.typical.get(&call.route).copied().unwrap_or(0.0);
        let refusal = comeback::Refusal {
            code,
            waited: now.since(call.root),
            left: now.until(call.deadline),
            target: call.target,
            service_time: Span::from_ms(usual as u64),
            earliest: match code {
                Code::RateExceeded => world.quota.time_until_token(now, &call.context.team),
                _ => Span::ZERO,
            },
        };
        refusal.retry_after(world.rng)
    }

    /// The attempt that made this call must not be tried again for its failure:
    /// this hop has judged it.
    pub(super) fn last_word(&mut self, now: Time, number: id::Call, world: &mut Environment<'_>) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        if call.context.key.is_none() && call.context.parent.is_none() {
            world.proxy.record_call_failure(now);
        }
        if let Some(parent) = call.context.parent
            && let Some(purse) = world.proxy.allowances().get_mut(&parent)
        {
            purse.no_retry = true;
        }
    }

    /// The deadline has passed.
    pub(super) fn late(
        &mut self,
        now: Time,
        number: id::Call,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let code = match self.withdraw(now, number, world.policy, out) {
            true => Code::DeadlinePassed,
            false => Code::DeadlineUnfit,
        };
        self.fail(now, number, code, world, out);
    }

    /// The caller hung up.
    pub(super) fn gone(
        &mut self,
        now: Time,
        number: id::Call,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let sent = self.withdraw(now, number, world.policy, out);
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        if !sent
            && call.tainted.is_none()
            && let Some(grant) = call.grant.take()
        {
            world.quota.give_back(now, &call.context.team, grant);
        }
        world.counts.add(Counter::Refused(Code::CallerGone));
        self.forget(now, number, world);
    }

    /// The attempt that made nested calls is over: nobody takes their answers.
    pub(super) fn orphan(
        &mut self,
        now: Time,
        parent: id::Request,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        if !world.policy.cancellation {
            return;
        }
        for number in self.children.remove(&parent).unwrap_or_default() {
            let code = match self.withdraw(now, number, world.policy, out) {
                true => Code::DeadlinePassed,
                false => Code::ParentGone,
            };
            self.fail(now, number, code, world, out);
        }
    }

    /// Cancels the call's attempt. Returns whether there was one.
    fn withdraw(
        &mut self,
        now: Time,
        number: id::Call,
        policy: Policy,
        out: &mut Vec<Action>,
    ) -> bool {
        let request = match self.calls.get(&number).map(|call| call.state) {
            Some(State::Sent(request) | State::Delivering(request)) => request,
            Some(State::Revoking { request, .. }) => request,
            _ => return false,
        };
        if let Some(attempt) = self.attempts.get(&request)
            && policy.cancellation
        {
            out.push(Action::Cancel(attempt.peer.clone(), request));
        }
        self.abandon(now, request, Observation::Neutral);
        true
    }

    /// Reads a report. Returns the call, if the attempt is still one of its
    /// and the word comes from the instance that it was sent to.
    pub(super) fn heard(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        report: &Report,
        world: &mut Environment<'_>,
    ) -> Option<id::Call> {
        self.hints
            .record(now, peer, report.life, report.hint, false);
        self.balancer.record_report(now, peer, report);
        world
            .quota
            .record_peer_clock(now, peer, report.life, report.clock);
        let attempt = self.attempts.get(&request);
        let Some(attempt) = attempt.filter(|attempt| attempt.peer == *peer) else {
            world.counts.add(Counter::Late);
            return None;
        };
        if let Some(call) = self.calls.get(&attempt.call) {
            self.balancer
                .record_service_time(peer, &call.route, report.service);
            let team = &call.context.team;
            // One that leaves sheds nothing, as it takes nothing: its level
            // would hide that those which stay are overloaded.
            match report.leaving {
                true => world.levels.forget_peer(&call.route, peer),
                false => world
                    .levels
                    .observe(now, peer, &call.route, team, report.level),
            }
        }
        Some(attempt.call)
    }

    /// An attempt has ended, and its answer tells what it spent of its loan.
    pub(super) fn settle(
        &mut self,
        now: Time,
        request: id::Request,
        spent: u8,
        mark: Observation,
        world: &mut Environment<'_>,
    ) {
        self.repay(request, spent, world);
        self.abandon(now, request, mark);
    }

    /// Returns what an attempt has not spent of its loan, once.
    pub(super) fn repay(&mut self, request: id::Request, spent: u8, world: &mut Environment<'_>) {
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return;
        };
        let loan = std::mem::take(&mut attempt.loan);
        let call = self.calls.get_mut(&attempt.call);
        if let Some(purse) = call.and_then(|call| call.purse(world.proxy.allowances())) {
            purse.release(loan, spent);
        }
    }

    /// An attempt's end will not be heard: its loan is lost.
    pub(super) fn abandon(&mut self, now: Time, request: id::Request, mark: Observation) {
        if let Some(attempt) = self.attempts.remove(&request) {
            self.balancer.record_end(now, &attempt.peer, mark);
        }
    }

    pub(super) fn state(&mut self, number: id::Call, state: State) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.state = state;
        }
    }

    pub(super) fn forget(&mut self, now: Time, number: id::Call, world: &mut Environment<'_>) {
        self.charged(number);
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        if let Some(maker) = call.maker {
            world
                .proxy
                .record_call_answered(now, maker, call.connection);
        }
        self.timers.remove(&(call.wake, number));
        if let Some(parent) = call.context.parent
            && let Some(children) = self.children.get_mut(&parent)
        {
            children.remove(&number);
            if children.is_empty() {
                self.children.remove(&parent);
            }
        }
    }
}
