//! Bounds the memory of bodies: those of responses that are being read, and
//! those of callers' requests.
//!
//! A faulty target may send bytes without end, and several requests may be at
//! such targets at once; a caller may send many large bodies and leave them
//! unfinished. A limit on each body alone would have to be a small part of the
//! instance's memory, or a few of them would fill it. Here all bodies share one
//! limit; small ones have memory beyond it, so that a few large ones cannot keep
//! the others from being read.

/// Size up to which a body is small, in bytes. Most bodies are smaller.
const SMALL: usize = 64 << 10;

/// Memory in use for bodies.
///
/// # Example
///
/// ```
/// use hollywell::core::memory::Memory;
///
/// let mut memory = Memory::new(1 << 20);
/// assert!(memory.try_grow(0, 1 << 20));
/// // The limit is reached: this body is broken off, and a small one is read.
/// assert!(!memory.try_grow(1 << 20, 1));
/// assert!(memory.try_grow(0, 800));
/// ```
#[derive(Clone, Debug)]
pub struct Memory {
    limit: usize,
    /// Memory for small bodies beyond the limit.
    reserve: usize,
    used: usize,
    /// Part of the limit that is in use for something else.
    set_aside: usize,
}

impl Memory {
    /// Creates an account with a limit in bytes. Small bodies are always
    /// admitted.
    #[must_use]
    pub const fn new(limit: usize) -> Memory {
        Memory::with_reserve(limit, usize::MAX)
    }

    /// Creates an account with a limit, and `reserve` bytes beyond it for small
    /// bodies.
    #[must_use]
    pub const fn with_reserve(limit: usize, reserve: usize) -> Memory {
        Memory { limit, reserve, used: 0, set_aside: 0 }
    }

    /// The limit, in bytes.
    #[must_use]
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes in use, with those set aside.
    #[must_use]
    pub const fn used(&self) -> usize {
        self.used.saturating_add(self.set_aside)
    }

    /// Sets how much of the limit is in use for something else, in bytes.
    pub const fn set_aside(&mut self, bytes: usize) {
        self.set_aside = bytes;
    }

    /// Admits `more` bytes of a body that has `held` so far. Returns false if
    /// the body has to be broken off.
    #[must_use]
    pub fn try_grow(&mut self, held: usize, more: usize) -> bool {
        let is_small = held.saturating_add(more) <= SMALL;
        let limit = self.limit.saturating_sub(self.set_aside);
        let limit = limit.saturating_add(if is_small { self.reserve } else { 0 });
        let admits = self.used.saturating_add(more) <= limit;
        if admits {
            self.used = self.used.saturating_add(more);
        }
        admits
    }

    /// Releases the bytes of a body that was read or broken off.
    pub fn release(&mut self, held: usize) {
        self.used = self.used.saturating_sub(held);
    }
}
