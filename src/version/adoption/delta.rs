//! Computes and applies the difference between two documents.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Map,
    Value, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    document::Document,
    id::{
        Change,
        Version, //
    },
};

/// Length in bytes of the run that must match for two texts to count as in step
/// again after a difference.
const ANCHOR_BYTES: usize = 32;
/// Maximum number of splices for one text.
const MAX_SPLICES: usize = 8;

/// The replacement of one run of bytes by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Splice {
    /// Byte offset in the old text.
    #[serde(rename = "a")]
    pub at: usize,
    /// Number of bytes removed.
    #[serde(rename = "c")]
    pub cut: usize,
    /// The text inserted in their place.
    #[serde(rename = "t")]
    pub text: String,
}

/// The difference that turns one version of the document into a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the delta applies to.
    #[serde(rename = "b")]
    pub base: Version,
    /// The version that results.
    #[serde(rename = "v")]
    pub version: Version,
    /// The change that produced that version.
    #[serde(rename = "c")]
    pub change: Change,
    /// The splices of the routes, the pools, the teams and the remaining fields.
    #[serde(rename = "s")]
    pub splices: [Vec<Splice>; 4],
    /// Checksum of the resulting document.
    #[serde(rename = "h")]
    pub sum: u64,
}

/// Returns the splices that turn `old` into `new`, in the order of the old text.
/// Added and removed rows get splices of their own; any other difference, and
/// what is left when `MAX_SPLICES` is reached, becomes one splice from the first
/// to the last differing byte.
pub fn diff_text(old: &str, new: &str) -> Vec<Splice> {
    let mut found = Vec::new();
    let (mut old, mut new, mut at) = (old, new, 0);
    while old != new {
        let prefix = common_length(old.bytes().zip(new.bytes()));
        let prefix = round_down_to_boundary(old, new, prefix, |text, n| text.is_char_boundary(n));
        (old, new, at) = (&old[prefix..], &new[prefix..], at + prefix);
        let is_full = found.len() + 1 >= MAX_SPLICES;
        // Rows resemble each other, so the text may look like an insertion and
        // a removal at once: the shorter of the two is taken.
        let inserted = insertion_length(old, new).filter(|_| !is_full);
        let cut = insertion_length(new, old).filter(|_| !is_full);
        if let Some(inserted) = inserted.filter(|inserted| cut.is_none_or(|cut| *inserted <= cut)) {
            let text = new[..inserted].to_owned();
            found.push(Splice { at, cut: 0, text });
            new = &new[inserted..];
        } else if let Some(cut) = cut {
            let text = String::new();
            found.push(Splice { at, cut, text });
            (old, at) = (&old[cut..], at + cut);
        } else {
            let suffix = common_length(old.bytes().rev().zip(new.bytes().rev()));
            let from_end = |text: &str, n| text.is_char_boundary(text.len() - n);
            let suffix = round_down_to_boundary(old, new, suffix, from_end);
            let text = new[..new.len() - suffix].to_owned();
            let cut = old.len() - suffix;
            found.push(Splice { at, cut, text });
            break;
        }
    }
    found
}

/// Returns how many bytes `long` has before the beginning of `short`, which is
/// the length of the insertion.
fn insertion_length(short: &str, long: &str) -> Option<usize> {
    long.find(short.get(..ANCHOR_BYTES)?)
}

fn common_length(pairs: impl Iterator<Item = (u8, u8)>) -> usize {
    pairs.take_while(|(a, b)| a == b).count()
}

fn round_down_to_boundary(
    old: &str,
    new: &str,
    mut length: usize,
    is_boundary: impl Fn(&str, usize) -> bool,
) -> usize {
    while !is_boundary(old, length) || !is_boundary(new, length) {
        length -= 1;
    }
    length
}

/// Applies the splices to `old`, or returns `None` if they don't fit this text.
pub fn apply_splices(old: &str, splices: &[Splice]) -> Option<String> {
    let mut new = String::new();
    let mut from = 0;
    for splice in splices {
        new.push_str(old.get(from..splice.at)?);
        new.push_str(&splice.text);
        from = splice.at.checked_add(splice.cut)?;
    }
    new.push_str(old.get(from..)?);
    Some(new)
}

/// A document split into texts that change independently of each other, each
/// with its keys in a fixed order.
struct Parts([String; 4]);

impl Parts {
    fn split(document: &Document) -> Option<Self> {
        let Value::Object(mut rest) = serde_json::to_value(document).ok()? else {
            return None;
        };
        rest.remove("version");
        rest.remove("change");
        rest.remove("routes");
        rest.remove("pools");
        let teams = rest.remove("teams")?.to_string();
        let rest = Value::Object(rest).to_string();
        let routes = document.routes.clone();
        Some(Self([routes, document.pools.clone(), teams, rest]))
    }

    fn join(self, version: Version, change: Change) -> Option<Document> {
        let [routes, pools, teams, rest] = self.0;
        let mut fields: Map<String, Value> = serde_json::from_str(&rest).ok()?;
        fields.insert("version".into(), serde_json::to_value(version).ok()?);
        fields.insert("change".into(), serde_json::to_value(change).ok()?);
        fields.insert("routes".into(), Value::String(routes));
        fields.insert("pools".into(), Value::String(pools));
        fields.insert("teams".into(), serde_json::from_str(&teams).ok()?);
        serde_json::from_value(Value::Object(fields)).ok()
    }
}

impl Delta {
    /// Returns the delta from `old` to `new`, or `None` if a document cannot be
    /// serialized.
    pub fn between(old: &Document, new: &Document) -> Option<Self> {
        let Parts([a, b, c, d]) = Parts::split(old)?;
        let Parts([w, x, y, z]) = Parts::split(new)?;
        Some(Self {
            base: old.version,
            version: new.version,
            change: new.change,
            splices: [
                diff_text(&a, &w),
                diff_text(&b, &x),
                diff_text(&c, &y),
                diff_text(&d, &z),
            ],
            sum: checksum(new)?,
        })
    }

    /// Number of bytes of inserted text.
    pub fn len(&self) -> usize {
        let splices = self.splices.iter().flatten();
        splices.map(|splice| splice.text.len()).sum()
    }

    /// Whether the delta inserts no text.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the new document, or `None` if the delta was made for another one.
    pub fn apply(&self, old: &Document) -> Option<Document> {
        if old.version != self.base {
            return None;
        }
        let Parts([routes, pools, teams, rest]) = Parts::split(old)?;
        let [a, b, c, d] = &self.splices;
        let parts = Parts([
            apply_splices(&routes, a)?,
            apply_splices(&pools, b)?,
            apply_splices(&teams, c)?,
            apply_splices(&rest, d)?,
        ]);
        let new = parts.join(self.version, self.change)?;
        (checksum(&new)? == self.sum).then_some(new)
    }
}

fn checksum(document: &Document) -> Option<u64> {
    serde_json::to_vec(document).ok().map(|text| xxh3_64(&text))
}
