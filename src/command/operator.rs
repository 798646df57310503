//! How commands reach the operators' listeners of nodes.

use std::{
    fmt::Display,
    net::SocketAddr,
    path::PathBuf, //
};

use awc::{
    Client,
    http::StatusCode, //
};
use bpaf::{
    Parser,
    construct,
    long, //
};
use bytes::Bytes;
use serde_json::Value;

use super::place;
use crate::{
    clock::Span,
    error::{
        Code,
        Error,
        Result, //
    },
    header::is_whole, //
};

/// How long a node may take to answer.
const REQUEST_TIMEOUT: Span = Span::from_secs(3);
/// The longest answer, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;

/// The nodes that a command asks, and what it shows them.
#[derive(Clone, Debug)]
pub(super) struct Nodes {
    /// Their operators' addresses.
    pub(super) nodes: Vec<SocketAddr>,
    token: Option<String>,
    file: Option<PathBuf>,
}

/// Reads `--node ADDRESS` and where the token is.
pub(super) fn nodes() -> impl Parser<Nodes> {
    let nodes = long("node")
        .help("The operators' address of a node, by IP number and port; may be repeated")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let file = long("token-file")
        .help("A file with the operators' token; else BLUEBELLSWITCH_TOKEN holds it")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(nodes, file).map(|(nodes, file)| Nodes {
        nodes,
        // Not on the command line, where other users of the machine see it.
        token: std::env::var("BLUEBELLSWITCH_TOKEN").ok(),
        file,
    })
}

/// Talks to operators' listeners.
#[derive(Clone)]
pub(super) struct Operator {
    http: Client,
    token: String,
}

impl Nodes {
    /// A client with the token.
    pub(super) fn operator(&self) -> Result<Operator> {
        let token = match (&self.file, &self.token) {
            (Some(file), _) => place::read(file)?.text.trim().to_owned(),
            (None, Some(token)) => token.clone(),
            (None, None) => {
                let reason = "the operators' token is missing: give --token-file, or set \
                              BLUEBELLSWITCH_TOKEN";
                return Err(Error::new(Code::Usage, reason));
            }
        };
        Ok(Operator::with_token(&token))
    }

    /// Refuses a command that names no node.
    pub(super) fn require(&self) -> Result<()> {
        if self.nodes.is_empty() {
            return Err(Error::new(Code::Usage, "name a node with --node"));
        }
        Ok(())
    }
}

impl Operator {
    /// A client with this token.
    pub(super) fn with_token(token: &str) -> Self {
        Self {
            http: Client::builder().timeout(REQUEST_TIMEOUT.to_std()).finish(),
            token: token.to_owned(),
        }
    }

    /// Reads one page as text; nothing when the node does not have it.
    pub(super) async fn text(&self, node: SocketAddr, path: &str) -> Result<Option<String>> {
        let request = self.http.get(format!("http://{node}{path}"));
        let body = self.send(node, request).await?;
        Ok(body.map(|body| String::from_utf8_lossy(&body).into_owned()))
    }

    /// Reads one page as JSON; nothing when the node does not have it.
    pub(super) async fn get(&self, node: SocketAddr, path: &str) -> Result<Option<Value>> {
        let request = self.http.get(format!("http://{node}{path}"));
        let body = self.send(node, request).await?;
        body.map(|body| json(node, &body)).transpose()
    }

    /// Gives a command.
    pub(super) async fn post(&self, node: SocketAddr, path: &str) -> Result<()> {
        let request = self.http.post(format!("http://{node}{path}"));
        match self.send(node, request).await? {
            Some(_) => Ok(()),
            None => Err(unreachable(node, &"it does not know the command")),
        }
    }

    async fn send(&self, node: SocketAddr, request: awc::ClientRequest) -> Result<Option<Bytes>> {
        let sent = request.bearer_auth(&self.token).send().await;
        let mut answer = sent.map_err(|error| unreachable(node, &error))?;
        match answer.status() {
            StatusCode::NOT_FOUND => return Ok(None),
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
                let reason = format!("the node at {node} refuses the operators' token");
                return Err(Error::new(Code::Secret, reason));
            }
            status if !status.is_success() => return Err(unreachable(node, &status)),
            _ => {}
        }
        let body = answer.body().limit(ANSWER_LIMIT).await;
        let body = body.map_err(|error| unreachable(node, &error))?;
        match is_whole(answer.headers(), body.len()) {
            true => Ok(Some(body)),
            false => Err(unreachable(node, &"its answer breaks off")),
        }
    }
}

fn json(node: SocketAddr, body: &[u8]) -> Result<Value> {
    serde_json::from_slice(body).map_err(|error| unreachable(node, &error))
}

fn unreachable(node: SocketAddr, reason: &dyn Display) -> Error {
    Error::new(Code::Unreachable, format!("the node at {node}: {reason}"))
}
