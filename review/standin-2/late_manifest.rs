//! LOST: an accepted batch job whose items can't be read any more. The store
//! turns one machine away for some seconds; a call of that machine which got no
//! answer is carried out after these.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Setting,
    engine::{Engine, Traits},
    http::Message,
    instance::Instance,
    store::{Fate, Store},
    text::{json_field, json_objects},
    trainer::{self, JOBS, WADI},
};

const ITEMS: usize = 120;
const JOB: &str = "7c41e09b52d6a3f8";
/// How long the store turns the machine away.
const AWAY: Duration = Duration::from_millis(4_000);
/// How long after its sending the unanswered call is carried out.
const LATE: Duration = Duration::from_millis(6_000);
/// When the store forgets its history, counted from the acceptance.
const FORGET: Duration = Duration::from_millis(4_500);
/// When the trainer's time is over, and the time after that in which everything
/// is finished, counted from the acceptance.
const TRAFFIC: Duration = Duration::from_secs(18);
const FINISH: Duration = Duration::from_secs(10);
/// How long a body is asked for again after each failure.
const ASK: Duration = Duration::from_secs(6);

/// Whether a call appends the record that makes a batch job.
fn is_manifest(call: &Message) -> bool {
    let marker = format!("{JOB}|s");
    call.path() == "/-/log-append"
        && call.query("topic").as_deref() == Some("keyed.jobs")
        && call.body.windows(marker.len()).any(|part| part == marker.as_bytes())
}

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    trainer::configure(&store, 1, &trainer::to_one(WADI));
    let away: Arc<std::sync::Mutex<Option<Instant>>> = Arc::default();
    let armed = Arc::new(AtomicBool::new(setting.trouble));
    let (since, log) = (away.clone(), record.clone());
    let door = store.door(move |call| {
        let mut since = since.lock().unwrap();
        if is_manifest(call) && armed.swap(false, Ordering::SeqCst) {
            *since = Some(Instant::now());
            log.line("the store gives n1 no answer to the append of the job, does it 6 s later, and turns n1 away");
            return Fate::DoneLate(LATE);
        }
        if since.is_some_and(|at| at.elapsed() < AWAY) { Fate::Refuse } else { Fate::Serve }
    });
    let streams = Traits { events: 25, gap: Duration::from_millis(100), ..Traits::default() };
    let _engines: Vec<Engine> = ["e1", "e2"]
        .iter()
        .map(|id| Engine::start(&store, record, id, WADI, "za", true, streams.clone()))
        .collect();
    let _board = Engine::start(&store, record, "b1", "board", "za", false, Traits::default());
    let nodes = [
        Instance::start_at(door, &setting.temporary, "n1", "za", "za"),
        Instance::start(&store, &setting.temporary, "n2", "za", "za"),
        Instance::start(&store, &setting.temporary, "n3", "za", "za"),
    ];
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(20))) {
        return Outcome::Unfit(String::from("an instance isn't ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let node = |n: usize| (nodes[n].name.as_str(), nodes[n].front);
    let patience = Duration::from_secs(8);
    let body = trainer::job(JOB, 1, 1, ITEMS);
    let submit = |n: usize| {
        let target = format!("{JOBS}{JOB}");
        let headers = [("Request-Id", JOB)];
        trainer::call(record, node(n), "POST", &target, &headers, body.as_bytes(), patience)
            .status()
    };
    // The trainer's attempt at n1 and, if that fails, its retry at n2.
    let mut status = submit(0);
    if status != 202 {
        status = submit(1);
    }
    if status != 202 {
        return Outcome::Unfit(format!("the batch job wasn't accepted: {status}"));
    }
    let accepted = Instant::now();
    record.say("the batch job is accepted");
    // Another client sends it once more within a second of the 202.
    // SECOND=0 leaves that out, to show that its refusal is what matters.
    thread::sleep(Duration::from_millis(300));
    if std::env::var("SECOND").map_or(true, |second| second != "0") {
        submit(0);
    }
    let mut listed: BTreeMap<String, String> = BTreeMap::new();
    let read = |listed: &mut BTreeMap<String, String>, n: usize| {
        let target = format!("/-/lots/{JOB}?after={}", listed.len());
        let headers = [("Wait-Ms", "500")];
        let page = trainer::call(record, node(n), "GET", &target, &headers, b"", patience);
        for result in json_objects(&page.text(), "results") {
            let state = json_field(&result, "state").unwrap_or_default();
            listed.insert(json_field(&result, "id").unwrap_or_default(), state);
        }
    };
    let mut is_forgotten = false;
    while listed.len() < ITEMS && accepted.elapsed() < TRAFFIC + FINISH {
        if setting.trouble && !is_forgotten && accepted.elapsed() > FORGET {
            record.line("the store forgets its history");
            store.forget_history();
            is_forgotten = true;
        }
        read(&mut listed, 1);
        thread::sleep(Duration::from_millis(500));
    }
    let missing: Vec<usize> =
        (0..ITEMS).filter(|n| !listed.contains_key(&trainer::item_id(JOB, *n))).collect();
    let never_ran =
        missing.iter().filter(|n| record.runs(&trainer::item_id(JOB, **n)).is_empty()).count();
    record.say(&format!(
        "{} of {ITEMS} items listed after {:.1} s; of the others {never_ran} never reached an engine",
        listed.len(),
        accepted.elapsed().as_secs_f64()
    ));
    // The day is over: bodies of some items that aren't listed are asked for, at
    // all machines, again after each failure.
    let mut lost = 0;
    let asked: Vec<usize> = missing.iter().copied().take(3).collect();
    let until = Instant::now() + ASK;
    let mut open = asked.clone();
    while !open.is_empty() && Instant::now() < until {
        for n in 0..nodes.len() {
            open.retain(|item| {
                let target = format!("/-/items/{JOB}?id={}", trainer::item_id(JOB, *item));
                let answer = trainer::call(record, node(n), "GET", &target, &[], b"", patience);
                !(answer.status() == 200
                    && answer.body == trainer::item_body(JOB, *item).as_bytes())
            });
        }
        thread::sleep(Duration::from_millis(300));
    }
    read(&mut listed, 1);
    open.retain(|item| !listed.contains_key(&trainer::item_id(JOB, *item)));
    lost += open.len();
    record.say(&format!("{} bodies asked for, {lost} not given", asked.len()));
    if lost == 0 {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "{lost} items of an accepted batch job aren't listed and don't give their bodies"
    ))
}
