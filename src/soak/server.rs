//! The server beside a node: runs requests, makes calls of its own, and fails in the ways
//! that servers fail.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
};

use bytes::Bytes;
use futures_util::{
    FutureExt,
    future::LocalBoxFuture, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    World, client,
    config::Route,
    endless::Endless,
    judge,
    machine::{
        Announcement,
        State, //
    },
    pause,
    record::{
        Arrival,
        Got,
        Rule, //
    },
    within,
};
use crate::{
    clock::{
        Clock,
        Span,
        Time, //
    },
    error::Result,
    standin::upstream::{
        Act,
        Seen,
        Upstream, //
    },
};

/// Requests that a server runs at a time.
const SLOTS: u32 = 24;
/// Share of requests that fail by themselves.
const FAILURE_SHARE: f64 = 0.004;
/// Share of rejections that echo no id.
const NAMELESS_SHARE: f64 = 0.05;
/// Interval between two announcements, and that after one without an answer.
const ANNOUNCEMENT_INTERVAL: Span = Span::from_ms(500);
const ANNOUNCEMENT_RETRY: Span = Span::from_ms(100);
const ANNOUNCEMENT_TIMEOUT: Span = Span::from_secs(1);
/// Length of the shortest and the longest answer, in bytes.
const ANSWER_BYTES: std::ops::Range<u64> = 40..6000;
/// No answer is longer.
pub(super) const MAX_ANSWER_BYTES: usize = (ANSWER_BYTES.start + ANSWER_BYTES.end) as usize;

/// How a server may spoil an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Garble {
    /// It breaks off.
    Cut,
    /// Bytes that are no answer come first.
    Junk,
    /// It comes twice.
    Twice,
    /// It comes a second time where a later answer is due.
    Late,
    /// Its end is that of the connection.
    Unframed,
    /// A status that promises not to have run, without the header that says so.
    Unproven,
    /// It breaks off within its head.
    HeadCut,
    /// Its head is not HTTP.
    OddHead,
    /// The part of an answer comes before the body of an upload is read, and a reset after it.
    Abandoned,
}

/// How the end of an answer is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    /// By the end of its connection.
    Close,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];

/// Fields that are not HTTP. A client that gets one finds it by its name.
const ODD_FIELDS: [&str; 7] = [
    "x-odd : a",
    "x odd: a",
    "x-odd\t: a",
    "x-odd\u{1}: a",
    "x-odd: a\0",
    "x-odd: a\r\n b",
    "x-odd",
];
/// Statuses that are not HTTP.
const ODD_STATUSES: [&str; 6] = ["000", "099", "600", "999", "20", "2000"];
/// Share of abandoned uploads whose connection is reset with the part of the answer, and how
/// much later it is reset otherwise, in milliseconds.
const ABANDON_AT_ONCE_SHARE: f64 = 0.5;
const ABANDON_MS: std::ops::Range<u64> = 1..60;

/// Those that no answer of a server can mean.
pub(super) const GARBLES: [Garble; 5] = [
    Garble::Cut,
    Garble::Junk,
    Garble::Twice,
    Garble::Late,
    Garble::Unframed,
];

/// What is wrong with a server now.
#[derive(Clone, Debug, Default)]
pub(super) struct Faults {
    /// Share of requests that it rejects.
    pub(super) shed: f64,
    /// Whether all its rejections echo the id.
    pub(super) named: bool,
    /// Whether it rejects uploads before they are in.
    pub(super) early: bool,
    /// Share of answers that it spoils, and how.
    pub(super) garble: f64,
    pub(super) garbles: Vec<Garble>,
    /// Share of requests that it answers without end, and how.
    pub(super) endless: Option<(f64, Endless)>,
    /// Share of answers that are lost, by a reset of the connection if so.
    pub(super) lose: f64,
    pub(super) reset: bool,
    /// It accepts requests and answers none.
    pub(super) silent: bool,
    /// How many times as long it takes.
    pub(super) slow: u64,
}

/// The server of a machine.
pub(super) struct Server {
    number: usize,
    address: SocketAddr,
    service: &'static str,
    upstream: RefCell<Option<Upstream>>,
    id: RefCell<String>,
    lives: Cell<u64>,
    born: Cell<u64>,
    sequence: Cell<u64>,
    state: Cell<State>,
    /// Whether a fault ends and starts the server.
    is_changing: Cell<bool>,
    /// When the present server's leaving was acknowledged.
    pub(super) drain_acknowledged: Cell<Option<Time>>,
    pub(super) faults: RefCell<Faults>,
    /// The slots that it announces.
    pub(super) slots: Cell<u32>,
    /// When it was not sound, until when.
    sick: RefCell<Vec<(Time, Time)>>,
    /// The connection that its own calls keep.
    pub(super) kept: client::Kept,
}

impl Server {
    pub(super) fn new(number: usize, address: SocketAddr, service: &'static str) -> Self {
        Self {
            number,
            address,
            service,
            upstream: RefCell::default(),
            id: RefCell::default(),
            lives: Cell::new(0),
            born: Cell::new(0),
            sequence: Cell::new(0),
            state: Cell::new(State::Gone),
            is_changing: Cell::new(false),
            drain_acknowledged: Cell::new(None),
            faults: RefCell::default(),
            slots: Cell::new(SLOTS),
            sick: RefCell::default(),
            kept: client::Kept::default(),
        }
    }

    pub(super) fn restore_slots(&self) {
        self.slots.set(SLOTS);
    }

    /// Records that the server is not sound for some time.
    pub(super) fn ail(&self, span: Span) {
        let now = Clock.now();
        self.sick.borrow_mut().push((now, now + span));
    }

    /// Whether the server was sound all the time.
    pub(super) fn is_sound(&self, from: Time, to: Time) -> bool {
        !judge::overlaps(&self.sick.borrow(), from, to)
    }

    /// Starts a server with a new id.
    pub(super) async fn start(&self, world: &Rc<World>, number: usize) -> Result<()> {
        self.lives.set(self.lives.get() + 1);
        self.id
            .replace(format!("i-{}-{}", self.number, self.lives.get()));
        self.start_again(world, number).await
    }

    /// Starts a server with the id of the last one, which knows nothing of before.
    pub(super) async fn start_again(&self, world: &Rc<World>, number: usize) -> Result<()> {
        self.born.set(Clock.wall());
        self.sequence.set(0);
        self.drain_acknowledged.set(None);
        let own = self.id.borrow().clone();
        self.listen(world, number, own, self.service).await?;
        self.state.set(State::Ready);
        Ok(())
    }

    /// Lets a server of another service take the address.
    pub(super) async fn lend(
        &self,
        world: &Rc<World>,
        number: usize,
        service: &'static str,
    ) -> Result<()> {
        let id = format!("i-other-{number}-{}", self.lives.get());
        self.listen(world, number, id, service).await
    }

    async fn listen(
        &self,
        world: &Rc<World>,
        number: usize,
        id: String,
        service: &'static str,
    ) -> Result<()> {
        let script = Rc::new(Script {
            world: world.clone(),
            number,
            id,
            service,
            late: RefCell::default(),
        });
        // The connections of the last server may need a moment to close.
        for _ in 0..50 {
            let script = script.clone();
            let started = Upstream::start_at(self.address, move |seen| script.act(seen)).await;
            if let Ok(upstream) = started {
                upstream.forget();
                self.upstream.replace(Some(upstream));
                return Ok(());
            }
            pause(Span::from_ms(20)).await;
        }
        Err(crate::Error::broken("the address of a server stays in use"))
    }

    /// Ends the server with all that it runs.
    pub(super) fn crash(&self) {
        self.state.set(State::Gone);
        if let Some(upstream) = self.upstream.borrow_mut().take() {
            actix_rt::spawn(upstream.close());
        }
    }

    /// Lets the server announce that it leaves, or announce nothing more, while it goes on
    /// serving.
    pub(super) fn leave(&self, state: State) {
        self.state.set(state);
    }

    /// Lets the server announce that it leaves, and returns whether that was acknowledged
    /// within twice the time that it takes to leave.
    pub(super) async fn depart(&self, world: &World, number: usize, state: State) -> bool {
        self.leave(state);
        if state == State::Gone && say(world, number, state).await {
            self.drain_acknowledged.set(Some(Clock.now()));
        }
        let drain = world.dialect.bounds().drain;
        let until = Clock.now() + drain + drain;
        while self.drain_acknowledged.get().is_none() && Clock.now() < until {
            pause(Span::from_ms(20)).await;
        }
        self.drain_acknowledged.get().is_some()
    }

    /// Claims the right to end and start the server. Returns whether no other fault has it.
    pub(super) fn begin_change(&self) -> bool {
        !self.is_changing.replace(true)
    }

    pub(super) fn end_change(&self) {
        self.is_changing.set(false);
    }
}

/// Announces the server to the node beside it, as long as there is one.
pub(super) async fn announce(world: Rc<World>, number: usize) {
    let machine = &world.machines[number];
    let server = &machine.server;
    loop {
        let state = server.state.get();
        if state == State::Gone {
            pause(ANNOUNCEMENT_RETRY).await;
            continue;
        }
        let is_heard = say(&world, number, state).await;
        let now = Clock.now();
        let is_leaving = state == State::Draining && server.state.get() == State::Draining;
        if is_heard && is_leaving && server.drain_acknowledged.get().is_none() {
            server.drain_acknowledged.set(Some(now));
        }
        pause(match is_heard {
            true => ANNOUNCEMENT_INTERVAL,
            false => ANNOUNCEMENT_RETRY,
        })
        .await;
    }
}

/// Sends one announcement, and returns whether it was acknowledged.
pub(super) async fn say(world: &World, number: usize, state: State) -> bool {
    let announcement = prepare(world, number, state);
    deliver(world, number, &announcement).await
}

/// Returns the next announcement as it is sent.
pub(super) fn prepare(world: &World, number: usize, state: State) -> String {
    let machine = &world.machines[number];
    let server = &machine.server;
    server.sequence.set(server.sequence.get() + 1);
    let id = server.id.borrow().clone();
    let (target, body) = world.dialect.announcement(&Announcement {
        id: &id,
        identity: &machine.identity,
        server: machine.addresses.server,
        slots: server.slots.get(),
        state,
        sequence: server.sequence.get(),
        born: server.born.get(),
    });
    format!(
        "POST {target} HTTP/1.1\r\nhost: node\r\ncontent-type: application/json\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Delivers an announcement, and returns whether it was acknowledged.
pub(super) async fn deliver(world: &World, number: usize, announcement: &str) -> bool {
    let address = world.machines[number].addresses.announcements;
    let answer = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(announcement.as_bytes()).await.ok()?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await.ok()?;
        Some(head.ends_with(b" 200"))
    };
    within(ANNOUNCEMENT_TIMEOUT, answer).await.flatten() == Some(true)
}

/// What one life of a server does with requests.
struct Script {
    world: Rc<World>,
    number: usize,
    id: String,
    service: &'static str,
    /// Answers that come a second time, by connection.
    late: RefCell<HashMap<usize, Bytes>>,
}

/// An answer before it is written.
#[derive(Clone)]
struct Answer {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Answer {
    fn act(self) -> Act {
        Act::Answer(self.status, self.headers, self.body)
    }

    /// The fields of the head but those of its framing.
    fn fields(&self) -> String {
        let fields = self.headers.iter();
        fields
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect()
    }

    /// The head as it is written.
    fn head(&self, framing: Framing) -> String {
        let mut text = format!("HTTP/1.1 {} Status\r\n{}", self.status, self.fields());
        match framing {
            Framing::Length => {
                text.push_str(&format!("content-length: {}\r\n", self.body.len()));
            }
            Framing::Chunked => text.push_str("transfer-encoding: chunked\r\n"),
            Framing::Close => {}
        }
        text.push_str("\r\n");
        text
    }

    /// The whole answer as it is written without chunks.
    fn bytes(&self, framing: Framing) -> Bytes {
        [self.head(framing).as_bytes(), &self.body].concat().into()
    }
}

/// The body with which a server answers a request.
pub(super) fn answer_body(id: &str) -> Bytes {
    let length = ANSWER_BYTES.start + xxh3_64(id.as_bytes()) % ANSWER_BYTES.end;
    let text = id.bytes().cycle().take(length as usize);
    text.collect::<Vec<_>>().into()
}

impl Script {
    fn act(self: &Rc<Self>, seen: &Seen) -> Act {
        let may_copy = seen.whole == seen.is_bodiless();
        let copy = may_copy
            .then(|| self.late.borrow_mut().remove(&seen.connection))
            .flatten();
        if seen.whole {
            let act = self.answer(seen);
            return match copy {
                Some(copy) => Act::Before(copy, Box::new(act)),
                None => act,
            };
        }
        if let Some(copy) = copy {
            return Act::Before(copy, Box::new(Act::Silence));
        }
        let faults = self.faults();
        if !seen.is_bodiless() && faults.early && self.world.chance(faults.shed) {
            return Act::Ahead(Box::new(self.reject(seen, &faults)));
        }
        if !seen.is_bodiless()
            && faults.garbles.contains(&Garble::Abandoned)
            && self.world.chance(faults.garble)
        {
            return self.abandon(seen);
        }
        // Ignored: the script is asked again once the body has come.
        Act::Silence
    }

    fn faults(&self) -> Faults {
        self.machine().server.faults.borrow().clone()
    }

    fn machine(&self) -> &super::machine::Machine {
        &self.world.machines[self.number]
    }

    fn id_of<'a>(&self, seen: &'a Seen) -> &'a str {
        let name = self.world.dialect.names().request.unwrap_or_default();
        seen.header(name).unwrap_or_default()
    }

    /// Records that the request has arrived.
    fn arrive(&self, seen: &Seen, ran: bool) -> usize {
        let arrival = Arrival {
            at: Clock.now(),
            machine: self.number,
            service: self.service,
            ran,
            status: None,
        };
        self.world.record().arrive(self.id_of(seen), arrival)
    }

    fn echo(&self, seen: &Seen) -> Vec<(&'static str, String)> {
        let name = self.world.dialect.names().request.unwrap_or_default();
        vec![(name, self.id_of(seen).to_owned())]
    }

    fn answer(self: &Rc<Self>, seen: &Seen) -> Act {
        let names = self.world.dialect.names();
        let target = names.target.and_then(|name| seen.header(name));
        if target.is_some_and(|target| target != self.id) {
            self.arrive(seen, false);
            return Act::Answer(421, self.echo(seen), Bytes::new());
        }
        let faults = self.faults();
        if self.world.chance(faults.shed) {
            return self.reject(seen, &faults);
        }
        self.check(seen);
        let arrival = self.arrive(seen, true);
        if faults.silent {
            return Act::Silence;
        }
        let (script, seen) = (self.clone(), seen.clone());
        Act::Work(Rc::new(move || -> LocalBoxFuture<'static, Act> {
            script.clone().run(seen.clone(), arrival).boxed_local()
        }))
    }

    /// Rejects a request without running it.
    fn reject(&self, seen: &Seen, faults: &Faults) -> Act {
        self.arrive(seen, false);
        let names = self.world.dialect.names();
        let is_nameless = !faults.named && self.world.chance(NAMELESS_SHARE);
        let mut headers = match is_nameless {
            true => Vec::new(),
            false => self.echo(seen),
        };
        headers.push((names.rejected.unwrap_or_default(), "1".to_owned()));
        let status = if self.world.chance(0.2) { 429 } else { 503 };
        let answer = Answer {
            status,
            headers,
            body: Bytes::new(),
        };
        self.spoil(seen, faults, answer)
    }

    /// Works on a request, and returns what it is answered.
    async fn run(self: Rc<Self>, seen: Seen, arrival: usize) -> Act {
        let faults = self.faults();
        let endless = faults
            .endless
            .filter(|(share, _)| self.world.chance(*share));
        if let Some((_, endless)) = endless {
            let answer = self.seal(&seen, arrival, 200);
            return endless.act(&answer.fields(), &answer.body);
        }
        let [least, most] = Route::of(&seen.target).map_or([0, 0], |route| route.work_ms);
        let work = self.world.draw(least..most + 1) * faults.slow.max(1);
        pause(Span::from_ms(work)).await;
        let mut status = match self.world.chance(FAILURE_SHARE) {
            true => 500,
            false => 200,
        };
        if !self.call(&seen).await {
            status = 500;
        }
        let answer = self.seal(&seen, arrival, status);
        if self.world.chance(faults.lose) {
            return match faults.reset {
                true => Act::Close(true),
                false => Act::Silence,
            };
        }
        self.spoil(&seen, &faults, answer)
    }

    /// Makes the answer to a request that has run.
    fn seal(&self, seen: &Seen, arrival: usize, status: u16) -> Answer {
        let id = self.id_of(seen).to_owned();
        let body = answer_body(&id);
        let names = self.world.dialect.names();
        let mut headers = self.echo(seen);
        let seal = format!("{}.{status}.{}", self.number, body.len());
        headers.push((names.seal.unwrap_or_default(), seal));
        self.world.record().set_status(&id, arrival, status);
        Answer {
            status,
            headers,
            body,
        }
    }

    /// Makes the calls that a request needs, and returns whether all succeeded.
    async fn call(&self, seen: &Seen) -> bool {
        let calls: &[(&str, f64)] = match Route::of(&seen.target).map(|route| route.name) {
            Some("view" | "upload") => &[("check", 1.0)],
            Some("order") => &[("reserve", 0.5), ("check", 0.5)],
            Some("ship" | "move" | "build" | "tour") => &[("reserve", 0.3)],
            _ => &[],
        };
        let left = self.world.dialect.names().left;
        let left = seen.header(left).and_then(|left| left.parse().ok());
        let until = Clock.now() + Span::from_ms(left.unwrap_or(0));
        for (route, share) in calls {
            if !self.world.chance(*share) {
                continue;
            }
            let left = Clock.now().until(until);
            let got = client::nested(&self.world, self.number, route, left).await;
            if got != Got::Status(200) {
                return false;
            }
        }
        true
    }

    /// Spoils an answer, if it is its turn.
    fn spoil(&self, seen: &Seen, faults: &Faults, answer: Answer) -> Act {
        if faults.garbles.is_empty() || !self.world.chance(faults.garble) {
            return answer.act();
        }
        let drawn = self.world.draw(0..faults.garbles.len() as u64) as usize;
        let bytes = answer.bytes(Framing::Length);
        match faults.garbles[drawn] {
            Garble::Cut => Act::Raw(bytes.slice(..bytes.len() / 2)),
            Garble::Junk => {
                let junk = Bytes::from_static(b"\x16\x03\x01 no answer\r\n\r\n");
                Act::Before(junk, Box::new(answer.act()))
            }
            Garble::Twice => Act::Before(bytes, Box::new(answer.act())),
            Garble::Late => {
                self.late.borrow_mut().insert(seen.connection, bytes);
                answer.act()
            }
            Garble::Unframed => Act::Raw(answer.bytes(Framing::Close)),
            Garble::Unproven if answer.status == 200 => {
                let status = [408, 429, 503][self.world.draw(0..3) as usize];
                Act::Answer(status, self.echo(seen), Bytes::from_static(b"busy"))
            }
            Garble::Unproven => answer.act(),
            Garble::HeadCut => self.cut_head(&answer),
            Garble::OddHead => Act::Raw(self.odden(&answer)),
            Garble::Abandoned => answer.act(),
        }
    }

    /// Answers an upload with a part of an answer, and closes the connection.
    fn abandon(&self, seen: &Seen) -> Act {
        let arrival = self.arrive(seen, true);
        let bytes = self.seal(seen, arrival, 200).bytes(Framing::Close);
        let part = bytes.slice(..bytes.len() - 1);
        let delay = match self.world.chance(ABANDON_AT_ONCE_SHARE) {
            true => Span::ZERO,
            false => Span::from_ms(self.world.draw(ABANDON_MS)),
        };
        Act::Abandon(part, delay)
    }

    /// Returns an answer whose head is not HTTP.
    fn odden(&self, answer: &Answer) -> Bytes {
        let text = answer.head(Framing::Length);
        let drawn = self
            .world
            .draw(0..(ODD_FIELDS.len() + ODD_STATUSES.len()) as u64) as usize;
        let head = match ODD_FIELDS.get(drawn) {
            Some(field) => text.replacen("\r\n", &format!("\r\n{field}\r\n"), 1),
            None => {
                let odd = ODD_STATUSES[drawn - ODD_FIELDS.len()];
                text.replacen(&answer.status.to_string(), odd, 1)
            }
        };
        [head.as_bytes(), &answer.body].concat().into()
    }

    /// Writes a part of an answer's head, then closes or resets the connection.
    fn cut_head(&self, answer: &Answer) -> Act {
        let framing = FRAMINGS[self.world.draw(0..FRAMINGS.len() as u64) as usize];
        let head = answer.head(framing);
        // With its head, an answer that ends with its connection is whole.
        let most = head.len() - usize::from(framing == Framing::Close);
        let cut = match self.world.chance(0.5) {
            true => self.world.draw(1..most as u64 + 1) as usize,
            // Around the end of the last line and the empty line.
            false => most - self.world.draw(0..5) as usize,
        };
        let part = Bytes::copy_from_slice(&head.as_bytes()[..cut]);
        Act::Before(part, Box::new(Act::Close(self.world.chance(0.5))))
    }

    /// Checks that a request that is about to run is one that a client has sent.
    fn check(&self, seen: &Seen) {
        let names = self.world.dialect.names();
        let id = self.id_of(seen);
        let mut record = self.world.record();
        let Some(request) = record.requests.get(id).cloned() else {
            return;
        };
        let configuration = self.world.configuration();
        let key = request
            .key
            .as_deref()
            .and_then(|key| configuration.key(key));
        let origin = self.world.machines[request.machine].identity.service;
        let team = names.team.and_then(|name| seen.header(name));
        let is_team_wrong = match &request.key {
            Some(_) => team != key.map(|key| key.team),
            None => false,
        };
        let checks = [
            (seen.target != request.target, "another target"),
            (seen.method != request.route.method(), "another method"),
            (xxh3_64(&seen.body) != request.body, "another body"),
            (seen.header(names.key).is_some(), "the key was passed on"),
            (
                names.origin.and_then(|name| seen.header(name)) != Some(origin),
                "another calling service",
            ),
            (is_team_wrong, "another team"),
        ];
        for (is_wrong, what) in checks {
            if is_wrong {
                record.break_rule(Rule::Unasked, format!("{id}: {what}"));
            }
        }
        let acknowledged = self.machine().server.drain_acknowledged.get();
        // What a node has acknowledged binds it also while the store is away.
        let calm = |from| {
            let (from, to) = (from, Clock.now());
            let machine = &self.world.machines[request.machine];
            machine.is_calm_but_for_store(from, to) && !record.is_stalled(from, to)
        };
        let late = |at| Clock.now().since(at) > self.world.dialect.bounds().drain;
        if acknowledged.is_some_and(|at| late(at) && calm(at)) {
            let at = acknowledged.unwrap_or_default();
            let after = Clock.now().since(at);
            record.break_rule(
                Rule::Drain,
                format!("{id}: {after} after machine {} knew", self.number),
            );
        }
    }
}
