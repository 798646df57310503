//! Callers and upstreams: what asks, and what truly works.

use std::cmp::Reverse;

use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    super::{
        ledger::{
            End,
            Flow,
            Item,
            Job, //
        },
        promise::Promise,
    },
    ABORT_DELAY,
    Driver,
    Upstream,
    What,
    Work, //
};
use crate::{
    clock::Span,
    frame::{
        Frame,
        Head,
        Whole, //
    },
    id,
    inbound,
    node::{
        Call,
        Event,
        Origin, //
    },
    record::Claim,
    unit::Rate, //
};

/// Time after which callers have heard that a node leaves.
const LEAVING_NOTICE_DELAY: Span = Span::from_ms(500);

impl Driver {
    /// A node's upstream, to make it slow or ill.
    pub fn upstream(&mut self, node: usize) -> &mut Upstream {
        &mut self.nodes[node].upstream
    }

    /// Begins a stream of requests and returns its number.
    pub fn flow(&mut self, flow: Flow) -> usize {
        self.flows.push(flow);
        let number = self.flows.len() - 1;
        self.push(self.now, What::Arrive { flow: number });
        number
    }

    /// Changes a stream's rate; zero ends it.
    pub fn rate(&mut self, flow: usize, rate: Rate) {
        let idle = self.flows[flow].rate.as_millis() == 0;
        self.flows[flow].rate = rate;
        if idle {
            self.push(self.now, What::Arrive { flow });
        }
    }

    /// The streams.
    pub fn flows(&self) -> &[Flow] {
        &self.flows
    }

    /// The streams, to change where their callers call.
    pub fn flows_mut(&mut self) -> &mut [Flow] {
        &mut self.flows
    }

    /// One stream.
    pub fn flow_at(&self, flow: usize) -> &Flow {
        &self.flows[flow]
    }

    pub(super) fn arrive(&mut self, flow: usize) {
        let rate = self.flows[flow].rate.as_f64();
        if rate <= 0.0 {
            return;
        }
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap = (-uniform.ln() * 1000.0 / rate).round() as u64;
        self.push(self.now + Span::from_ms(gap), What::Arrive { flow });
        let item = Item {
            flow,
            begun: self.now,
            tries: 0,
            whole: None,
            refused: None,
        };
        self.ledger.items.push(item);
        self.attempt(self.ledger.items.len() - 1);
    }

    pub(super) fn attempt(&mut self, item: usize) {
        self.ledger.items[item].tries += 1;
        let flow = self.flows[self.ledger.items[item].flow].clone();
        // A leaving node closes its callers' connections with the next answer.
        let left = |n: &usize| {
            let since = self.ledger.leaving.get(n);
            since.is_some_and(|since| self.now.since(*since) > LEAVING_NOTICE_DELAY)
        };
        let reachable = |n: &usize| self.nodes[*n].core.is_some() && !left(n);
        let nodes: Vec<usize> = match flow.nodes.is_empty() {
            true => (0..self.nodes.len()).filter(reachable).collect(),
            false => flow.nodes.iter().copied().filter(reachable).collect(),
        };
        if nodes.is_empty() {
            return;
        }
        let node = nodes[self.rng.random_range(0..nodes.len())];
        let number = self.ledger.jobs.len();
        let claim = flow.claims.then(|| format!("item-{item}"));
        let job = Job {
            flow: Some(self.ledger.items[item].flow),
            item: Some(item),
            root: number,
            node,
            team: flow.team,
            path: flow.path.clone(),
            once: flow.method == "POST",
            claim,
            begun: self.now,
            end: None,
            runs: 0,
            again: 0,
            slot: Span::ZERO,
            parent: None,
        };
        self.push(self.now + flow.patience, What::Impatient { job: number });
        self.call(
            job,
            Origin::Caller(Some(flow.key)),
            &flow.method,
            &flow.path,
        );
    }

    pub(super) fn call(&mut self, job: Job, origin: Origin, method: &str, path: &str) {
        let node = job.node;
        let claim = job.claim.clone().map(|key| Claim {
            key,
            fingerprint: 1,
        });
        let call = Call {
            left: None,
            connection: id::Connection::default(),
            call: id::Call(self.ledger.jobs.len() as u64),
            origin,
            host: "test".into(),
            method: method.into(),
            path: path.into(),
            claim,
            replayable: true,
            digest: Some(digest(method, path)),
        };
        self.ledger.jobs.push(job);
        self.event(node, Event::Call(call));
    }

    pub(super) fn hang_up(&mut self, job: usize) {
        if self.ledger.jobs[job].end.is_none() {
            let node = self.ledger.jobs[job].node;
            self.event(node, Event::CallerGone(id::Call(job as u64)));
            self.end(job, End::Gone);
        }
    }

    pub(super) fn end(&mut self, number: usize, end: End) {
        if !self.ledger.ended(self.now, number, end) {
            return;
        }
        let job = self.ledger.jobs[number].clone();
        if let Some((node, request)) = job.parent {
            self.nested_ended(node, request, end);
        }
        let Some(item) = job.item else {
            return;
        };
        let flow = &self.flows[self.ledger.items[item].flow];
        match end {
            End::Status(200..300) => self.ledger.items[item].whole = Some(self.now),
            _ => {
                if let End::Code(code) = end {
                    self.ledger.items[item].refused = Some(code);
                }
                if self.ledger.items[item].tries <= flow.retries {
                    self.push(self.now + flow.wait, What::Try { item });
                }
            }
        }
    }

    pub(super) fn start(&mut self, node: usize, request: id::Request, token: id::Token) {
        if self.nodes[node].upstream.refusing {
            let life = self.nodes[node].life;
            let event = Event::AttemptEnded(request, inbound::End::Refused);
            self.push(
                self.now + ABORT_DELAY,
                What::Node(node, life, Box::new(event)),
            );
            return;
        }
        let team = self.nodes[node].teams.remove(&request);
        let job = self.ledger.attempts.get(&request).copied();
        let (Some(team), Some(job)) = (team, job) else {
            let text = format!("{request} was started but never sent");
            self.ledger.breach(self.now, Promise::Whole, text);
            return;
        };
        self.ledger.begun_at(self.now, node);
        self.ledger.started(self.now, request, &team);
        self.arrived_upstream(node, request);
        self.nodes[node].tokens.insert(request, token);
        self.nodes[node].upstream.waiting.push_back((request, job));
        let is_fatal = self.fatal == Some(self.ledger.jobs[job].path.as_str());
        if is_fatal {
            let team = self.ledger.jobs[job].team.clone();
            *self.ledger.ended_under.entry(team).or_default() += 1;
        }
        match self.overwhelms(node) || is_fatal {
            true => self.crash(node),
            false => self.fill(node),
        }
    }

    pub(super) fn fill(&mut self, node: usize) {
        let service = &self.setup.services[self.nodes[node].upstream.service];
        let (slots, mean) = (service.slots, service.work.as_ms() as f64);
        let upstream = &mut self.nodes[node].upstream;
        while upstream.active.len() < slots {
            let Some((request, job)) = upstream.waiting.pop_front() else {
                return;
            };
            let status = if upstream.failing { 500 } else { 200 };
            let begun = self.now;
            let work = Work {
                job,
                begun,
                stage: 0,
                pending: 0,
                status,
            };
            upstream.active.insert(request, work);
            let factor = if upstream.failing { 0.0 } else { upstream.slow };
            let took = mean * factor * self.rng.random_range(0.5..1.5);
            let at = self.now + Span::from_ms((took as u64).max(1));
            self.order += 1;
            self.queue.push(Reverse((at, self.order)));
            self.events
                .insert(self.order, What::Served { node, request });
        }
    }

    pub(super) fn served(&mut self, node: usize, request: id::Request) {
        let service = &self.setup.services[self.nodes[node].upstream.service];
        let Some(work) = self.nodes[node].upstream.active.get_mut(&request) else {
            return;
        };
        if work.status != 200 || work.stage == service.nested.len() {
            return self.answer(node, request);
        }
        let stage = service.nested[work.stage].clone();
        work.stage += 1;
        work.pending = stage.len();
        let parent = self.ledger.jobs[work.job].clone();
        let token = self.nodes[node].tokens.get(&request).copied();
        for (method, path) in stage {
            let job = Job {
                flow: None,
                item: None,
                node,
                path: path.to_owned(),
                once: method == "POST",
                claim: None,
                begun: self.now,
                end: None,
                runs: 0,
                again: 0,
                slot: Span::ZERO,
                parent: Some((node, request)),
                ..parent.clone()
            };
            self.call(job, Origin::Service(token), method, path);
        }
    }

    pub(super) fn nested_ended(&mut self, node: usize, request: id::Request, end: End) {
        let Some(work) = self.nodes[node].upstream.active.get_mut(&request) else {
            return;
        };
        work.pending = work.pending.saturating_sub(1);
        if !matches!(end, End::Status(200..300)) {
            work.status = 503;
        }
        if work.pending == 0 {
            self.push(self.now, What::Served { node, request });
        }
    }

    pub(super) fn answer(&mut self, node: usize, request: id::Request) {
        self.signal(node, request);
        let status = self.release(node, request).unwrap_or(0);
        let sender = self.nodes[node].senders.remove(&request);
        if let (Some(core), Some(peer)) = (&mut self.nodes[node].core, sender) {
            let head = Head {
                status,
                ..Head::default()
            };
            let report = core.report(self.now, request);
            self.send(
                node,
                &peer,
                Frame::Answer {
                    request,
                    head,
                    report,
                },
            );
        }
        let job = self.ledger.attempts.get(&request).copied();
        if job.is_some_and(|job| self.ledger.jobs[job].claim.is_some()) {
            let head = Head {
                status,
                ..Head::default()
            };
            let whole = Whole {
                head,
                ..Whole::default()
            };
            self.event(node, Event::AnswerCaptured(request, Box::new(whole)));
        }
        self.event(
            node,
            Event::AttemptEnded(request, inbound::End::Answered(status)),
        );
        self.fill(node);
    }

    pub(super) fn release(&mut self, node: usize, request: id::Request) -> Option<u16> {
        self.nodes[node].tokens.remove(&request);
        let work = self.nodes[node].upstream.active.remove(&request)?;
        self.ledger.slot(work.job, self.now.since(work.begun));
        Some(work.status)
    }

    pub(super) fn abort(&mut self, node: usize, request: id::Request) {
        self.release(node, request);
        self.nodes[node].senders.remove(&request);
        self.nodes[node]
            .upstream
            .waiting
            .retain(|(waiting, _)| *waiting != request);
        let life = self.nodes[node].life;
        let event = Event::AttemptEnded(request, inbound::End::Aborted);
        self.push(
            self.now + ABORT_DELAY,
            What::Node(node, life, Box::new(event)),
        );
        self.fill(node);
    }
}

/// Digest of a request without a query or a body.
fn digest(method: &str, path: &str) -> id::Digest {
    id::Digest(xxh3_64(format!("{method} {path}").as_bytes()))
}
