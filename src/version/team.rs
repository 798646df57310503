//! Teams and their keys.
//!
//! A key is shown once, when it is granted. What is stored, sent between
//! nodes and kept in memory is a salted hash.

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

/// A customer whose requests share a rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The team's name.
    pub name: id::Team,
    /// Requests a second, summed over the fleet.
    pub rate: Rate,
    /// Requests at once, summed over the fleet.
    pub burst: u32,
    /// The share under overload, relative to other teams.
    #[serde(default)]
    pub weight: Weight,
}

/// A key as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The public part.
    pub name: id::Key,
    /// The team it speaks for.
    pub team: id::Team,
    /// Random, in hexadecimal digits.
    pub salt: String,
    /// HMAC-SHA256 of the secret part under the salt, in hexadecimal digits.
    pub hash: String,
}

/// All teams with their keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Teams {
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The keys in force. A withdrawn key is not here.
    #[serde(default)]
    pub keys: Vec<Key>,
}

impl Teams {
    /// Finds a team by its name.
    pub fn team(&self, name: &id::Team) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }

    /// Finds the key that this text proves to hold, written `name.secret`, or
    /// an opaque one.
    pub fn authenticate(&self, text: &str) -> Option<&Key> {
        let named = text.rsplit_once('.').and_then(|(name, secret)| {
            let key = self.keys.iter().find(|key| key.name.as_str() == name)?;
            key.proven_by(secret).then_some(key)
        });
        named.or_else(|| {
            let name = Key::opaque_name(text);
            let key = self.keys.iter().find(|key| key.name == name)?;
            key.proven_by(text).then_some(key)
        })
    }

    /// Whether the key is in force and still speaks for the team.
    pub fn holds(&self, key: &id::Key, team: &id::Team) -> bool {
        self.keys.iter().any(|k| k.name == *key && k.team == *team)
    }
}

/// Random bytes of a key's secret part.
const SECRET_BYTES: usize = 32;
/// Digits of an opaque key's digest in its name: enough that no two keys of a
/// fleet share one, too few to guess the key by.
const OPAQUE_DIGITS: usize = 24;
/// Random bytes of a key's salt.
const SALT_BYTES: usize = 16;

impl Key {
    /// Makes a random key. The second value is the whole key as its holder
    /// shows it, `name.secret`; it is kept nowhere.
    pub fn grant<R: CryptoRng>(name: id::Key, team: id::Team, rng: &mut R) -> (Self, String) {
        let secret = digits(&rng.random::<[u8; SECRET_BYTES]>());
        let salt = digits(&rng.random::<[u8; SALT_BYTES]>());
        let shown = format!("{name}.{secret}");
        (Self::seal(name, team, &salt, &secret), shown)
    }

    /// Stores an opaque key: one that came from elsewhere as a whole, without
    /// a name. It is looked up by a part of its own digest.
    pub fn opaque(text: &str, team: id::Team) -> Self {
        let name = Self::opaque_name(text);
        let salt = name.to_string();
        Self::seal(name, team, &salt, text)
    }

    /// The name under which an opaque key is looked up.
    fn opaque_name(text: &str) -> id::Key {
        let digest = digits(&Sha256::digest(text.as_bytes()));
        let name = format!("opaque-{}", &digest[..OPAQUE_DIGITS]);
        name.parse().expect("hexadecimal digits make a name")
    }

    /// Stores a secret under a salt.
    pub fn seal(name: id::Key, team: id::Team, salt: &str, secret: &str) -> Self {
        Self {
            name,
            team,
            salt: salt.to_owned(),
            hash: digest(salt, secret),
        }
    }

    /// Compares in constant time, so that timing tells nothing of the hash.
    fn proven_by(&self, secret: &str) -> bool {
        let hash = digest(&self.salt, secret);
        subtle::ConstantTimeEq::ct_eq(hash.as_bytes(), self.hash.as_bytes()).into()
    }
}

fn digest(salt: &str, secret: &str) -> String {
    let mut mac = Hmac::<Sha256>::new_from_slice(salt.as_bytes()).expect("any length will do");
    mac.update(secret.as_bytes());
    digits(&mac.finalize().into_bytes())
}

fn digits(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
