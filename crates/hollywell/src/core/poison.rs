//! Requests that end the targets which run them, as they come again.
//!
//! A caller that got no answer asks again, under another id and at another
//! instance. What stays the same is who asks for what: a digest of that names
//! the request for as long as it comes.

use std::fmt;

use sha2::{Digest as _, Sha256};

/// Bytes of a digest that are kept: so many that no caller can make one that
/// names another caller's request.
const DIGEST_BYTES: usize = 16;

/// What one request has in common with the same request asked again.
///
/// # Example
///
/// ```
/// use hollywell::core::poison::Digest;
///
/// let digest = Digest::of(&["h.example", "/plain/x"], b"body");
/// assert_eq!(digest, Digest::of(&["h.example", "/plain/x"], b"body"));
/// // Where one part ends and the next begins counts.
/// assert_ne!(digest, Digest::of(&["h.example/", "plain/x"], b"body"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// The digest of what a request is for and who asks, and of its body.
    #[must_use]
    pub fn of(parts: &[&str], body: &[u8]) -> Digest {
        let mut hash = Sha256::new();
        for part in parts.iter().map(|part| part.as_bytes()).chain([body]) {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Digest(digest)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}
