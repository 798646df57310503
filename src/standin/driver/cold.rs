//! Upstreams that start cold, and crash when they get too much then.

use std::collections::VecDeque;

use super::{
    Driver,
    What, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    id,
    inbound,
    node::Event, //
};

const COUNTED_SPAN: Span = Span::from_secs(1);
/// How long an upstream that isn't frail is away after a crash.
const AWAY: Span = Span::from_secs(2);

/// What an upstream bears after its start.
#[derive(Clone, Copy, Debug)]
pub struct Frailty {
    /// Requests in one second that it bears while it is cold.
    pub bears: usize,
    /// How long it is cold.
    pub time: Span,
    /// How long it is away after a crash.
    pub away: Span,
}

/// The state of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Cold {
    frailty: Option<Frailty>,
    until: Time,
    starts: VecDeque<Time>,
    /// How often it has crashed.
    pub crashes: u32,
    /// Requests that began at it.
    pub begun: u64,
}

impl Driver {
    /// Makes every upstream crash under too much while it is cold.
    pub fn weaken(&mut self, frailty: Frailty) {
        for node in &mut self.nodes {
            node.upstream.cold.frailty = Some(frailty);
        }
    }

    /// An upstream turns cold without a word.
    pub fn chill(&mut self, node: usize) {
        let cold = &mut self.nodes[node].upstream.cold;
        cold.until = self.now + cold.frailty.map_or(Span::ZERO, |frailty| frailty.time);
    }

    /// Requests that began at the upstreams beside these nodes.
    pub fn begun(&self, nodes: &[usize]) -> u64 {
        let nodes = nodes.iter().map(|node| &self.nodes[*node]);
        nodes.map(|node| node.upstream.cold.begun).sum()
    }

    /// Crashes of all upstreams.
    pub fn crashes(&self) -> u32 {
        let nodes = self.nodes.iter();
        nodes.map(|node| node.upstream.cold.crashes).sum()
    }

    /// An upstream ends at once and comes back cold.
    pub fn crash(&mut self, node: usize) {
        let upstream = &mut self.nodes[node].upstream;
        let away = upstream.cold.frailty.map_or(AWAY, |frailty| frailty.away);
        upstream.refusing = true;
        upstream.cold.crashes += 1;
        let active = upstream.active.keys().copied();
        let waiting = upstream.waiting.iter().map(|(request, _)| *request);
        let lost: Vec<id::Request> = active.chain(waiting).collect();
        upstream.waiting.clear();
        let life = self.nodes[node].life;
        for request in lost {
            self.release(node, request);
            let event = Event::AttemptEnded(request, inbound::End::Crashed);
            self.push(self.now, What::Node(node, life, Box::new(event)));
        }
        self.push(self.now + away, What::Rise(node));
    }

    /// A crashed upstream is back, and announces that it is cold.
    pub(super) fn rise(&mut self, node: usize) {
        let upstream = &mut self.nodes[node].upstream;
        let cold = upstream
            .cold
            .frailty
            .map_or(Span::ZERO, |frailty| frailty.time);
        upstream.refusing = false;
        upstream.cold.until = self.now + cold;
        upstream.cold.starts.clear();
        upstream.need.restart();
        let id = upstream.id(node);
        self.event(node, Event::UpstreamStarted(id));
        self.event(node, Event::UpstreamReady(true));
        self.event(node, Event::UpstreamWarmup(cold));
    }

    /// Counts a request, and tells whether a cold upstream breaks down under it.
    pub(super) fn overwhelms(&mut self, node: usize) -> bool {
        let now = self.now;
        let cold = &mut self.nodes[node].upstream.cold;
        cold.begun += 1;
        let Some(frailty) = cold.frailty.filter(|_| now < cold.until) else {
            return false;
        };
        cold.starts.push_back(now);
        while cold
            .starts
            .front()
            .is_some_and(|at| *at + COUNTED_SPAN <= now)
        {
            cold.starts.pop_front();
        }
        cold.starts.len() > frailty.bears
    }
}
