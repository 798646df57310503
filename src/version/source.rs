//! A text in JSON with comments, read so that every value keeps its place.
//!
//! Reading goes on after a fault, so that an operator sees all faults of a
//! table at once. A fault points at the value that is wrong.

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

/// The dialect of settings and tables: JSON with comments and trailing commas.
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

/// A text with its name, for faults.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source<'a> {
    /// The file's name, or what stands for it.
    pub(crate) file: &'a str,
    /// The whole text.
    pub(crate) text: &'a str,
}

impl<'a> Source<'a> {
    /// A fault at a byte of the text.
    pub(crate) fn fault(&self, code: Code, at: usize, reason: impl Into<String>) -> Error {
        self.place(Error::new(code, reason), at)
    }

    /// Adds the place of a byte to an error.
    pub(crate) fn place(&self, error: Error, at: usize) -> Error {
        let before = &self.text.as_bytes()[..at.min(self.text.len())];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let start = before
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(0, |newline| newline + 1);
        // A character counts once, by its first byte.
        let column = before[start..]
            .iter()
            .filter(|b| **b & 0xc0 != 0x80)
            .count()
            + 1;
        error.at(line, column).within(self.file)
    }

    /// Reads the text as one object; a text without a value is an empty one.
    pub(crate) fn object(&self) -> Result<Option<Object<'a>>, Error> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &DIALECT)
            .map_err(|e| self.fault(Code::Syntax, e.range().start, lower(e.kind())))?;
        match parsed.value {
            None => Ok(None),
            Some(Value::Object(object)) => Ok(Some(object)),
            Some(other) => {
                let reason = format!("expected an object, found {}", kind(&other));
                Err(self.fault(Code::Syntax, other.start(), reason))
            }
        }
    }
}

/// Where a row and its fields stand in their text.
#[derive(Clone, Debug, Default)]
pub(crate) struct Places {
    /// The row's name.
    pub(crate) name: usize,
    fields: BTreeMap<&'static str, usize>,
}

impl Places {
    /// The place of a field's value, or of the row when the field is absent.
    pub(crate) fn of(&self, field: &str) -> usize {
        self.fields.get(field).copied().unwrap_or(self.name)
    }
}

/// Reads the fields of one object, collecting every fault.
pub(crate) struct Fields<'s, 'a> {
    source: Source<'a>,
    object: &'s Object<'a>,
    faults: &'s mut Vec<Error>,
    known: Vec<&'static str>,
    places: Places,
}

impl<'s, 'a> Fields<'s, 'a> {
    /// Begins to read an object; `name` is the place of what names it.
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
            known: Vec::new(),
            places: Places {
                name,
                fields: BTreeMap::new(),
            },
        }
    }

    /// A fault at a byte of the text.
    fn fault(&mut self, code: Code, at: usize, reason: impl Into<String>) {
        self.faults.push(self.source.fault(code, at, reason));
    }

    /// A fault in the name of the row.
    pub(crate) fn name_fault(&mut self, error: Error) {
        let at = self.places.name;
        self.faults.push(self.source.place(error, at));
    }

    /// A fault in the value of a field.
    pub(crate) fn field_fault(&mut self, field: &str, reason: impl Into<String>) {
        let at = self.places.of(field);
        self.fault(Code::Unit, at, reason);
    }

    /// A fault in the value at a byte of the text.
    pub(crate) fn place_fault(&mut self, at: usize, reason: impl Into<String>) {
        self.fault(Code::Unit, at, reason);
    }

    /// The value of a field, where it is present.
    pub(crate) fn value(&mut self, field: &'static str) -> Option<&'s Value<'a>> {
        self.known.push(field);
        let value = &self.object.get(field)?.value;
        self.places.fields.insert(field, value.start());
        Some(value)
    }

    /// The text of a field.
    pub(crate) fn string(&mut self, field: &'static str) -> Option<&'s str> {
        match self.value(field)? {
            Value::StringLit(text) => Some(&text.value),
            other => self.mismatch(field, "text in double quotes", other),
        }
    }

    /// A field written as text in a form of its own.
    pub(crate) fn parse<T: FromStr<Err = Error>>(&mut self, field: &'static str) -> Option<T> {
        let text = self.string(field)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let at = self.places.of(field);
                self.faults.push(self.source.place(error, at));
                None
            }
        }
    }

    /// A field written as text in a form of its own, within bounds.
    pub(crate) fn within<T>(&mut self, field: &'static str, range: RangeInclusive<T>) -> Option<T>
    where
        T: FromStr<Err = Error> + PartialOrd + Display,
    {
        let value: T = self.parse(field)?;
        if range.contains(&value) {
            return Some(value);
        }
        let reason = out_of_range(field, &value, &range);
        let at = self.places.of(field);
        self.fault(Code::Unit, at, reason);
        None
    }

    /// A whole number within bounds.
    pub(crate) fn count(&mut self, field: &'static str, range: RangeInclusive<u32>) -> Option<u32> {
        let literal = match self.value(field)? {
            Value::NumberLit(literal) => literal,
            other => return self.mismatch(field, "a whole number", other),
        };
        let count = literal.value.parse::<u32>().ok();
        if let Some(count) = count.filter(|count| range.contains(count)) {
            return Some(count);
        }
        let reason = out_of_range(field, &literal.value, &range);
        self.fault(Code::Unit, literal.range.start, reason);
        None
    }

    /// Yes or no.
    pub(crate) fn flag(&mut self, field: &'static str) -> Option<bool> {
        match self.value(field)? {
            Value::BooleanLit(literal) => Some(literal.value),
            other => self.mismatch(field, "true or false", other),
        }
    }

    /// Several texts, each with its place.
    pub(crate) fn strings(&mut self, field: &'static str) -> Vec<(&'s str, usize)> {
        let elements = match self.value(field) {
            None => return Vec::new(),
            Some(Value::Array(array)) => &array.elements,
            Some(other) => {
                self.mismatch::<()>(field, "a list of texts", other);
                return Vec::new();
            }
        };
        let mut texts = Vec::new();
        for element in elements {
            match element {
                Value::StringLit(text) => texts.push((&*text.value, text.range.start)),
                other => {
                    self.mismatch::<()>(field, "a list of texts", other);
                }
            }
        }
        texts
    }

    /// Notes that a field must be there.
    pub(crate) fn require(&mut self, field: &'static str) {
        if self.object.get(field).is_none() {
            let at = self.places.name;
            self.fault(Code::Field, at, format!("the field `{field}` is missing"));
        }
    }

    /// Ends the reading: refuses unknown and doubled fields, returns the places.
    pub(crate) fn finish(self) -> Places {
        let mut seen = Vec::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            let at = property.range.start;
            if !self.known.contains(&name) {
                let reason = format!("unknown field `{name}`, expected {}", list(&self.known));
                self.faults.push(self.source.fault(Code::Field, at, reason));
            } else if seen.contains(&name) {
                let reason = format!("the field `{name}` stands twice");
                self.faults.push(self.source.fault(Code::Field, at, reason));
            }
            seen.push(name);
        }
        self.places
    }

    fn mismatch<T>(&mut self, field: &str, want: &str, found: &Value<'_>) -> Option<T> {
        let reason = format!("`{field}` must be {want}, found {}", kind(found));
        self.fault(Code::Field, found.start(), reason);
        None
    }
}

fn out_of_range<T: Display>(field: &str, value: &dyn Display, range: &RangeInclusive<T>) -> String {
    let (low, high) = (range.start(), range.end());
    format!("`{field}` must lie between {low} and {high}, found {value}")
}

fn list(names: &[&str]) -> String {
    let quoted: Vec<_> = names.iter().map(|name| format!("`{name}`")).collect();
    quoted.join(", ")
}

fn kind(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// The library's reasons, in the case that this program's reasons have.
fn lower(reason: &dyn Display) -> String {
    let mut reason = reason.to_string();
    if let Some(first) = reason.get_mut(..1) {
        first.make_ascii_lowercase();
    }
    reason
}
