//! Hints to all instances, which spread changes faster than regular reads of
//! the partitions concerned.
//!
//! Delivery is best effort: an instance that misses a hint learns the same a
//! little later from the records that it is about. Nothing waits for a hint,
//! stores it or sends it again.

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
/// Minimum interval between reads.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// A hint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hint {
    /// An engine has loaded the weights that it was ordered to load. It
    /// announces that too, but up to a heartbeat later, and a step waits for it.
    Loaded(Order),
    /// An engine has accepted an order to load weights, and refuses requests
    /// for the model until it has carried it out.
    Loading(Order),
    /// A log was trimmed.
    Trimmed {
        /// The number of its partition.
        part: usize,
        /// Whether the log is of texts and not of jobs.
        texts: bool,
        /// The offset before which it was trimmed.
        before: u64,
        /// The bytes that were freed, if the instance that trimmed it has
        /// sampled them.
        #[serde(default)]
        freed: Option<u64>,
    },
    /// A job was accepted in a partition. Its longest samples determine how long
    /// the step takes, and should not wait for the next regular read.
    Accepted {
        /// The partition.
        part: usize,
    },
}

/// Publishes a hint to all instances. A failure is only logged.
pub async fn publish(shared: &Rc<Shared>, hint: &Hint) {
    let value = serde_json::to_vec(hint).unwrap_or_default();
    let records = vec![(None, value.into())];
    // That there is space again has to be known while there is little.
    let is_trim = matches!(hint, Hint::Trimmed { .. });
    let purpose = if is_trim { Purpose::Delete } else { Purpose::Hint };
    let part = Partition::new(TOPIC, 0);
    match shared.append(Append { part, records, expected_end: None, purpose }).await {
        Ok(_) => {}
        Err(error) => log::info!("publishing the hint {hint:?}: {error}"),
    }
}

/// Follows the hints of all instances.
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
                    Ok(Hint::Loading(load)) => shared.handle_event(&Event::LoadOrdered {
                        target: load.target,
                        start_ms: load.start_ms,
                        model: load.model,
                        version: load.version,
                    }),
                    Ok(Hint::Trimmed { part, texts, before, freed }) => {
                        capacity::record_trim(shared, part, usize::from(texts), before, freed);
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
