//! Ends of jobs, as they are stored.
//!
//! An instance that has not read a job can't tell whether the caller may end it.
//! The end is stored nonetheless, and says who requested it; whoever folds it
//! knows the job, and skips an end whose caller may not end it. Each
//! organisation's end has a key of its own: the store keeps the newest record of
//! a key, so that an end without effect would replace one that counts.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{SEPARATOR, end_key};
use crate::core::organisation::Caller;

/// First byte of the value of an end that was stored without a check of the
/// caller's right. The organisation follows; none is an anonymous caller.
const UNCHECKED: u8 = b'2';
/// The value of any other end. Earlier builds wrote no other value.
const CHECKED: &[u8] = b"1";

/// A requested end of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct End {
    /// The job.
    pub job: String,
    /// Who requested it; [`Caller::Unrestricted`] if it was checked that the
    /// caller may end the job.
    pub by: Caller,
}

impl End {
    /// Whether the end counts for its job, given the organisation that owns it.
    #[must_use]
    pub fn is_allowed(&self, organisation: &str) -> bool {
        self.by.may_see(organisation)
    }

    /// Returns the record that ends the job.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::{batch::End, organisation::Caller};
    ///
    /// let (key, value) = End::from("j").record();
    /// assert_eq!((key.as_str(), &value[..]), ("j|e", &b"1"[..]));
    /// let by = Caller::Organisation("survey".into());
    /// let (key, value) = End { job: "j".into(), by }.record();
    /// assert!(key.starts_with("j|e|"));
    /// assert_eq!(&value[..], b"2survey");
    /// ```
    #[must_use]
    pub fn record(&self) -> (String, Bytes) {
        let key = end_key(&self.job);
        if self.by == Caller::Unrestricted {
            return (key, Bytes::from_static(CHECKED));
        }
        let organisation = self.by.organisation();
        let hash = xxhash_rust::xxh3::xxh3_64(organisation.as_bytes());
        let value = [&[UNCHECKED], organisation.as_bytes()].concat();
        (format!("{key}{SEPARATOR}{hash:016x}"), Bytes::from(value))
    }
}

impl From<&str> for End {
    /// The end of a job whose caller may end it.
    fn from(job: &str) -> End {
        End { job: job.to_owned(), by: Caller::Unrestricted }
    }
}

/// Returns who requested an end, given the value of its record.
pub(super) fn caller(value: &[u8]) -> Caller {
    match value.split_first() {
        Some((&UNCHECKED, name)) => Caller::from_organisation(&String::from_utf8_lossy(name)),
        _ => Caller::Unrestricted,
    }
}
