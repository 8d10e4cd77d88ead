//! Identifiers of instances, requests and dispatches.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Id of one run of a hollywell process.
///
/// The name comes from the settings and is reused by a replacement. The
/// incarnation increases with every run, so that two runs with the same name
/// are never confused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The configured name.
    pub name: String,
    /// Number that increases with every run of that name.
    pub incarnation: u64,
}

impl Instance {
    /// Creates the id of one run of an instance.
    #[must_use]
    pub fn new(name: &str, incarnation: u64) -> Instance {
        Instance { name: name.to_owned(), incarnation }
    }
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

/// Id of a caller's request, unique within an instance's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Request(pub u64);

/// Id of an attempt at a target, unique within an instance's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Dispatch(pub u64);
