//! The report on the parts of a step's duration, computed from logs.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use hollywell::report::steps::{read, text};

/// Formats log lines as a log collector does.
fn log(lines: &[(f64, &str)]) -> String {
    let line = |(at, message): &(f64, &str)| {
        format!("  {at:.4} h1 {{\"level\":\"DEBUG\",\"line\":1,\"message\":\"{message}\"}}\n")
    };
    lines.iter().map(line).collect()
}

const STEP: [(f64, &str); 9] = [
    (10.0, "job j of 2 samples accepted"),
    (10.1, "sample j/0 starts at e1 after event 0"),
    (10.5, "sample j/1 starts at e2 after event 0"),
    (11.1, "sample j/0 at e1: Whole, 25 events"),
    (11.2, "sample j/0 is whole: record 7 or after"),
    (12.0, "sample j/1 leaves e2: Slow"),
    (12.0, "sample j/1 starts at e1 after event 20"),
    (15.5, "sample j/1 at e1: Whole, 100 events"),
    (15.6, "sample j/1 is whole: record 9 or after"),
];

#[test]
fn a_step_is_explained_by_its_last_sample() {
    let mut lines = STEP.to_vec();
    lines.push((16.0, "end of job j accepted"));
    let steps = read(log(&lines).as_bytes()).unwrap();
    let found = format!("{:.1?}", steps[0]);
    // The other sample ran at 40 ms per event, which serves as the rate of an idle
    // engine.
    let expected = "Step { job: \"j\", samples: 2, most_begun: 0.5, begins: 0.5, idle: 4.0, \
                    lost: 1.0, listed: 0.1, read: 0.4 }";
    assert_eq!((steps.len(), found.as_str()), (1, expected));
    assert_eq!(format!("{:.1}", steps[0].total()), "6.0");
    assert_eq!(
        text(&steps).lines().count(),
        4,
        "expected a header, the step and two lines of shares"
    );
}

#[test]
fn unfinished_steps_and_unknown_lines_are_ignored() {
    assert_eq!(read(log(&STEP).as_bytes()).unwrap(), []);
    let noise = "no log\n12 h1\n13.0 h1 {\"message\":7}\n14.0 h1 {\"message\":\"sample x\"}\n";
    assert_eq!(read(noise.as_bytes()).unwrap(), []);
    assert!(text(&[]).contains("p90"));
}
