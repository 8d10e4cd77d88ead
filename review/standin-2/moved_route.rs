//! LOST: items of an accepted batch job that no engine gets any more. The engines
//! of one service are taken away after they have drained, and another service may
//! run the items: the operator has moved the route to it, or the route was split
//! between the two from the start.

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Setting,
    engine::{Engine, Traits},
    instance::Instance,
    store::Store,
    text::{json_field, json_objects},
    trainer::{self, JOBS, WADI, WADI_NEXT},
};

const ITEMS: usize = 72;
const JOB: &str = "7c41e09b52d6a3f8";
const NEXT_JOB: &str = "8d52f1ac63e7b409";
/// When the new configuration is written, counted from the 202.
const MOVED: Duration = Duration::from_millis(300);
/// When the old engines begin to drain: `config_apply_ms` later and a little.
const DRAINED: Duration = Duration::from_millis(2_600);
/// When the trainer's time for the step is over.
const STEP_ENDS: Duration = Duration::from_secs(12);
/// For how long an item must have been at no engine.
const IDLE: f64 = 5.0;

/// How the other service comes to be allowed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// A configuration moves the route while the batch job is open.
    Moved,
    /// The route is split from the start, with most of the weight on it.
    Split,
}

pub fn run(setting: &Setting, way: Way) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    let goal = match way {
        Way::Moved => trainer::to_one(WADI),
        Way::Split => trainer::to_two((WADI, 10), (WADI_NEXT, 90)),
    };
    trainer::configure(&store, 1, &goal);
    let streams = Traits { events: 20, gap: Duration::from_millis(100), ..Traits::default() };
    let start = |id: &str, service: &str| {
        Engine::start(&store, record, id, service, "za", true, streams.clone())
    };
    let old: Vec<Engine> = (1..=2).map(|n| start(&format!("old{n}"), WADI)).collect();
    let next: Vec<Engine> = (1..=13).map(|n| start(&format!("next{n}"), WADI_NEXT)).collect();
    let _board = Engine::start(&store, record, "b1", "board", "za", false, Traits::default());
    let nodes: Vec<Instance> = ["n1", "n2", "n3"]
        .iter()
        .map(|name| Instance::start(&store, &setting.temporary, name, "za", "za"))
        .collect();
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(20))) {
        return Outcome::Unfit(String::from("an instance isn't ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let node = |n: usize| (nodes[n].name.as_str(), nodes[n].front);
    let patience = Duration::from_secs(5);
    let submit = |n: usize, job: &str, items: usize| {
        let body = trainer::job(job, 1, 1, items);
        let (target, headers) = (format!("{JOBS}{job}"), [("Request-Id", job)]);
        trainer::call(record, node(n), "POST", &target, &headers, body.as_bytes(), patience)
            .status()
    };
    let read = |job: &str, listed: &mut BTreeMap<String, String>| {
        let target = format!("/-/lots/{job}?after={}", listed.len());
        let headers = [("Wait-Ms", "500")];
        let page = trainer::call(record, node(1), "GET", &target, &headers, b"", patience);
        for result in json_objects(&page.text(), "results") {
            let state = json_field(&result, "state").unwrap_or_default();
            listed.insert(json_field(&result, "id").unwrap_or_default(), state);
        }
    };
    if submit(0, JOB, ITEMS) != 202 {
        return Outcome::Unfit(String::from("the batch job wasn't accepted"));
    }
    let accepted = Instant::now();
    let until = |at: Duration| thread::sleep(at.saturating_sub(accepted.elapsed()));
    if setting.trouble {
        if way == Way::Moved {
            until(MOVED);
            trainer::configure(&store, 2, &trainer::to_one(WADI_NEXT));
            record.line("configuration 2 moves the batch jobs to the next service");
        }
        until(DRAINED);
        old.iter().for_each(|engine| engine.drain(Duration::from_millis(2_000)));
    }
    // The new service takes what comes now.
    until(Duration::from_secs(6));
    if submit(1, NEXT_JOB, 4) != 202 {
        return Outcome::Unfit(String::from("the second batch job wasn't accepted"));
    }
    let (mut listed, mut listed_next) = (BTreeMap::new(), BTreeMap::new());
    while accepted.elapsed() < STEP_ENDS {
        read(JOB, &mut listed);
        read(NEXT_JOB, &mut listed_next);
        thread::sleep(Duration::from_millis(300));
    }
    let now = record.seconds();
    let ids: Vec<String> = (0..ITEMS).map(|n| trainer::item_id(JOB, n)).collect();
    let is_idle = |id: &&String| {
        record.last_at_engine(id).is_none_or(|at| now - at > IDLE) && !listed.contains_key(*id)
    };
    let idle = ids.iter().filter(is_idle).count();
    let begun = ids.iter().filter(|id| !record.runs(id).is_empty()).count();
    let busy: usize = next.iter().map(Engine::running).sum();
    record.say(&format!(
        "at the end of the step {} of {ITEMS} items are listed, {begun} had begun, {idle} have been \
         at no engine for {IDLE} s; {busy} of {} places of the next service are taken; {} of 4 items \
         of the next batch job are listed",
        listed.len(),
        12 * next.len(),
        listed_next.len()
    ));
    // A split route sends the next batch job the same way.
    if begun == 0 || way == Way::Moved && listed_next.len() < 4 {
        return Outcome::Unfit(String::from("no item had begun, or the next batch job isn't done"));
    }
    match idle {
        0 => Outcome::Held,
        _ => Outcome::Broken(format!("{idle} items of an accepted batch job are at no engine")),
    }
}
