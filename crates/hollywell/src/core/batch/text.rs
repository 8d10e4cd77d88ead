//! Texts as records of the store.
//!
//! The store deletes a key whose value is empty, and limits the size of a
//! record. A text therefore takes as many records as it needs: none if it is
//! empty, one in most cases.

use bytes::Bytes;

use super::{LOG_OVERHEAD, SEPARATOR};

/// Upper bound of a record's size in an append apart from its value, in bytes:
/// a key and its length.
const MAX_KEY_BYTES: usize = 256;

/// Bytes of other records that a read includes rather than to end before them, so
/// that another call reads what follows.
const MAX_GAP_BYTES: u64 = 32 << 10;

/// Size of the read that begins with the first of some records of a partition, in
/// bytes of its log. `wanted` is in the order of offsets. The read ends where more
/// than [`MAX_GAP_BYTES`] of other records follow; these are taken to be as long as
/// the wanted ones on average.
///
/// # Example
///
/// ```
/// use hollywell::core::batch::{TextRef, run_bytes};
///
/// let text = |offset, len| TextRef { offset, len, ..TextRef::default() };
/// let near = [text(0, 1_000), text(1, 1_000), text(3, 1_000)];
/// assert!((4_000..5_000).contains(&run_bytes(&near)));
/// let far = [text(0, 1_000), text(1, 1_000), text(90, 1_000)];
/// assert!((2_000..3_000).contains(&run_bytes(&far)));
/// ```
#[must_use]
pub fn run_bytes(wanted: &[TextRef]) -> u64 {
    let size = |text: &TextRef| text.stored_bytes(LOG_OVERHEAD);
    let mean = wanted.iter().map(size).sum::<u64>() / (wanted.len() as u64).max(1);
    let mut bytes = wanted.first().map_or(0, size);
    for pair in wanted.windows(2) {
        let gap = pair[1].offset.saturating_sub(pair[0].end()).saturating_mul(mean);
        if gap > MAX_GAP_BYTES {
            break;
        }
        bytes += gap + size(&pair[1]);
    }
    bytes
}

/// Number of the first records that a read of so many bytes is expected to hold, at
/// least one. `wanted` is in the order of offsets; records between them are taken to
/// be as long as they are on average.
///
/// # Example
///
/// ```
/// use hollywell::core::batch::{TextRef, run_count};
///
/// let text = |offset, len| TextRef { offset, len, ..TextRef::default() };
/// let wanted = [text(0, 1_000), text(1, 1_000), text(90, 1_000)];
/// assert_eq!(run_count(&wanted, 4_000), 2);
/// assert_eq!(run_count(&wanted, 10), 1);
/// ```
#[must_use]
pub fn run_count(wanted: &[TextRef], max_bytes: u64) -> usize {
    let size = |text: &TextRef| text.stored_bytes(LOG_OVERHEAD);
    let mean = wanted.iter().map(size).sum::<u64>() / (wanted.len() as u64).max(1);
    let mut bytes = 0_u64;
    let mut end = wanted.first().map_or(0, |first| first.offset);
    let fits = |text: &&TextRef| {
        let gap = text.offset.saturating_sub(end).saturating_mul(mean);
        bytes = bytes.saturating_add(gap).saturating_add(size(text));
        end = text.end();
        bytes <= max_bytes
    };
    wanted.iter().take_while(fits).count().max(1).min(wanted.len())
}

/// Reference to a text in the store.
///
/// Texts have their own topic and are written before the result that refers
/// to them. Every instance folds all results, but reads a text only when one
/// of its own callers requests it. When the results contained the texts, a
/// starting instance spent four seconds reading the texts of all jobs.
///
/// # Example
///
/// ```
/// use bytes::Bytes;
/// use hollywell::core::batch::TextRef;
///
/// let (text, record_bytes) = (Bytes::from_static(b"abcde"), 256 + 3);
/// let at = TextRef::new(0, "k".into(), &text, record_bytes).unwrap();
/// let records = [("k|0".into(), Bytes::from("abc")), ("k|1".into(), Bytes::from("de"))];
/// assert_eq!(at.split(&text), records);
/// // An empty text takes no record.
/// assert_eq!(TextRef::new(0, "k".into(), &Bytes::new(), record_bytes), None);
/// ```
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TextRef {
    /// Partition of the texts topic. It has the same number as the job's
    /// partition or, for a text left by an earlier step, as that step's.
    #[prost(uint32, tag = "1")]
    pub part: u32,
    /// Offset of the first record in that partition; the others follow it.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Key of the record, to read it after the log around it was trimmed. If
    /// the text is split, the records' keys begin with it and no record has it,
    /// so that a build that knows no split texts finds nothing.
    #[prost(string, tag = "3")]
    pub key: String,
    /// Length of the text in bytes. An earlier build referred to empty texts,
    /// whose records the store had deleted.
    #[prost(uint32, tag = "4")]
    pub len: u32,
    /// Number of records over which the text is split; 0 if one record holds
    /// all of it.
    #[prost(uint32, tag = "5")]
    pub pieces: u32,
}

impl TextRef {
    /// Creates a reference to a text that is to be appended, with offset 0;
    /// `None` if the text is empty.
    #[must_use]
    pub fn new(part: u32, key: String, text: &Bytes, record_bytes: usize) -> Option<TextRef> {
        let records = TextRef::record_count(text.len(), record_bytes);
        let records = u32::try_from(records).unwrap_or(u32::MAX);
        let len = u32::try_from(text.len()).unwrap_or(u32::MAX);
        let pieces = if records > 1 { records } else { 0 };
        (len > 0).then_some(TextRef { part, offset: 0, key, len, pieces })
    }

    /// Number of records that a text of `len` bytes takes, if a record has at
    /// most `record_bytes`.
    #[must_use]
    pub fn record_count(len: usize, record_bytes: usize) -> usize {
        len.div_ceil(record_bytes.saturating_sub(MAX_KEY_BYTES).max(1))
    }

    /// References to the single records that hold the text, in order.
    #[must_use]
    pub fn records(&self) -> Vec<TextRef> {
        let size = self.len.div_ceil(self.pieces.max(1));
        let record = |at: u32| {
            let before = size.saturating_mul(at).min(self.len);
            let key = format!("{}{SEPARATOR}{at}", self.key);
            let (offset, len) = (self.offset + u64::from(at), size.min(self.len - before));
            TextRef { part: self.part, offset, key, len, pieces: 0 }
        };
        match self.pieces {
            _ if self.len == 0 => vec![],
            0 => vec![self.clone()],
            pieces => (0..pieces).map(record).collect(),
        }
    }

    /// Splits the text into the keys and values of its records.
    #[must_use]
    pub fn split(&self, text: &Bytes) -> Vec<(String, Bytes)> {
        let mut rest = text.clone();
        let record = |record: TextRef| {
            let value = rest.split_to(record.bytes().min(rest.len()));
            (record.key, value)
        };
        self.records().into_iter().map(record).collect()
    }

    /// Keys of the records.
    pub fn keys(&self) -> impl Iterator<Item = String> + use<> {
        self.records().into_iter().map(|record| record.key)
    }

    /// Offset after the last record.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.offset + u64::from(self.pieces.max(1))
    }

    /// Bytes that the text occupies in the store, including the overhead of
    /// each record.
    #[must_use]
    pub fn stored_bytes(&self, overhead: u64) -> u64 {
        u64::from(self.len) + u64::from(self.pieces.max(1)) * (self.key.len() as u64 + overhead)
    }

    /// Length of the text in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        usize::try_from(self.len).unwrap_or(usize::MAX)
    }
}
