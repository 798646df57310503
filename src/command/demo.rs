//! `demo`: the whole system in one process, under load and with faults.
//!
//! Real nodes on loopback, real HTTP, the platform's stand-in. It checks the
//! promises as it goes and fails when one broke.

mod ledger;
mod load;
mod report;
mod service;
mod site;

use std::{
    cell::RefCell,
    io::IsTerminal,
    rc::Rc, //
};

use bpaf::{
    Parser,
    construct,
    long, //
};

use self::{
    ledger::Ledger,
    load::Load,
    report::Report,
    site::{
        CUSTOMERS,
        Site,
        TOKEN, //
    },
};
use super::{
    Failure,
    Job,
    Subcommand,
    operator::Operator, //
};
use crate::{
    change::Proposal,
    clock::{
        Clock,
        Span, //
    },
    document::Document,
    edit,
    error::{
        Code,
        Error,
        Result, //
    },
    id::Version,
    server::Stop,
};

/// Requests a second with each key, before the surge.
const RATE: f64 = 55.0;
/// How many times the usual load a surge is.
const SURGE_FACTOR: f64 = 3.0;
/// Time by which every node must have a new version.
const ADOPTION_TIMEOUT: Span = Span::from_secs(5);
/// Time that nodes get to find each other.
const JOIN_TIMEOUT: Span = Span::from_secs(5);
/// Time for the last answers.
const LAST_ANSWER_TIMEOUT: Span = Span::from_secs(9);

/// Reads `demo`.
pub(super) fn parser() -> Subcommand {
    let plain = long("plain")
        .help("Plain lines, as in a pipe, also on a terminal")
        .switch();
    construct!(plain)
        .map(|plain| -> Job { Box::new(move || run(plain)) })
        .to_options()
        .descr("Show the whole system in one process: load, a surge, faults and edits")
        .footer(
            "Takes under 30 seconds and needs nothing. Exits with 1 when a promise was seen broken",
        )
        .command("demo")
        .boxed()
}

fn run(plain: bool) -> Result<(), Failure> {
    let live = !plain && std::io::stdout().is_terminal();
    let broken = actix_rt::System::new().block_on(async {
        let ledger = Rc::new(RefCell::new(Ledger::default()));
        for customer in &CUSTOMERS {
            let mut ledger = ledger.borrow_mut();
            ledger.limit(customer.name, customer.rate as f64, customer.burst);
        }
        let site = Site::start(&ledger).await?;
        let nodes: Vec<_> = site.instances.iter().map(|i| i.addresses.callers).collect();
        let load = Load::new(&nodes, &ledger);
        let demo = Demo {
            operator: Operator::with_token(TOKEN),
            report: Report::new(live),
            site,
            ledger,
            load,
        };
        demo.play().await
    })?;
    if broken.is_empty() {
        println!("\nno promise broke");
        return Ok(());
    }
    Err(Failure(broken))
}

struct Demo {
    operator: Operator,
    report: Report,
    site: Site,
    ledger: Rc<RefCell<Ledger>>,
    load: Rc<Load>,
}

impl Demo {
    /// Plays all phases, and returns the promises that broke.
    async fn play(&self) -> Result<Vec<Error>> {
        self.joined().await?;
        self.rated().await;
        for key in &self.site.keys {
            actix_rt::spawn(self.load.clone().run(key.clone(), RATE));
        }
        self.phase("steady load", Span::from_secs(3)).await;
        self.load.surge.set(SURGE_FACTOR);
        self.phase("surge to three times the load", Span::from_secs(3))
            .await;
        self.instance("registry-south")?.service.kill();
        self.phase("surge, and an upstream is killed", Span::from_secs(3))
            .await;
        self.load.surge.set(1.0);
        self.phase("steady again, the upstream still gone", Span::from_secs(3))
            .await;
        self.withdraw().await?;
        self.phase("the key mills-old was withdrawn", Span::from_secs(5))
            .await;
        let passed = self.edit().await?;
        let clean = self.drain().await?;
        self.phase("one row edited, one node drained", Span::from_secs(2))
            .await;
        self.load.on.set(false);
        let ended = self
            .until(LAST_ANSWER_TIMEOUT, async || self.load.open.get() == 0)
            .await;
        let calls = self.site.calls();
        let mut broken = self.verdict();
        let unrated = self.ledger.borrow().unrated();
        self.report.line(&format!(
            "{unrated:>6}  calls were refused for want of a rate to count"
        ));
        self.report.line(&format!(
            "the edit was in force on every node after {passed}"
        ));
        self.report.line(&format!(
            "the drained node ended, {}",
            if clean { "nothing cut" } else { "CUT" }
        ));
        self.report.line(&format!(
            "the platform's service took {} calls",
            calls.calls
        ));
        if !clean {
            broken.push(Error::broken("a planned stop cut a request"));
        }
        if !ended {
            broken.push(Error::broken("a caller has no answer after its deadline"));
        }
        self.site.stop().await;
        Ok(broken)
    }

    fn verdict(&self) -> Vec<Error> {
        let promises = self.ledger.borrow().promises();
        for promise in &promises {
            self.report
                .line(&format!("{:>6}  {}", promise.1, promise.0));
        }
        let broken = promises.iter().filter(|promise| promise.1 > 0);
        let error = |p: &ledger::Promise| Error::broken(format!("{}: {} times", p.0, p.1));
        broken.map(error).collect()
    }

    async fn phase(&self, name: &str, length: Span) {
        self.ledger.borrow_mut().phase.clear();
        let before = self.retries().await;
        self.report.begin(name, length);
        let end = Clock.now() + length;
        while Clock.now() < end {
            tokio::time::sleep(Span::from_ms(250).to_std()).await;
            self.report.progress(Clock.now().until(end));
        }
        let retries = self.retries().await.saturating_sub(before);
        self.report.table(&self.ledger.borrow(), retries);
    }

    /// Retries of all nodes so far, as their metrics tell.
    async fn retries(&self) -> u64 {
        let mut sum = 0;
        for instance in &self.site.instances {
            let node = instance.addresses.operators;
            if let Ok(Some(text)) = self.operator.text(node, "/metrics").await {
                sum += report::sum(&text, "bluebellswitch_retried");
            }
        }
        sum
    }

    fn instance(&self, name: &str) -> Result<&site::Instance> {
        let found = self.site.named(name);
        found.ok_or_else(|| Error::new(Code::Absent, format!("there is no instance `{name}`")))
    }

    /// Waits until every node has the configuration and knows all others.
    async fn joined(&self) -> Result<()> {
        let count = self.site.instances.len();
        let ready = async || {
            for instance in &self.site.instances {
                let status = self.status(instance).await;
                let members = status["members"].as_array();
                let ready = |m: &&serde_json::Value| m["ready"] == true;
                let members = members.map_or(0, |m| m.iter().filter(ready).count());
                if members < count || status["version"].as_u64().is_none_or(|v| v == 0) {
                    return false;
                }
            }
            true
        };
        if self.until(JOIN_TIMEOUT, ready).await {
            return Ok(());
        }
        Err(Error::broken("the nodes did not find each other in time"))
    }

    /// Waits, but not for ever, until every node serves every key: the teams'
    /// rates need an owner each.
    async fn rated(&self) {
        let served = async || {
            for instance in &self.site.instances {
                for key in &self.site.keys {
                    if !load::probe(instance.addresses.callers, key).await {
                        return false;
                    }
                }
            }
            true
        };
        self.until(JOIN_TIMEOUT, served).await;
    }

    async fn status(&self, instance: &site::Instance) -> serde_json::Value {
        let node = instance.addresses.operators;
        let status = self.operator.get(node, "/status").await;
        status.ok().flatten().unwrap_or_default()
    }

    async fn until(&self, limit: Span, done: impl AsyncFn() -> bool) -> bool {
        let end = Clock.now() + limit;
        while Clock.now() < end {
            if done().await {
                return true;
            }
            tokio::time::sleep(Span::from_ms(20).to_std()).await;
        }
        done().await
    }

    async fn withdraw(&self) -> Result<()> {
        let edit = |document: &mut Document| {
            let keys = &mut document.teams.keys;
            keys.retain(|key| key.name.as_str() != "mills-old");
            Ok(())
        };
        let wish = Proposal::Edit(Box::new(edit));
        self.site.commit("key withdraw mills-old", wish).await?;
        let mut ledger = self.ledger.borrow_mut();
        ledger.withdraw("mills mills-old", Clock.now());
        Ok(())
    }

    /// Edits one row, and tells how long it took to be in force everywhere.
    async fn edit(&self) -> Result<Span> {
        let edit = |document: &mut Document| {
            let fields = [("importance".to_owned(), Some("normal".into()))];
            document.routes = edit::set(&document.routes, "search", &fields)?;
            Ok(())
        };
        let wish = Proposal::Edit(Box::new(edit));
        let done = self.site.commit("route set search", wish).await?;
        let begin = Clock.now();
        let version = done.document.version;
        if self
            .until(ADOPTION_TIMEOUT, async || self.in_force(version).await)
            .await
        {
            return Ok(Clock.now().since(begin));
        }
        Err(Error::broken("an edit was not in force everywhere in time"))
    }

    async fn in_force(&self, version: Version) -> bool {
        for instance in &self.site.instances {
            let status = self.status(instance).await;
            if status["version"].as_u64().is_none_or(|v| v < version.0) {
                return false;
            }
        }
        true
    }

    /// Drains one node, and tells whether nothing was cut.
    async fn drain(&self) -> Result<bool> {
        let instance = self.instance("issuer-west")?;
        let node = instance.addresses.operators;
        self.load.leave(instance.addresses.callers);
        self.operator.post(node, "/drain").await?;
        let ended = async || instance.stop.borrow().is_some();
        self.until(Span::from_secs(8), ended).await;
        let stop = *instance.stop.borrow();
        Ok(stop == Some(Stop::Clean))
    }
}
