//! Authentication of callers: organisations and their API keys.
//!
//! A caller's key is looked up once, where the request enters; after that only
//! the name of the organisation is passed on. The directory stores a digest of
//! each key and not the key itself, so that no log line, record or message to a
//! peer can leak one.
//!
//! Not part of this module: how keys are encoded in a configuration (the
//! platform's adapter decodes them), and how old the directory may be
//! ([`crate::entry::caller`]).

use std::{collections::HashMap, fmt};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Authorization scheme of callers (RFC 6750, section 2.1).
const SCHEME: &str = "Bearer";
/// Length of the longest header that is parsed, in bytes. Keys have a few dozen
/// bytes.
const MAX_HEADER_BYTES: usize = 4_096;

/// Whose jobs a request may access.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Caller {
    /// The configuration has no organisations: all jobs.
    Unrestricted,
    /// A caller without a valid key on a host that has public jobs.
    Anonymous,
    /// An authenticated member of an organisation.
    Organisation(String),
}

impl Caller {
    /// Whether this caller may read and end a job of an organisation. A job
    /// without an organisation is public.
    #[must_use]
    pub fn may_see(&self, organisation: &str) -> bool {
        match self {
            Caller::Unrestricted => true,
            Caller::Anonymous => organisation.is_empty(),
            Caller::Organisation(name) => organisation.is_empty() || organisation == name,
        }
    }

    /// The caller of an organisation; an anonymous one if the name is empty.
    #[must_use]
    pub fn from_organisation(name: &str) -> Caller {
        match name {
            "" => Caller::Anonymous,
            name => Caller::Organisation(name.to_owned()),
        }
    }

    /// The organisation that owns the jobs that this caller submits.
    #[must_use]
    pub fn organisation(&self) -> &str {
        match self {
            Caller::Unrestricted | Caller::Anonymous => "",
            Caller::Organisation(name) => name,
        }
    }
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Unique name.
    pub name: String,
    /// Priority of its requests, which overrides the route's; 0 goes first.
    pub priority: Option<u8>,
}

/// SHA-256 digest of a key.
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

/// Why a caller could not be authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthError {
    /// The request has no key.
    NoKey,
    /// The request's headers are not a single one of the form `Bearer KEY`.
    Malformed,
    /// No organisation has the key.
    Unknown,
}

impl AuthError {
    /// Returns the name used in logs and metrics.
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
/// let caller = |values: &[&str]| directory.authenticate(values.iter().map(|v| v.as_bytes()));
/// assert_eq!(caller(&["Bearer s3cret"]).unwrap().name, "survey");
/// // Two headers are rejected, even if they are equal.
/// assert_eq!(caller(&["Bearer s3cret", "Bearer s3cret"]), Err(AuthError::Malformed));
/// assert_eq!(caller(&[]), Err(AuthError::NoKey));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    organisations: Vec<Organisation>,
    /// Encoded as a list of pairs in messages to peers, because a digest cannot
    /// be a JSON key.
    #[serde(with = "pairs")]
    by_key: HashMap<Digest, usize>,
}

impl Directory {
    /// Creates a directory of organisations with their keys.
    ///
    /// # Errors
    ///
    /// Returns an error if a name or a key is empty or occurs twice. The
    /// message does not contain the key.
    pub fn new<'a>(
        all: impl IntoIterator<Item = (Organisation, Vec<&'a str>)>,
    ) -> Result<Directory, String> {
        let mut directory = Directory::default();
        for (organisation, keys) in all {
            let (at, name) = (directory.organisations.len(), &organisation.name);
            if name.is_empty() || directory.organisations.iter().any(|o| o.name == *name) {
                return Err(format!("organisation {at}: name {name:?} is empty or not unique"));
            }
            for key in keys {
                if key.is_empty() || directory.by_key.insert(Digest::of(key), at).is_some() {
                    return Err(format!("organisation {name:?}: a key is empty or not unique"));
                }
            }
            directory.organisations.push(organisation);
        }
        Ok(directory)
    }

    /// Returns the organisation whose key a caller sent, given the values of
    /// all headers that may contain one.
    ///
    /// # Errors
    ///
    /// Returns the reason if the caller cannot be authenticated.
    pub fn authenticate<'a>(
        &self,
        values: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<&Organisation, AuthError> {
        let mut values = values.into_iter();
        let value = values.next().ok_or(AuthError::NoKey)?;
        let key = key(value).filter(|_| values.next().is_none()).ok_or(AuthError::Malformed)?;
        let at = self.by_key.get(&Digest::of(key)).ok_or(AuthError::Unknown)?;
        self.organisations.get(*at).ok_or(AuthError::Unknown)
    }

    /// Returns the priority that an organisation has of its own; 0 is the
    /// highest.
    #[must_use]
    pub fn priority(&self, name: &str) -> Option<u8> {
        self.organisations.iter().find(|organisation| organisation.name == name)?.priority
    }
}

/// Returns the key in a header's value.
fn key(value: &[u8]) -> Option<&str> {
    if value.len() > MAX_HEADER_BYTES {
        return None;
    }
    let (scheme, key) = std::str::from_utf8(value).ok()?.trim().split_once(' ')?;
    let key = key.trim_start();
    let is_one = !key.is_empty() && !key.contains(char::is_whitespace);
    (scheme.eq_ignore_ascii_case(SCHEME) && is_one).then_some(key)
}

/// Serialises a map as a list of pairs.
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
