//! Clients, which keep connections, pipeline, upload, give up, and come back.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc, //
};

use actix_http::h1;
use bytes::{
    Bytes,
    BytesMut, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
};
use tokio_util::codec::Decoder;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    World,
    config::{
        Callers,
        HOST,
        Kind,
        LIMITED_TEAM,
        ROUTES,
        Route,
        TEAMS, //
    },
    pause,
    record::{
        Got,
        Request,
        Rule, //
    },
    server,
    within, //
};
use crate::clock::{
    Clock,
    Span, //
};

/// How long after the timeout of its route a client waits for an answer.
const PATIENCE: Span = Span::from_ms(2500);
/// Longest time that a client waits.
pub(super) const LONGEST_DEADLINE: Span = Span::from_ms(6500);
/// Most clients of each machine, and of all, as far as each machine has one.
const CLIENTS: usize = 6;
const ALL_CLIENTS: usize = 120;
/// Pause of a client between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..220;
/// Longest time that a client keeps a connection open that it reads no more, in
/// milliseconds.
const MAX_LINGER_MS: u64 = 3000;
const CONNECT_TIMEOUT: Span = Span::from_secs(1);
/// Share of clients' requests that they give up early.
const GIVE_UP_SHARE: f64 = 0.02;
/// Share of requests that come on a connection of their own.
const FRESH_SHARE: f64 = 0.1;
/// Share of requests with a key that was withdrawn.
const WITHDRAWN_SHARE: f64 = 0.02;
/// Share of refused requests whose clients come back at once.
const AT_ONCE_SHARE: f64 = 0.3;
/// Times that a client comes back.
const MAX_RETURNS: usize = 2;
/// Longest wait before a client comes back.
const MAX_WAIT: Span = Span::from_ms(700);
/// Requests sent behind each other.
const PIPELINED: usize = 3;
/// Longest pause of a slow upload, in milliseconds.
const UPLOAD_PAUSE_MS: u64 = 900;
const LONG_UPLOAD_PAUSE_MS: u64 = 3000;
/// Share of uploads that pause, of most clients and of those that stay.
const UPLOAD_PAUSE_SHARE: f64 = 0.2;
const LONG_UPLOAD_PAUSE_SHARE: f64 = 0.7;
const UPLOAD_BYTES: std::ops::Range<u64> = 500..180_000;
/// The same of the share of uploads that fit no socket's buffer.
const LARGE_UPLOAD_BYTES: std::ops::Range<u64> = 1_000_000..2_000_000;
const LARGE_UPLOAD_SHARE: f64 = 0.05;

/// A request that is ready to be sent.
struct Outgoing {
    id: String,
    head: String,
    body: Bytes,
    is_chunked: bool,
    /// Pause in the middle of the body.
    stall: Span,
    deadline: Span,
}

/// An answer that has come whole.
struct Answer {
    status: u16,
    id: Option<String>,
    seal: Option<String>,
    retry_after: Option<Span>,
    body: Bytes,
    /// Whether its head has a field of a spoiled answer.
    is_odd: bool,
    /// Whether its body is longer than any, and was not read on.
    is_oversized: bool,
    keeps_open: bool,
}

/// A kept connection.
pub(super) struct Connection {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    input: BytesMut,
}

/// The connection that a client keeps for its next request.
pub(super) type Kept = RefCell<Option<Connection>>;

/// Starts the clients of a machine.
pub(super) fn start(world: &Rc<World>, machine: usize) {
    let clients = (ALL_CLIENTS / world.machines.len()).clamp(1, CLIENTS);
    for _ in 0..clients {
        actix_rt::spawn(live(world.clone(), machine));
    }
}

async fn live(world: Rc<World>, machine: usize) {
    let kept = Kept::default();
    let routes = Route::of_callers(Callers::Clients);
    while world.open.get() {
        let pause_ms = world.draw(PAUSE_MS);
        pause(Span::from_ms(pause_ms)).await;
        let route = draw_route(&world, &routes);
        if route.kind == Kind::Safe && world.chance(0.3) {
            pipeline(&world, machine, route, &kept).await;
            continue;
        }
        for returns in 0..=MAX_RETURNS {
            let key = draw_key(&world);
            let deadline = route.timeout + PATIENCE;
            let request = prepare(&world, machine, route, Some(key), deadline);
            let (got, wait) = exchange(&world, request, machine, &kept).await;
            let comes_back = got.is_promise() || got == Got::Unsent;
            if !comes_back || returns == MAX_RETURNS || !world.open.get() {
                break;
            }
            if !world.chance(AT_ONCE_SHARE) {
                pause(wait.unwrap_or(MAX_WAIT).min(MAX_WAIT)).await;
            }
        }
    }
}

/// Sends requests to a machine until it is over, each once the last one has ended.
pub(super) async fn stay(
    world: Rc<World>,
    machine: usize,
    routes: Vec<&'static Route>,
    is_over: Rc<Cell<bool>>,
) {
    let kept = Kept::default();
    while !is_over.get() {
        let pause_ms = world.draw(PAUSE_MS);
        pause(Span::from_ms(pause_ms)).await;
        let route = draw_route(&world, &routes);
        let key = (!route.keyless).then(|| draw_key(&world));
        let deadline = route.timeout + PATIENCE;
        let request = prepare(&world, machine, route, key, deadline);
        exchange(&world, request, machine, &kept).await;
    }
}

fn draw_route(world: &World, routes: &[&'static Route]) -> &'static Route {
    routes[world.draw(0..routes.len() as u64) as usize]
}

/// Makes a call of the server of a machine.
pub(super) async fn nested(world: &World, machine: usize, route: &str, left: Span) -> Got {
    let Some(route) = ROUTES.iter().find(|other| other.name == route) else {
        return Got::Unsent;
    };
    let request = prepare(world, machine, route, None, left);
    let (got, _) = exchange(
        world,
        request,
        machine,
        &world.machines[machine].server.kept,
    )
    .await;
    got
}

/// Returns a key, which for some requests is withdrawn.
fn draw_key(world: &World) -> String {
    let team = match world.chance(0.1) {
        true => LIMITED_TEAM,
        false => TEAMS[world.draw(0..2) as usize],
    };
    let configuration = world.configuration();
    let withdrawn = configuration
        .keys
        .iter()
        .filter(|key| key.removed.is_some());
    let withdrawn: Vec<_> = withdrawn.collect();
    if !withdrawn.is_empty() && world.chance(WITHDRAWN_SHARE) {
        return withdrawn[world.draw(0..withdrawn.len() as u64) as usize]
            .text
            .clone();
    }
    let present: Vec<_> = configuration.keys_of(team).collect();
    present[world.draw(0..present.len() as u64) as usize]
        .text
        .clone()
}

/// Prepares a request and records that it is about to be sent.
fn prepare(
    world: &World,
    machine: usize,
    route: &'static Route,
    key: Option<String>,
    deadline: Span,
) -> Outgoing {
    let names = world.dialect.names();
    let id = world.next_id();
    let target = format!("/{}/{id}", route.name);
    let length = match route.kind {
        Kind::Safe => 0,
        Kind::Unsafe => world.draw(1..400),
        Kind::Upload if world.chance(LARGE_UPLOAD_SHARE) => world.draw(LARGE_UPLOAD_BYTES),
        Kind::Upload => world.draw(UPLOAD_BYTES),
    };
    let body: Bytes = id
        .bytes()
        .cycle()
        .take(length as usize)
        .collect::<Vec<_>>()
        .into();
    let is_chunked = route.kind == Kind::Upload && world.chance(0.5);
    let mut head = format!(
        "{} {target} HTTP/1.1\r\nhost: {HOST}\r\n{}: {id}\r\n{}: {}\r\n",
        route.method(),
        names.request.unwrap_or_default(),
        names.left,
        deadline.as_ms()
    );
    if let Some(key) = &key {
        head.push_str(&format!("{}: {key}\r\n", names.key));
    }
    if is_chunked {
        head.push_str("transfer-encoding: chunked\r\n");
    } else if length > 0 {
        head.push_str(&format!("content-length: {length}\r\n"));
    }
    head.push_str("\r\n");
    let (share, longest) = match route.callers {
        Callers::Stayers => (LONG_UPLOAD_PAUSE_SHARE, LONG_UPLOAD_PAUSE_MS),
        _ => (UPLOAD_PAUSE_SHARE, UPLOAD_PAUSE_MS),
    };
    let stall = match route.kind == Kind::Upload && world.chance(share) {
        true => world.draw_span(1, longest),
        false => Span::ZERO,
    };
    let request = Request {
        route,
        target,
        machine,
        key,
        body: xxh3_64(&body),
        sent: Clock.now(),
        written: None,
        limit: route.timeout.min(deadline),
        kept: false,
        is_behind: false,
        got: None,
        sealed: false,
        arrivals: Vec::new(),
    };
    world.record().requests.insert(id.clone(), request);
    Outgoing {
        id,
        head,
        body,
        is_chunked,
        stall,
        deadline,
    }
}

/// Sends a request and records how it ended. Also returns when the client is to come back.
async fn exchange(
    world: &World,
    request: Outgoing,
    machine: usize,
    kept: &Kept,
) -> (Got, Option<Span>) {
    let patience = match world.chance(GIVE_UP_SHARE) {
        true => world.draw_span(1, 300),
        false => request.deadline,
    };
    let sent = within(patience, send(world, &request, machine, kept)).await;
    let (got, wait) = sent.unwrap_or((Got::Nothing, None));
    world.record().set_got(&request.id, Clock.now(), got);
    (got, wait)
}

async fn send(
    world: &World,
    request: &Outgoing,
    machine: usize,
    kept: &Kept,
) -> (Got, Option<Span>) {
    let Some(mut connection) = connect(world, &request.id, machine, kept).await else {
        return (Got::Unsent, None);
    };
    let Connection {
        reader,
        writer,
        input,
    } = &mut connection;
    let mut is_sent = false;
    let answer = {
        let mut read = std::pin::pin!(read_answer(world, reader, input));
        let mut write = std::pin::pin!(write(writer, request));
        tokio::select! {
            written = &mut write => {
                is_sent = written.is_some();
                if is_sent {
                    world.record().set_written(&request.id, Clock.now());
                }
                read.await
            }
            answer = &mut read => answer,
        }
    };
    let Some(answer) = answer else {
        return (Got::Closed, None);
    };
    if answer.is_oversized {
        linger(world, connection);
        return (Got::Oversized, None);
    }
    check(world, &request.id, &answer);
    if answer.keeps_open && is_sent {
        kept.replace(Some(connection));
    }
    (Got::Status(answer.status), answer.retry_after)
}

/// Keeps a connection open for a while without reading.
fn linger(world: &World, connection: Connection) {
    let lingering = world.draw_span(0, MAX_LINGER_MS);
    actix_rt::spawn(async move {
        pause(lingering).await;
        drop(connection);
    });
}

/// Sends requests behind each other and reads their answers.
async fn pipeline(world: &World, machine: usize, route: &'static Route, kept: &Kept) {
    let key = draw_key(world);
    let deadline = route.timeout + PATIENCE;
    let requests: Vec<_> = (0..PIPELINED)
        .map(|_| prepare(world, machine, route, Some(key.clone()), deadline))
        .collect();
    for request in &requests[1..] {
        if let Some(request) = world.record().requests.get_mut(&request.id) {
            request.is_behind = true;
        }
    }
    let connection = connect(world, &requests[0].id, machine, kept).await;
    let mut answered = 0;
    let end = match connection {
        None => Got::Unsent,
        Some(mut connection) => {
            let all: String = requests.iter().map(|request| &*request.head).collect();
            let _ = connection.writer.write_all(all.as_bytes()).await;
            for request in &requests {
                world.record().set_written(&request.id, Clock.now());
            }
            let end = within(deadline, async {
                for request in &requests {
                    let read = read_answer(world, &mut connection.reader, &mut connection.input);
                    let answer = read.await.ok_or(Got::Closed)?;
                    answered += 1;
                    if answer.is_oversized {
                        let got = Got::Oversized;
                        world.record().set_got(&request.id, Clock.now(), got);
                        return Err(Got::Nothing);
                    }
                    check(world, &request.id, &answer);
                    let got = Got::Status(answer.status);
                    world.record().set_got(&request.id, Clock.now(), got);
                    if !answer.keeps_open {
                        return Err(Got::Closed);
                    }
                }
                Ok(())
            });
            match end.await {
                None => Got::Nothing,
                Some(Err(end)) => end,
                Some(Ok(())) => {
                    kept.replace(Some(connection));
                    return;
                }
            }
        }
    };
    for request in &requests[answered..] {
        world.record().set_got(&request.id, Clock.now(), end);
    }
}

/// Returns the kept connection, if it is still open, or a new one.
async fn connect(world: &World, id: &str, machine: usize, kept: &Kept) -> Option<Connection> {
    let connection = kept.take().filter(|_| !world.chance(FRESH_SHARE));
    if let Some(connection) = connection {
        let mut probe = [0; 16];
        let rest = connection.reader.try_read(&mut probe);
        if !connection.input.is_empty() || matches!(rest, Ok(1..)) {
            let case = format!("{id}: bytes came without a request");
            world.record().break_rule(Rule::Mixed, case);
        } else if rest.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock) {
            if let Some(request) = world.record().requests.get_mut(id) {
                request.kept = true;
            }
            return Some(connection);
        }
    }
    let address = world.machines[machine].addresses.callers;
    let stream = within(CONNECT_TIMEOUT, TcpStream::connect(address)).await?;
    let stream = stream.ok()?;
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    Some(Connection {
        reader,
        writer,
        input: BytesMut::new(),
    })
}

async fn write(writer: &mut OwnedWriteHalf, request: &Outgoing) -> Option<()> {
    writer.write_all(request.head.as_bytes()).await.ok()?;
    let half = request.body.len() / 2;
    for (number, part) in [&request.body[..half], &request.body[half..]]
        .iter()
        .enumerate()
    {
        if number > 0 && request.stall > Span::ZERO {
            pause(request.stall).await;
        }
        if part.is_empty() {
            continue;
        }
        if request.is_chunked {
            let size = format!("{:x}\r\n", part.len());
            writer.write_all(size.as_bytes()).await.ok()?;
        }
        writer.write_all(part).await.ok()?;
        if request.is_chunked {
            writer.write_all(b"\r\n").await.ok()?;
        }
    }
    if request.is_chunked {
        writer.write_all(b"0\r\n\r\n").await.ok()?;
    }
    Some(())
}

/// Reads one answer; `None` if the connection ends before it is whole.
async fn read_answer(
    world: &World,
    reader: &mut OwnedReadHalf,
    input: &mut BytesMut,
) -> Option<Answer> {
    let mut codec = h1::ClientCodec::default();
    let head = loop {
        match codec.decode(input).ok()? {
            Some(head) => break head,
            None if reader.read_buf(input).await.ok()? == 0 => return None,
            None => {}
        }
    };
    let names = world.dialect.names();
    let text = |name: &str| {
        let value = head.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let wait: Option<f64> = text("retry-after").and_then(|text| text.parse().ok());
    let mut answer = Answer {
        status: head.status.as_u16(),
        id: names.request.and_then(text),
        seal: names.seal.and_then(text),
        retry_after: wait.map(|seconds| Span::from_ms((seconds * 1000.0) as u64)),
        body: Bytes::new(),
        is_odd: head
            .headers()
            .keys()
            .any(|name| name.as_str().starts_with("x-odd")),
        is_oversized: false,
        keeps_open: text("connection").is_none_or(|text| !text.eq_ignore_ascii_case("close")),
    };
    if codec.message_type() == h1::MessageType::None {
        return Some(answer);
    }
    let mut codec = codec.into_payload_codec();
    let mut body = BytesMut::new();
    loop {
        match codec.decode(input).ok()? {
            Some(Some(chunk)) => body.extend_from_slice(&chunk),
            Some(None) => break,
            None if reader.read_buf(input).await.ok()? == 0 => return None,
            None => {}
        }
        if body.len() > server::MAX_ANSWER_BYTES {
            answer.is_oversized = true;
            break;
        }
    }
    answer.body = body.freeze();
    Some(answer)
}

/// Checks that an answer is the one of the request.
fn check(world: &World, id: &str, answer: &Answer) {
    let mut record = world.record();
    let Some(request) = record.requests.get(id) else {
        return;
    };
    let seal = answer.seal.as_deref().and_then(Seal::parse);
    let made_by = |seal: &Seal| {
        let mut runs = request.runs();
        runs.any(|run| run.machine == seal.machine && run.status == Some(seal.status))
    };
    let is_success = (200..300).contains(&answer.status);
    let is_other = answer.id.as_deref().is_some_and(|other| other != id);
    let wrong = match &seal {
        _ if is_other => Some("the answer to another request"),
        _ if answer.is_odd => Some("a head that is not HTTP"),
        _ if !(200..600).contains(&answer.status) => Some("a status that is not HTTP"),
        None if is_success => Some("a success without a seal"),
        Some(_) if answer.id.is_none() => Some("a server's answer without its id"),
        Some(seal) if answer.status != seal.status => Some("another status than the server's"),
        Some(seal) if !made_by(seal) => Some("an answer that the server has not made"),
        Some(_) if answer.body != server::answer_body(id) => Some("another body"),
        _ => None,
    };
    if let Some(request) = record.requests.get_mut(id) {
        request.sealed = seal.is_some();
    }
    if let Some(wrong) = wrong {
        record.break_rule(Rule::Mixed, format!("{id}: {wrong}"));
    }
}

/// What a server says of its answer.
struct Seal {
    machine: usize,
    status: u16,
}

impl Seal {
    fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        Some(Self {
            machine: parts.next()?.parse().ok()?,
            status: parts.next()?.parse().ok()?,
        })
    }
}
