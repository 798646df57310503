//! Upstreams in need: they name a limit in their answers.

use std::collections::BTreeMap;

use super::{
    Driver,
    Upstream, //
};
use crate::{
    backpressure::{
        Limit,
        Signal, //
    },
    clock::{
        Span,
        Time, //
    },
    id,
    node::Event,
    unit::Rate, //
};

/// What an upstream tells in its answers, and what it gets meanwhile.
#[derive(Clone, Debug, Default)]
pub struct Need {
    /// How often it has started again.
    life: u64,
    /// What its answers tell.
    pub signal: Signal,
    /// When each request arrived at it.
    arrivals: Vec<Time>,
    /// When the requests that it works on began.
    begun: BTreeMap<id::Request, Time>,
}

impl Need {
    /// Another life of the upstream tells nothing yet.
    pub(super) fn restart(&mut self) {
        self.life += 1;
        self.signal = Signal::default();
        self.begun.clear();
    }
}

impl Upstream {
    /// What tells this life of the upstream beside a node from all others.
    pub(super) fn id(&self, node: usize) -> id::Upstream {
        id::Upstream((node as u64) << 32 | self.need.life)
    }

    /// Sets what its answers tell from now on.
    pub fn tell(&mut self, signal: Signal) {
        self.need.signal = signal;
    }

    /// Names a limit in its answers, or none.
    pub fn name_limit(&mut self, limit: Option<Rate>) {
        self.need.signal.limit = limit.map_or(Limit::Absent, Limit::Named);
    }

    /// The most requests that arrived in any window of this length, of those that
    /// lie between two times.
    pub fn most_arrivals(&self, from: Time, until: Time, window: Span) -> usize {
        let arrivals = &self.need.arrivals;
        let within = |at: &&Time| **at >= from && **at <= until;
        let times: Vec<Time> = arrivals.iter().filter(within).copied().collect();
        let in_window = |(first, at): (usize, &Time)| {
            let end = *at + window;
            times[first..].iter().take_while(|at| **at < end).count()
        };
        times
            .iter()
            .enumerate()
            .map(in_window)
            .max()
            .unwrap_or_default()
    }
}

impl Driver {
    /// A request arrives at the upstream.
    pub(super) fn arrived_upstream(&mut self, node: usize, request: id::Request) {
        let need = &mut self.nodes[node].upstream.need;
        need.arrivals.push(self.now);
        need.begun.insert(request, self.now);
    }

    /// The head of an answer reaches the node beside the upstream.
    pub(super) fn signal(&mut self, node: usize, request: id::Request) {
        let need = &mut self.nodes[node].upstream.need;
        let begun = need.begun.remove(&request).unwrap_or_default();
        let signal = need.signal;
        self.event(node, Event::UpstreamSignal(signal, begun));
    }
}
