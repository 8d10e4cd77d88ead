//! The modelled log: retention, outages, and the state that a reader of
//! every record would have.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use hollywell::core::stream::{Fold, Record, Snapshot};

/// The platform's log.
pub(crate) struct Log {
    records: Vec<Record>,
    first: usize,
    retain: usize,
    whole: Fold,
    /// Hash of the agreed state by the offset before which all is folded.
    hashes: Vec<u64>,
    appended_at: Vec<u64>,
    /// When it is up again.
    pub(crate) down_until: u64,
}

impl Log {
    pub(crate) fn new(retain: usize) -> Log {
        let whole = Fold::default();
        let hashes = vec![hash(whole.state())];
        Log { records: vec![], first: 0, retain, whole, hashes, appended_at: vec![], down_until: 0 }
    }

    pub(crate) fn append(&mut self, now: u64, record: &Record) {
        self.appended_at.push(now);
        let offset = self.records.len() as u64;
        self.records.push(record.clone());
        self.whole.read(offset, record);
        self.hashes.push(hash(self.whole.state()));
        self.first = self.first.max(self.records.len().saturating_sub(self.retain));
    }

    /// The oldest offset kept, and the records from `from` on.
    pub(crate) fn read(&self, from: u64) -> (u64, Vec<(u64, Record)>) {
        let start = usize::try_from(from).unwrap_or(usize::MAX).max(self.first);
        let records = self.records.iter().enumerate().skip(start);
        let records = records.map(|(offset, record)| (offset as u64, record.clone()));
        (self.first as u64, records.collect())
    }

    /// Number of records that were appended by `time`.
    pub(crate) fn next_at(&self, time: u64) -> u64 {
        self.appended_at.iter().filter(|at| **at <= time).count() as u64
    }

    /// True if a reader's state is what all records before its offset make.
    pub(crate) fn agrees(&self, state: &Snapshot) -> bool {
        let at = usize::try_from(state.next).unwrap_or(usize::MAX);
        self.hashes.get(at) == Some(&hash(state))
    }

    pub(crate) fn whole(&self) -> &Snapshot {
        self.whole.state()
    }
}

fn hash(state: &Snapshot) -> u64 {
    let mut hasher = DefaultHasher::new();
    let rows: Vec<_> = state.table.rows().collect();
    format!("{rows:?}{:?}{:?}", state.maps, state.leases).hash(&mut hasher);
    hasher.finish()
}
