//! Neither pacing of pacing ever lets more through than the rate, whatever the
//! times of asking; both let one through as soon as it is due.

use hollywell::core::{
    pace::{Pacer, Pacing},
    time::Time,
};

const SEEDS: u64 = 300;

fn admitted(pacing: Pacing, interval_ms: u64, asked: &[u64]) -> Vec<u64> {
    let mut pace = Pacer::new(pacing, interval_ms);
    asked.iter().copied().filter(|at| pace.admit(Time(*at))).collect()
}

#[test]
fn two_fetches_are_never_closer_than_the_interval() {
    for seed in 0..SEEDS {
        arbtest::arbtest(|u| {
            let interval_ms = u.int_in_range(1..=500)?;
            let mut now = 10_000;
            let mut asked = vec![];
            while !u.is_empty() && asked.len() < 200 {
                now += u.int_in_range(0..=300)?;
                asked.push(now);
            }
            for pacing in [Pacing::Bucket, Pacing::Gcra] {
                let admitted = admitted(pacing, interval_ms, &asked);
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
fn a_fetch_that_is_due_is_let_through() {
    let asked: Vec<u64> = (0..10).map(|n| 10_000 + n * 100).collect();
    assert_eq!(admitted(Pacing::Gcra, 100, &asked), asked);
    assert_eq!(admitted(Pacing::Bucket, 100, &asked), asked);
    assert_eq!(admitted(Pacing::Unpaced, 100, &[7, 7, 7]), [7, 7, 7]);
}
