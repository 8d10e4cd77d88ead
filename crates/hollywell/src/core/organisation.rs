//! Who asks: organisations and the keys by which their callers are known.
//!
//! A caller's key is looked up once, at the edge; from there on only the name
//! of the organisation travels. Keys themselves are not kept: the directory
//! holds a digest of each, so that no log line, record or peer's word can
//! give one away.
//!
//! What it leaves out: how keys are spelled in a configuration (the adapter
//! decodes it) and how old the directory may be ([`crate::entry::caller`]).

use std::{collections::HashMap, fmt};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The scheme that callers name before their key (RFC 6750, section 2.1).
const SCHEME: &str = "Bearer";
/// Longest header that is looked at, in bytes; keys have a few dozen.
const MAX_HEADER_BYTES: usize = 4_096;

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Rank of its requests, 0 first; goes before the route's.
    pub priority: Option<u8>,
}

/// What is kept of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
struct Digest([u8; 32]);

impl Digest {
    fn of(key: &str) -> Digest {
        Digest(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// Why a caller is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthError {
    /// No key was sent.
    NoKey,
    /// What was sent is not one key in the form `Bearer KEY`.
    Malformed,
    /// No organisation has the key.
    Unknown,
}

impl AuthError {
    /// Its name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            AuthError::NoKey => "no_key",
            AuthError::Malformed => "malformed_key",
            AuthError::Unknown => "unknown_key",
        }
    }
}

/// All organisations of a configuration.
///
/// # Example
///
/// ```
/// use hollywell::core::organisation::{Directory, Organisation, AuthError};
///
/// let survey = Organisation { name: "survey".into(), priority: None };
/// let directory = Directory::new([(survey, vec!["s3cret"])]).unwrap();
/// let caller = |values: &[&str]| directory.caller(values.iter().map(|v| v.as_bytes()));
/// assert_eq!(caller(&["Bearer s3cret"]).unwrap().name, "survey");
/// // Two headers are none, whatever they hold.
/// assert_eq!(caller(&["Bearer s3cret", "Bearer s3cret"]), Err(AuthError::Malformed));
/// assert_eq!(caller(&[]), Err(AuthError::NoKey));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    organisations: Vec<Organisation>,
    /// Pairs in a peer's word, since a digest is no text.
    #[serde(with = "pairs")]
    by_key: HashMap<Digest, usize>,
}

impl Directory {
    /// The directory of organisations with their keys.
    ///
    /// # Errors
    ///
    /// If a name or a key is empty, or stands twice. Keys are not named.
    pub fn new<'a>(
        all: impl IntoIterator<Item = (Organisation, Vec<&'a str>)>,
    ) -> Result<Directory, String> {
        let mut directory = Directory::default();
        for (organisation, keys) in all {
            let (at, name) = (directory.organisations.len(), &organisation.name);
            if name.is_empty() || directory.organisations.iter().any(|o| o.name == *name) {
                return Err(format!("organisation {at} has no name of its own: {name:?}"));
            }
            for key in keys {
                if key.is_empty() || directory.by_key.insert(Digest::of(key), at).is_some() {
                    return Err(format!("a key of organisation {name:?} is empty or stands twice"));
                }
            }
            directory.organisations.push(organisation);
        }
        Ok(directory)
    }

    /// The organisation whose key a caller sent, given the values of all
    /// headers that may hold one.
    ///
    /// # Errors
    ///
    /// Why the caller is not known.
    pub fn caller<'a>(
        &self,
        values: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<&Organisation, AuthError> {
        let mut values = values.into_iter();
        let value = values.next().ok_or(AuthError::NoKey)?;
        let key = key(value).filter(|_| values.next().is_none()).ok_or(AuthError::Malformed)?;
        let at = self.by_key.get(&Digest::of(key)).ok_or(AuthError::Unknown)?;
        self.organisations.get(*at).ok_or(AuthError::Unknown)
    }
}

/// The key in a header's value.
fn key(value: &[u8]) -> Option<&str> {
    if value.len() > MAX_HEADER_BYTES {
        return None;
    }
    let (scheme, key) = std::str::from_utf8(value).ok()?.trim().split_once(' ')?;
    let key = key.trim_start();
    let is_one = !key.is_empty() && !key.contains(char::is_whitespace);
    (scheme.eq_ignore_ascii_case(SCHEME) && is_one).then_some(key)
}

/// A map as a list of pairs.
mod pairs {
    use std::collections::HashMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::Digest;

    pub(super) fn serialize<S: Serializer>(
        map: &HashMap<Digest, usize>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        map.iter().collect::<Vec<_>>().serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<HashMap<Digest, usize>, D::Error> {
        Ok(Vec::<(Digest, usize)>::deserialize(from)?.into_iter().collect())
    }
}
