//! Proofs that a peer knows the fleet secret.
//!
//! A link proves it once, by challenge, at both ends; a datagram carries a tag
//! of its own. A node knows up to two secrets: it shows the first and accepts
//! both, so that a fleet goes from one to the next without an interruption.

use std::fmt;

use hmac::{
    Hmac,
    KeyInit,
    Mac, //
};
use serde::Deserialize;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Bytes of a datagram's tag.
pub(crate) const TAG_LEN: usize = 16;

/// Bytes of a proof.
const PROOF_LEN: usize = 32;

/// A text that must never be shown.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Hides a text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Its length in bytes.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Compares in constant time, so that timing tells nothing of the text.
    pub(crate) fn is(&self, text: &str) -> bool {
        self.0.as_bytes().ct_eq(text.as_bytes()).into()
    }

    fn sign(&self, label: &str, parts: &[&[u8]]) -> [u8; PROOF_LEN] {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(self.0.as_bytes()).expect("any length will do");
        mac.update(label.as_bytes());
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac.finalize().into_bytes().into()
    }
}

/// In constant time, as [`Secret::is`].
impl PartialEq for Secret {
    fn eq(&self, other: &Self) -> bool {
        self.is(&other.0)
    }
}

impl Eq for Secret {}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// The secrets of the fleet, the present one first.
#[derive(Clone, Debug)]
pub(crate) struct Ring(Vec<Secret>);

impl Ring {
    pub(crate) fn new(secrets: Vec<Secret>) -> Self {
        Self(secrets)
    }

    /// One proof by each secret, as the peer may know only one of them.
    pub(crate) fn prove(&self, label: &str, parts: &[&[u8]]) -> Vec<Vec<u8>> {
        let proof = |secret: &Secret| secret.sign(label, parts).to_vec();
        self.0.iter().map(proof).collect()
    }

    /// Whether any of the proofs was made with a secret known here.
    pub(crate) fn verify(&self, label: &str, parts: &[&[u8]], proofs: &[Vec<u8>]) -> bool {
        self.0.iter().any(|secret| {
            let want = secret.sign(label, parts);
            proofs
                .iter()
                .take(2)
                .any(|proof| want.ct_eq(proof.as_slice()).into())
        })
    }

    /// Adds the tag to a datagram.
    pub(crate) fn seal(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        if let Some(secret) = self.0.first() {
            let tag = secret.sign("datagram", &[&bytes]);
            bytes.extend_from_slice(&tag[..TAG_LEN]);
        }
        bytes
    }

    /// Removes the tag of a datagram, if it is right.
    pub(crate) fn open<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let (text, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_LEN)?)?;
        let right = |secret: &Secret| -> bool {
            secret.sign("datagram", &[text])[..TAG_LEN]
                .ct_eq(tag)
                .into()
        };
        self.0.iter().any(right).then_some(text)
    }
}
