//! Authentication of peers by the shared fleet secret.
//!
//! Both ends of a link authenticate once, by challenge and response; each
//! datagram carries its own truncated HMAC. A node has up to two secrets. It
//! tags datagrams with the first and accepts both, so that the secret of a fleet
//! can be rotated without an interruption.

use std::fmt;

use hmac::{
    Hmac,
    KeyInit,
    Mac, //
};
use serde::Deserialize;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Length of a datagram's authentication tag, in bytes.
pub(crate) const TAG_LEN: usize = 16;

/// Length of a proof, an HMAC-SHA-256, in bytes.
const PROOF_LEN: usize = 32;

/// A string that must never be shown; its `Debug` output hides the value.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a string.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The length in bytes.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Compares in constant time, so that timing reveals nothing about the secret.
    pub(crate) fn is(&self, text: &str) -> bool {
        self.0.as_bytes().ct_eq(text.as_bytes()).into()
    }

    /// Computes an HMAC over the label and the parts. Each part is preceded by its
    /// length, so that different splits of the same bytes yield different HMACs.
    fn sign(&self, label: &str, parts: &[&[u8]]) -> [u8; PROOF_LEN] {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.0.as_bytes())
            .expect("HMAC accepts keys of any length");
        mac.update(label.as_bytes());
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac.finalize().into_bytes().into()
    }
}

/// Compares in constant time, like [`Secret::is`].
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

/// The secrets of the fleet, the current one first.
#[derive(Clone, Debug)]
pub(crate) struct Ring(Vec<Secret>);

impl Ring {
    pub(crate) fn new(secrets: Vec<Secret>) -> Self {
        Self(secrets)
    }

    /// Computes one proof per secret, as the peer may know only one of them.
    pub(crate) fn prove(&self, label: &str, parts: &[&[u8]]) -> Vec<Vec<u8>> {
        let proof = |secret: &Secret| secret.sign(label, parts).to_vec();
        self.0.iter().map(proof).collect()
    }

    /// Whether any of the first two proofs was made with one of this node's
    /// secrets.
    pub(crate) fn verify(&self, label: &str, parts: &[&[u8]], proofs: &[Vec<u8>]) -> bool {
        self.0.iter().any(|secret| {
            let expected = secret.sign(label, parts);
            proofs
                .iter()
                .take(2)
                .any(|proof| expected.ct_eq(proof.as_slice()).into())
        })
    }

    /// Appends the authentication tag to a datagram.
    pub(crate) fn append_tag(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        if let Some(secret) = self.0.first() {
            let tag = secret.sign("datagram", &[&bytes]);
            bytes.extend_from_slice(&tag[..TAG_LEN]);
        }
        bytes
    }

    /// Verifies and removes the tag of a datagram. Returns `None` if it is invalid.
    pub(crate) fn strip_tag<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let (payload, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_LEN)?)?;
        let matches = |secret: &Secret| -> bool {
            secret.sign("datagram", &[payload])[..TAG_LEN]
                .ct_eq(tag)
                .into()
        };
        self.0.iter().any(matches).then_some(payload)
    }
}
