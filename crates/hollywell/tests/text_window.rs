//! Instances that read texts from a store which sends one response after the other.

use std::collections::BinaryHeap;

use hollywell::core::{text_window::TextWindow, time::Time};

/// Length of a simulation, and of the first part of it, which isn't judged.
const END_MS: u64 = 60_000;
const SETTLING_MS: u64 = 10_000;
/// Queue beyond which the store refuses reads.
const MAX_QUEUE_MS: u64 = 2_000;

/// What a store does beside instances that always have texts to read.
#[derive(Debug)]
struct Outcome {
    /// The longest queue.
    queue_ms: u64,
    /// Share of the time in which the store sends texts, in percent.
    busy_percent: u64,
    /// Share of the time in which the queue is longer than a second, in per mille.
    long_per_mille: u64,
    refused: u32,
}

fn run(instances: usize, text_bytes: u64, bytes_per_ms: u64) -> Outcome {
    run_until(END_MS, instances, text_bytes, bytes_per_ms)
}

fn run_until(end_ms: u64, instances: usize, text_bytes: u64, bytes_per_ms: u64) -> Outcome {
    let mut windows = vec![TextWindow::default(); instances];
    // Reads in flight: when they end, when they were sent, and by whom.
    let mut reads: BinaryHeap<std::cmp::Reverse<(u64, u64, usize)>> = BinaryHeap::new();
    let (mut free_at, mut idle_ms, mut queue_ms, mut refused) = (0_u64, 0, 0, 0);
    let mut long_ms = 0;
    for now in 0..end_ms {
        while reads.peek().is_some_and(|read| read.0.0 <= now) {
            let Some(std::cmp::Reverse((_, sent_at, by))) = reads.pop() else { break };
            windows[by].end(text_bytes);
            windows[by].record_answer(Time(now), now - sent_at);
        }
        for by in 0..instances {
            // A turn each, so that none has the queue for itself.
            let by = (by + usize::try_from(now).unwrap_or_default()) % instances;
            while windows[by].try_begin(text_bytes) {
                if free_at.saturating_sub(now) > MAX_QUEUE_MS {
                    windows[by].end(text_bytes);
                    windows[by].record_refusal(Time(now));
                    refused += u32::from(now >= SETTLING_MS);
                    break;
                }
                free_at = free_at.max(now) + text_bytes.div_ceil(bytes_per_ms);
                reads.push(std::cmp::Reverse((free_at, now, by)));
            }
        }
        if now >= SETTLING_MS {
            queue_ms = queue_ms.max(free_at.saturating_sub(now));
            idle_ms += u64::from(free_at <= now);
            long_ms += u64::from(free_at.saturating_sub(now) > 1_000);
        }
    }
    let busy_percent = 100 - 100 * idle_ms / (end_ms - SETTLING_MS);
    let long_per_mille = 1_000 * long_ms / (end_ms - SETTLING_MS);
    Outcome { queue_ms, busy_percent, long_per_mille, refused }
}

// The operator's commands waited for two seconds behind texts, or were refused.
#[test]
fn queue_of_texts_is_as_long_as_the_store_allows() {
    for (instances, text_bytes, bytes_per_ms) in
        [(3, 60_000, 250), (12, 20_000, 2_000), (84, 20_000, 10_000), (300, 10_000, 10_000)]
    {
        let outcome = run(instances, text_bytes, bytes_per_ms);
        assert!(outcome.queue_ms <= 1_000, "{instances} instances: {outcome:?}");
        assert_eq!(outcome.refused, 0, "{instances} instances: {outcome:?}");
        assert!(outcome.busy_percent >= 90, "{instances} instances: {outcome:?}");
    }
}

// A queue that instances kept filled for a minute was taken for a slow store, again and
// again, and grew each time.
#[test]
fn queue_that_is_never_empty_grows() {
    for (instances, text_bytes, bytes_per_ms) in
        [(168, 20_000, 10_000), (84, 20_000, 5_000), (250, 20_000, 10_000), (15, 6_000, 2_000)]
    {
        let outcome = run_until(240_000, instances, text_bytes, bytes_per_ms);
        assert!(outcome.long_per_mille <= 10, "{instances} instances: {outcome:?}");
        assert_eq!(outcome.refused, 0, "{instances} instances: {outcome:?}");
    }
}

// Callers that came at once had 4 MB in flight at each instance before the first response.
#[test]
fn first_reads_of_all_callers_are_sent_at_once() {
    let mut window = TextWindow::default();
    for at in 0..100 {
        // The operator's commands and members are read, and no text.
        window.record_answer(Time(at * 100), 5);
    }
    let begun = (0..100).take_while(|_| window.try_begin(64 << 10)).count();
    assert_eq!(begun, 2);
}

#[test]
fn bound_opens_once_responses_are_fast_and_reads_wait() {
    let mut window = TextWindow::default();
    for at in 0..20 {
        window.record_refusal(Time(at * 500));
    }
    let closed = window.limit();
    for at in 0..100 {
        while window.try_begin(20_000) {}
        window.record_answer(Time(10_000 + at * 100), 5);
    }
    assert!(window.limit() >= 100 * closed, "{closed}, then {}", window.limit());
}

// After one slow response the bound stayed at its minimum for as long as the store
// needed 150 ms for each response, although nothing queued there.
#[test]
fn bound_does_not_stay_at_its_minimum_beside_a_store_without_a_queue() {
    for latency_ms in [150, 300] {
        let mut window = TextWindow::default();
        for at in 0..20 {
            window.record_refusal(Time(at * 500));
        }
        let smallest = window.limit();
        // Ten minutes in which each response takes the same time at any number of
        // bytes in flight.
        for at in 0..6_000 {
            while window.try_begin(20_000) {}
            window.record_answer(Time(10_000 + at * 100), latency_ms);
        }
        let limit = window.limit();
        assert!(limit > smallest, "{latency_ms} ms: {limit} bytes in flight after ten minutes");
    }
}
