//! Refusals as callers read them.

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

/// The body of a refusal.
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
    fn of(code: Code, wait: Option<Span>) -> Self {
        Self {
            code: code as u16,
            name: code.name(),
            text: code.text(),
            verdict: verdict(code),
            retry_after_ms: wait.map(|wait| wait.as_ms()),
        }
    }
}

/// Whether a request ended by this code may have run, in words.
pub(crate) const fn verdict(code: Code) -> &'static str {
    match code.verdict() {
        Verdict::NotRun => "not-run",
        Verdict::Unknown => "unknown",
    }
}

/// The HTTP answer that carries a code, and tells when to come back.
pub(crate) fn response(code: Code, wait: Option<Span>) -> Response<BoxBody> {
    let body = Body::of(code, wait);
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = Response::build(status);
    response.insert_header(("content-type", "application/json"));
    response.insert_header(("cache-control", "no-store"));
    if let Some(wait) = wait {
        let seconds = wait.as_ms().div_ceil(1000).max(1);
        response.insert_header(("retry-after", seconds.to_string()));
    }
    let text = serde_json::to_string(&body).unwrap_or_default();
    response.body(text).map_into_boxed_body()
}

/// Writes the answer that carries a code.
pub(crate) fn write(
    output: &mut BytesMut,
    code: Code,
    status: u16,
    wait: Option<Span>,
    close: bool,
) {
    let body = serde_json::to_string(&Body::of(code, wait)).unwrap_or_default();
    write_status_line(output, status);
    let mut line = |name: &str, value: &str| {
        output.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    };
    line("content-type", "application/json");
    line("cache-control", "no-store");
    line("content-length", &body.len().to_string());
    if let Some(wait) = wait {
        line("retry-after", &format!("{:.3}", wait.as_secs_f64()));
    }
    if close {
        line("connection", "close");
    }
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(body.as_bytes());
}

/// The same, for a request whose rest will not be read.
pub(crate) fn last(code: Code, wait: Option<Span>) -> Response<BoxBody> {
    let mut response = response(code, wait);
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response
}
