//! Validates the heads of responses before they are decoded.
//!
//! The codec accepts forms that are not HTTP/1.1, such as a blank before the colon of a
//! field, and that other parsers read as another body. Such a head comes from an upstream in
//! trouble, so none of what it says is relied on. `docs/design/answers.md` lists the forms.

use super::super::body::Cut;

/// Maximum size of a head in bytes, that of the codec.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// What the first line of a response begins with.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";

/// The part of a status line that is validated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StatusLine {
    is_first_version: bool,
    is_informational: bool,
}

/// Validates a head line by line, while it arrives.
#[derive(Debug, Default)]
pub(super) struct Scanner {
    /// Where the line begins that has not been validated yet.
    line_start: usize,
    /// How much of the input holds no further end of a line.
    scanned: usize,
    status_line: Option<StatusLine>,
    has_length: bool,
    has_coding: bool,
    is_chunked: bool,
}

impl Scanner {
    /// Validates the head at the start of the input as far as it has arrived. Returns
    /// whether it is complete.
    ///
    /// # Errors
    ///
    /// If it is not the head of a response, or too large.
    pub(super) fn scan(&mut self, input: &[u8]) -> Result<bool, Cut> {
        let unscanned = |from: usize| input.get(from..).unwrap_or_default();
        while let Some(length) = unscanned(self.scanned).iter().position(|&b| b == b'\n') {
            let end = self.scanned + length;
            let line = input.get(self.line_start..end).unwrap_or_default();
            let line = line.strip_suffix(b"\r").ok_or(Cut)?;
            self.line_start = end + 1;
            self.scanned = self.line_start;
            if self.line_start > MAX_HEAD_BYTES {
                return Err(Cut);
            }
            if self.scan_line(line).ok_or(Cut)? {
                return Ok(true);
            }
        }
        self.scanned = input.len();
        let is_response = self.status_line.is_some() || has_common_prefix(input, VERSION_PREFIX);
        match is_response && input.len() <= MAX_HEAD_BYTES {
            true => Ok(false),
            false => Err(Cut),
        }
    }

    /// Validates a line. Returns whether it ends the head, or `None` if it is invalid.
    fn scan_line(&mut self, line: &[u8]) -> Option<bool> {
        let Some(status_line) = self.status_line else {
            self.status_line = Some(parse_status_line(line)?);
            return Some(false);
        };
        if line.is_empty() {
            return Some(true);
        }
        let colon = line.iter().position(|&byte| byte == b':')?;
        let (name, value) = (line.get(..colon)?, line.get(colon + 1..)?);
        let is_valid = !name.is_empty()
            && name.iter().copied().all(is_token_byte)
            && value.iter().copied().all(is_value_byte);
        let is_framing = match () {
            () if name.eq_ignore_ascii_case(b"content-length") => {
                parse_length(value)?;
                set_once(&mut self.has_length)?;
                true
            }
            () if name.eq_ignore_ascii_case(b"transfer-encoding") => {
                set_once(&mut self.has_coding)?;
                self.is_chunked = is_chunked(value)?;
                true
            }
            () => false,
        };
        let is_ambiguous = self.is_chunked && (self.has_length || status_line.is_first_version);
        let is_misplaced = is_framing && status_line.is_informational;
        (is_valid && !is_ambiguous && !is_misplaced).then_some(false)
    }
}

/// Sets a flag; `None` if it was set before.
fn set_once(flag: &mut bool) -> Option<()> {
    (!std::mem::replace(flag, true)).then_some(())
}

/// Whether a transfer coding is `chunked`; `None` if it is another one that delimits or
/// changes the body.
fn is_chunked(coding: &[u8]) -> Option<bool> {
    match coding.trim_ascii().to_ascii_lowercase().as_slice() {
        b"chunked" => Some(true),
        b"identity" => Some(false),
        _ => None,
    }
}

/// Whether one is the beginning of the other.
fn has_common_prefix(input: &[u8], expected: &[u8]) -> bool {
    input.iter().zip(expected).all(|(a, b)| a == b)
}

/// Parses `HTTP/1.1 200 OK`. The reason may be missing.
fn parse_status_line(line: &[u8]) -> Option<StatusLine> {
    let rest = line.strip_prefix(VERSION_PREFIX)?;
    let (version, rest) = rest.split_first()?;
    let rest = rest.strip_prefix(b" ")?;
    let (status, reason) = rest.split_at_checked(3)?;
    let is_reason = match reason.split_first() {
        None => true,
        Some((b' ', reason)) => reason.iter().copied().all(is_value_byte),
        Some(_) => false,
    };
    let is_version = matches!(version, b'0' | b'1');
    let is_status = matches!(status, [b'1'..=b'5', b'0'..=b'9', b'0'..=b'9']);
    (is_version && is_status && is_reason).then_some(StatusLine {
        is_first_version: *version == b'0',
        is_informational: status.starts_with(b"1"),
    })
}

/// Parses a number without a sign.
fn parse_length(value: &[u8]) -> Option<u64> {
    let digits = value.trim_ascii();
    let is_number = digits.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(digits).ok()?;
    is_number.then(|| text.parse().ok()).flatten()
}

/// Whether a name may contain this byte.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Whether a value may contain this byte. Bytes above the ASCII range are opaque.
fn is_value_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}
