//! Splits a byte stream into events: blocks of lines that end with a blank line.
//! The lines of an event are decoded by [`crate::entry::codec`].

/// Splits a byte stream into events.
///
/// # Example
///
/// ```
/// use hollywell::entry::lines::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 1\ndata: a\n");
/// assert_eq!(splitter.next_event(), None);
/// // The blank line may arrive in a chunk of its own.
/// splitter.push(b"\nid: 2");
/// assert_eq!(splitter.next_event().unwrap(), b"id: 1\ndata: a");
/// // The rest is an incomplete event.
/// assert!(!splitter.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// Length of the part of the buffer in which no event ends.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, without its blank line.
    pub fn next_event(&mut self) -> Option<Vec<u8>> {
        // The first line feed of a blank line may be the last byte scanned.
        let from = self.scanned.saturating_sub(1);
        let found = self.buffer[from..].windows(2).position(|pair| pair == b"\n\n");
        let Some(end) = found.map(|at| from + at) else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned = 0;
        let rest = self.buffer.split_off(end + 2);
        let mut event = std::mem::replace(&mut self.buffer, rest);
        event.truncate(end);
        Some(event)
    }

    /// Bytes that were received and not returned as an event yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether no incomplete event remains.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}
