//! Texts and bundles of samples: read from the store on demand, with a small
//! cache.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;

use crate::{
    core::batch::TextRef,
    entry::{
        shared::{Shared, TEXTS},
        store::{Partition, Read, StoreError},
    },
};

/// Capacity of the cache in bytes: a few reads of one caller.
const CACHE_BYTES: usize = 1 << 20;

/// Upper bound of a record's size in a read apart from its value, in bytes.
const MAX_OVERHEAD_BYTES: usize = 300;
/// Limit on the size of one read, in KB.
const MAX_READ_KB: usize = 1_024;

/// A cache of texts that were read or written recently. Entries are matched by
/// key as well: a key belongs to one partition, whereas the same offset exists
/// in every partition.
///
/// # Example
///
/// ```
/// use hollywell::{core::batch::TextRef, entry::texts::TextCache};
///
/// let text = |key: &str| TextRef { part: 0, offset: 7, key: key.into(), len: 1 };
/// let texts = TextCache::default();
/// texts.insert(&text("a"), "A".into());
/// assert_eq!(texts.get(&text("a")).unwrap(), "A");
/// // The same offset with another key is a text of another partition.
/// assert!(texts.get(&text("b")).is_none());
/// ```
#[derive(Debug, Default)]
pub struct TextCache {
    cached: RefCell<VecDeque<(TextRef, Bytes)>>,
}

impl TextCache {
    /// Inserts a text and evicts the oldest ones beyond the capacity.
    pub fn insert(&self, at: &TextRef, text: Bytes) {
        let mut cached = self.cached.borrow_mut();
        cached.push_back((at.clone(), text));
        let mut bytes: usize = cached.iter().map(|(_, text)| text.len()).sum();
        while bytes > CACHE_BYTES {
            bytes -= cached.pop_front().map_or(bytes, |(_, text)| text.len());
        }
    }

    /// The text, if it is cached.
    #[must_use]
    pub fn get(&self, at: &TextRef) -> Option<Bytes> {
        let cached = self.cached.borrow();
        cached.iter().find(|(other, _)| other == at).map(|(_, text)| text.clone())
    }
}

/// Reads the given texts of one partition and returns them in the given order.
///
/// # Errors
///
/// The store's [`StoreError`]; [`StoreError::Malformed`] if a text does not
/// exist.
pub async fn fetch(shared: &Rc<Shared>, wanted: &[TextRef]) -> Result<Vec<Bytes>, StoreError> {
    let part = wanted.first().map_or(0, |text| text.part);
    let mut found: BTreeMap<u64, Bytes> = BTreeMap::new();
    for text in wanted {
        if let Some(cached) = shared.text_cache.get(text) {
            found.insert(text.offset, cached);
        }
    }
    while let Some(from) = first_missing(wanted, &found) {
        match read(shared, part, from, wanted, &mut found).await {
            Ok(()) if found.contains_key(&from) => {}
            // The log was trimmed past the record, or the record was removed
            // from the log.
            Ok(()) | Err(StoreError::Trimmed(_)) => {
                return by_key(shared, part, wanted).await;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(wanted.iter().map(|text| found[&text.offset].clone()).collect())
}

fn first_missing(wanted: &[TextRef], found: &BTreeMap<u64, Bytes>) -> Option<u64> {
    wanted.iter().map(|text| text.offset).filter(|offset| !found.contains_key(offset)).min()
}

/// Reads records from an offset and collects the wanted ones.
async fn read(
    shared: &Rc<Shared>,
    part: u32,
    from: u64,
    wanted: &[TextRef],
    found: &mut BTreeMap<u64, Bytes>,
) -> Result<(), StoreError> {
    let missing = wanted.iter().filter(|text| !found.contains_key(&text.offset));
    let bytes: usize = missing.map(|text| text.bytes() + MAX_OVERHEAD_BYTES).sum();
    let max_kb = Some(bytes.div_ceil(1_024).min(MAX_READ_KB));
    let read = Read { part: Partition::new(TEXTS, part), from, wait: Duration::ZERO, max_kb };
    for record in shared.reader.read(read).await?.records {
        let is_wanted = |text: &&TextRef| text.offset == record.offset && text.key == record.key;
        if let (Some(at), Some(value)) = (wanted.iter().find(is_wanted), record.value) {
            // Copied, because the value shares the buffer of the whole read.
            let text = Bytes::copy_from_slice(&value);
            shared.text_cache.insert(at, text.clone());
            found.insert(record.offset, text);
        }
    }
    Ok(())
}

/// A key that sorts before another one and after most others that do: its
/// prefix without the last character.
fn just_before(key: &str) -> String {
    key.char_indices().last().map(|(at, _)| key[..at].to_owned()).unwrap_or_default()
}

/// Reads texts by their keys, which the store keeps after the log was trimmed.
async fn by_key(
    shared: &Rc<Shared>,
    part: u32,
    wanted: &[TextRef],
) -> Result<Vec<Bytes>, StoreError> {
    let mut found: BTreeMap<String, Bytes> = BTreeMap::new();
    let first = wanted.iter().map(|text| text.key.as_str()).min().unwrap_or_default();
    let last = wanted.iter().map(|text| text.key.as_str()).max().unwrap_or_default();
    let mut after = Some(just_before(first));
    while after.as_ref().is_some_and(|key| key.as_str() < last) {
        let page = shared.reader.newest(&Partition::new(TEXTS, part), after).await?;
        for record in page.records {
            let is_wanted = |text: &&TextRef| text.key == record.key;
            if let (Some(_), Some(value)) = (wanted.iter().find(is_wanted), record.value) {
                found.insert(record.key, value);
            }
        }
        // Continue at the next missing text and skip the keys in between.
        let missing = wanted.iter().map(|text| &text.key).filter(|key| !found.contains_key(*key));
        let next = missing.min().map(|key| just_before(key));
        after = page.after.zip(next).map(|(after, next)| after.max(next));
    }
    let text = |text: &TextRef| {
        let missing = || StoreError::Malformed(format!("no text under {:?}", text.key));
        found.get(&text.key).cloned().ok_or_else(missing)
    };
    wanted.iter().map(text).collect()
}
