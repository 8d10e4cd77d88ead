//! What the store's room is used for.
//!
//! The store has a fixed room, and everything that an instance writes shares
//! it: what may wait as well as what must never fail. So each append says
//! what it is for.
//!
//! What it leaves out: the appends themselves ([`crate::entry::store`]).

use serde::{Deserialize, Serialize};

/// What an append is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Use {
    /// A job's end.
    End,
    /// Records that nothing needs any more are dropped.
    Drop,
    /// A claim of the lease on orders.
    Claim,
    /// News for the other instances.
    News,
    /// A sample's result, without its text.
    Outcome,
    /// A sample's whole text.
    Text,
    /// A sample's unfinished text, and the note of it.
    Unfinished,
    /// A job's head: from then on it is accepted.
    Head,
    /// The requests of a job's samples.
    Requests,
}

impl Use {
    /// Its name in logs and metrics.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::room::Use;
    ///
    /// assert_eq!(Use::Unfinished.as_str(), "unfinished");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Use::End => "end",
            Use::Drop => "drop",
            Use::Claim => "claim",
            Use::News => "news",
            Use::Outcome => "outcome",
            Use::Text => "text",
            Use::Unfinished => "unfinished",
            Use::Head => "head",
            Use::Requests => "requests",
        }
    }
}
