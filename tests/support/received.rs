//! A strict reader of answers, which shares no code with the nodes.

use std::net::SocketAddr;

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};

/// An answer that a client takes for whole.
#[derive(Debug, PartialEq, Eq)]
pub struct Received {
    pub status: u16,
    pub body: String,
}

/// Sends a request that closes its connection, and reads the answer. Returns `None` if what
/// came is not a whole answer and nothing more.
pub async fn exchange(address: SocketAddr, request: &str, method: &str) -> Option<Received> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.ok()?;
    read(&String::from_utf8(bytes).ok()?, method)
}

fn read(text: &str, method: &str) -> Option<Received> {
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let (line, fields) = head.split_once("\r\n").unwrap_or((head, ""));
    let status = line.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()?;
    let field = |name: &str| {
        let fields = fields.lines().filter_map(|line| line.split_once(": "));
        let mut named = fields.filter(|(other, _)| other.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value)
    };
    let body = match (field("content-length"), field("transfer-encoding")) {
        _ if method == "HEAD" || matches!(status, 204 | 304) => rest.is_empty().then_some(""),
        (Some(length), None) => (length.parse() == Ok(rest.len())).then_some(rest),
        (None, Some("chunked")) => {
            return Some(Received {
                status,
                body: chunks(rest)?,
            });
        }
        _ => None,
    };
    let body = body?.to_owned();
    Some(Received { status, body })
}

/// Joins chunks up to the last one, which is empty.
fn chunks(mut rest: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, after) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        body.push_str(after.get(..size)?);
        rest = after.get(size..)?.strip_prefix("\r\n")?;
        if size == 0 {
            return rest.is_empty().then_some(body);
        }
    }
}
