//! Appends to the store, and whether it is available to this instance.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::{
    core::{
        append_queue::{self, Waiting},
        availability::{Availability, State},
        capacity::Purpose,
        time::Time,
    },
    entry::{
        producers::{Schedule, Sent},
        reserve,
        shared::{JOBS, Shared, TEXTS},
        store::{Append, Appended, Partition, StoreError},
    },
};

/// Interval between checks whether a record has to be held back any longer: an end that
/// it waits for may have been stored.
const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which a record that can be left out is held back.
const MAX_OPTIONAL_HOLD: Duration = Duration::from_millis(500);

impl Shared {
    /// Records whether a call of the store succeeded, and updates whether the
    /// store counts as unavailable.
    pub fn record_store_result(&self, ok: bool) {
        self.meters.store_calls.with_label_values(&[if ok { "yes" } else { "no" }]).inc();
        let now = self.now();
        let mut control = self.control.borrow_mut();
        let before = control.availability;
        if ok {
            control.availability.record_success();
        } else {
            control.availability.record_failure(now, self.store_answers.last());
        }
        let availability = control.availability;
        if availability.state() != before.state() {
            log_availability(now, availability);
        }
        let is_unavailable = !availability.is_available();
        if is_unavailable {
            control.append_queues.record_outage();
        }
        control.fleet.record_store_state(now, is_unavailable);
        self.reader.set_store_unavailable(is_unavailable);
    }

    /// Appends records if the capacity left allows it, counts them, and
    /// records whether the store is available. While the store refuses calls
    /// for its rate, less urgent appends wait for their turn. An end that finds
    /// the store full is appended again once the reserve has room for it. All
    /// appends go through here.
    ///
    /// # Errors
    ///
    /// The store's error, or without a call: [`StoreError::Full`] if the
    /// capacity left is reserved for other purposes, [`StoreError::RateLimited`]
    /// if the turn would come too late.
    pub async fn append(&self, append: Append) -> Result<Appended, StoreError> {
        if append.purpose != Purpose::End {
            return self.append_once(append).await;
        }
        let sent_at = Instant::now();
        let appended = self.append_once(append.clone()).await;
        if appended == Err(StoreError::Full) && reserve::free(self, sent_at).await {
            return self.append_once(append).await;
        }
        appended
    }

    async fn append_once(&self, append: Append) -> Result<Appended, StoreError> {
        self.wait_for_turn(append.purpose).await?;
        self.wait_for_queue(append.purpose, &append.part).await?;
        let (purpose, bytes) = (append.purpose.as_str(), append.payload_bytes());
        let (stored, is_end) = (append.stored_bytes(), append.purpose == Purpose::End);
        let allowed = self.control.borrow().capacity.allows(self.now(), append.purpose, stored);
        if !allowed {
            self.meters.failed_appends.with_label_values(&[purpose, "kept_back"]).inc();
            return Err(StoreError::Full);
        }
        let (part, kind) = (append.part.clone(), append.purpose);
        let schedule = self.schedule(&part);
        let name = || self.unique_key_part();
        let Sent { appended, at } = self.producers.send(&self.store, append, schedule, name).await;
        // A store that is full, or whose partition ends elsewhere, is available.
        self.record_store_result(matches!(
            appended,
            Ok(_) | Err(StoreError::Full | StoreError::EndMismatch(_))
        ));
        self.record_queue(&part, kind, at.elapsed(), schedule.timeout, &appended);
        match &appended {
            Ok(_) => {
                let now = self.now();
                let control = &mut *self.control.borrow_mut();
                control.capacity.appended(stored);
                control.throttle.record_success(now);
                let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
                self.meters.appended_bytes.with_label_values(&[purpose]).inc_by(bytes);
            }
            Err(error) => {
                let now = self.now();
                match error {
                    StoreError::Full => {
                        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
                        let control = &mut *self.control.borrow_mut();
                        if control.partitions.iter().all(|partition| partition.loaded) {
                            control.capacity.record_refusal(now, bytes);
                        } else {
                            control.capacity.record_full(now);
                        }
                        if is_end {
                            self.end_without_space.notify_one();
                        }
                    }
                    StoreError::RateLimited => {
                        let jitter = rand::random_range(0.0..=1.0);
                        self.control.borrow_mut().throttle.record_refusal(now, jitter);
                    }
                    _ => {}
                }
                self.meters.failed_appends.with_label_values(&[purpose, error.as_str()]).inc();
            }
        }
        appended
    }

    fn schedule(&self, part: &Partition) -> Schedule {
        let (now, control) = (self.now(), self.control.borrow());
        let repeat_ms = control.append_queues.repeat_ms(now, part);
        Schedule {
            repeat: repeat_ms.map(Duration::from_millis),
            timeout: Duration::from_millis(control.append_queues.timeout_ms(now, part)),
        }
    }

    /// Records what an append says of its partition's queue.
    fn record_queue(
        &self,
        part: &Partition,
        purpose: Purpose,
        took: Duration,
        timeout: Duration,
        appended: &Result<Appended, StoreError>,
    ) {
        let now = self.now();
        let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let queues = &mut self.control.borrow_mut().append_queues;
        match appended {
            Ok(_) | Err(StoreError::EndMismatch(_)) => {
                queues.record_append(now, part, took_ms);
            }
            Err(StoreError::OutcomeUnknown(_)) if took >= timeout => {
                queues.record_timeout(now, part, took_ms);
            }
            Err(StoreError::Unavailable) => {
                queues.record_refusal(now, part, purpose, rand::random_range(0.0..=1.0));
            }
            Err(_) => {}
        }
    }

    /// How long a record for a partition has to be held back as far as is known now.
    pub(super) fn hold(&self, purpose: Purpose, part: &Partition) -> Duration {
        if self.control.borrow().is_stopping() {
            return Duration::ZERO;
        }
        let (now, control) = (self.now(), self.control.borrow());
        let jobs = control.partitions.get(part.number as usize);
        let jobs = jobs.filter(|_| [JOBS, TEXTS].contains(&part.topic.as_str()));
        let unstored_ms = jobs.and_then(|jobs| jobs.unstored.waiting_ms(now));
        let is_here =
            |job: &str| part.topic == JOBS && part.number as usize == self.partition_of(job);
        let ends = control.ending.unstored_jobs(now).filter(|(job, _)| is_here(job));
        let waiting = Waiting { unstored_ms, end_age_ms: ends.map(|(_, age_ms)| age_ms).min() };
        Duration::from_millis(control.append_queues.hold_ms(now, part, purpose, waiting))
    }

    /// Waits while a record for a partition has to be held back.
    ///
    /// # Errors
    ///
    /// [`StoreError::RateLimited`] if the record can be left out and would wait for too
    /// long.
    pub(super) async fn wait_for_queue(
        &self,
        purpose: Purpose,
        part: &Partition,
    ) -> Result<(), StoreError> {
        loop {
            let hold = self.hold(purpose, part);
            if hold.is_zero() {
                return Ok(());
            }
            if append_queue::can_be_left_out(purpose) && hold > MAX_OPTIONAL_HOLD {
                let labels = [purpose.as_str(), "held_back"];
                self.meters.failed_appends.with_label_values(&labels).inc();
                return Err(StoreError::RateLimited);
            }
            sleep(hold.min(HOLD_CHECK_INTERVAL)).await;
        }
    }

    /// Waits until an append may be sent by the rate that other callers leave.
    async fn wait_for_turn(&self, purpose: Purpose) -> Result<(), StoreError> {
        let now = self.now();
        let turn = self.control.borrow_mut().throttle.reserve(now, purpose);
        match turn {
            Ok(at) => {
                if at > now {
                    sleep(Duration::from_millis(at.since(now))).await;
                }
                Ok(())
            }
            Err(_) => {
                let labels = [purpose.as_str(), "held_back"];
                self.meters.failed_appends.with_label_values(&labels).inc();
                Err(StoreError::RateLimited)
            }
        }
    }
}

fn log_availability(now: Time, availability: Availability) {
    let ms = availability.failing_ms(now);
    match availability.state() {
        State::Available => log::info!("store regained"),
        State::Refusing => {
            log::warn!(
                "store lost: it refuses all calls of this instance, none served for {ms} ms"
            );
        }
        State::Silent => {
            log::warn!("store lost: it does not respond, no successful call for {ms} ms");
        }
    }
}
