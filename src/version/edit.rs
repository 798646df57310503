//! Comment-preserving edits of a table's JSONC text.
//!
//! Rows are compared by their parsed fields, so field order, comments and
//! white space don't matter.

use std::collections::BTreeMap;

use jsonc_parser::{
    cst::{
        CstInputValue,
        CstObject,
        CstRootNode, //
    },
    parse_to_serde_value, //
};
use serde_json::{
    Map,
    Value, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::source::DIALECT;
use crate::error::{
    Code,
    Error,
    Result, //
};

/// The fields of one row.
pub type Fields = Map<String, Value>;

/// All rows of a table, keyed by name.
pub type Rows = BTreeMap<String, Fields>;

/// Parses the rows of a table whose text has already been validated.
///
/// # Errors
///
/// Returns an error if the text cannot be parsed.
pub fn rows(text: &str) -> Result<Rows> {
    let rows: Option<Rows> = parse_to_serde_value(text, &DIALECT).map_err(syntax_error)?;
    Ok(rows.unwrap_or_default())
}

/// Computes a checksum of a row's fields.
pub fn checksum(fields: &Fields) -> u64 {
    // The map is sorted by field name, so equal rows serialize identically.
    xxh3_64(Value::Object(fields.clone()).to_string().as_bytes())
}

/// Sets the given fields of a row and removes those given as `None`. Creates
/// the row if it does not exist.
///
/// # Errors
///
/// Returns an error if the text cannot be parsed.
pub fn set(text: &str, name: &str, fields: &[(String, Option<Value>)]) -> Result<String> {
    let (root, table) = parse_table(text)?;
    let row = match table.get(name) {
        Some(property) => property.object_value_or_set(),
        None => {
            let empty = CstInputValue::Object(Vec::new());
            table.append(name, empty).object_value_or_set()
        }
    };
    for (field, value) in fields {
        set_field(&row, field, value.as_ref());
    }
    Ok(root.to_string())
}

/// Replaces the fields of a row, keeping the comments within it.
///
/// # Errors
///
/// Returns an error if the text cannot be parsed.
pub fn replace(text: &str, name: &str, fields: &Fields) -> Result<String> {
    let present = rows(text)?.remove(name).unwrap_or_default();
    let removed = present.keys().filter(|field| !fields.contains_key(*field));
    let removed = removed.map(|field| (field.clone(), None));
    let changed = fields
        .iter()
        .filter(|(field, value)| present.get(*field) != Some(value))
        .map(|(field, value)| (field.clone(), Some(value.clone())));
    let edits: Vec<_> = removed.chain(changed).collect();
    set(text, name, &edits)
}

/// Removes a row. Comments above it are kept.
///
/// # Errors
///
/// Returns an error if the text cannot be parsed or the row does not exist.
pub fn remove(text: &str, name: &str) -> Result<String> {
    let (root, table) = parse_table(text)?;
    let property = table.get(name).ok_or_else(|| {
        let reason = format!("there is no row `{name}`");
        Error::new(Code::Absent, reason)
    })?;
    property.remove();
    Ok(root.to_string())
}

fn parse_table(text: &str) -> Result<(CstRootNode, CstObject)> {
    let root = CstRootNode::parse(text, &DIALECT).map_err(syntax_error)?;
    let table = root.object_value_or_create().ok_or_else(|| {
        let reason = "the table must be an object";
        Error::new(Code::Syntax, reason)
    })?;
    Ok((root, table))
}

fn set_field(row: &CstObject, field: &str, value: Option<&Value>) {
    match (row.get(field), value) {
        (Some(property), Some(value)) => property.set_value(to_cst_value(value)),
        (None, Some(value)) => {
            row.append(field, to_cst_value(value));
        }
        (Some(property), None) => property.remove(),
        (None, None) => {}
    }
}

fn to_cst_value(value: &Value) -> CstInputValue {
    match value {
        Value::Null => CstInputValue::Null,
        Value::Bool(flag) => CstInputValue::Bool(*flag),
        Value::Number(number) => CstInputValue::Number(number.to_string()),
        Value::String(text) => CstInputValue::String(text.clone()),
        Value::Array(list) => CstInputValue::Array(list.iter().map(to_cst_value).collect()),
        Value::Object(map) => {
            let fields = map
                .iter()
                .map(|(name, value)| (name.clone(), to_cst_value(value)));
            CstInputValue::Object(fields.collect())
        }
    }
}

fn syntax_error(error: jsonc_parser::errors::ParseError) -> Error {
    let (line, column) = (error.line_display(), error.column_display());
    Error::new(Code::Syntax, error.kind().to_string()).at(line, column)
}
