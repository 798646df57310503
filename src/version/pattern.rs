//! Path patterns: matching, ordering by specificity, and validation.
//!
//! Request paths are normalized before matching, so that an alternative
//! spelling cannot bypass the route configured for a path: percent-encoding is
//! decoded and a trailing slash is ignored. A path that an upstream might
//! resolve to a different one (because it contains `//`, `.`, `..`, an encoded
//! slash or a backslash) matches no pattern.

use std::borrow::Cow;

/// Specificity of one pattern segment; more specific variants compare greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Specificity {
    /// Any number of remaining segments, written as a trailing `*`.
    Wildcard,
    /// Any single segment, written `{name}`.
    Parameter,
    /// A literal segment.
    Exact,
    /// The end of a pattern without a trailing `*`.
    End,
}

/// Splits a request path into normalized segments.
///
/// The path `/` has no segments. Returns `None` if no pattern may match the
/// path.
pub(crate) fn segments(path: &str) -> Option<Vec<Cow<'_, [u8]>>> {
    let path = path.strip_prefix('/')?;
    let path = path.strip_suffix('/').unwrap_or(path);
    if path.is_empty() {
        return Some(Vec::new());
    }
    path.split('/').map(decode_segment).collect()
}

fn decode_segment(text: &str) -> Option<Cow<'_, [u8]>> {
    let bytes = match text.contains('%') {
        true => Cow::Owned(percent_decode(text.as_bytes())?),
        false => Cow::Borrowed(text.as_bytes()),
    };
    let ambiguous = matches!(&*bytes, b"" | b"." | b"..");
    let allowed =
        |byte: &u8| !byte.is_ascii_control() && !matches!(byte, b'/' | b'\\' | b'?' | b'#');
    (!ambiguous && bytes.iter().all(allowed)).then_some(bytes)
}

fn percent_decode(text: &[u8]) -> Option<Vec<u8>> {
    let digit = |byte: &u8| char::from(*byte).to_digit(16);
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text;
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        let byte = match (first, after) {
            (b'%', [high, low, after @ ..]) => {
                rest = after;
                (digit(high)? * 16 + digit(low)?) as u8
            }
            (b'%', _) => return None,
            _ => *first,
        };
        bytes.push(byte);
    }
    Some(bytes)
}

/// Returns whether a pattern matches a path split by [`segments`].
pub(crate) fn matches(pattern: &str, path: &[Cow<'_, [u8]>]) -> bool {
    let mut remaining = path.iter();
    for expected in pattern_segments(pattern) {
        if expected == "*" {
            return true;
        }
        match remaining.next() {
            Some(segment) if expected.starts_with('{') || expected.as_bytes() == &**segment => {}
            _ => return false,
        }
    }
    remaining.next().is_none()
}

/// Returns the sort key of a pattern among those that match the same path.
///
/// Keys compare segment by segment: a literal segment is more specific than
/// `{name}`, which is more specific than `*`.
pub(crate) fn specificity(pattern: &str) -> impl Iterator<Item = Specificity> + '_ {
    let has_wildcard = pattern.ends_with("/*");
    pattern_segments(pattern)
        .map(|part| match part {
            "*" => Specificity::Wildcard,
            part if part.starts_with('{') => Specificity::Parameter,
            _ => Specificity::Exact,
        })
        .chain((!has_wildcard).then_some(Specificity::End))
}

/// Replaces every `{name}` by `{}`. Patterns with the same result match the
/// same paths.
pub(crate) fn normalize_parameters(pattern: &str) -> String {
    let mut normalized = String::new();
    for part in pattern_segments(pattern) {
        normalized.push('/');
        normalized.push_str(if part.starts_with('{') { "{}" } else { part });
    }
    normalized
}

/// Returns the reason why a pattern is invalid, if it is.
pub(crate) fn validate(pattern: &str) -> Option<String> {
    let Some(rest) = pattern.strip_prefix('/') else {
        return Some(format!("the path `{pattern}` must begin with `/`"));
    };
    if rest.is_empty() {
        return None;
    }
    let mut names = Vec::new();
    let count = rest.split('/').count();
    for (index, part) in rest.split('/').enumerate() {
        let last = index + 1 == count;
        if let Some(reason) = validate_segment(part, last) {
            return Some(format!("the path `{pattern}` {reason}"));
        }
        if part.starts_with('{') && names.contains(&part) {
            return Some(format!("the path `{pattern}` has `{part}` twice"));
        }
        names.push(part);
    }
    None
}

fn validate_segment(part: &str, last: bool) -> Option<&'static str> {
    let name = part.strip_prefix('{').and_then(|p| p.strip_suffix('}'));
    let valid_name = |name: &str| {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
        !name.is_empty() && name.chars().all(allowed)
    };
    match (part, name) {
        ("*", _) if last => None,
        (_, Some(name)) if valid_name(name) => None,
        ("", _) => Some("has an empty segment: leave out `//` and the `/` at the end"),
        ("." | "..", _) => Some("has a segment `.` or `..`"),
        _ if part.contains('*') => Some("may have `*` only as its whole last segment"),
        _ if part.contains(['{', '}']) => Some("may have `{name}` only as a whole segment"),
        _ if part.contains('%') => Some("has `%`: write the character itself"),
        _ if part.contains(['?', '#', '\\']) => Some("has a character that paths cannot have"),
        _ if part.chars().any(|c| c.is_control() || c.is_whitespace()) => {
            Some("has white space or a control character")
        }
        _ => None,
    }
}

fn pattern_segments(pattern: &str) -> impl Iterator<Item = &str> {
    let rest = pattern.strip_prefix('/').unwrap_or(pattern);
    rest.split('/').filter(|part| !part.is_empty())
}
