//! Measures bytes and processor time of one instance's parts at 1, 4 and 16
//! times today's size, fits a line, and writes the tables of
//! `docs/CAPACITY.md` with what they come to at the size to build towards.

use std::{alloc::System, collections::VecDeque, fs, hint::black_box, time::Instant};

use bench::{
    START, Size, TODAY, answered, call, dispatch_of, dispatches_of, echo, heartbeat, loaded,
    one_edit, reducer, sampled, step,
};
use hollywell::{
    core::{claim, event::Message, member::Reading, owner::Handoff},
    prelude::*,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const FACTORS: [usize; 3] = [1, 4, 16];
const PAGE: &str = "docs/CAPACITY.md";
const BEGIN: &str = "<!-- measured: begin -->";
const END: &str = "<!-- measured: end -->";
/// A sixteenth of the engines to build towards: what hardly grows with them
/// is measured up to that size, because a slope lost in noise must not be
/// carried on.
const MANY_ENGINES: usize = 750;
/// Engines from which on their number, not the rest of the work, decides
/// what a sample costs.
const SOME_ENGINES: usize = 200;
/// Steps in one timed batch.
const BATCH: u32 = 200;
/// Timed batches; the fastest counts, the machine being shared.
const BATCHES: u32 = 15;

// The size to build towards.
const NODES: f64 = 340.0;
const DOMAINS: f64 = 33.0;
const ENGINES: f64 = 12_000.0;
const REQUESTS_A_S: f64 = 18_000.0;
const ROWS: f64 = 25.0;
const SLOTS: f64 = 25.0 * 2_048.0;
const STEP_S: f64 = 360.0;
const CHANGES_A_DAY: f64 = 77_000.0;
const DAY_S: f64 = 86_400.0;
const HORIZON_S: f64 = 600.0;
/// Share of the calls that carry an idempotency key: assumed, not given.
const KEYED_SHARE: f64 = 0.1;
const CORE_SHARE: f64 = 0.042;
const MEMORY_BYTES: f64 = 128e6;
const NETWORK_BYTES_A_S: f64 = 29e3;

/// A straight line through three points, by least squares.
#[derive(Clone, Copy)]
struct Line {
    at_zero: f64,
    slope: f64,
    /// Largest distance of a point from the line, relative to the point.
    off: f64,
}

impl Line {
    fn at(self, x: f64) -> f64 {
        self.at_zero + self.slope * x
    }
}

fn fit(points: &[(f64, f64)]) -> Line {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let at_zero = mean_y - slope * mean_x;
    let distance = |(x, y): &(f64, f64)| ((at_zero + slope * x - y) / y).abs();
    let off = points.iter().map(distance).fold(0.0, f64::max);
    Line { at_zero, slope, off }
}

fn bytes_of(size: Size) -> f64 {
    let region = Region::new(ALLOCATOR);
    let state = black_box(reducer(size));
    let change = region.change();
    drop(state);
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

/// A figure as one dimension grows from `base`.
fn line(base: usize, measure: impl Fn(usize) -> f64) -> Line {
    let points = FACTORS.map(|factor| ((base * factor) as f64, measure(base * factor)));
    fit(&points)
}

/// Bytes as one dimension grows.
fn bytes_line(base: usize, with: impl Fn(usize) -> Size) -> Line {
    line(base, |count| bytes_of(with(count)))
}

/// Microseconds of one repetition of `work`.
fn time_us(size: Size, mut work: impl FnMut(&mut State, u64)) -> f64 {
    let mut state = reducer(size);
    let mut number = 1_000_000;
    let mut best = f64::MAX;
    for _ in 0..BATCHES {
        let started = Instant::now();
        for _ in 0..BATCH {
            number += 1;
            work(&mut state, number);
        }
        best = best.min(started.elapsed().as_secs_f64() * 1e6 / f64::from(BATCH));
    }
    best
}

fn time_line(
    base: usize,
    with: impl Fn(usize) -> Size,
    work: impl Fn(&mut State, u64) + Copy,
) -> Line {
    line(base, |count| time_us(with(count), work))
}

fn keyed_call(state: &mut State, number: u64) {
    let effects = state.step(START, &call(number));
    if let Some(dispatch) = dispatch_of(&effects) {
        black_box(state.step(START, &answered(dispatch)));
    }
}

/// Whole steps that are timed; the fastest counts.
const WHOLE_STEPS: u32 = 5;

/// Microseconds a sample of a whole step of `slots` samples: one ends, and
/// the next one starts, until none is missing.
fn sample_us(size: Size) -> f64 {
    let slots = size.slots;
    let size = Size { slots: 0, ..size };
    let mut best = f64::MAX;
    for _ in 0..WHOLE_STEPS {
        let mut state = reducer(size);
        let started = Instant::now();
        let mut running = VecDeque::from(dispatches_of(&state.step(START, &step(1, slots))));
        let mut ended = 0;
        while let Some(dispatch) = running.pop_front() {
            running.extend(dispatches_of(&state.step(START, &sampled(dispatch))));
            ended += 1;
        }
        best = best.min(started.elapsed().as_secs_f64() * 1e6 / f64::from(ended));
    }
    best
}

fn sample_line(base: usize, with: impl Fn(usize) -> Size) -> Line {
    line(base, |count| sample_us(with(count)))
}

fn coded(message: &Message) -> f64 {
    serde_json::to_vec(message).map_or(0.0, |bytes| bytes.len() as f64)
}

struct Measured {
    bytes: Vec<(&'static str, Line)>,
    times: Vec<(&'static str, &'static str, Line)>,
    messages: Vec<(&'static str, f64)>,
}

impl Measured {
    fn bytes(&self, name: &str) -> Line {
        self.bytes.iter().find(|(known, _)| *known == name).expect("it was measured").1
    }

    fn time(&self, name: &str) -> Line {
        self.times.iter().find(|(known, ..)| *known == name).expect("it was measured").2
    }

    fn message(&self, name: &str) -> f64 {
        self.messages.iter().find(|(known, _)| *known == name).expect("it was measured").1
    }
}

fn measure() -> Measured {
    let small = Size { slots: 0, claims: 0, ..TODAY };
    let peers = |peers| Size { peers, ..small };
    let engines = |engines| Size { engines, ..small };
    let services = |services| Size { services, ..small };
    let rows = |rows| Size { rows, ..small };
    let claims = |claims| Size { claims, ..small };
    let slots = |slots: usize| Size { slots: u32::try_from(slots).unwrap_or(u32::MAX), ..small };
    let bytes = vec![
        ("peer", bytes_line(TODAY.peers, peers)),
        ("engine", bytes_line(TODAY.engines, engines)),
        ("table row", bytes_line(TODAY.rows * 8, rows)),
        ("claim", bytes_line(TODAY.claims, claims)),
        ("open slot", bytes_line(TODAY.slots as usize, slots)),
    ];
    let tick = |state: &mut State, _: u64| {
        black_box(state.step(START, &Event::Tick));
    };
    let times = vec![
        ("tick", "peers", time_line(TODAY.peers, peers, tick)),
        ("tick by engines", "engines", time_line(TODAY.engines, engines, tick)),
        ("tick by claims", "claims", time_line(TODAY.claims, claims, tick)),
        (
            "beat",
            "peers",
            time_line(TODAY.peers, peers, |state, _| {
                black_box(state.step(START, &heartbeat(0)));
            }),
        ),
        (
            "echo",
            "peers",
            time_line(TODAY.peers, peers, |state, _| {
                black_box(state.step(START, &echo(0)));
            }),
        ),
        ("keyed call, whole", "services", time_line(TODAY.services, services, keyed_call)),
        (
            "load report",
            "engines",
            time_line(MANY_ENGINES, engines, |state, _| {
                black_box(state.step(START, &loaded(0, TODAY.rows)));
            }),
        ),
        (
            "sample, whole",
            "engines",
            sample_line(SOME_ENGINES, |engines| Size { engines, slots: 2_048, ..small }),
        ),
        ("sample by open slots", "slots", sample_line(TODAY.slots as usize * 2, slots)),
        (
            "log read, one edit",
            "rows",
            time_line(TODAY.rows * 8, rows, |state, _| {
                let event = one_edit(state);
                black_box(state.step(START, &event));
            }),
        ),
    ];
    Measured { bytes, times, messages: messages() }
}

fn messages() -> Vec<(&'static str, f64)> {
    let from = Instance::new("muscat-ruwi-hall-entry-07", 1_796_223_087_244);
    let reading = Reading { from, epoch: 123_456, order: 1_234, clock: Time(123_456_789) };
    let echo = Message::Echo {
        sent: Time(123_456_789),
        epoch: 123_456,
        reading: Some(reading),
        next: 1_234_567,
        draining: false,
    };
    let beat =
        Message::Heartbeat { sent: Time(123_456_789), next: 1_234_567, leaving: vec![], demand: 0 };
    let key = "c7a1f0de-8a4c-4c59-9a39-0d9c11111111";
    let claim = Message::Claim { epoch: 123_456, key: key.into(), digest: u64::MAX };
    let claimed = Message::Claimed { epoch: 123_456, key: key.into() };
    let handoff = |copies: usize| {
        let copy = claim::Copy { key: key.into(), digest: u64::MAX, age_ms: 123_456 };
        let (history, claim_losses, former_ids) = (vec![], vec![], vec![]);
        let copies = vec![copy; copies];
        Message::Handoff(Handoff {
            epoch: 1,
            last_active: None,
            former_ids,
            history,
            copies,
            claim_losses,
        })
    };
    vec![
        ("beat", coded(&beat)),
        ("echo", coded(&echo)),
        ("claim and its confirmation", coded(&claim) + coded(&claimed)),
        ("copy of a claim in a hand-over", coded(&handoff(2)) - coded(&handoff(1))),
    ]
}

fn measured_tables(measured: &Measured) -> String {
    let mut text = String::from(
        "### State\n\n| of each | bytes (slope) | at zero | off the line |\n|---|---|---|---|\n",
    );
    for (name, line) in &measured.bytes {
        text += &format!(
            "| {name} | {:.0} | {:.0} | {:.0}% |\n",
            line.slope,
            line.at_zero,
            line.off * 100.0
        );
    }
    text += "\n### Processor time of a reducer's step\n\n\
             | event | grows with | µs at zero | µs for each | off the line |\n\
             |---|---|---|---|---|\n";
    for (name, by, line) in &measured.times {
        text += &format!(
            "| {name} | {by} | {:.2} | {:.4} | {:.0}% |\n",
            line.at_zero,
            line.slope,
            line.off * 100.0
        );
    }
    text += "\n### Messages, JSON-coded\n\n| message | bytes |\n|---|---|\n";
    for (name, bytes) in &measured.messages {
        text += &format!("| {name} | {bytes:.0} |\n");
    }
    text
}

struct Role {
    name: &'static str,
    mechanism: &'static str,
    memory_bytes: f64,
    core_us_a_s: f64,
    network_bytes_a_s: f64,
    breaks: String,
}

/// Overhead of one exchange beside its body, in bytes: HTTP/2 frames and
/// headers between instances.
const PEER_OVERHEAD: f64 = 120.0;
/// One load report with its HTTP/1.1 heads and connection, in bytes.
const LOAD_REPORT_BYTES: f64 = 700.0;

fn roles(measured: &Measured) -> Vec<Role> {
    let near = NODES / DOMAINS - 1.0;
    let far = NODES - 1.0 - near;
    let near_engines = ENGINES / DOMAINS;
    let calls = REQUESTS_A_S / NODES;
    let keyed = calls * KEYED_SHARE;
    let samples = SLOTS / STEP_S / NODES;
    let exchange = measured.message("beat") + measured.message("echo") + 2.0 * PEER_OVERHEAD;
    let beats_near = near * 2.0;
    let beats_far = far / 2.0;
    let beat_us = measured.time("beat").at(NODES) + measured.time("echo").at(NODES);
    let claims = keyed * HORIZON_S * 2.0;
    let most_far = (NETWORK_BYTES_A_S - beats_near * exchange) / exchange * 2.0;
    let polls_today = ENGINES * 4.0;
    let most_engines = NETWORK_BYTES_A_S / LOAD_REPORT_BYTES / 4.0;
    vec![
        Role {
            name: "admission and routing",
            mechanism: "reducer step per event; two choices over the pool's targets",
            memory_bytes: measured.bytes("engine").at(near_engines),
            core_us_a_s: calls * measured.time("keyed call, whole").at(near_engines / 4.0),
            network_bytes_a_s: 0.0,
            breaks: String::from("choice scans the pool: fine to about 1,000 targets a pool"),
        },
        Role {
            name: "step coordination",
            mechanism: "trainer's word as cursor; slots in a tree by step",
            memory_bytes: measured.bytes("open slot").at(SLOTS / NODES),
            // The whole cluster's engines are candidates, and the first line
            // was measured with a step of 2,048 samples.
            core_us_a_s: samples * measured.time("sample, whole").at(ENGINES),
            network_bytes_a_s: 0.0,
            breaks: String::from(
                "choice scans all engines, each sample: fine at 0.4 samples a second an instance",
            ),
        },
        Role {
            name: "claims and deputy",
            mechanism: "owner by rendezvous hash, one deputy, leases by log reads and promises",
            memory_bytes: measured.bytes("claim").slope * claims,
            core_us_a_s: keyed * measured.time("keyed call, whole").at_zero
                + 10.0 * measured.time("tick by claims").slope * claims,
            network_bytes_a_s: keyed
                * (measured.message("claim and its confirmation") + 2.0 * PEER_OVERHEAD),
            breaks: String::from("expiry scans all claims each tick: see the slope by claims"),
        },
        Role {
            name: "table reader and relay",
            mechanism: "one stream, folded by every instance; snapshots; a peer's state on demand",
            memory_bytes: measured.bytes("table row").at(ROWS),
            core_us_a_s: CHANGES_A_DAY / DAY_S * measured.time("log read, one edit").at(ROWS),
            network_bytes_a_s: CHANGES_A_DAY / DAY_S * 400.0 + 2.0 * 300.0,
            breaks: format!(
                "the log serves {NODES} long polls; appends {:.1} a second",
                CHANGES_A_DAY / DAY_S
            ),
        },
        Role {
            name: "lease holder and orders",
            mechanism: "one lease a failure domain, renewed at a third; level-triggered orders",
            memory_bytes: 0.0,
            core_us_a_s: 10.0 * measured.time("tick by engines").at(near_engines),
            network_bytes_a_s: near_engines * ROWS.min(1.0) * 600.0 / 300.0,
            breaks: format!(
                "{:.0} appends a second for renewals; {near_engines:.0} engines in 32 s take {:.0} orders at once of 2 s each",
                DOMAINS,
                near_engines * 2.0 / 32.0
            ),
        },
        Role {
            name: "membership, within the failure domain",
            mechanism: "heartbeats of all to all, twice a second",
            memory_bytes: measured.bytes("peer").at(near),
            core_us_a_s: beats_near * beat_us,
            network_bytes_a_s: beats_near * exchange * 2.0,
            breaks: String::from("grows with the square of the domain's nodes; fine at 10"),
        },
        Role {
            name: "membership, across (today: all to all)",
            mechanism: "heartbeats every 2 s to every instance elsewhere",
            memory_bytes: measured.bytes("peer").slope * far,
            core_us_a_s: beats_far * beat_us + 10.0 * measured.time("tick").at(NODES),
            network_bytes_a_s: beats_far * exchange * 2.0,
            breaks: format!(
                "29 KB/s at {most_far:.0} instances elsewhere; two gateways a domain instead (not built)"
            ),
        },
        Role {
            name: "load reports (today: all of all engines)",
            mechanism: "each instance reads each engine four times a second",
            memory_bytes: measured.bytes("engine").slope * (ENGINES - near_engines),
            core_us_a_s: polls_today * measured.time("load report").at(ENGINES),
            network_bytes_a_s: polls_today * LOAD_REPORT_BYTES,
            breaks: format!(
                "29 KB/s at {most_engines:.0} engines; each instance a share of its domain's, and summaries in heartbeats (not built)"
            ),
        },
    ]
}

fn roles_table(measured: &Measured) -> String {
    let roles = roles(measured);
    let mut text = String::from(
        "### Each role at 340 nodes, worked out of the slopes\n\n\
         | role | mechanism | memory | core | network | where it breaks |\n\
         |---|---|---|---|---|---|\n",
    );
    let mut sums = [0.0; 3];
    for role in &roles {
        let parts = [role.memory_bytes, role.core_us_a_s / 1e6, role.network_bytes_a_s];
        for (sum, part) in sums.iter_mut().zip(parts) {
            *sum += part;
        }
        text += &format!(
            "| {} | {} | {:.2} MB | {:.3}% | {:.1} KB/s | {} |\n",
            role.name,
            role.mechanism,
            parts[0] / 1e6,
            parts[1] * 100.0,
            parts[2] / 1e3,
            role.breaks
        );
    }
    text += &format!(
        "| **sum, as built today** | | {:.1} MB | {:.2}% | {:.0} KB/s | |\n\
         | **allowed** | | {:.0} MB | {:.1}% | {:.0} KB/s | |\n",
        sums[0] / 1e6,
        sums[1] * 100.0,
        sums[2] / 1e3,
        MEMORY_BYTES / 1e6,
        CORE_SHARE * 100.0,
        NETWORK_BYTES_A_S / 1e3
    );
    text
}

fn main() -> std::io::Result<()> {
    let measured = measure();
    let tables = format!("{}\n{}", measured_tables(&measured), roles_table(&measured));
    println!("{tables}");
    let page = fs::read_to_string(PAGE)?;
    let Some((before, rest)) = page.split_once(BEGIN) else {
        return Ok(());
    };
    let after = rest.split_once(END).map_or("", |(_, after)| after);
    fs::write(PAGE, format!("{before}{BEGIN}\n\n{tables}\n{END}{after}"))
}
