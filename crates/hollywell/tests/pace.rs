//! Both rate limiters keep the rate for any request times, and admit a request as
//! soon as it is due.

use hollywell::core::{
    pace::{Pacer, Pacing},
    time::Time,
};

const SEEDS: u64 = 300;

fn admitted(pacing: Pacing, interval_ms: u64, requested_at: &[u64]) -> Vec<u64> {
    let mut pacer = Pacer::new(pacing, interval_ms);
    requested_at.iter().copied().filter(|at| pacer.admit(Time(*at))).collect()
}

#[test]
fn fetches_are_at_least_an_interval_apart() {
    for seed in 0..SEEDS {
        arbtest::arbtest(|u| {
            let interval_ms = u.int_in_range(1..=500)?;
            let mut now = 10_000;
            let mut requested_at = vec![];
            while !u.is_empty() && requested_at.len() < 200 {
                now += u.int_in_range(0..=300)?;
                requested_at.push(now);
            }
            for pacing in [Pacing::Bucket, Pacing::Gcra] {
                let admitted = admitted(pacing, interval_ms, &requested_at);
                for pair in admitted.windows(2) {
                    let gap_ms = pair[1] - pair[0];
                    assert!(gap_ms >= interval_ms, "{pacing:?}: {pair:?} with {interval_ms} ms");
                }
            }
            Ok(())
        })
        .seed(seed << 32 | 400)
        .run();
    }
}

#[test]
fn a_due_fetch_is_admitted() {
    let requested_at: Vec<u64> = (0..10).map(|n| 10_000 + n * 100).collect();
    assert_eq!(admitted(Pacing::Gcra, 100, &requested_at), requested_at);
    assert_eq!(admitted(Pacing::Bucket, 100, &requested_at), requested_at);
    assert_eq!(admitted(Pacing::Unpaced, 100, &[7, 7, 7]), [7, 7, 7]);
}
