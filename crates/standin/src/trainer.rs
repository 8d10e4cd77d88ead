//! A trainer. It publishes a version, opens a step, receives the samples, and
//! reopens the step at another instance when the stream breaks.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::PathBuf,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt as _, Full};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    history::{Event, Writer},
    web,
};

/// Delay before a step is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(200);
/// Timeout of publishing a version.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(2);

/// Options of the trainer.
#[derive(Clone, Debug)]
pub struct Options {
    /// The trainer's name in the table.
    pub name: String,
    /// Addresses of the entry instances; each attempt goes to a random one.
    pub entries: Vec<String>,
    /// Address of the weight store.
    pub weights: String,
    /// Number of the first step.
    pub first_step: u64,
    /// Steps to open.
    pub steps: u64,
    /// Groups in a step.
    pub groups: u32,
    /// Samples in a group.
    pub samples: u32,
    /// Maximum number of tokens in a sample.
    pub max_tokens: u32,
    /// Timeout of a step, in milliseconds.
    pub timeout_ms: u64,
    /// Versions that a sample may be behind.
    pub staleness: u64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Directory of history files.
    pub history: PathBuf,
}

struct Trainer {
    options: Options,
    history: Writer,
    rng: StdRng,
    version: u64,
}

/// Runs all steps and publishes a version before each. Returns true if every
/// step was complete in time.
///
/// # Errors
///
/// If the history cannot be written.
pub async fn run(options: Options) -> std::io::Result<bool> {
    let history = Writer::open(&options.history, &format!("trainer-{}", options.name))?;
    let rng = StdRng::seed_from_u64(options.seed);
    let version = options.first_step - 1;
    let mut trainer = Trainer { options, history, rng, version };
    let mut all_complete = true;
    for step in 0..trainer.options.steps {
        trainer.publish().await;
        let step = trainer.options.first_step + step;
        all_complete &= trainer.step(step).await;
    }
    Ok(all_complete)
}

impl Trainer {
    async fn publish(&mut self) {
        self.version += 1;
        let (trainer, version) = (self.options.name.clone(), self.version);
        let path = format!("/trainers/{trainer}/versions");
        let body = json!({ "version": version });
        let published =
            web::send(Method::POST, &self.options.weights, &path, &body, PUBLISH_TIMEOUT).await;
        if published.is_some_and(|answer| answer.status().is_success()) {
            self.history.record(Event::Published { trainer, version });
        }
    }

    async fn step(&mut self, step: u64) -> bool {
        let trainer = self.options.name.clone();
        let samples = u64::from(self.options.groups) * u64::from(self.options.samples);
        let (version, staleness) = (self.version, self.options.staleness);
        self.history.record(Event::Opened {
            trainer: trainer.clone(),
            step,
            samples,
            version,
            staleness,
        });
        let deadline = Instant::now() + Duration::from_millis(self.options.timeout_ms);
        let mut have: BTreeMap<u32, BTreeSet<u32>> = BTreeMap::new();
        let mut attempt = 0;
        while Instant::now() < deadline {
            let count: usize = have.values().map(BTreeSet::len).sum();
            if count as u64 >= samples {
                break;
            }
            attempt += 1;
            if !self.attempt(step, attempt, deadline, &mut have).await {
                sleep(REOPEN_DELAY).await;
            }
        }
        let count: usize = have.values().map(BTreeSet::len).sum();
        let whole = count as u64 >= samples;
        self.history.record(Event::StepEnded { trainer, step, whole });
        whole
    }

    /// Opens a step once and receives its samples. Returns true if the stream
    /// ended with all of them.
    async fn attempt(
        &mut self,
        step: u64,
        attempt: u32,
        deadline: Instant,
        have: &mut BTreeMap<u32, BTreeSet<u32>>,
    ) -> bool {
        let index = self.rng.random_range(0..self.options.entries.len());
        let entry = self.options.entries[index].clone();
        let left = deadline.saturating_duration_since(Instant::now());
        let Some(request) = self.request(&entry, step, attempt, left, have) else {
            return false;
        };
        let opened = tokio::time::timeout(left, web::client().request(request)).await;
        let Ok(Ok(response)) = opened else {
            return false;
        };
        if !response.status().is_success() {
            return false;
        }
        let mut body = response.into_body();
        let mut pending: Vec<u8> = vec![];
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let Ok(frame) = tokio::time::timeout(left, body.frame()).await else {
                return false;
            };
            let Some(Ok(frame)) = frame else {
                self.history.record(Event::StreamCut { entry });
                return false;
            };
            pending.extend_from_slice(frame.data_ref().map_or(&[][..], |data| &data[..]));
            while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = pending.drain(..=end).collect();
                let Ok(line) = serde_json::from_slice::<Value>(&line) else {
                    return false;
                };
                if line.get("end").is_some() {
                    return line["end"]["missing"] == 0;
                }
                self.receive(step, &line["sample"], have);
            }
        }
    }

    fn request(
        &self,
        entry: &str,
        step: u64,
        attempt: u32,
        left: Duration,
        have: &BTreeMap<u32, BTreeSet<u32>>,
    ) -> Option<Request<Full<Bytes>>> {
        let group = |group: u32| {
            json!({
                "group": group,
                "prompt": format!("step {step} group {group}: {}", "plan the channel ".repeat(8)),
                "samples": self.options.samples,
                "have": have.get(&group).cloned().unwrap_or_default(),
                "max_tokens": self.options.max_tokens,
            })
        };
        let body = json!({
            "trainer": self.options.name,
            "step": step,
            "attempt": attempt,
            "version": self.version,
            "timeout_ms": left.as_millis().max(1),
            "groups": (0..self.options.groups).map(group).collect::<Vec<Value>>(),
        });
        Request::post(format!("http://{entry}/v1/steps"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .ok()
    }

    fn receive(&self, step: u64, sample: &Value, have: &mut BTreeMap<u32, BTreeSet<u32>>) {
        let number = |name: &str| {
            let number = sample[name].as_u64().unwrap_or_default();
            u32::try_from(number).unwrap_or(u32::MAX)
        };
        let (group, index) = (number("group"), number("index"));
        have.entry(group).or_default().insert(index);
        let text = sample["text"].as_str().unwrap_or_default();
        let id = text.split(' ').next().unwrap_or_default().to_owned();
        let versions = sample["versions"].as_array();
        let versions =
            versions.map_or(vec![], |all| all.iter().filter_map(Value::as_u64).collect());
        let trainer = self.options.name.clone();
        self.history.record(Event::Sample { trainer, step, group, index, id, versions });
    }
}
