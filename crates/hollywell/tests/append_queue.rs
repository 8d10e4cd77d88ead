//! Appends to a partition that takes long for each: what is urgent finds a short queue,
//! and results go on.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use hollywell::core::{
    append_queue::{Queues, Waiting},
    capacity::Purpose,
    time::Time,
};

const STEP_MS: u64 = 10;
const DURATION_MS: u64 = 120_000;
/// Time after which the instances know the partition.
const SETTLED_MS: u64 = 10_000;
/// Interval between two ends.
const END_INTERVAL_MS: u64 = 7_370;
/// Time until the others know of an end whose append is slow or was refused.
const NOTICE_MS: u64 = 450;
/// Time until an append that was refused is made again.
const RETRY_MS: u64 = 150;
/// Longest time that an append waits for its turn.
const MAX_QUEUED_MS: u64 = 2_000;

/// A partition that processes appends one at a time.
struct Partition {
    append_ms: u64,
    free_at: u64,
}

impl Partition {
    /// Queues an append; returns when it is done.
    fn append(&mut self, now: u64) -> Option<u64> {
        let begins = self.free_at.max(now);
        if begins - now > MAX_QUEUED_MS {
            return None;
        }
        self.free_at = begins + self.append_ms;
        Some(self.free_at)
    }
}

/// An instance that always has results to append.
#[derive(Default)]
struct Instance {
    queues: Queues<u32>,
    /// When the append of results was sent, when it is done and when it is given up.
    in_flight: Option<(u64, u64, u64)>,
    retry_at: u64,
    stored_at: u64,
    stored: u64,
    longest_ms: u64,
}

impl Instance {
    fn step(&mut self, partition: &mut Partition, now: u64, end_age_ms: Option<u64>, jitter: f64) {
        if let Some((sent_at, done_at, given_up_at)) = self.in_flight {
            if done_at <= now && done_at <= given_up_at {
                self.queues.record_append(Time(now), &0, now - sent_at);
                self.longest_ms = self.longest_ms.max(now - self.stored_at);
                (self.stored_at, self.in_flight) = (now, None);
                self.stored += u64::from(now >= SETTLED_MS);
            } else if given_up_at <= now {
                self.queues.record_timeout(Time(now), &0, now - sent_at);
                (self.retry_at, self.in_flight) = (now + RETRY_MS, None);
            }
            if now < SETTLED_MS {
                self.longest_ms = 0;
            }
            return;
        }
        let waiting = Waiting { unstored_ms: Some(now - self.stored_at), end_age_ms };
        let hold_ms = self.queues.hold_ms(Time(now), &0, Purpose::Outcome, waiting);
        if now < self.retry_at || hold_ms > 0 {
            return;
        }
        let timeout_ms = self.queues.timeout_ms(Time(now), &0);
        match partition.append(now) {
            Some(done_at) => self.in_flight = Some((now, done_at, now + timeout_ms)),
            None => {
                self.queues.record_refusal(Time(now), &0, Purpose::Outcome, jitter);
                self.retry_at = now + RETRY_MS;
            }
        }
    }
}

/// What came of a number of instances.
struct Outcome {
    /// The longest time until an end was stored.
    end_ms: u64,
    /// The longest time for which an instance stored no result.
    unstored_ms: u64,
    /// Appends of results.
    stored: u64,
}

fn run(count: usize, append_ms: u64) -> Outcome {
    let mut partition = Partition { append_ms, free_at: 0 };
    let mut instances: Vec<Instance> = (0..count).map(|_| Instance::default()).collect();
    let mut end: Option<(u64, Option<u64>)> = None;
    let mut end_ms = 0;
    for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
        if now >= SETTLED_MS && now % END_INTERVAL_MS < STEP_MS {
            end = Some((now, None));
        }
        match &mut end {
            Some((since, None)) if (now - *since) % RETRY_MS < STEP_MS => {
                let done_at = partition.append(now);
                end = Some((*since, done_at));
            }
            Some((since, Some(done_at))) if *done_at <= now => {
                end_ms = end_ms.max(*done_at - *since);
                end = None;
            }
            _ => {}
        }
        let age_ms = end.map(|(since, _)| now - since);
        for (number, instance) in instances.iter_mut().enumerate() {
            // The first receives the ends.
            let known = age_ms.filter(|age_ms| number == 0 || *age_ms >= NOTICE_MS);
            instance.step(&mut partition, now, known, number as f64 / count as f64);
        }
    }
    Outcome {
        end_ms,
        unstored_ms: instances.iter().map(|instance| instance.longest_ms).max().unwrap(),
        stored: instances.iter().map(|instance| instance.stored).sum(),
    }
}

// Ends waited behind results of all instances, which kept the queue at its limit.
#[test]
fn ends_wait_behind_the_results_that_keep_a_slow_partition_busy() {
    for (count, append_ms) in [(1, 1_000), (2, 1_000), (3, 1_000), (3, 700), (4, 800), (12, 200)] {
        let Outcome { end_ms, unstored_ms, stored } = run(count, append_ms);
        let figures = format!(
            "{count} instances, {append_ms} ms an append: ends after {end_ms} ms, no result of \
             one for {unstored_ms} ms, {stored} appends of results"
        );
        println!("{figures}");
        assert!(end_ms <= 3_500, "{figures}");
        assert!(unstored_ms <= 7_500, "{figures}");
        let possible = (DURATION_MS - SETTLED_MS) / append_ms;
        let wanted = possible.min(count as u64 * (DURATION_MS - SETTLED_MS) / 4_500);
        assert!(stored * 2 >= wanted, "{figures}, {wanted} wanted");
    }
}

const NONE: Waiting = Waiting { unstored_ms: None, end_age_ms: None };

fn slow() -> Queues<u32> {
    let mut queues = Queues::default();
    queues.record_append(Time(1_000), &0, 1_000);
    queues
}

#[test]
fn only_less_urgent_records_for_the_slow_partition_are_held_back() {
    let queues = slow();
    let hold_ms = |part, purpose| queues.hold_ms(Time(1_000), &part, purpose, NONE);
    for purpose in
        [Purpose::Outcome, Purpose::Text, Purpose::PartialText, Purpose::Hint, Purpose::Delete]
    {
        assert!(hold_ms(0, purpose) > 1_000, "{purpose:?}");
        assert_eq!(hold_ms(1, purpose), 0, "{purpose:?} for another partition");
    }
    for purpose in [Purpose::End, Purpose::Claim, Purpose::Requests, Purpose::Manifest] {
        assert_eq!(hold_ms(0, purpose), 0, "{purpose:?}");
    }
}

// Results were held back for as long as ends waited, until no sample began.
#[test]
fn results_are_held_back_for_ends_until_samples_stop() {
    let queues = slow();
    let hold_ms = |unstored_ms, end_age_ms| {
        let waiting = Waiting { unstored_ms: Some(unstored_ms), end_age_ms };
        queues.hold_ms(Time(5_000), &0, Purpose::Outcome, waiting)
    };
    assert_eq!(hold_ms(0, None), 0, "the pause is over");
    assert_eq!(hold_ms(0, Some(1_000)), 1_500);
    assert_eq!(hold_ms(4_000, Some(1_000)), 1_500, "results do not overtake it");
    assert_eq!(hold_ms(8_500, Some(0)), 500);
    assert_eq!(hold_ms(9_000, Some(0)), 0);
    assert_eq!(hold_ms(0, Some(2_500)), 0, "the job may not exist");
}

// Deletions of records took the turns of ends that a full queue had refused.
#[test]
fn deletions_overtake_ends_that_were_refused() {
    let queues = slow();
    let hold_ms = |at, purpose, end_age_ms| {
        let waiting = Waiting { unstored_ms: Some(0), end_age_ms };
        queues.hold_ms(Time(at), &0, purpose, waiting)
    };
    assert_eq!(hold_ms(4_000, Purpose::Delete, Some(500)), 2_000);
    assert_eq!(hold_ms(4_000, Purpose::Delete, None), 0, "the pause is over");
    assert_eq!(hold_ms(1_000, Purpose::Delete, None), 2_500);
    for purpose in [Purpose::End, Purpose::Claim, Purpose::Requests, Purpose::Manifest] {
        assert_eq!(hold_ms(1_000, purpose, Some(500)), 0, "{purpose:?}");
    }
}

// Partial texts filled the queue beside results.
#[test]
fn partial_texts_are_sent_to_a_slow_partition_while_results_wait() {
    let hold_ms = |queues: &Queues<u32>, at, unstored_ms| {
        let waiting = Waiting { unstored_ms, end_age_ms: None };
        queues.hold_ms(Time(at), &0, Purpose::PartialText, waiting)
    };
    let queues = slow();
    assert!(hold_ms(&queues, 5_000, Some(0)) > 0);
    assert_eq!(hold_ms(&queues, 5_000, None), 0, "the pause is over, and no result waits");
    // The first append of results is still in flight.
    let queues = Queues::default();
    assert!(hold_ms(&queues, 5_000, Some(1_000)) > 0);
    assert_eq!(hold_ms(&queues, 5_000, Some(20)), 0);
}

// Results that had waited for long were sent again and again to a full queue.
#[test]
fn refused_results_are_sent_again_at_once() {
    let mut queues = slow();
    let waiting = Waiting { unstored_ms: Some(10_000), end_age_ms: Some(0) };
    queues.record_refusal(Time(5_000), &0, Purpose::End, 1.0);
    assert_eq!(queues.hold_ms(Time(5_000), &0, Purpose::Outcome, waiting), 0);
    queues.record_refusal(Time(5_000), &0, Purpose::Outcome, 0.0);
    assert_eq!(queues.hold_ms(Time(5_000), &0, Purpose::Outcome, waiting), 600);
    assert_eq!(queues.hold_ms(Time(5_600), &0, Purpose::Outcome, waiting), 0);
}

// A store that was down is found at its return by the appends that are tried.
#[test]
fn results_pause_after_an_outage() {
    let mut queues = slow();
    queues.record_refusal(Time(1_100), &0, Purpose::Outcome, 1.0);
    queues.record_outage();
    assert_eq!(queues.hold_ms(Time(1_100), &0, Purpose::Outcome, NONE), 0);
    assert_eq!(queues.timeout_ms(Time(1_100), &0), 1_500);
    // A partition that is down alone has performed nothing lately.
    queues.record_refusal(Time(1_200), &0, Purpose::Outcome, 1.0);
    assert_eq!(queues.hold_ms(Time(1_200), &0, Purpose::Outcome, NONE), 0);
    assert_eq!(queues.longest_append_ms(Time(1_200), &0), None);
}

#[test]
fn partition_that_is_fast_again_is_not_held_back_from() {
    let mut queues = slow();
    queues.record_append(Time(1_500), &0, 20);
    assert_eq!(queues.hold_ms(Time(1_500), &0, Purpose::Outcome, NONE), 0);
    let waiting = Waiting { unstored_ms: Some(0), end_age_ms: Some(0) };
    assert_eq!(queues.hold_ms(Time(1_500), &0, Purpose::Outcome, waiting), 0);
    assert_eq!(slow().hold_ms(Time(11_000), &0, Purpose::Outcome, waiting), 0, "long ago");
}

// What waits in a queue would be repeated there, and make it longer.
#[test]
fn append_to_a_slow_partition_is_not_sent_again() {
    let mut queues = Queues::default();
    assert_eq!(queues.repeat_ms(Time(0), &0), Some(700), "nothing is known");
    queues.record_timeout(Time(1_500), &0, 1_500);
    assert!(queues.repeat_ms(Time(1_600), &0).is_some(), "a response may be lost");
    queues.record_refusal(Time(1_700), &0, Purpose::End, 0.0);
    assert_eq!(queues.repeat_ms(Time(1_700), &0), None, "it waits in a full queue");
    assert_eq!(slow().repeat_ms(Time(1_100), &0), None);
}

// Appends that the partition performed later were given up and repeated.
#[test]
fn append_is_given_up_in_the_queue_of_a_slow_partition() {
    let mut queues = Queues::default();
    assert_eq!(queues.timeout_ms(Time(0), &0), 1_500);
    queues.record_timeout(Time(1_500), &0, 1_500);
    assert!(queues.timeout_ms(Time(1_600), &0) >= 3_500);
    // A dead connection looks the same, and ends may not wait for it.
    assert_eq!(queues.longest_append_ms(Time(1_600), &0), None);
    let mut full = queues.clone();
    full.record_refusal(Time(1_700), &0, Purpose::End, 0.0);
    assert!(full.longest_append_ms(Time(1_700), &0).is_some());
    queues.record_append(Time(4_600), &0, 3_000);
    assert!(queues.timeout_ms(Time(4_600), &0) >= 3_500);
    assert!(queues.longest_append_ms(Time(4_600), &0).is_some());
}
