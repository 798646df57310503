//! Reads the two tables from their texts, row by row.

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
        Places,
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

/// The longest deadline; a longer one is a slip of the pen.
const DEADLINE_LIMIT: Span = Span::from_secs(3600);
/// The longest queue delay to aim at.
const DELAY_LIMIT: Span = Span::from_secs(10);
/// The longest time to drain.
const DRAIN_LIMIT: Span = Span::from_secs(3600);
/// The rates that a cold upstream may be given.
const MIN_COLD_RATE: Rate = Rate::per_second(1).scaled(100);
const MAX_COLD_RATE: Rate = Rate::per_second(1_000_000);
/// The longest ramp of a new upstream, and the longest time that one is cold.
const RAMP_LIMIT: Span = Span::from_secs(600);
/// The largest body.
const BODY_LIMIT: Size = Size::kib(1 << 20);
/// The most retries for one root.
const RETRY_LIMIT: u32 = 10;
/// The most slots, connections or places in a queue of one upstream.
const COUNT_LIMIT: u32 = 1_000_000;
/// Methods that a route may name.
const METHODS: [&str; 8] = [
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE",
];

/// A row with the places of its fields.
#[derive(Debug)]
pub(crate) struct Row<T> {
    /// What it says.
    pub(crate) row: T,
    /// Where it says so.
    pub(crate) places: Places,
    /// Names of routes that the service calls while it serves this one.
    pub(crate) calls: Vec<(String, usize)>,
}

/// Reads the table of routes as far as it can be read.
pub(crate) fn routes(source: Source<'_>, faults: &mut Vec<Error>) -> Vec<Row<Route>> {
    rows(source, faults, route)
}

/// Reads the table of pools as far as it can be read.
pub(crate) fn pools(source: Source<'_>, faults: &mut Vec<Error>) -> Vec<Row<Pool>> {
    rows(source, faults, pool)
}

/// The names of all rows, also of those that have faults.
pub(crate) fn names(source: Source<'_>) -> BTreeSet<String> {
    let object = source.object().ok().flatten();
    let properties = object.map_or_else(Vec::new, |object| object.properties);
    let names = properties.iter().map(|property| property.name.as_str());
    names.map(str::to_owned).collect()
}

fn rows<T>(
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
        if repeats(&properties[..index], name) {
            let reason = format!("the name `{name}` stands twice");
            faults.push(source.fault(Code::Cross, at, reason));
        }
        let Value::Object(object) = &property.value else {
            let reason = format!("the row `{name}` must be an object");
            faults.push(source.fault(Code::Field, property.value.start(), reason));
            continue;
        };
        rows.extend(read(name, Fields::new(source, object, at, faults)));
    }
    rows
}

fn repeats(before: &[ObjectProp<'_>], name: &str) -> bool {
    before.iter().any(|property| property.name.as_str() == name)
}

fn route(name: &str, mut fields: Fields<'_, '_>) -> Option<Row<Route>> {
    let name = row_name(name, &mut fields);
    fields.require("pool");
    let prefix = fields.string("prefix").map(str::to_owned);
    let prefix = checked(&mut fields, "prefix", prefix, prefix_fault);
    if prefix.is_none() {
        fields.require("path");
    }
    let path = fields.string("path").map(str::to_owned);
    let path = checked(&mut fields, "path", path, pattern::validate);
    if prefix.is_some() && path.is_some() {
        let reason = "a route has a `path` or a `prefix`, not both";
        fields.field_fault("prefix", reason.to_owned());
    }
    let path = match prefix {
        Some(_) => Some(String::new()),
        None => path,
    };
    let split = split(&mut fields);
    let keyless = fields.flag("keyless");
    let target = fields.within("target", Span::from_ms(1)..=DEADLINE_LIMIT);
    let host = fields.string("host").map(str::to_owned);
    let host = checked(&mut fields, "host", host, host_fault);
    let method = fields.string("method").map(str::to_owned);
    let method = checked(&mut fields, "method", method, method_fault);
    let pool = fields.parse("pool");
    let importance = importance(&mut fields);
    let idempotent = fields.flag("idempotent");
    let deadline = fields.within("deadline", Span::from_ms(1)..=DEADLINE_LIMIT);
    let retries = fields.count("retries", 0..=RETRY_LIMIT);
    let body = fields.within("body", Size::bytes(0)..=BODY_LIMIT);
    let calls = fields.strings("calls");
    let calls = calls.iter().map(|(name, at)| ((*name).to_owned(), *at));
    let calls = calls.collect();
    let places = fields.finish();
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
    Some(Row { row, places, calls })
}

fn pool(name: &str, mut fields: Fields<'_, '_>) -> Option<Row<Pool>> {
    let name = row_name(name, &mut fields);
    let slots = fields.count("slots", 1..=COUNT_LIMIT);
    let connections = fields.count("connections", 1..=COUNT_LIMIT);
    let queue = fields.count("queue", 0..=COUNT_LIMIT);
    let delay = fields.within("delay", Span::from_ms(1)..=DELAY_LIMIT);
    let drain = fields.within("drain", Span::from_ms(1)..=DRAIN_LIMIT);
    let health = fields.string("health").map(str::to_owned);
    let health = checked(&mut fields, "health", health, health_fault);
    let ramp = fields.within("ramp", Span::ZERO..=RAMP_LIMIT);
    let cold = fields.within("cold", MIN_COLD_RATE..=MAX_COLD_RATE);
    let warmup = fields.within("warmup", Span::ZERO..=RAMP_LIMIT);
    let places = fields.finish();
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
        places,
        calls: Vec::new(),
    })
}

fn row_name<T: std::str::FromStr<Err = Error>>(
    name: &str,
    fields: &mut Fields<'_, '_>,
) -> Option<T> {
    match name.parse() {
        Ok(name) => Some(name),
        Err(error) => {
            fields.name_fault(error);
            None
        }
    }
}

fn checked(
    fields: &mut Fields<'_, '_>,
    field: &'static str,
    text: Option<String>,
    fault: impl Fn(&str) -> Option<String>,
) -> Option<String> {
    let text = text?;
    let Some(reason) = fault(&text) else {
        return Some(text);
    };
    fields.field_fault(field, reason);
    None
}

fn importance(fields: &mut Fields<'_, '_>) -> Option<Importance> {
    let text = fields.string("importance")?;
    let found = Importance::ALL.into_iter().find(|i| i.to_string() == text);
    if found.is_none() {
        let reason = format!("`{text}` is no importance: write critical, high, normal or low");
        fields.field_fault("importance", reason);
    }
    found
}

/// Reads parts written `pool=weight`.
fn split(fields: &mut Fields<'_, '_>) -> Vec<Part> {
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
                fields.place_fault(at, reason);
            }
        }
    }
    parts
}

fn prefix_fault(prefix: &str) -> Option<String> {
    let good = prefix.starts_with('/') && prefix.ends_with('/') && !prefix.contains(['?', '#']);
    (!good).then(|| format!("the prefix `{prefix}` must begin and end with `/`"))
}

fn method_fault(method: &str) -> Option<String> {
    let known = METHODS.contains(&method);
    (!known).then(|| {
        format!(
            "`{method}` is no method: write one of {}",
            METHODS.join(", ")
        )
    })
}

fn host_fault(host: &str) -> Option<String> {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '.');
    let fits = !host.is_empty() && host.len() <= 253;
    let good = fits && host.chars().all(plain) && !host.starts_with('.') && !host.ends_with('.');
    (!good).then(|| format!("`{host}` is no host: write it in lower case and without a port"))
}

fn health_fault(path: &str) -> Option<String> {
    let plain = |c: char| c.is_ascii_graphic() && c != '#';
    let good = path.starts_with('/') && path.chars().all(plain);
    (!good).then(|| format!("the path `{path}` must begin with `/` and be plain text"))
}
