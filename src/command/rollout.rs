//! Waits until a version is in force everywhere, or names who has not
//! confirmed it.
//!
//! A node that is asked surveys one watcher of each failure domain, so that a
//! large fleet is asked in a few calls. A node that cannot survey answers for
//! itself alone.

use std::net::SocketAddr;

use bpaf::{
    Parser,
    construct,
    long, //
};
use serde_json::Value;

use super::operator::{
    Nodes,
    Operator,
    nodes, //
};
use crate::{
    clock::{
        Clock,
        Span, //
    },
    error::{
        Code,
        Error,
        Result, //
    },
    id::Version,
};

/// Time between two questions.
const POLL_INTERVAL: Span = Span::from_ms(300);

/// How long to wait, and whom to ask.
#[derive(Clone, Debug)]
pub(super) struct Rollout {
    wait: Option<Span>,
    nodes: Nodes,
}

/// Reads `--wait TIME` and the nodes to ask.
pub(super) fn rollout() -> impl Parser<Rollout> {
    let wait = long("wait")
        .help("Wait so long, such as 15s, until the nodes named have the change in force")
        .argument::<Span>("TIME")
        .optional();
    let nodes = nodes();
    construct!(Rollout { wait, nodes })
}

impl Rollout {
    /// The nodes to ask.
    pub(super) fn nodes(&self) -> &Nodes {
        &self.nodes
    }

    /// Refuses a wait that could ask nobody, before anything is changed.
    pub(super) fn check(&self) -> Result<()> {
        if self.wait.is_some() {
            self.nodes.require()?;
            self.nodes.operator()?;
        }
        Ok(())
    }

    /// Waits, if that was asked for, and returns how long it took.
    ///
    /// # Errors
    ///
    /// When some nodes have not confirmed in time; their names are in it.
    pub(super) fn wait(&self, version: Version) -> Result<Option<Span>> {
        let Some(limit) = self.wait else {
            return Ok(None);
        };
        let operator = self.nodes.operator()?;
        let begin = Clock.now();
        actix_rt::System::new().block_on(async {
            loop {
                let ask = self.nodes.nodes.iter();
                let ask = ask.map(|node| behind(&operator, *node, version));
                let behind: Vec<_> = futures_util::future::join_all(ask).await;
                let behind: Vec<_> = behind.into_iter().flatten().collect();
                let passed = Clock.now().since(begin);
                if behind.is_empty() {
                    return Ok(Some(passed));
                }
                if passed >= limit {
                    return Err(unconfirmed(version, &behind));
                }
                tokio::time::sleep(POLL_INTERVAL.to_std()).await;
            }
        })
    }
}

fn unconfirmed(version: Version, behind: &[String]) -> Error {
    let reason = format!(
        "the version {version} is accepted, but not confirmed by {}",
        behind.join(", ")
    );
    Error::new(Code::Unconfirmed, reason)
}

/// Who has not confirmed, as far as one node can tell.
async fn behind(operator: &Operator, node: SocketAddr, version: Version) -> Vec<String> {
    let itself = || vec![format!("the node at {node}")];
    match operator.get(node, "/rollout").await {
        Ok(Some(rollout)) => surveyed(&rollout, version),
        Ok(None) => match operator.get(node, "/status").await {
            Ok(Some(status)) if has(&status["version"], version) => Vec::new(),
            _ => itself(),
        },
        Err(_) => itself(),
    }
}

fn has(value: &Value, version: Version) -> bool {
    value.as_u64().is_some_and(|value| value >= version.0)
}

fn surveyed(rollout: &Value, version: Version) -> Vec<String> {
    let mut missing = Vec::new();
    let instance = rollout["instance"].as_str().unwrap_or("a node");
    if !has(&rollout["version"], version) {
        missing.push(instance.to_owned());
    }
    let domains = rollout["domains"].as_array();
    for domain in domains.into_iter().flatten() {
        let name = domain["domain"].as_str().unwrap_or("?");
        if !has(&domain["version"], version) {
            missing.push(format!("the failure domain {name}"));
            continue;
        }
        let names = domain["names"].as_array();
        let names = names.into_iter().flatten().filter_map(Value::as_str);
        let before = missing.len();
        missing.extend(names.map(str::to_owned));
        let named = (missing.len() - before) as u64;
        let count = domain["behind"].as_u64().unwrap_or(0);
        if count > named {
            missing.push(format!("{} more in {name}", count - named));
        }
    }
    missing
}
