//! The reducer's step by event kind, at today's size.
#![expect(missing_docs, reason = "criterion's macro makes a function without documentation")]

use std::hint::black_box;

use bench::{START, TODAY, answered, call, dispatch_of, echo, heartbeat, loaded, reducer};
use criterion::{Criterion, criterion_group, criterion_main};
use hollywell::prelude::*;

fn steps(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("step");
    for (name, event) in [
        ("tick", Event::Tick),
        ("beat", heartbeat(0)),
        ("echo", echo(0)),
        ("loaded", loaded(0, TODAY.rows)),
    ] {
        let mut state = reducer(TODAY);
        group.bench_function(name, |bencher| {
            bencher.iter(|| black_box(state.step(START, &event)));
        });
    }
    let mut state = reducer(TODAY);
    let mut number = 1_000_000;
    group.bench_function("keyed call, whole", |bencher| {
        bencher.iter(|| {
            number += 1;
            let effects = state.step(START, &call(number));
            if let Some(dispatch) = dispatch_of(&effects) {
                black_box(state.step(START, &answered(dispatch)));
            }
        });
    });
    group.finish();
}

criterion_group!(benches, steps);
criterion_main!(benches);
