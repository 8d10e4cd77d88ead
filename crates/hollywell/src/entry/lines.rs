//! Cuts a byte stream into events: blocks of lines that end with a blank
//! line. What an event's lines say is the codec's business.

/// Bytes that do not make a whole event yet.
///
/// # Example
///
/// ```
/// use hollywell::entry::lines::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 1\ndata: a\n");
/// assert_eq!(splitter.next_event(), None);
/// // The blank line may come in a piece of its own.
/// splitter.push(b"\nid: 2");
/// assert_eq!(splitter.next_event().unwrap(), b"id: 1\ndata: a");
/// // What is left is an event that was cut short.
/// assert!(!splitter.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
}

impl EventSplitter {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, without its blank line.
    #[allow(clippy::should_implement_trait)]
    pub fn next_event(&mut self) -> Option<Vec<u8>> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let rest = self.buffer.split_off(end + 2);
        let mut event = std::mem::replace(&mut self.buffer, rest);
        event.truncate(end);
        Some(event)
    }

    /// Whether nothing is left over.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}
