//! HTTP responses that tell callers why a request was refused.

use actix_http::{
    ConnectionType,
    Response,
    StatusCode,
    body::BoxBody, //
};
use bytes::BytesMut;
use serde::Serialize;

use super::door::write_status_line;
use crate::{
    clock::Span,
    code::{
        Code,
        Verdict, //
    },
};

/// The JSON body of a refusal.
#[derive(Serialize)]
struct Body {
    code: u16,
    name: &'static str,
    text: &'static str,
    verdict: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Body {
    fn new(code: Code, retry_after: Option<Span>) -> Self {
        Self {
            code: code as u16,
            name: code.name(),
            text: code.text(),
            verdict: verdict(code),
            retry_after_ms: retry_after.map(|delay| delay.as_ms()),
        }
    }
}

/// The name, in refusals, of whether a request that ended with this code may
/// have run.
pub(crate) const fn verdict(code: Code) -> &'static str {
    match code.verdict() {
        Verdict::NotRun => "not-run",
        Verdict::Unknown => "unknown",
    }
}

/// Builds the response for a code, with `retry-after` in whole seconds if a
/// delay is given.
pub(crate) fn response(code: Code, retry_after: Option<Span>) -> Response<BoxBody> {
    let body = Body::new(code, retry_after);
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = Response::build(status);
    response.insert_header(("content-type", "application/json"));
    response.insert_header(("cache-control", "no-store"));
    if let Some(delay) = retry_after {
        let seconds = delay.as_ms().div_ceil(1000).max(1);
        response.insert_header(("retry-after", seconds.to_string()));
    }
    let text = serde_json::to_string(&body).unwrap_or_default();
    response.body(text).map_into_boxed_body()
}

/// Writes the response for a code to an output buffer, with `retry-after` in
/// seconds with three decimals if a delay is given. The response to `HEAD` has no body.
pub(crate) fn write(
    output: &mut BytesMut,
    code: Code,
    status: u16,
    retry_after: Option<Span>,
    is_head: bool,
    close: bool,
) {
    let body = serde_json::to_string(&Body::new(code, retry_after)).unwrap_or_default();
    write_status_line(output, status);
    let mut line = |name: &str, value: &str| {
        output.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    };
    line("content-type", "application/json");
    line("cache-control", "no-store");
    line("content-length", &body.len().to_string());
    if let Some(delay) = retry_after {
        line("retry-after", &format!("{:.3}", delay.as_secs_f64()));
    }
    if close {
        line("connection", "close");
    }
    output.extend_from_slice(b"\r\n");
    if !is_head {
        output.extend_from_slice(body.as_bytes());
    }
}

/// Like [`response`], but closes the connection, for a request whose remaining
/// body won't be read.
pub(crate) fn last(code: Code, retry_after: Option<Span>) -> Response<BoxBody> {
    let mut response = response(code, retry_after);
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response
}
