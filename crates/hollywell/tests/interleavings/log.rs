//! The simulated log: retention, outages, and the state obtained by folding
//! every record.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use hollywell::core::stream::{Fold, Record, Snapshot};

/// Simulated log of the platform.
pub(crate) struct Log {
    records: Vec<Record>,
    first_retained: usize,
    max_records: usize,
    fold: Fold,
    /// Hash of the folded state; entry N covers all records before offset N.
    hashes: Vec<u64>,
    appended_at: Vec<u64>,
    /// End of the current outage.
    pub(crate) down_until: u64,
}

impl Log {
    pub(crate) fn new(max_records: usize) -> Log {
        let fold = Fold::default();
        let hashes = vec![hash(fold.state())];
        Log {
            records: vec![],
            first_retained: 0,
            max_records,
            fold,
            hashes,
            appended_at: vec![],
            down_until: 0,
        }
    }

    pub(crate) fn append(&mut self, now: u64, record: &Record) {
        self.appended_at.push(now);
        let offset = self.records.len() as u64;
        self.records.push(record.clone());
        self.fold.read(offset, record);
        self.hashes.push(hash(self.fold.state()));
        self.first_retained =
            self.first_retained.max(self.records.len().saturating_sub(self.max_records));
    }

    /// Returns the oldest retained offset and the retained records from `from`
    /// on.
    pub(crate) fn read(&self, from: u64) -> (u64, Vec<(u64, Record)>) {
        let start = usize::try_from(from).unwrap_or(usize::MAX).max(self.first_retained);
        let records = self.records.iter().enumerate().skip(start);
        let records = records.map(|(offset, record)| (offset as u64, record.clone()));
        (self.first_retained as u64, records.collect())
    }

    /// Returns the number of records appended up to `time`.
    pub(crate) fn next_at(&self, time: u64) -> u64 {
        self.appended_at.iter().filter(|at| **at <= time).count() as u64
    }

    /// Returns true if a reader's state equals the fold of all records before
    /// its offset.
    pub(crate) fn matches(&self, state: &Snapshot) -> bool {
        let at = usize::try_from(state.next).unwrap_or(usize::MAX);
        self.hashes.get(at) == Some(&hash(state))
    }

    pub(crate) fn state(&self) -> &Snapshot {
        self.fold.state()
    }
}

fn hash(state: &Snapshot) -> u64 {
    let mut hasher = DefaultHasher::new();
    let rows: Vec<_> = state.table.rows().collect();
    format!("{rows:?}{:?}{:?}", state.maps, state.leases).hash(&mut hasher);
    hasher.finish()
}
