//! Names of the things that events speak of.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One run of one hollywell process.
///
/// The name comes from the settings and is reused by a replacement; the
/// incarnation is larger for every later run, so that two runs of one name
/// are never taken for each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The configured name.
    pub name: String,
    /// Larger for every later run of that name.
    pub incarnation: u64,
}

impl Instance {
    /// Names one run of an instance.
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

/// A caller's request at one instance, unique within that instance's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Request(pub u64);

/// One attempt at a target, unique within an instance's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Dispatch(pub u64);
