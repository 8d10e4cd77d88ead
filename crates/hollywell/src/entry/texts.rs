//! Whole texts of samples: read from the store when a caller asks, a few of
//! the latest kept.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;

use crate::{
    core::batch::{TextRef, text_prefix},
    entry::{
        shared::{Shared, TEXTS},
        store::{Fault, Part, Read},
    },
};

/// Most bytes of texts that are kept: a few reads of one caller.
const KEPT_BYTES: usize = 1 << 20;

/// Texts that were read or written lately, by partition and offset.
#[derive(Debug, Default)]
pub struct Texts {
    kept: RefCell<VecDeque<((usize, u64), Bytes)>>,
}

impl Texts {
    /// Keeps a text, and lets the oldest go.
    pub fn keep(&self, part: usize, offset: u64, text: Bytes) {
        let mut kept = self.kept.borrow_mut();
        kept.push_back(((part, offset), text));
        let mut bytes: usize = kept.iter().map(|(_, text)| text.len()).sum();
        while bytes > KEPT_BYTES {
            bytes -= kept.pop_front().map_or(bytes, |(_, text)| text.len());
        }
    }

    fn get(&self, part: usize, offset: u64) -> Option<Bytes> {
        let kept = self.kept.borrow();
        kept.iter().find(|(at, _)| *at == (part, offset)).map(|(_, text)| text.clone())
    }
}

/// The texts that some results of a job name, in their order.
///
/// # Errors
///
/// The store's [`Fault`]; [`Fault::Malformed`] where a text is not there.
pub async fn fetch(
    shared: &Rc<Shared>,
    part: usize,
    job: &str,
    wanted: &[TextRef],
) -> Result<Vec<Bytes>, Fault> {
    let mut found: BTreeMap<u64, Bytes> = BTreeMap::new();
    for text in wanted {
        if let Some(kept) = shared.texts.get(part, text.offset) {
            found.insert(text.offset, kept);
        }
    }
    while let Some(from) = first_missing(wanted, &found) {
        match read(shared, part, from, wanted, &mut found).await {
            Ok(()) if found.contains_key(&from) => {}
            // The record itself is gone, or the history up to it.
            Ok(()) | Err(Fault::Gone(_)) => {
                return by_key(shared, part, job, wanted).await;
            }
            Err(fault) => return Err(fault),
        }
    }
    Ok(wanted.iter().map(|text| found[&text.offset].clone()).collect())
}

fn first_missing(wanted: &[TextRef], found: &BTreeMap<u64, Bytes>) -> Option<u64> {
    wanted.iter().map(|text| text.offset).filter(|offset| !found.contains_key(offset)).min()
}

/// Reads records from an offset on and takes those that are wanted.
async fn read(
    shared: &Rc<Shared>,
    part: usize,
    from: u64,
    wanted: &[TextRef],
    found: &mut BTreeMap<u64, Bytes>,
) -> Result<(), Fault> {
    let number = u32::try_from(part).unwrap_or_default();
    let read = Read { part: Part::new(TEXTS, number), from, wait: Duration::ZERO };
    for record in (shared.store.read)(read).await?.records {
        let is_wanted = |text: &&TextRef| text.offset == record.offset && text.key == record.key;
        if let (Some(_), Some(value)) = (wanted.iter().find(is_wanted), record.value) {
            // A copy: the record is a part of the whole read.
            let text = Bytes::copy_from_slice(&value);
            shared.texts.keep(part, record.offset, text.clone());
            found.insert(record.offset, text);
        }
    }
    Ok(())
}

/// Reads a job's texts by their keys, which are kept for good.
async fn by_key(
    shared: &Rc<Shared>,
    part: usize,
    job: &str,
    wanted: &[TextRef],
) -> Result<Vec<Bytes>, Fault> {
    let prefix = text_prefix(job);
    let number = u32::try_from(part).unwrap_or_default();
    let mut found: BTreeMap<String, Bytes> = BTreeMap::new();
    let mut after = Some(prefix.clone());
    while after.as_ref().is_some_and(|key| key.starts_with(&prefix)) {
        let page = (shared.store.newest)((Part::new(TEXTS, number), after)).await?;
        for record in page.records {
            let is_wanted = |text: &&TextRef| text.key == record.key;
            if let (Some(_), Some(value)) = (wanted.iter().find(is_wanted), record.value) {
                found.insert(record.key, value);
            }
        }
        after = page.after.filter(|_| found.len() < wanted.len());
    }
    let text = |text: &TextRef| {
        let missing = || Fault::Malformed(format!("no text under {:?}", text.key));
        found.get(&text.key).cloned().ok_or_else(missing)
    };
    wanted.iter().map(text).collect()
}
