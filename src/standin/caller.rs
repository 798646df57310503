//! A stand-in for a caller: sends requests and reads their answers whole.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::Span,
    connection::header::Names,
    connection::{
        body::{
            Inlet,
            MAX_CHUNK, //
        },
        upstream::Pool,
    },
    frame::Head,
    inbound::End,
    memory::Budget,
    unit::Size,
};

/// Time after which an unused connection is not used again.
const IDLE_TIMEOUT: Span = Span::from_secs(4);
/// Memory of the process that a caller reckons with.
const MEMORY: Size = Size::kib(256 << 10);

/// An answer, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers, names in lower case.
    pub headers: Vec<(String, Bytes)>,
    /// Its body.
    pub body: Bytes,
}

impl Answer {
    /// The value of a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// The number of a refusal.
    pub fn code(&self) -> Option<u64> {
        let body: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        body.get("code")?.as_u64()
    }
}

/// A caller with its connections.
pub struct Caller(Pool);

/// A body that a caller sends.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    /// What it sends.
    pub body: Bytes,
    /// Whether it tells the length beforehand.
    pub sized: bool,
}

impl Caller {
    /// A caller of one node.
    pub fn new(address: SocketAddr) -> Self {
        let memory = Budget::new(MEMORY);
        Self(Pool::new(
            address,
            IDLE_TIMEOUT,
            Names::own(),
            false,
            memory,
        ))
    }

    /// Sends a request without a body.
    ///
    /// # Errors
    ///
    /// When no connection could be made, or the answer was cut.
    pub async fn get(&self, target: &str, headers: &[(&str, &str)]) -> Result<Answer, End> {
        self.send("GET", target, headers, Bytes::new()).await
    }

    /// Sends a request, with its length told.
    ///
    /// # Errors
    ///
    /// As [`Caller::get`].
    pub async fn send(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, End> {
        let sent = Sent {
            body: body.into(),
            sized: true,
        };
        self.run(method, target, headers, sent).await
    }

    /// Sends a request in either framing.
    ///
    /// # Errors
    ///
    /// As [`Caller::get`].
    pub async fn run(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        sent: Sent,
    ) -> Result<Answer, End> {
        let mut all = Vec::new();
        if !headers.iter().any(|(name, _)| *name == "host") {
            all.push(("host".to_owned(), Bytes::from_static(b"service")));
        }
        let copy = |(name, value): &(&str, &str)| (name.to_string(), value.to_string().into());
        all.extend(headers.iter().map(copy));
        let head = Head {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: all,
            length: sent.sized.then_some(sent.body.len() as u64),
            ..Head::default()
        };
        let inlet = Inlet::new(|_| {});
        let feeding = feed(inlet.clone(), sent.body);
        let reading = self.read(&head, inlet);
        let (answer, ()) = tokio::join!(reading, feeding);
        answer
    }

    async fn read(&self, head: &Head, inlet: Rc<Inlet>) -> Result<Answer, End> {
        let mut answer = self.0.send(head, inlet.clone()).await;
        // Whoever still feeds the body need not wait for anybody.
        inlet.cut();
        let answer = answer.as_mut().map_err(|end| *end)?;
        let mut body = BytesMut::new();
        while let Some(chunk) = self.0.next(answer).await.map_err(|_| End::Cut)? {
            body.extend_from_slice(&chunk);
        }
        Ok(Answer {
            status: answer.head.status,
            headers: answer.head.headers.clone(),
            body: body.freeze(),
        })
    }
}

/// Hands a body over as there is room for it.
async fn feed(inlet: Rc<Inlet>, body: Bytes) {
    let sum = xxh3_64(&body);
    let mut rest = body;
    while !rest.is_empty() && inlet.is_open() {
        if inlet.room() < MAX_CHUNK {
            tokio::time::sleep(Span::from_ms(1).to_std()).await;
            continue;
        }
        inlet.push(rest.split_to(rest.len().min(MAX_CHUNK)));
    }
    if rest.is_empty() {
        inlet.end(sum);
    }
}
