//! Links, datagrams and the store, with their delays and faults.

use std::net::SocketAddr;

use rand::RngExt;

use super::{
    CONNECT_TIMEOUT,
    Driver,
    STORE_TIMEOUT,
    What,
    pair, //
};
use crate::{
    clock::Span,
    frame::Frame,
    id,
    message::Message,
    node::Event,
    store, //
};

impl Driver {
    /// Changes the share of datagrams that are lost.
    pub fn loss(&mut self, share: f64) {
        self.setup.net.loss = share;
    }

    /// Changes the share of answers that are not passed on to their callers.
    pub fn lose_answers(&mut self, share: f64) {
        self.setup.net.undelivered = share;
    }

    pub(super) fn loses_answer(&mut self) -> bool {
        let share = self.setup.net.undelivered;
        share > 0.0 && self.rng.random_bool(share)
    }

    /// Cuts the network between two nodes, or joins it again.
    pub fn cut(&mut self, a: usize, b: usize, cut: bool) {
        match cut {
            true => self.cuts.insert(pair(a, b)),
            false => self.cuts.remove(&pair(a, b)),
        };
        if cut {
            self.sever(a, b);
        }
    }

    /// Breaks the link between two nodes once.
    pub fn sever(&mut self, a: usize, b: usize) {
        *self.epochs.entry(pair(a, b)).or_default() += 1;
        let after = if self.setup.net.silent {
            Span::from_secs(2)
        } else {
            Span::from_ms(1)
        };
        for (at, of) in [(a, b), (b, a)] {
            let peer = self.nodes[of].identity.peer.instance.clone();
            let life = self.nodes[at].life;
            let core = self.nodes[at].core.as_ref();
            let lost = core.map_or_else(Vec::new, |core| core.attempts_at(&peer));
            for event in [
                Event::OutboundLinkLost(peer.clone(), lost),
                Event::InboundLinkLost(peer),
            ] {
                self.push(self.now + after, What::Node(at, life, Box::new(event)));
            }
        }
    }

    /// Cuts a group of nodes off from all others, or joins it again.
    pub fn part(&mut self, group: &[usize], cut: bool) {
        for a in group {
            for b in (0..self.nodes.len()).filter(|b| !group.contains(b)) {
                self.cut(*a, b, cut);
            }
        }
    }

    pub(super) fn number(&self, instance: &id::Instance) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.identity.peer.instance == *instance)
    }

    pub(super) fn delay(&mut self, from: usize, to: usize) -> Span {
        let net = &self.setup.net;
        let same = self.nodes[from].identity.peer.domain == self.nodes[to].identity.peer.domain;
        let way = if same { net.near } else { net.far };
        way + Span::from_ms(self.rng.random_range(0..=net.jitter.as_ms()))
    }

    pub(super) fn send(&mut self, from: usize, peer: &id::Instance, frame: Frame) {
        let Some(to) = self.number(peer) else {
            return;
        };
        if self.setup.spy {
            self.spy(frame.encode());
        }
        if from == to {
            let (life, event) = (self.nodes[from].life, Event::Frame(peer.clone(), frame));
            self.push(self.now, What::Node(from, life, Box::new(event)));
            return;
        }
        if self.cuts.contains(&pair(from, to)) || self.nodes[to].core.is_none() {
            let life = self.nodes[from].life;
            let mut fail = |event| {
                self.push(
                    self.now + CONNECT_TIMEOUT,
                    What::Node(from, life, Box::new(event)),
                );
            };
            if let Frame::Attempt { request, .. } = frame {
                fail(Event::AttemptUnsent(request));
            }
            fail(Event::OutboundLinkLost(peer.clone(), Vec::new()));
            return;
        }
        let epoch = self.epochs.get(&pair(from, to)).copied().unwrap_or(0);
        let soonest = self.now + self.delay(from, to);
        let last = self.last.entry((from, to)).or_default();
        *last = soonest.max(*last);
        let at = *last;
        self.push(
            at,
            What::Frame {
                from,
                to,
                epoch,
                frame: Box::new(frame),
            },
        );
    }

    /// Asks a node for a sign of life, which it gives unless it is paused or cut off.
    pub(super) fn ping(&mut self, from: usize, peer: id::Instance) {
        let answers = |to: usize| {
            let node = &self.nodes[to];
            node.core.is_some() && node.paused <= self.now && !self.cuts.contains(&pair(from, to))
        };
        if let Some(to) = self.number(&peer).filter(|to| answers(*to)) {
            let at = self.now + self.delay(from, to) + self.delay(to, from);
            let life = self.nodes[from].life;
            self.push(at, What::Node(from, life, Box::new(Event::Pong(peer))));
        }
    }

    pub(super) fn arrived(&mut self, from: usize, to: usize, epoch: u64, frame: Frame) {
        let now = self.epochs.get(&pair(from, to)).copied().unwrap_or(0);
        if now != epoch && !self.rng.random_bool(self.setup.net.cross) {
            return;
        }
        let peer = self.nodes[from].identity.peer.instance.clone();
        self.event(to, Event::Frame(peer, frame));
    }

    pub(super) fn throw(&mut self, from: usize, to: SocketAddr, message: Box<Message>) {
        if self.setup.spy {
            self.spy(message.encode());
        }
        if self.rng.random_bool(self.setup.net.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.setup.net.double));
        for _ in 0..copies {
            let Some(node) = self
                .nodes
                .iter()
                .position(|n| n.identity.peer.datagram == to)
            else {
                return;
            };
            let at = self.now + self.delay(from, node);
            self.push(
                at,
                What::Datagram {
                    from,
                    to,
                    message: message.clone(),
                },
            );
        }
    }

    pub(super) fn datagram(&mut self, from: usize, to: SocketAddr, message: Message) {
        let Some(node) = self
            .nodes
            .iter()
            .position(|n| n.identity.peer.datagram == to)
        else {
            return;
        };
        if !self.cuts.contains(&pair(from, node)) {
            let source = self.nodes[from].identity.peer.datagram;
            self.event(node, Event::Datagram(source, message));
        }
    }

    /// Whether calls of a node reach the store.
    pub(super) fn reaches_store(&self, node: usize) -> bool {
        !self.weather.out && !self.unreached.contains(&node)
    }

    pub(super) fn asked(&mut self, node: usize, life: u64, number: u64, call: store::Call) {
        let reply = |driver: &mut Self, after: Span, answer: store::Answer| {
            let event = Box::new(Event::StoreAnswer(number, answer));
            driver.push(driver.now + after, What::Node(node, life, event));
        };
        if !self.reaches_store(node) {
            self.lost_calls += 1;
            return reply(self, STORE_TIMEOUT, store::Answer::Lost);
        }
        let answer = self.store.on(self.now, &call);
        let is_unheard = self.weather.deaf && call.after().is_some();
        match answer.filter(|_| !is_unheard) {
            Some(_) if self.rng.random_bool(self.weather.lost) => {
                reply(self, STORE_TIMEOUT, store::Answer::Lost);
            }
            Some(answer) => {
                let transfer = self.transfer(&answer);
                match transfer >= STORE_TIMEOUT {
                    true => reply(self, STORE_TIMEOUT, store::Answer::Lost),
                    false => reply(
                        self,
                        Span::from_ms(2) + self.weather.slow + transfer,
                        answer,
                    ),
                }
            }
            None => {
                if let store::Call::Watch { wait, .. } | store::Call::Follow { wait, .. } = call {
                    self.push(self.now + wait, What::Quiet { node, life, number });
                }
                self.watches.push((node, life, number, call));
            }
        }
        self.notify();
    }

    /// How long an answer is on its way, behind the listings that were sent before.
    fn transfer(&mut self, answer: &store::Answer) -> Span {
        let store::Answer::Listing { entries, .. } = answer else {
            return Span::ZERO;
        };
        if self.weather.listed_per_ms <= 0.0 {
            return Span::ZERO;
        }
        let took = entries.len() as f64 / self.weather.listed_per_ms;
        self.listed_until = self.listed_until.max(self.now) + Span::from_ms(took as u64);
        self.now.until(self.listed_until)
    }

    /// Ends the deafness of the store as a compaction does: its history is gone, and all
    /// calls that wait are cut.
    pub fn compact(&mut self) {
        self.weather.deaf = false;
        self.store.compact();
        for (node, life, number, _) in std::mem::take(&mut self.watches) {
            let cut = Box::new(Event::StoreAnswer(number, store::Answer::Lost));
            self.push(self.now, What::Node(node, life, cut));
        }
    }

    /// Answers the watches that have news, after a write.
    pub fn notify(&mut self) {
        self.store.expire(self.now);
        if self.weather.deaf {
            return;
        }
        let mut rest = Vec::new();
        for (node, life, number, call) in std::mem::take(&mut self.watches) {
            let news = self.store.waited(&call);
            match news {
                Some(_) if !self.reaches_store(node) => {
                    let lost = Box::new(Event::StoreAnswer(number, store::Answer::Lost));
                    self.push(self.now + STORE_TIMEOUT, What::Node(node, life, lost));
                }
                Some(answer) => {
                    let event = Box::new(Event::StoreAnswer(number, answer));
                    self.push(self.now + Span::from_ms(2), What::Node(node, life, event));
                }
                None => rest.push((node, life, number, call)),
            }
        }
        self.watches = rest;
    }
}
