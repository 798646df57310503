//! Parses the route and pool tables row by row.

use std::collections::BTreeSet;

use jsonc_parser::{
    ast::{
        ObjectProp,
        Value, //
    },
    common::Ranged, //
};

use super::{
    pattern,
    source::{
        Fields,
        Offsets,
        Source, //
    },
    tables::{
        Part,
        Pool,
        Route, //
    },
};
use crate::{
    clock::Span,
    context::Importance,
    error::{
        Code,
        Error, //
    },
    unit::{
        Rate,
        Size, //
    },
};

/// The longest deadline; a longer one is taken for a typing error.
const MAX_DEADLINE: Span = Span::from_secs(3600);
/// The longest target queue delay.
const MAX_QUEUE_DELAY: Span = Span::from_secs(10);
/// The longest drain time.
const MAX_DRAIN_TIME: Span = Span::from_secs(3600);
/// The range of request rates that may be set for a cold upstream.
const MIN_COLD_RATE: Rate = Rate::per_second(1).scaled(100);
const MAX_COLD_RATE: Rate = Rate::per_second(1_000_000);
/// The longest ramp-up time and the longest warm-up time of a new upstream.
const MAX_RAMP_TIME: Span = Span::from_secs(600);
/// The largest body size.
const MAX_BODY_SIZE: Size = Size::kib(1 << 20);
/// The most retries for one root request.
const MAX_RETRIES: u32 = 10;
/// The most slots, connections or queue entries of one upstream.
const MAX_UPSTREAM_CAPACITY: u32 = 1_000_000;
/// Methods that a route may match.
const ALLOWED_METHODS: [&str; 8] = [
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE",
];

/// A parsed row with the byte offsets of its fields.
#[derive(Debug)]
pub(crate) struct Row<T> {
    /// The parsed row.
    pub(crate) row: T,
    /// The byte offsets of the row and its fields.
    pub(crate) offsets: Offsets,
    /// Names, with byte offsets, of the routes that the service calls while it
    /// serves this one.
    pub(crate) calls: Vec<(String, usize)>,
}

/// Parses the route table as far as possible and collects all errors.
pub(crate) fn routes(source: Source<'_>, faults: &mut Vec<Error>) -> Vec<Row<Route>> {
    parse_rows(source, faults, parse_route)
}

/// Parses the pool table as far as possible and collects all errors.
pub(crate) fn pools(source: Source<'_>, faults: &mut Vec<Error>) -> Vec<Row<Pool>> {
    parse_rows(source, faults, parse_pool)
}

/// Returns the names of all rows, including rows with errors.
pub(crate) fn names(source: Source<'_>) -> BTreeSet<String> {
    let object = source.object().ok().flatten();
    let properties = object.map_or_else(Vec::new, |object| object.properties);
    let names = properties.iter().map(|property| property.name.as_str());
    names.map(str::to_owned).collect()
}

fn parse_rows<T>(
    source: Source<'_>,
    faults: &mut Vec<Error>,
    read: impl Fn(&str, Fields<'_, '_>) -> Option<Row<T>>,
) -> Vec<Row<T>> {
    let object = match source.object() {
        Ok(object) => object,
        Err(error) => {
            faults.push(error);
            None
        }
    };
    let properties = object.as_ref().map_or(&[][..], |o| &o.properties);
    let mut rows = Vec::new();
    for (index, property) in properties.iter().enumerate() {
        let name = property.name.as_str();
        let at = property.range.start;
        if contains_name(&properties[..index], name) {
            let reason = format!("the name `{name}` stands twice");
            faults.push(source.error(Code::Cross, at, reason));
        }
        let Value::Object(object) = &property.value else {
            let reason = format!("the row `{name}` must be an object");
            faults.push(source.error(Code::Field, property.value.start(), reason));
            continue;
        };
        rows.extend(read(name, Fields::new(source, object, at, faults)));
    }
    rows
}

fn contains_name(before: &[ObjectProp<'_>], name: &str) -> bool {
    before.iter().any(|property| property.name.as_str() == name)
}

fn parse_route(name: &str, mut fields: Fields<'_, '_>) -> Option<Row<Route>> {
    let name = parse_name(name, &mut fields);
    fields.require("pool");
    let prefix = fields.string("prefix").map(str::to_owned);
    let prefix = validated(&mut fields, "prefix", prefix, validate_prefix);
    if prefix.is_none() {
        fields.require("path");
    }
    let path = fields.string("path").map(str::to_owned);
    let path = validated(&mut fields, "path", path, pattern::validate);
    if prefix.is_some() && path.is_some() {
        let reason = "a route has a `path` or a `prefix`, not both";
        fields.report_field("prefix", reason.to_owned());
    }
    let path = match prefix {
        Some(_) => Some(String::new()),
        None => path,
    };
    let split = parse_split(&mut fields);
    let keyless = fields.boolean("keyless");
    let target = fields.parse_in_range("target", Span::from_ms(1)..=MAX_DEADLINE);
    let host = fields.string("host").map(str::to_owned);
    let host = validated(&mut fields, "host", host, validate_host);
    let method = fields.string("method").map(str::to_owned);
    let method = validated(&mut fields, "method", method, validate_method);
    let pool = fields.parse("pool");
    let importance = parse_importance(&mut fields);
    let idempotent = fields.boolean("idempotent");
    let deadline = fields.parse_in_range("deadline", Span::from_ms(1)..=MAX_DEADLINE);
    let retries = fields.integer("retries", 0..=MAX_RETRIES);
    let body = fields.parse_in_range("body", Size::bytes(0)..=MAX_BODY_SIZE);
    let calls = fields.strings("calls");
    let calls = calls.iter().map(|(name, at)| ((*name).to_owned(), *at));
    let calls = calls.collect();
    let offsets = fields.finish();
    let row = Route {
        name: name?,
        host,
        method,
        path: path?,
        prefix,
        pool: pool?,
        split,
        keyless: keyless.unwrap_or(false),
        target,
        importance: importance.unwrap_or_default(),
        idempotent,
        deadline: deadline.unwrap_or_else(Route::default_deadline),
        retries: retries.map_or_else(Route::default_retries, |count| count as u8),
        body: body.unwrap_or_else(Route::default_body),
    };
    Some(Row {
        row,
        offsets,
        calls,
    })
}

fn parse_pool(name: &str, mut fields: Fields<'_, '_>) -> Option<Row<Pool>> {
    let name = parse_name(name, &mut fields);
    let slots = fields.integer("slots", 1..=MAX_UPSTREAM_CAPACITY);
    let connections = fields.integer("connections", 1..=MAX_UPSTREAM_CAPACITY);
    let queue = fields.integer("queue", 0..=MAX_UPSTREAM_CAPACITY);
    let delay = fields.parse_in_range("delay", Span::from_ms(1)..=MAX_QUEUE_DELAY);
    let drain = fields.parse_in_range("drain", Span::from_ms(1)..=MAX_DRAIN_TIME);
    let health = fields.string("health").map(str::to_owned);
    let health = validated(&mut fields, "health", health, validate_health_path);
    let ramp = fields.parse_in_range("ramp", Span::ZERO..=MAX_RAMP_TIME);
    let cold = fields.parse_in_range("cold", MIN_COLD_RATE..=MAX_COLD_RATE);
    let warmup = fields.parse_in_range("warmup", Span::ZERO..=MAX_RAMP_TIME);
    let offsets = fields.finish();
    let row = Pool {
        name: name?,
        slots,
        connections,
        queue: queue.unwrap_or_else(Pool::default_queue),
        delay: delay.unwrap_or_else(Pool::default_delay),
        drain: drain.unwrap_or_else(Pool::default_drain),
        health,
        ramp: ramp.unwrap_or_else(Pool::default_ramp),
        cold,
        warmup: warmup.unwrap_or_else(Pool::default_warmup),
    };
    Some(Row {
        row,
        offsets,
        calls: Vec::new(),
    })
}

fn parse_name<T: std::str::FromStr<Err = Error>>(
    name: &str,
    fields: &mut Fields<'_, '_>,
) -> Option<T> {
    match name.parse() {
        Ok(name) => Some(name),
        Err(error) => {
            fields.report_name(error);
            None
        }
    }
}

fn validated(
    fields: &mut Fields<'_, '_>,
    field: &'static str,
    text: Option<String>,
    fault: impl Fn(&str) -> Option<String>,
) -> Option<String> {
    let text = text?;
    let Some(reason) = fault(&text) else {
        return Some(text);
    };
    fields.report_field(field, reason);
    None
}

fn parse_importance(fields: &mut Fields<'_, '_>) -> Option<Importance> {
    let text = fields.string("importance")?;
    let found = Importance::ALL.into_iter().find(|i| i.to_string() == text);
    if found.is_none() {
        let reason = format!("`{text}` is no importance: write critical, high, normal or low");
        fields.report_field("importance", reason);
    }
    found
}

/// Parses the entries of `split`, each written `pool=weight`.
fn parse_split(fields: &mut Fields<'_, '_>) -> Vec<Part> {
    let texts = fields.strings("split");
    let mut parts = Vec::new();
    for (text, at) in texts {
        let part = text.split_once('=').and_then(|(pool, weight)| {
            let weight = weight.parse().ok().filter(|weight| *weight > 0)?;
            let pool = pool.parse().ok()?;
            Some(Part { pool, weight })
        });
        match part {
            Some(part) => parts.push(part),
            None => {
                let reason = format!("`{text}` is no part: write pool=weight, as in `new=10`");
                fields.report_at(at, reason);
            }
        }
    }
    parts
}

fn validate_prefix(prefix: &str) -> Option<String> {
    let good = prefix.starts_with('/') && prefix.ends_with('/') && !prefix.contains(['?', '#']);
    (!good).then(|| format!("the prefix `{prefix}` must begin and end with `/`"))
}

fn validate_method(method: &str) -> Option<String> {
    let known = ALLOWED_METHODS.contains(&method);
    (!known).then(|| {
        format!(
            "`{method}` is no method: write one of {}",
            ALLOWED_METHODS.join(", ")
        )
    })
}

fn validate_host(host: &str) -> Option<String> {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '.');
    let fits = !host.is_empty() && host.len() <= 253;
    let good = fits && host.chars().all(plain) && !host.starts_with('.') && !host.ends_with('.');
    (!good).then(|| format!("`{host}` is no host: write it in lower case and without a port"))
}

fn validate_health_path(path: &str) -> Option<String> {
    let plain = |c: char| c.is_ascii_graphic() && c != '#';
    let good = path.starts_with('/') && path.chars().all(plain);
    (!good).then(|| format!("the path `{path}` must begin with `/` and be plain text"))
}
