//! Keeps the reserve for ends of jobs in a log of the store, and frees a portion
//! of it for an end that finds the store full. [`crate::core::reserve`] decides
//! how much is written and trimmed.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::Mutex,
    time::{Instant, sleep},
};

use crate::{
    core::{
        capacity::Purpose,
        reserve::{self, Range},
    },
    entry::{
        shared::Shared,
        store::{Append, Partition, Read, StoreError},
    },
};

/// The topic, with one partition. It is not keyed: a trim frees its records as a
/// whole.
const TOPIC: &str = "reserve";
/// Interval between checks whether this instance is the keeper.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Portions freed by this instance.
#[derive(Debug, Default)]
pub struct Reserve {
    /// Held while a portion is freed: one has room for many ends.
    freeing: Mutex<()>,
    /// When a portion was freed last.
    freed_at: Cell<Option<Instant>>,
    /// What the log held when it was last read or written here.
    known: Cell<Option<Range>>,
}

fn partition() -> Partition {
    Partition::new(TOPIC, 0)
}

/// Keeps the reserve as long as this instance is the one that does.
pub async fn serve(shared: Rc<Shared>) {
    let interval_ms = reserve::renewal_interval_ms(shared.settings.store.retention_ms());
    let interval = Duration::from_millis(interval_ms);
    let mut renewed_at: Option<Instant> = None;
    loop {
        sleep(CHECK_INTERVAL.min(interval)).await;
        let is_keeper = {
            let control = shared.control.borrow();
            !control.is_stopping()
                && reserve::is_keeper(control.roster.members(), &shared.instance_id)
        };
        if !is_keeper {
            renewed_at = None;
        } else if renewed_at.is_none_or(|at| at.elapsed() >= interval) {
            renewed_at = Some(Instant::now());
            if let Err(error) = renew(&shared).await {
                log::info!("the reserve for ends is not renewed: {error}");
            }
        }
    }
}

async fn renew(shared: &Shared) -> Result<(), StoreError> {
    let range = read_range(shared).await?;
    let portion_bytes = portion_bytes(shared);
    let may_grow = {
        let bytes = reserve::PORTIONS * portion_bytes;
        shared.control.borrow().capacity.allows(shared.now(), Purpose::Manifest, bytes)
    };
    let renewal = range.renewal(may_grow);
    if let Some(before) = renewal.trim_before {
        (shared.store.trim)((partition(), before)).await?;
    }
    if renewal.portions == 0 {
        return Ok(());
    }
    let portion = Bytes::from(vec![0; usize::try_from(portion_bytes).unwrap_or_default()]);
    let records = (0..renewal.portions).map(|_| (None, portion.clone())).collect();
    // Another instance may take itself for the keeper too.
    let expected_end = Some(range.end);
    let append = Append { part: partition(), records, expected_end, purpose: Purpose::Reserve };
    match shared.append(append).await {
        Ok(appended) => {
            let first = renewal.trim_before.unwrap_or(range.first);
            shared.reserve.known.set(Some(Range { first, end: appended.end }));
            if renewal.portions > 1 {
                log::info!("{} portions added to the reserve for ends", renewal.portions);
            }
            Ok(())
        }
        Err(StoreError::EndMismatch(_)) => Ok(()),
        Err(error) => Err(error),
    }
}

fn portion_bytes(shared: &Shared) -> u64 {
    let store = &shared.settings.store;
    let max_bytes = store.record_bytes.min(store.call_bytes) as u64 / reserve::PORTIONS;
    reserve::portion_bytes(store.room_bytes).min(max_bytes)
}

/// Frees a portion for an end that the store, being full, refused, unless one
/// was freed here since it was sent. Returns whether another append has a
/// chance.
pub async fn free(shared: &Shared, sent_at: Instant) -> bool {
    let _freeing = shared.reserve.freeing.lock().await;
    if shared.reserve.freed_at.get().is_some_and(|at| at > sent_at) {
        return true;
    }
    match free_portion(shared).await {
        Ok(Some(left)) => {
            log::warn!("the store is full: room freed for an end, {left} portions are left");
            shared.reserve.freed_at.set(Some(Instant::now()));
            true
        }
        Ok(None) => {
            log::info!("the store is full, and nothing is left of the reserve for ends");
            false
        }
        Err(error) => {
            log::info!("the reserve for ends is not freed: {error}");
            false
        }
    }
}

/// Trims the oldest portion; returns how many are left, or `None` if there was
/// none.
async fn free_portion(shared: &Shared) -> Result<Option<u64>, StoreError> {
    // A full store may refuse reads as well.
    let range = match (read_range(shared).await, shared.reserve.known.get()) {
        (Ok(range), _) => range,
        (Err(_), Some(range)) => range,
        (Err(error), None) => return Err(error),
    };
    let Some(before) = range.trim_for_end() else {
        return Ok(None);
    };
    (shared.store.trim)((partition(), before)).await?;
    shared.reserve.known.set(Some(Range { first: before, ..range }));
    Ok(Some(range.portions() - 1))
}

async fn read_range(shared: &Shared) -> Result<Range, StoreError> {
    let read = |from| {
        let (part, wait, max_kb) = (partition(), Duration::ZERO, Some(1));
        shared.reader.read(Read { part, from, wait, max_kb })
    };
    let range = match read(0).await {
        Err(StoreError::Trimmed(first)) => Range { first, end: read(first).await?.end },
        Ok(records) => Range { first: 0, end: records.end },
        Err(error) => return Err(error),
    };
    shared.reserve.known.set(Some(range));
    Ok(range)
}
