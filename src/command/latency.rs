//! `measure latency`: the time that two nodes add to a request.
//!
//! Everything runs on loopback, each part in a thread of its own: a stand-in
//! upstream, the inbound proxy beside it, an ingress node, and the caller.
//! Requests go out at a steady rate, in turns straight to the upstream and
//! through both nodes, so both kinds meet the same machine in the same state,
//! and what is reported is their difference. A second part asks as fast as the
//! nodes answer, for the processor time that each spends on a request.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    rc::Rc,
    sync::mpsc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use bpaf::{
    Parser,
    construct,
    long, //
};
use bytes::Bytes;
use hdrhistogram::Histogram;
use rustix::time::{
    ClockId,
    clock_gettime, //
};
use serde::Serialize;
use tokio::sync::{
    mpsc as channel,
    oneshot, //
};

use super::{
    Failure,
    Job,
    Subcommand, //
};
use crate::{
    client::Client,
    clock::Span,
    document::Snapshot,
    error::{
        Code,
        Error,
        Result, //
    },
    id::Version,
    member::Peer,
    server::Server,
    settings::Settings,
    standin::{
        caller::Caller,
        platform::Service,
        upstream::{
            Act,
            Upstream, //
        },
    },
    tables::Tables,
    team::{
        Key,
        Teams, //
    },
};

/// The time that may be added for 99 requests in 100, in microseconds.
pub const GOAL: u64 = 510;

/// Requests before the measurement, which warm up connections.
const WARM_UP: u32 = 200;

/// Pairs of a block. Other work on the machine disturbs some blocks and not
/// others; the median of their figures is what the nodes add by themselves.
const BLOCK_PAIRS: usize = 500;

/// Requests under way at a time while the nodes are saturated.
const SATURATION_CONCURRENCY: usize = 32;

/// Requests that may fail before the nodes have settled, 10 ms apart.
const SETTLE_TRIES: u32 = 500;

/// The largest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// How to measure.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Pairs of requests: one direct, one through the nodes.
    pub pairs: u32,
    /// Pairs a second, at most about 500: the timer counts milliseconds.
    pub rate: u32,
    /// Requests of the saturated part.
    pub burst: u32,
    /// Bytes of an answer's body.
    pub answer: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            pairs: 4000,
            rate: 400,
            burst: 20_000,
            answer: 1024,
        }
    }
}

/// Latencies of one way, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    /// Half were at most this.
    pub p50: u64,
    /// 99 in 100 were at most this.
    pub p99: u64,
    /// 999 in 1000 were at most this.
    pub p999: u64,
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Pairs that both got whole answers.
    pub pairs: u64,
    /// Straight to the upstream.
    pub direct: Quantiles,
    /// Through ingress node and inbound proxy.
    pub through: Quantiles,
    /// The median over blocks of pairs of the time added at the 99th
    /// percentile, in microseconds.
    pub typical: i64,
    /// Answers a second while saturated.
    pub saturated: u64,
    /// Processor time of the ingress node for a request, in microseconds.
    pub ingress: f64,
    /// Processor time of the inbound proxy for a request, in microseconds.
    pub inbound: f64,
}

impl Figures {
    /// The added time at the median, in microseconds.
    pub fn added_p50(&self) -> u64 {
        self.through.p50.saturating_sub(self.direct.p50)
    }

    /// The added time at the 99th percentile, in microseconds.
    pub fn added_p99(&self) -> u64 {
        self.through.p99.saturating_sub(self.direct.p99)
    }

    /// Requests a second that one core carries through both nodes.
    pub fn per_core(&self) -> u64 {
        (1e6 / (self.ingress + self.inbound)) as u64
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:>10} {:>8} {:>8} {:>8}  µs", "", "p50", "p99", "p99.9")?;
        for (name, way) in [("direct", self.direct), ("through", self.through)] {
            let Quantiles { p50, p99, p999 } = way;
            writeln!(f, "{name:>10} {p50:>8} {p99:>8} {p999:>8}")?;
        }
        let (p50, p99) = (self.added_p50(), self.added_p99());
        writeln!(f, "{:>10} {p50:>8} {p99:>8}", "added")?;
        writeln!(
            f,
            "added at p99, median of blocks of {BLOCK_PAIRS}: {} µs",
            self.typical
        )?;
        writeln!(f, "{} pairs; the goal is {GOAL} µs at p99", self.pairs)?;
        let (ingress, inbound) = (self.ingress, self.inbound);
        writeln!(
            f,
            "processor time a request: ingress {ingress:.1} µs, inbound proxy {inbound:.1} µs"
        )?;
        write!(
            f,
            "requests a second: {} saturated, {} per core of both nodes",
            self.saturated,
            self.per_core()
        )
    }
}

/// Reads `latency [--pairs N] [--rate N] [--burst N] [--json]`.
pub(super) fn parser() -> Subcommand {
    let plan = Plan::default();
    let pairs = long("pairs")
        .help("Pairs of requests, one straight to the upstream and one through two nodes")
        .argument::<u32>("N")
        .fallback(plan.pairs)
        .display_fallback();
    let rate = long("rate")
        .help("Pairs a second")
        .argument::<u32>("N")
        .guard(
            |rate| (1..=100_000).contains(rate),
            "must lie between 1 and 100000",
        )
        .fallback(plan.rate)
        .display_fallback();
    let burst = long("burst")
        .help("Requests of the saturated part")
        .argument::<u32>("N")
        .guard(|burst| *burst >= 1000, "must be at least 1000")
        .fallback(plan.burst)
        .display_fallback();
    let json = long("json").help("Print the figures as JSON").switch();
    construct!(pairs, rate, burst, json)
        .map(|(pairs, rate, burst, json)| -> Job {
            let plan = Plan {
                pairs,
                rate,
                burst,
                ..Plan::default()
            };
            Box::new(move || print(plan, json))
        })
        .to_options()
        .descr("Measure the time that two nodes add to a request, on loopback")
        .footer("Use a release build, and a machine that has nothing else to do")
        .command("latency")
        .boxed()
}

fn print(plan: Plan, json: bool) -> Result<(), Failure> {
    let figures = run(plan)?;
    match json {
        true => println!("{}", serde_json::json!(figures)),
        false => println!("{figures}"),
    }
    Ok(())
}

/// Measures.
///
/// # Errors
///
/// When a part cannot be started, or a request got no whole answer.
pub fn run(plan: Plan) -> Result<Figures> {
    let platform = Part::platform()?;
    let upstream = Part::upstream(plan.answer)?;
    let beside = (upstream.address, platform.address);
    let inbound = Part::node("inbound", "measured", beside, None)?;
    let peer = inbound.peer.clone();
    let ingress = Part::node("ingress", "none", beside, peer)?;
    // Whoever counts the team's rate has to know who asks.
    let _ = inbound.asks.send(Ask::Join(ingress.peer.clone()));
    let direct = upstream.address;
    let through = ingress.address;
    actix_rt::System::new().block_on(async {
        let direct = Rc::new(Caller::new(direct));
        let through = Rc::new(Caller::new(through));
        settle(&through).await?;
        for _ in 0..WARM_UP {
            ask(&direct).await?;
            ask(&through).await?;
        }
        let steady = steady(plan, &direct, through.clone()).await?;
        let before = (ingress.time().await?, inbound.time().await?);
        let saturated = saturate(plan.burst, through_of(ingress.address)).await?;
        let after = (ingress.time().await?, inbound.time().await?);
        let each = |spent: Duration| spent.as_secs_f64() * 1e6 / f64::from(plan.burst);
        Ok(Figures {
            pairs: steady.direct.len() as u64,
            direct: quantiles(&steady.direct),
            through: quantiles(&steady.through),
            typical: steady.typical(),
            saturated,
            ingress: each(after.0 - before.0),
            inbound: each(after.1 - before.1),
        })
    })
}

fn through_of(address: SocketAddr) -> Rc<Caller> {
    Rc::new(Caller::new(address))
}

/// The key of the measuring team.
const KEY: (&str, &str) = ("x-bluebellswitch-key", "measure-1.secret");

async fn ask(caller: &Caller) -> Result<u64> {
    let begin = Instant::now();
    let answer = caller.get("/measured", &[KEY]).await;
    match answer {
        Ok(answer) if answer.status == 200 => Ok(begin.elapsed().as_micros() as u64),
        Ok(answer) => {
            let code = answer.code().unwrap_or(0);
            Err(failed(&format!("status {}, code {code}", answer.status)))
        }
        Err(end) => Err(failed(&format!("{end:?}"))),
    }
}

/// Waits until the nodes have found who counts the team's rate.
async fn settle(caller: &Caller) -> Result<()> {
    for _ in 0..SETTLE_TRIES {
        if ask(caller).await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    ask(caller).await.map(|_| ())
}

fn failed(reason: &str) -> Error {
    let reason = format!("a request of the measurement got no whole answer: {reason}");
    Error::new(Code::Unreachable, reason)
}

/// Latencies of the steady part, in microseconds, in the order of the pairs.
struct Steady {
    direct: Vec<u64>,
    through: Vec<u64>,
}

impl Steady {
    /// The median over blocks of the time added at the 99th percentile.
    fn typical(&self) -> i64 {
        let blocks = self
            .direct
            .chunks(BLOCK_PAIRS)
            .zip(self.through.chunks(BLOCK_PAIRS));
        let added = |(direct, through): (&[u64], &[u64])| {
            quantiles(through).p99 as i64 - quantiles(direct).p99 as i64
        };
        let mut added: Vec<_> = blocks.map(added).collect();
        added.sort_unstable();
        added.get(added.len() / 2).copied().unwrap_or(0)
    }
}

/// Sends pairs at a steady rate, whether earlier ones have ended or not.
async fn steady(plan: Plan, direct: &Rc<Caller>, through: Rc<Caller>) -> Result<Steady> {
    let gap = Duration::from_secs(1) / plan.rate;
    let mut timer = tokio::time::interval(gap);
    let mut asked = Vec::new();
    for _ in 0..plan.pairs {
        timer.tick().await;
        let (direct, through) = (direct.clone(), through.clone());
        asked.push(actix_rt::spawn(async move { ask(&direct).await }));
        // The second of a pair goes out when the first has had its time.
        tokio::time::sleep(gap / 2).await;
        asked.push(actix_rt::spawn(async move { ask(&through).await }));
    }
    let mut steady = Steady {
        direct: Vec::new(),
        through: Vec::new(),
    };
    for (i, asked) in asked.into_iter().enumerate() {
        let micros = asked.await.map_err(|error| failed(&error.to_string()))??;
        let way = match i % 2 {
            0 => &mut steady.direct,
            _ => &mut steady.through,
        };
        way.push(micros);
    }
    Ok(steady)
}

fn quantiles(micros: &[u64]) -> Quantiles {
    let mut histogram = Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).expect("a valid range");
    for micros in micros {
        histogram.saturating_record(*micros);
    }
    Quantiles {
        p50: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
        p999: histogram.value_at_quantile(0.999),
    }
}

/// Asks as fast as answers come, and returns the answers a second.
async fn saturate(burst: u32, caller: Rc<Caller>) -> Result<u64> {
    let begin = Instant::now();
    let each = burst as usize / SATURATION_CONCURRENCY;
    let askers = (0..SATURATION_CONCURRENCY).map(|_| {
        let caller = caller.clone();
        actix_rt::spawn(async move {
            for _ in 0..each {
                ask(&caller).await?;
            }
            Ok::<_, Error>(())
        })
    });
    for asker in askers.collect::<Vec<_>>() {
        asker.await.map_err(|error| failed(&error.to_string()))??;
    }
    let asked = (each * SATURATION_CONCURRENCY) as f64;
    Ok((asked / begin.elapsed().as_secs_f64()) as u64)
}

/// One part in a thread of its own. It ends when this is dropped.
struct Part {
    address: SocketAddr,
    peer: Option<Peer>,
    asks: channel::UnboundedSender<Ask>,
}

impl Part {
    fn platform() -> Result<Self> {
        Self::start(move |ready, asks| async move {
            let service = Service::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            let _ = ready.send(Ok((service.address(), None)));
            answer(asks, drop).await;
            Ok(())
        })
    }

    fn upstream(size: usize) -> Result<Self> {
        let body = Bytes::from(vec![b'x'; size]);
        Self::start(move |ready, asks| async move {
            let upstream = Upstream::start(move |_| Act::whole(body.clone())).await?;
            upstream.forget();
            let _ = ready.send(Ok((upstream.address(), None)));
            answer(asks, drop).await;
            Ok(())
        })
    }

    fn node(
        name: &'static str,
        pool: &'static str,
        (upstream, platform): (SocketAddr, SocketAddr),
        peer: Option<Peer>,
    ) -> Result<Self> {
        let settings = settings(name, pool, upstream)?;
        Self::start(move |ready, asks| async move {
            let store = Rc::new(Client::new(platform, Span::from_secs(1)));
            let server = Server::start(settings, Some(store)).await?;
            server.adopt(Rc::new(snapshot()?));
            server.announce(pool == "measured");
            let mut me = server.peer();
            me.ready = true;
            peer.into_iter().for_each(|peer| server.join(peer));
            let _ = ready.send(Ok((server.addresses().callers, Some(me))));
            answer(asks, |peer| server.join(peer)).await;
            Ok(())
        })
    }

    fn start<F, Fut>(part: F) -> Result<Self>
    where
        F: FnOnce(Ready, Asks) -> Fut + Send + 'static,
        Fut: Future<Output = Result<()>>,
    {
        let (ready, told) = mpsc::channel();
        let (asks, asked) = channel::unbounded_channel();
        thread::spawn(move || {
            let failed = ready.clone();
            let run = part(ready, asked);
            if let Err(error) = actix_rt::System::new().block_on(run) {
                let _ = failed.send(Err(error));
            }
        });
        let (address, peer) = told.recv().map_err(|_| failed("a part did not start"))??;
        Ok(Self {
            address,
            peer,
            asks,
        })
    }

    /// The processor time that the part's thread has spent.
    async fn time(&self) -> Result<Duration> {
        let (reply, answer) = oneshot::channel();
        let _ = self.asks.send(Ask::Time(reply));
        answer.await.map_err(|_| failed("a part has ended"))
    }
}

type Ready = mpsc::Sender<Result<(SocketAddr, Option<Peer>)>>;
type Asks = channel::UnboundedReceiver<Ask>;

/// What is asked of a part while it runs.
enum Ask {
    /// The processor time that its thread has spent.
    Time(oneshot::Sender<Duration>),
    /// To know another node.
    Join(Option<Peer>),
}

/// Does what is asked until nobody asks any more.
async fn answer(mut asks: Asks, join: impl Fn(Peer)) {
    while let Some(ask) = asks.recv().await {
        match ask {
            Ask::Time(reply) => {
                let spent = clock_gettime(ClockId::ThreadCPUTime);
                let spent = Duration::new(spent.tv_sec as u64, spent.tv_nsec as u32);
                let _ = reply.send(spent);
            }
            Ask::Join(peer) => peer.into_iter().for_each(&join),
        }
    }
}

fn settings(name: &str, pool: &str, upstream: SocketAddr) -> Result<Settings> {
    Settings::parse(&format!(
        r#"{{
            "instance": "{name}", "domain": "here", "pool": "{pool}",
            "listen": {{ "callers": "127.0.0.1:0", "service": "127.0.0.1:0",
                         "links": "127.0.0.1:0", "operators": "127.0.0.1:0" }},
            "upstream": "{upstream}",
            "secrets": ["a secret for measuring"],
            "operators_token": "a token for measuring"
        }}"#
    ))
}

fn snapshot() -> Result<Snapshot> {
    let wrong = |error: serde_json::Error| Error::new(Code::Field, error.to_string());
    let routes = r#"[{ "name": "measured", "path": "/*", "pool": "measured" }]"#;
    let pools = r#"[{ "name": "measured", "slots": 256, "queue": 1024 }]"#;
    let teams = r#"[{ "name": "measure", "rate": "1000000/s", "burst": 1000000 }]"#;
    let key = Key::seal("measure-1".parse()?, "measure".parse()?, "salt", "secret");
    Ok(Snapshot {
        callers: None,
        evacuations: BTreeMap::new(),
        version: Version(1),
        tables: Tables {
            routes: serde_json::from_str(routes).map_err(wrong)?,
            pools: serde_json::from_str(pools).map_err(wrong)?,
        },
        teams: Teams {
            teams: serde_json::from_str(teams).map_err(wrong)?,
            keys: vec![key],
        },
    })
}
