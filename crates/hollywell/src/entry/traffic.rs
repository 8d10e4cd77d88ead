//! Reports what is read of the store: its bandwidth is shared by all instances,
//! and what uses it up can't be told from the number of calls.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use prometheus::core::Collector as _;
use tokio::time::sleep;

use crate::entry::{meters::Meters, shared::Shared};

/// Interval between reports.
const INTERVAL: Duration = Duration::from_secs(10);
/// Interval between counts.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Counts what was received, and logs every [`INTERVAL`] what was read since the
/// last report.
pub(super) async fn serve(shared: Rc<Shared>) {
    let mut counted = Counted::default();
    let mut reported = Totals::default();
    loop {
        for _ in 0..INTERVAL.as_secs() / COUNT_INTERVAL.as_secs() {
            sleep(COUNT_INTERVAL).await;
            counted.update(&shared);
        }
        let totals = Totals::new(&shared.meters);
        log::info!("read from the store in {} s: {}", INTERVAL.as_secs(), totals.since(&reported));
        reported = totals;
    }
}

/// What the counters of connections and texts showed last.
#[derive(Default)]
struct Counted {
    received: u64,
    unused: u64,
}

impl Counted {
    fn update(&mut self, shared: &Shared) {
        let received = shared.pool.received_bytes(shared.settings.store.address);
        // The pool counts anew once all connections were closed.
        let more = received.checked_sub(self.received).unwrap_or(received);
        shared.meters.received_bytes.inc_by(more);
        let unused = shared.reader.unused_bytes();
        shared.meters.unused_bytes.inc_by(unused - self.unused);
        *self = Counted { received, unused };
    }
}

/// Bytes read since the start.
#[derive(Default)]
struct Totals {
    received: u64,
    unused: u64,
    /// By kind of call and topic.
    read: BTreeMap<String, u64>,
}

impl Totals {
    fn new(meters: &Meters) -> Totals {
        let families = meters.read_bytes.collect();
        let counters = families.iter().flat_map(|family| family.get_metric());
        let read = counters.map(|counter| {
            let labels: Vec<&str> = counter.get_label().iter().map(|label| label.value()).collect();
            (labels.join(" "), counter.get_counter().get_value() as u64)
        });
        Totals {
            received: meters.received_bytes.get(),
            unused: meters.unused_bytes.get(),
            read: read.collect(),
        }
    }

    /// What was read since `before`, as text.
    fn since(&self, before: &Totals) -> String {
        let mut text = format!("{} bytes received", self.received - before.received);
        for (what, bytes) in &self.read {
            let more = bytes - before.read.get(what).copied().unwrap_or_default();
            if more > 0 {
                text += &format!(", {what} {more}");
            }
        }
        text + &format!(", texts not wanted {}", self.unused - before.unused)
    }
}
