//! Writes responses to a caller, in the order of its requests.

use actix_http::StatusCode;
use bytes::{
    Bytes,
    BytesMut, //
};
use tokio::{
    io::AsyncWriteExt,
    net::tcp::WriteHalf, //
};

use super::{
    ConnectionState,
    Exchange,
    ReplySource, //
};
use crate::{
    clock::Clock,
    code::Code,
    connection::{
        body::{
            Cut,
            Inlet, //
        },
        refusal,
    },
    frame::Head,
    metric::{
        ConnectionEnd,
        Counter, //
    },
    pending::{
        Guard,
        Reply, //
    },
    task::{
        Unit,
        contain_unit, //
    },
};

/// Bytes of a response that are collected before a write.
const WRITE_BUFFER: usize = 64 << 10;

/// Writes the responses in request order until the connection has to be closed.
/// Returns [`ConnectionEnd::Closed`] after a complete response.
pub(super) async fn write(shared: &ConnectionState, writer: &mut WriteHalf<'_>) -> ConnectionEnd {
    loop {
        let next = shared.queue.borrow_mut().pop_front();
        let Some(mut exchange) = next else {
            if shared.finished.get() {
                return ConnectionEnd::Closed;
            }
            shared.queue_grown.notified().await;
            continue;
        };
        shared.writing.set(true);
        shared.queue_shrunk.notify_one();
        let close = match write_contained(shared, writer, &mut exchange).await {
            Ok(close) => close,
            Err(end) => {
                shared.progress.set_end(end);
                return end;
            }
        };
        if let Some(guard) = exchange.guard.take() {
            guard.set_written();
            drop(guard);
            shared.progress.count_written();
        }
        shared.writing.set(false);
        shared.idle_since.set(Clock.now());
        shared.queue_shrunk.notify_one();
        if close {
            return ConnectionEnd::Closed;
        }
    }
}

/// Writes one response, or a refusal in its place if it panics before its first byte.
/// Returns whether the connection closes after it.
async fn write_contained(
    shared: &ConnectionState,
    writer: &mut WriteHalf<'_>,
    exchange: &mut Exchange,
) -> Result<bool, ConnectionEnd> {
    shared.begun.set(false);
    let write = write_reply(shared, writer, exchange);
    let panic = match contain_unit(Unit::Request, write).await {
        Ok(written) => return written,
        Err(panic) => panic,
    };
    let carrier = &shared.carrier;
    let name = exchange.guard.as_ref().map(Guard::name);
    carrier.record_panic(Unit::Request, &name.unwrap_or_default(), &panic);
    if shared.begun.get() {
        return Err(ConnectionEnd::Cut);
    }
    carrier.count(Counter::Refused(Code::NodeFault));
    shared.accepting.set(false);
    let close = shared.close_after_response();
    let (code, is_head) = (Code::NodeFault, exchange.is_head);
    let mut output = BytesMut::new();
    refusal::write(&mut output, code, code.status(), None, is_head, close);
    write_bytes(shared, writer, &output).await?;
    Ok(close)
}

/// Writes one response and returns whether the connection closes after it.
async fn write_reply(
    shared: &ConnectionState,
    writer: &mut WriteHalf<'_>,
    exchange: &mut Exchange,
) -> Result<bool, ConnectionEnd> {
    let carrier = &shared.carrier;
    let reply = match &mut exchange.reply {
        ReplySource::Continue => {
            write_bytes(shared, writer, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            return Ok(false);
        }
        ReplySource::Refused(code) => Reply::Refuse(*code, code.retry_after()),
        // The node always replies; a dropped sender means that it is gone.
        ReplySource::Dispatched(reply_receiver) => reply_receiver
            .await
            .unwrap_or(Reply::Refuse(Code::LinkLost, None)),
    };
    let close = shared.close_after_response();
    match reply {
        Reply::Refuse(code, wait) => {
            let mut output = BytesMut::with_capacity(512);
            let status = (carrier.interface.status)(code);
            refusal::write(&mut output, code, status, wait, exchange.is_head, close);
            write_bytes(shared, writer, &output).await?;
        }
        // No part of the answer was relayed.
        Reply::Answer(_, inlet) if inlet.is_evicted() => {
            let code = Code::MemoryExceeded;
            carrier.count(Counter::Refused(code));
            let mut output = BytesMut::with_capacity(512);
            let status = (carrier.interface.status)(code);
            refusal::write(&mut output, code, status, None, exchange.is_head, close);
            write_bytes(shared, writer, &output).await?;
        }
        Reply::Answer(head, inlet) => {
            let cut = write_response(shared, writer, &head, &inlet, exchange.is_head, close).await;
            if let (Err(_), Some(guard)) = (&cut, &exchange.guard) {
                guard.count_cut_answer();
            }
            cut?;
        }
    }
    Ok(close)
}

async fn write_bytes(
    shared: &ConnectionState,
    writer: &mut WriteHalf<'_>,
    bytes: &[u8],
) -> Result<(), ConnectionEnd> {
    shared.begun.set(true);
    let written = writer.write_all(bytes).await;
    written.map_err(|_| ConnectionEnd::CallerGone)
}

/// Writes a part of a response, unless the memory for it runs short.
async fn write_output(
    shared: &ConnectionState,
    writer: &mut WriteHalf<'_>,
    output: &BytesMut,
) -> Result<(), ConnectionEnd> {
    shared.output.set(output.capacity());
    tokio::select! {
        biased;
        () = shared.output.evicted() => Err(ConnectionEnd::Cut),
        written = write_bytes(shared, writer, output) => written,
    }
}

/// Writes an upstream's response. A truncated one ends without its last chunk or
/// short of its content length, so the caller cannot take it for complete.
async fn write_response(
    shared: &ConnectionState,
    writer: &mut WriteHalf<'_>,
    head: &Head,
    inlet: &Inlet,
    is_head: bool,
    close: bool,
) -> Result<(), ConnectionEnd> {
    let bodiless = is_head || matches!(head.status, 204 | 304);
    let chunked = head.length.is_none() && !bodiless;
    let mut output = BytesMut::with_capacity(1024);
    write_head(&mut output, head, chunked, close);
    // A response without a body does not wait for the inlet.
    let body = (!bodiless).then_some(inlet);
    while let Some(inlet) = body
        && let Some(chunk) = next_chunk(shared, inlet).await?
    {
        let chunk = chunk.map_err(|Cut| ConnectionEnd::Cut)?;
        push_chunk(&mut output, &chunk, chunked);
        while output.len() < WRITE_BUFFER
            && let Some(chunk) = inlet.pop()
        {
            push_chunk(&mut output, &chunk, chunked);
        }
        // A body that is already complete is written together with its end.
        if !inlet.is_whole() || output.len() >= WRITE_BUFFER {
            write_output(shared, writer, &output).await?;
            output.clear();
        }
    }
    if chunked {
        output.extend_from_slice(b"0\r\n\r\n");
    }
    let written = write_output(shared, writer, &output).await;
    shared.output.set(0);
    written
}

/// Waits for the next chunk of a response, unless the memory for it runs short.
async fn next_chunk(
    shared: &ConnectionState,
    inlet: &Inlet,
) -> Result<Option<Result<Bytes, Cut>>, ConnectionEnd> {
    tokio::select! {
        biased;
        () = shared.output.evicted() => Err(ConnectionEnd::Cut),
        chunk = inlet.next() => Ok(chunk),
    }
}

fn push_chunk(output: &mut BytesMut, chunk: &[u8], chunked: bool) {
    if chunk.is_empty() {
        return;
    }
    if chunked {
        output.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
    }
    output.extend_from_slice(chunk);
    if chunked {
        output.extend_from_slice(b"\r\n");
    }
}

/// Writes a response head. The codec's encoder is not used because it depends on
/// the last request read, which may be a later one than this response's.
fn write_head(output: &mut BytesMut, head: &Head, chunked: bool, close: bool) {
    write_status_line(output, head.status);
    for (name, value) in &head.headers {
        output.extend_from_slice(name.as_bytes());
        output.extend_from_slice(b": ");
        output.extend_from_slice(value);
        output.extend_from_slice(b"\r\n");
    }
    if chunked {
        output.extend_from_slice(b"transfer-encoding: chunked\r\n");
    }
    if let Some(length) = head.length
        && !matches!(head.status, 204 | 304)
    {
        output.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
    }
    if close {
        output.extend_from_slice(b"connection: close\r\n");
    }
    output.extend_from_slice(b"\r\n");
}

/// Writes the status line of a response.
pub(crate) fn write_status_line(output: &mut BytesMut, status: u16) {
    let reason = StatusCode::from_u16(status).ok();
    let reason = reason
        .and_then(|s| s.canonical_reason())
        .unwrap_or("Unknown");
    output.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
}
