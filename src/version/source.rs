//! Parsing of JSON with comments that keeps the position of every value.
//!
//! Parsing continues after an error, so that operators see all errors of a
//! table at once. Each error carries the position of the invalid value.

use std::{
    collections::BTreeMap,
    fmt::Display,
    ops::RangeInclusive,
    str::FromStr, //
};

use jsonc_parser::{
    CollectOptions,
    ParseOptions,
    ast::{
        Object,
        Value, //
    },
    common::Ranged,
    parse_to_ast, //
};

use crate::error::{
    Code,
    Error, //
};

/// Parser options for settings and tables: JSON with comments and trailing commas.
pub(crate) const DIALECT: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A source text and the file name to report in errors.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source<'a> {
    /// The file name, or a label for text that has no file.
    pub(crate) file: &'a str,
    /// The whole text.
    pub(crate) text: &'a str,
}

impl<'a> Source<'a> {
    /// Creates an error at a byte offset.
    pub(crate) fn error(&self, code: Code, at: usize, reason: impl Into<String>) -> Error {
        self.locate(Error::new(code, reason), at)
    }

    /// Adds the file, line and column of a byte offset to an error.
    pub(crate) fn locate(&self, error: Error, at: usize) -> Error {
        let before = &self.text.as_bytes()[..at.min(self.text.len())];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let start = before
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(0, |newline| newline + 1);
        // Columns count characters: UTF-8 continuation bytes are skipped.
        let column = before[start..]
            .iter()
            .filter(|b| **b & 0xc0 != 0x80)
            .count()
            + 1;
        error.at(line, column).within(self.file)
    }

    /// Parses the text as one object. Returns `None` if it contains no value,
    /// which callers treat as an empty object.
    pub(crate) fn object(&self) -> Result<Option<Object<'a>>, Error> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &DIALECT)
            .map_err(|e| self.error(Code::Syntax, e.range().start, lowercase_first(e.kind())))?;
        match parsed.value {
            None => Ok(None),
            Some(Value::Object(object)) => Ok(Some(object)),
            Some(other) => {
                let reason = format!("expected an object, found {}", type_name(&other));
                Err(self.error(Code::Syntax, other.start(), reason))
            }
        }
    }
}

/// Byte offsets of a row and its fields in the source text.
#[derive(Clone, Debug, Default)]
pub(crate) struct Offsets {
    /// The offset of the row's name.
    pub(crate) name: usize,
    fields: BTreeMap<&'static str, usize>,
}

impl Offsets {
    /// Returns the offset of a field's value, or of the row if the field is absent.
    pub(crate) fn of(&self, field: &str) -> usize {
        self.fields.get(field).copied().unwrap_or(self.name)
    }
}

/// Reads the fields of one object and collects all errors.
pub(crate) struct Fields<'s, 'a> {
    source: Source<'a>,
    object: &'s Object<'a>,
    faults: &'s mut Vec<Error>,
    known_fields: Vec<&'static str>,
    offsets: Offsets,
}

impl<'s, 'a> Fields<'s, 'a> {
    /// Creates a reader for an object; `name` is the offset of the object's name.
    pub(crate) fn new(
        source: Source<'a>,
        object: &'s Object<'a>,
        name: usize,
        faults: &'s mut Vec<Error>,
    ) -> Self {
        Self {
            source,
            object,
            faults,
            known_fields: Vec::new(),
            offsets: Offsets {
                name,
                fields: BTreeMap::new(),
            },
        }
    }

    /// Records an error at a byte offset.
    fn report(&mut self, code: Code, at: usize, reason: impl Into<String>) {
        self.faults.push(self.source.error(code, at, reason));
    }

    /// Records an error in the row's name.
    pub(crate) fn report_name(&mut self, error: Error) {
        let at = self.offsets.name;
        self.faults.push(self.source.locate(error, at));
    }

    /// Records an error in a field's value.
    pub(crate) fn report_field(&mut self, field: &str, reason: impl Into<String>) {
        let at = self.offsets.of(field);
        self.report(Code::Unit, at, reason);
    }

    /// Records an error in the value at a byte offset.
    pub(crate) fn report_at(&mut self, at: usize, reason: impl Into<String>) {
        self.report(Code::Unit, at, reason);
    }

    /// Returns a field's value, if present, and marks the field as known.
    pub(crate) fn value(&mut self, field: &'static str) -> Option<&'s Value<'a>> {
        self.known_fields.push(field);
        let value = &self.object.get(field)?.value;
        self.offsets.fields.insert(field, value.start());
        Some(value)
    }

    /// Returns a string field.
    pub(crate) fn string(&mut self, field: &'static str) -> Option<&'s str> {
        match self.value(field)? {
            Value::StringLit(text) => Some(&text.value),
            other => self.type_mismatch(field, "text in double quotes", other),
        }
    }

    /// Parses a string field with `FromStr`.
    pub(crate) fn parse<T: FromStr<Err = Error>>(&mut self, field: &'static str) -> Option<T> {
        let text = self.string(field)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let at = self.offsets.of(field);
                self.faults.push(self.source.locate(error, at));
                None
            }
        }
    }

    /// Parses a string field with `FromStr` and checks that it is in range.
    pub(crate) fn parse_in_range<T>(
        &mut self,
        field: &'static str,
        range: RangeInclusive<T>,
    ) -> Option<T>
    where
        T: FromStr<Err = Error> + PartialOrd + Display,
    {
        let value: T = self.parse(field)?;
        if range.contains(&value) {
            return Some(value);
        }
        let reason = out_of_range(field, &value, &range);
        let at = self.offsets.of(field);
        self.report(Code::Unit, at, reason);
        None
    }

    /// Reads an integer field and checks that it is in range.
    pub(crate) fn integer(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u32>,
    ) -> Option<u32> {
        let literal = match self.value(field)? {
            Value::NumberLit(literal) => literal,
            other => return self.type_mismatch(field, "a whole number", other),
        };
        let count = literal.value.parse::<u32>().ok();
        if let Some(count) = count.filter(|count| range.contains(count)) {
            return Some(count);
        }
        let reason = out_of_range(field, &literal.value, &range);
        self.report(Code::Unit, literal.range.start, reason);
        None
    }

    /// Reads a boolean field.
    pub(crate) fn boolean(&mut self, field: &'static str) -> Option<bool> {
        match self.value(field)? {
            Value::BooleanLit(literal) => Some(literal.value),
            other => self.type_mismatch(field, "true or false", other),
        }
    }

    /// Reads a list of strings, each with its byte offset.
    pub(crate) fn strings(&mut self, field: &'static str) -> Vec<(&'s str, usize)> {
        let elements = match self.value(field) {
            None => return Vec::new(),
            Some(Value::Array(array)) => &array.elements,
            Some(other) => {
                self.type_mismatch::<()>(field, "a list of texts", other);
                return Vec::new();
            }
        };
        let mut texts = Vec::new();
        for element in elements {
            match element {
                Value::StringLit(text) => texts.push((&*text.value, text.range.start)),
                other => {
                    self.type_mismatch::<()>(field, "a list of texts", other);
                }
            }
        }
        texts
    }

    /// Records an error if a required field is missing.
    pub(crate) fn require(&mut self, field: &'static str) {
        if self.object.get(field).is_none() {
            let at = self.offsets.name;
            self.report(Code::Field, at, format!("the field `{field}` is missing"));
        }
    }

    /// Reports unknown and duplicate fields and returns the byte offsets.
    pub(crate) fn finish(self) -> Offsets {
        let mut seen = Vec::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            let at = property.range.start;
            if !self.known_fields.contains(&name) {
                let reason = format!(
                    "unknown field `{name}`, expected {}",
                    quoted_list(&self.known_fields)
                );
                self.faults.push(self.source.error(Code::Field, at, reason));
            } else if seen.contains(&name) {
                let reason = format!("the field `{name}` stands twice");
                self.faults.push(self.source.error(Code::Field, at, reason));
            }
            seen.push(name);
        }
        self.offsets
    }

    fn type_mismatch<T>(&mut self, field: &str, expected: &str, found: &Value<'_>) -> Option<T> {
        let reason = format!("`{field}` must be {expected}, found {}", type_name(found));
        self.report(Code::Field, found.start(), reason);
        None
    }
}

fn out_of_range<T: Display>(field: &str, value: &dyn Display, range: &RangeInclusive<T>) -> String {
    let (low, high) = (range.start(), range.end());
    format!("`{field}` must lie between {low} and {high}, found {value}")
}

fn quoted_list(names: &[&str]) -> String {
    let quoted: Vec<_> = names.iter().map(|name| format!("`{name}`")).collect();
    quoted.join(", ")
}

fn type_name(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// Lowercases the first letter of a parser message, as in all other messages.
fn lowercase_first(reason: &dyn Display) -> String {
    let mut reason = reason.to_string();
    if let Some(first) = reason.get_mut(..1) {
        first.make_ascii_lowercase();
    }
    reason
}
