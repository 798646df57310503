//! Teams and their API keys.
//!
//! A key is shown in plain text only once, when it is generated. Only its salted
//! hash is stored, sent between nodes and kept in memory.

use hmac::{
    Hmac,
    KeyInit,
    Mac, //
};
use rand::{
    CryptoRng,
    RngExt, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};

use crate::{
    id,
    unit::{
        Rate,
        Weight, //
    },
};

/// A customer whose requests share a rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The team's name.
    pub name: id::Team,
    /// Maximum requests per second, across the fleet.
    pub rate: Rate,
    /// Burst size in requests, across the fleet.
    pub burst: u32,
    /// The share of capacity under overload, relative to other teams.
    #[serde(default)]
    pub weight: Weight,
}

/// An API key as it is stored, without its secret.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The public part, by which the key is looked up.
    pub name: id::Key,
    /// The team that the key authenticates.
    pub team: id::Team,
    /// The salt, in hexadecimal digits: random, or an opaque key's name.
    pub salt: String,
    /// HMAC-SHA256 of the secret, keyed with the salt, in hexadecimal digits.
    pub hash: String,
}

/// All teams with their keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Teams {
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The valid keys. Revoked keys are removed.
    #[serde(default)]
    pub keys: Vec<Key>,
}

impl Teams {
    /// Finds a team by its name.
    pub fn team(&self, name: &id::Team) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }

    /// Returns the key that `text` authenticates, either as `name.secret` or as
    /// an opaque key.
    pub fn authenticate(&self, text: &str) -> Option<&Key> {
        let named = text.rsplit_once('.').and_then(|(name, secret)| {
            let key = self.keys.iter().find(|key| key.name.as_str() == name)?;
            key.verify(secret).then_some(key)
        });
        named.or_else(|| {
            let name = Key::opaque_name(text);
            let key = self.keys.iter().find(|key| key.name == name)?;
            key.verify(text).then_some(key)
        })
    }

    /// Whether the key is valid and still belongs to the team.
    pub fn holds(&self, key: &id::Key, team: &id::Team) -> bool {
        self.keys.iter().any(|k| k.name == *key && k.team == *team)
    }
}

/// Random bytes in a key's secret.
const SECRET_BYTES: usize = 32;
/// Digits of an opaque key's digest that form its name: enough that no two keys
/// of a fleet collide, too few to recover the key.
const OPAQUE_DIGITS: usize = 24;
/// Random bytes in a key's salt.
const SALT_BYTES: usize = 16;

impl Key {
    /// Generates a random key. The second value is the key in plain text, as
    /// clients send it (`name.secret`); it is not stored.
    pub fn grant<R: CryptoRng>(name: id::Key, team: id::Team, rng: &mut R) -> (Self, String) {
        let secret = to_hex(&rng.random::<[u8; SECRET_BYTES]>());
        let salt = to_hex(&rng.random::<[u8; SALT_BYTES]>());
        let plain_text = format!("{name}.{secret}");
        (Self::seal(name, team, &salt, &secret), plain_text)
    }

    /// Hashes an opaque key: one issued by another system, without a name. It is
    /// looked up by a prefix of its SHA-256 digest.
    pub fn opaque(text: &str, team: id::Team) -> Self {
        let name = Self::opaque_name(text);
        let salt = name.to_string();
        Self::seal(name, team, &salt, text)
    }

    /// The name under which an opaque key is looked up.
    fn opaque_name(text: &str) -> id::Key {
        let digest = to_hex(&Sha256::digest(text.as_bytes()));
        let name = format!("opaque-{}", &digest[..OPAQUE_DIGITS]);
        name.parse().expect("hexadecimal digits make a name")
    }

    /// Hashes a secret with a salt.
    pub fn seal(name: id::Key, team: id::Team, salt: &str, secret: &str) -> Self {
        Self {
            name,
            team,
            salt: salt.to_owned(),
            hash: hmac_hex(salt, secret),
        }
    }

    /// Compares in constant time, so that timing doesn't leak the hash.
    fn verify(&self, secret: &str) -> bool {
        let hash = hmac_hex(&self.salt, secret);
        subtle::ConstantTimeEq::ct_eq(hash.as_bytes(), self.hash.as_bytes()).into()
    }
}

fn hmac_hex(salt: &str, secret: &str) -> String {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(salt.as_bytes()).expect("HMAC accepts a key of any length");
    mac.update(secret.as_bytes());
    to_hex(&mac.finalize().into_bytes())
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
