//! Callers that send real requests at a rate, whatever becomes of the answers.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc, //
};

use rand::seq::IndexedRandom;

use super::{
    ledger::{
        End,
        Ledger,
        Line, //
    },
    service::{
        FLOW_HEADER,
        ID_HEADER, //
        NESTED_FAILURE_BODY,
    },
    site::Held,
};
use crate::{
    clock::{
        Clock,
        Span, //
    },
    code::{
        Code,
        Verdict, //
    },
    context::Importance,
    inbound,
    standin::caller::{
        Answer,
        Caller, //
    },
};

/// Time between two looks at what is due.
const TICK_INTERVAL: Span = Span::from_ms(5);
/// Time after which a caller gives up; every deadline is shorter.
const CALLER_TIMEOUT: Span = Span::from_secs(8);

/// The kinds of requests: importance, method, path and share of a flow.
pub(super) const KINDS: [(Importance, &str, &str, f64); 3] = [
    (Importance::Critical, "POST", "/certificates", 0.25),
    (Importance::Normal, "GET", "/certificates/4711", 0.4),
    (Importance::Low, "GET", "/certificates", 0.35),
];

/// Where callers send to, and what they send.
pub(super) struct Load {
    /// How many times the usual load.
    pub(super) surge: Cell<f64>,
    /// Whether callers go on.
    pub(super) on: Cell<bool>,
    /// Requests whose answers are awaited.
    pub(super) open: Cell<u64>,
    callers: RefCell<Vec<(SocketAddr, Rc<Caller>)>>,
    ledger: Rc<RefCell<Ledger>>,
    next: Cell<u64>,
}

impl Load {
    /// Callers that know these nodes.
    pub(super) fn new(nodes: &[SocketAddr], ledger: &Rc<RefCell<Ledger>>) -> Rc<Self> {
        let callers = nodes
            .iter()
            .map(|node| (*node, Rc::new(Caller::new(*node))));
        Rc::new(Self {
            surge: Cell::new(1.0),
            on: Cell::new(true),
            open: Cell::new(0),
            callers: RefCell::new(callers.collect()),
            ledger: ledger.clone(),
            next: Cell::new(1),
        })
    }

    /// Callers no longer use a node.
    pub(super) fn leave(&self, node: SocketAddr) {
        self.callers
            .borrow_mut()
            .retain(|(other, _)| *other != node);
    }

    /// Sends with one key, so many requests a second in all.
    pub(super) async fn run(self: Rc<Self>, key: Held, rate: f64) {
        let mut due = KINDS.map(|_| 0.0);
        let mut last = Clock.now();
        while self.on.get() {
            tokio::time::sleep(TICK_INTERVAL.to_std()).await;
            let now = Clock.now();
            let passed = now.since(last).as_secs_f64() * self.surge.get() * rate;
            last = now;
            for (kind, due) in KINDS.iter().zip(&mut due) {
                *due += passed * kind.3;
                while *due >= 1.0 {
                    *due -= 1.0;
                    let call = self.clone().call(key.clone(), kind);
                    actix_rt::spawn(call);
                }
            }
        }
    }

    async fn call(self: Rc<Self>, key: Held, kind: &'static (Importance, &str, &str, f64)) {
        let (importance, method, path, _) = kind;
        let line = Line {
            team: key.team,
            importance: *importance,
        };
        let id = self.next.get();
        self.next.set(id + 1);
        self.open.set(self.open.get() + 1);
        self.ledger.borrow_mut().sent(line);
        let (end, not_run) = self.send(&key, method, path, id).await;
        self.ledger.borrow_mut().ended(line, id, &end, not_run);
        self.open.set(self.open.get() - 1);
    }

    async fn send(&self, key: &Held, method: &str, path: &str, id: u64) -> (End, bool) {
        let chosen = self.callers.borrow().choose(&mut rand::rng()).cloned();
        let Some((_, caller)) = chosen else {
            return (End::Gone, false);
        };
        let (number, flow) = (id.to_string(), format!("{} {}", key.team, key.name));
        let bearer = format!("Bearer {}", key.text);
        let headers = [
            (ID_HEADER, number.as_str()),
            (FLOW_HEADER, flow.as_str()),
            ("authorization", bearer.as_str()),
        ];
        let sending = caller.send(method, path, &headers, "");
        match tokio::time::timeout(CALLER_TIMEOUT.to_std(), sending).await {
            Ok(Ok(answer)) => judge(&answer, &number),
            Ok(Err(inbound::End::Refused)) => (End::Gone, false),
            Ok(Err(_)) | Err(_) => (End::Wrong, false),
        }
    }
}

/// Whether a node serves a key now.
pub(super) async fn probe(node: SocketAddr, key: &Held) -> bool {
    let bearer = format!("Bearer {}", key.text);
    let headers = [("authorization", bearer.as_str())];
    let answer = Caller::new(node).get("/certificates/1", &headers).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

fn judge(answer: &Answer, number: &str) -> (End, bool) {
    if answer.status == 200 {
        let own = answer.body == number.as_bytes();
        return (if own { End::Whole } else { End::Wrong }, false);
    }
    if answer.body == NESTED_FAILURE_BODY.as_bytes() {
        return (End::Below, false);
    }
    let code = answer.code().and_then(|number| {
        let all = Code::ALL.iter();
        all.copied().find(|code| *code as u64 == number)
    });
    match code {
        Some(code) => (End::Refused(code), code.verdict() == Verdict::NotRun),
        None => (End::Wrong, false),
    }
}
