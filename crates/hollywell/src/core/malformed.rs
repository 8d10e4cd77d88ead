//! The error for a record that cannot be decoded, of any topic.

use std::fmt;

/// Says what is wrong with a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub(super) String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}
