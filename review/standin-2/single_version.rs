//! VERSION: several versions in a result of a `single_version` route. A trainer
//! names the next version while samples of the route are generated.

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
    trainer::{self, JOBS},
};

const ITEMS: usize = 24;
const JOB: &str = "7c41e09b52d6a3f8";

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    trainer::configure(&store, 1, ",\"single_version\":true");
    let streams = Traits { events: 25, gap: Duration::from_millis(100), ..Traits::default() };
    let engines: Vec<Engine> = ["e1", "e2", "e3"]
        .iter()
        .map(|id| Engine::start(&store, record, id, "wadi", "za", true, streams.clone()))
        .collect();
    let _board = Engine::start(&store, record, "b1", "board", "za", false, Traits::default());
    let nodes: Vec<Instance> = ["n1", "n2", "n3"]
        .iter()
        .map(|name| Instance::start(&store, &setting.temporary, name, "za", "za"))
        .collect();
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(20))) {
        return Outcome::Unfit(String::from("an instance isn't ready"));
    }
    // The instances settle who gives orders.
    thread::sleep(Duration::from_secs(6));
    let node = |n: usize| (nodes[n].name.as_str(), nodes[n].front);
    let second = Duration::from_secs(5);
    let body = trainer::job(JOB, 1, 1, ITEMS);
    let headers = [("Request-Id", JOB)];
    let target = format!("{JOBS}{JOB}");
    let accepted =
        trainer::call(record, node(0), "POST", &target, &headers, body.as_bytes(), second);
    if accepted.status() != 202 {
        return Outcome::Unfit(String::from("the batch job wasn't accepted"));
    }
    thread::sleep(Duration::from_millis(300));
    if setting.trouble {
        record.line("version 2 is named");
        engines.iter().for_each(|engine| engine.name_version(2));
        trainer::name_version(&store, 2);
    }
    let mut listed: BTreeMap<String, String> = BTreeMap::new();
    let until = Instant::now() + Duration::from_secs(40);
    while listed.len() < ITEMS && Instant::now() < until {
        let target = format!("/-/lots/{JOB}?after={}", listed.len());
        let page = trainer::call(record, node(1), "GET", &target, &[("Wait-Ms", "1000")], b"", second);
        for result in json_objects(&page.text(), "results") {
            listed.insert(json_field(&result, "id").unwrap_or_default(), result);
        }
        thread::sleep(Duration::from_millis(500));
    }
    let mut mixed = 0;
    for (id, result) in &listed {
        let versions = result.split_once("\"versions\":[").and_then(|(_, rest)| rest.split_once(']'));
        let versions = versions.map_or("", |(versions, _)| versions);
        let state = json_field(result, "state").unwrap_or_default();
        let made = record.versions(id);
        record.line(&format!("{id} is {state} with versions [{versions}], its events: {made:?}"));
        mixed += usize::from(state == "succeeded" && versions.contains(','));
    }
    record.say(&format!("{} of {ITEMS} items listed, {mixed} with several versions", listed.len()));
    if listed.len() < ITEMS {
        return Outcome::Unfit(String::from("not all items were listed"));
    }
    match mixed {
        0 => Outcome::Held,
        _ => Outcome::Broken(format!("{mixed} results of a single_version route have several versions")),
    }
}
