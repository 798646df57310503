//! The difference between two documents.

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

/// Bytes by which the place is found again where two texts go on alike.
const ANCHOR: usize = 32;
/// Splices of one text, at most.
const SPLICES: usize = 8;

/// One run of bytes replaced by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Splice {
    /// Where it begins in the old text, in bytes.
    #[serde(rename = "a")]
    pub at: usize,
    /// Bytes that go.
    #[serde(rename = "c")]
    pub cut: usize,
    /// What comes in their place.
    #[serde(rename = "t")]
    pub text: String,
}

/// What makes one document out of the one before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that it applies to.
    #[serde(rename = "b")]
    pub base: Version,
    /// The version that it makes.
    #[serde(rename = "v")]
    pub version: Version,
    /// The change that wrote that.
    #[serde(rename = "c")]
    pub change: Change,
    /// What differs in the routes, the pools, the teams and the rest.
    #[serde(rename = "s")]
    pub splices: [Vec<Splice>; 4],
    /// Checksum of the document that it makes.
    #[serde(rename = "h")]
    pub sum: u64,
}

/// What makes `new` out of `old`, in the order of the old text. Rows that were
/// added or taken out are found; other differences become one splice from the
/// first to the last differing byte.
pub fn diff_text(old: &str, new: &str) -> Vec<Splice> {
    let mut found = Vec::new();
    let (mut old, mut new, mut at) = (old, new, 0);
    while old != new {
        let same = common(old.bytes().zip(new.bytes()));
        let same = boundary(old, new, same, |text, n| text.is_char_boundary(n));
        (old, new, at) = (&old[same..], &new[same..], at + same);
        let full = found.len() + 1 >= SPLICES;
        // Rows look alike, so both may seem to be so: the shorter one is it.
        let put = added(old, new).filter(|_| !full);
        let cut = added(new, old).filter(|_| !full);
        if let Some(put) = put.filter(|put| cut.is_none_or(|cut| *put <= cut)) {
            let text = new[..put].to_owned();
            found.push(Splice { at, cut: 0, text });
            new = &new[put..];
        } else if let Some(cut) = cut {
            let text = String::new();
            found.push(Splice { at, cut, text });
            (old, at) = (&old[cut..], at + cut);
        } else {
            let tail = common(old.bytes().rev().zip(new.bytes().rev()));
            let from_end = |text: &str, n| text.is_char_boundary(text.len() - n);
            let tail = boundary(old, new, tail, from_end);
            let text = new[..new.len() - tail].to_owned();
            let cut = old.len() - tail;
            found.push(Splice { at, cut, text });
            break;
        }
    }
    found
}

/// Where the beginning of `short` comes up in `long`: so much was added.
fn added(short: &str, long: &str) -> Option<usize> {
    long.find(short.get(..ANCHOR)?)
}

fn common(pairs: impl Iterator<Item = (u8, u8)>) -> usize {
    pairs.take_while(|(a, b)| a == b).count()
}

fn boundary(old: &str, new: &str, mut length: usize, fits: impl Fn(&str, usize) -> bool) -> usize {
    while !fits(old, length) || !fits(new, length) {
        length -= 1;
    }
    length
}

/// Makes the new text, or nothing when the splices belong to another one.
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

/// A document taken apart into texts that change independently, each with its
/// keys in a fixed order.
struct Parts([String; 4]);

impl Parts {
    fn of(document: &Document) -> Option<Self> {
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
    /// What makes `new` out of `old`, or nothing when that cannot be written.
    pub fn between(old: &Document, new: &Document) -> Option<Self> {
        let Parts([a, b, c, d]) = Parts::of(old)?;
        let Parts([w, x, y, z]) = Parts::of(new)?;
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
            sum: sum(new)?,
        })
    }

    /// Bytes of text that it carries.
    pub fn len(&self) -> usize {
        let splices = self.splices.iter().flatten();
        splices.map(|splice| splice.text.len()).sum()
    }

    /// Whether it carries no text.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Makes the new document, or nothing when this belongs to another one.
    pub fn apply(&self, old: &Document) -> Option<Document> {
        if old.version != self.base {
            return None;
        }
        let Parts([routes, pools, teams, rest]) = Parts::of(old)?;
        let [a, b, c, d] = &self.splices;
        let parts = Parts([
            apply_splices(&routes, a)?,
            apply_splices(&pools, b)?,
            apply_splices(&teams, c)?,
            apply_splices(&rest, d)?,
        ]);
        let new = parts.join(self.version, self.change)?;
        (sum(&new)? == self.sum).then_some(new)
    }
}

fn sum(document: &Document) -> Option<u64> {
    serde_json::to_vec(document).ok().map(|text| xxh3_64(&text))
}
