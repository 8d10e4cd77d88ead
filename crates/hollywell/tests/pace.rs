//! Neither way of pacing ever lets more through than the rate, whatever the
//! times of asking; both let one through as soon as it is due.

use hollywell::core::{
    pace::{Pace, Way},
    time::Time,
};

const SEEDS: u64 = 300;

fn admitted(way: Way, interval_ms: u64, asked: &[u64]) -> Vec<u64> {
    let mut pace = Pace::new(way, interval_ms);
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
            for way in [Way::Bucket, Way::Gcra] {
                let admitted = admitted(way, interval_ms, &asked);
                for pair in admitted.windows(2) {
                    let gap_ms = pair[1] - pair[0];
                    assert!(gap_ms >= interval_ms, "{way:?}: {pair:?} with {interval_ms} ms");
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
    assert_eq!(admitted(Way::Gcra, 100, &asked), asked);
    assert_eq!(admitted(Way::Bucket, 100, &asked), asked);
    assert_eq!(admitted(Way::Unpaced, 100, &[7, 7, 7]), [7, 7, 7]);
}
