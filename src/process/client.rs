//! An HTTP client for the platform's key-value service, with JSON bodies.
//!
//! Every failure, from a refused connection to an invalid response, is reported
//! as [`Answer::Lost`]: the call may or may not have taken effect.

use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin, //
};

use awc::Connector;

use crate::{
    clock::Span,
    header::is_whole,
    store::{
        Answer,
        Call,
        Store, //
    },
};

/// The maximum size of a response body, in bytes. It is sized for lists of
/// values, which are longer than a single value.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Time for which an idle connection is kept open. It is shorter than the idle
/// timeout of servers, so that no call is sent on a connection that the server
/// is closing.
const KEEP_ALIVE: Span = Span::from_secs(4);

/// A client with a connection pool.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    address: SocketAddr,
    timeout: Span,
}

impl Client {
    /// Creates a client whose calls time out after `timeout`, and whose watches
    /// time out that much after their own wait.
    pub fn new(address: SocketAddr, timeout: Span) -> Self {
        let connector = Connector::new()
            .timeout(timeout.to_std())
            .conn_keep_alive(KEEP_ALIVE.to_std());
        let http = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self {
            http,
            address,
            timeout,
        }
    }

    async fn send(self, call: Call) -> Option<Answer> {
        let request = self.http.post(format!("http://{}/call", self.address));
        let mut response = request.send_json(&call).await.ok()?;
        if !response.status().is_success() {
            log::warn!(
                "the key-value service responded with status {}",
                response.status()
            );
            return None;
        }
        let body = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
        if !is_whole(response.headers(), body.len()) {
            log::warn!("a response of the key-value service breaks off");
            return None;
        }
        serde_json::from_slice(&body).ok()
    }
}

impl Store for Client {
    fn call(&self, call: Call) -> Pin<Box<dyn Future<Output = Answer>>> {
        let deadline = match call {
            Call::Watch { wait, .. } => wait + self.timeout,
            _ => self.timeout,
        };
        let answer = self.clone().send(call);
        Box::pin(async move {
            let answer = tokio::time::timeout(deadline.to_std(), answer).await;
            answer.ok().flatten().unwrap_or(Answer::Lost)
        })
    }
}
