//! News: hints that all instances should have sooner than by reading
//! everything that often.
//!
//! Who misses one learns the same a little later, from the records that it is
//! about. So news is never waited for, kept or sent again.

use std::{rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    core::{capacity::Purpose, dispatch::Event, weight_loading::Order},
    entry::{
        capacity, follow,
        shared::Shared,
        store::{Append, Partition},
    },
};

/// The topic.
const TOPIC: &str = "news";
/// Least time between reads.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// A piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hint {
    /// An engine has loaded what it was ordered to. It announces that too,
    /// but up to a heartbeat later, and a step waits for it.
    Loaded(Order),
    /// A log was trimmed.
    Trimmed {
        /// The number of its partition.
        part: usize,
        /// It is one of texts, not of jobs.
        texts: bool,
        /// Before which offset.
        before: u64,
    },
    /// A job was accepted in a partition: its longest samples decide how
    /// long the step takes, and should not wait for the next regular read.
    Accepted {
        /// The partition.
        part: usize,
    },
}

/// Tells all instances something. Who misses it learns the same from the
/// records that it is about, a little later.
pub async fn publish(shared: &Rc<Shared>, hint: &Hint) {
    let value = serde_json::to_vec(hint).unwrap_or_default();
    let records = vec![(None, value.into())];
    let (part, purpose) = (Partition::new(TOPIC, 0), Purpose::Hint);
    match shared.append(Append { part, records, expected_end: None, purpose }).await {
        Ok(_) => {}
        Err(fault) => log::info!("publishing the hint {hint:?}: {fault}"),
    }
}

/// Follows the news.
pub async fn serve(shared: Rc<Shared>) {
    let part = Partition::new(TOPIC, 0);
    follow::follow(
        shared,
        part,
        |_| READ_INTERVAL,
        None,
        false,
        |shared, records, _| {
            for record in &records.records {
                let value = record.value.clone().unwrap_or_default();
                match serde_json::from_slice(&value) {
                    Ok(Hint::Loaded(load)) => {
                        let fleet = &mut shared.control.borrow_mut().fleet;
                        fleet.record_version(
                            &load.target,
                            load.start_ms,
                            &load.model,
                            load.version,
                        );
                    }
                    Ok(Hint::Trimmed { part, texts, before }) => {
                        capacity::record_trim(shared, part, usize::from(texts), before);
                    }
                    Ok(Hint::Accepted { part }) => {
                        if let Some(accepted) = shared.job_accepted.get(part) {
                            accepted.notify_one();
                        }
                    }
                    Err(error) => log::warn!("hint at {} skipped: {error}", record.offset),
                }
            }
            if !records.records.is_empty() {
                shared.handle_event(&Event::Tick);
            }
        },
    )
    .await;
}
