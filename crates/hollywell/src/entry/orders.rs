//! Orders to engines: the lease on one failure domain and the calls.
//!
//! Each order is given under a report just read: it names how many orders
//! the engine has accepted, so that one that is carried out late, after a
//! newer one, does nothing.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::{sync::Notify, time::sleep};

use crate::{
    core::{
        roll::{self, Order, Step},
        room::Use,
        tenure::{Claim, Tenure, Terms},
    },
    entry::{
        dialect::VersionOrder,
        news::{self, News},
        shared::{Shared, World},
        store::{Append, Fault, Part, Read},
    },
};

/// The topic of leases, one partition for each failure domain.
const LEASES: &str = "leases";
/// Pause after a claim that failed.
const CLAIM_RETRY: Duration = Duration::from_millis(100);
/// Time between looks at what is to be ordered.
const TICK: Duration = Duration::from_millis(100);
/// Time that one call to an engine may take.
const CALL: Duration = Duration::from_millis(600);
/// How long a claim holds, in milliseconds. Short, since the engines of a
/// holder that died wait for so long, and long enough for some lost calls.
const TERM_MS: u64 = 1_800;
/// Time between a holder's claims; the others read them as they come.
const RENEW: Duration = Duration::from_millis(400);
/// First look whether a load is done; it takes 0.9 s alone.
const LOADED: Duration = Duration::from_millis(920);
/// Time between later looks.
const LOADED_PAUSE: Duration = Duration::from_millis(300);
/// Later looks.
const LOADED_LOOKS: u32 = 6;
/// Largest report.
const REPORT_BYTES: usize = 1 << 20;

struct Office {
    tenure: Tenure,
    roll: roll::State,
    /// There are orders to give.
    wanted: bool,
    /// Told when a claim must come before the next regular one.
    urgent: Rc<Notify>,
}

/// Competes for the failure domain's lease and gives orders while it is
/// held.
pub async fn serve(shared: Rc<Shared>) {
    let domain = shared.settings.domain.clone();
    let number = shared.settings.domains.iter().position(|name| *name == domain);
    let part = Part::at(LEASES, number.unwrap_or_default());
    let office = Rc::new(RefCell::new(Office {
        tenure: Tenure::default(),
        roll: roll::State::default(),
        wanted: false,
        urgent: Rc::new(Notify::new()),
    }));
    tokio::task::spawn_local(hold(shared.clone(), part, office.clone()));
    loop {
        sleep(TICK).await;
        if !shared.world.borrow().stopping {
            give(&shared, &office, &domain);
        }
    }
}

/// Orders may be given only if a call started now ends within the lease.
fn fence(shared: &Shared, office: &RefCell<Office>) -> Option<u64> {
    let margin_ms = u64::try_from(CALL.as_millis()).unwrap_or_default();
    office.borrow().tenure.fence(shared.now(), margin_ms)
}

fn give(shared: &Rc<Shared>, office: &Rc<RefCell<Office>>, domain: &str) {
    let now = shared.now();
    {
        let world = shared.world.borrow();
        let office = &mut *office.borrow_mut();
        if !office.tenure.is_held() {
            return;
        }
        office.wanted = roll::is_due(domain, &world.models, &world.fleet);
        if office.wanted && office.tenure.must_announce() {
            office.urgent.notify_one();
        }
    }
    if fence(shared, office).is_none() {
        return;
    }
    let orders = {
        let world = &mut *shared.world.borrow_mut();
        world.models.steps = steps(world);
        let roll = &mut office.borrow_mut().roll;
        roll.step(now, domain, &world.models, &world.fleet, &world.sights)
    };
    for order in orders {
        tokio::task::spawn_local(carry_out(shared.clone(), office.clone(), order));
    }
}

/// The steps that are open, by model.
fn steps(world: &World) -> BTreeMap<String, Vec<Step>> {
    let mut steps: BTreeMap<String, Vec<Step>> = BTreeMap::new();
    let jobs = world.shelves.iter().flat_map(|shelf| &shelf.book.jobs);
    for (id, job) in jobs {
        if job.ended || job.is_whole() || world.ending.holds(id) {
            continue;
        }
        let samples = (job.done.len() - job.listed.len()) as u64;
        let step = Step { min_version: job.head.min_version, samples };
        steps.entry(job.head.model.clone()).or_default().push(step);
    }
    steps
}

async fn carry_out(shared: Rc<Shared>, office: Rc<RefCell<Office>>, order: Order) {
    let Some(report) = report(&shared, &order.target).await else {
        office.borrow_mut().roll.failed(&order.target);
        return;
    };
    note(&shared, &order, &report);
    let has = report.versions.get(&order.model).copied();
    if has >= Some(order.version) {
        return;
    }
    if !report.busy {
        let Some(fence) = fence(&shared, &office) else {
            return;
        };
        let asked = VersionOrder {
            model: order.model.clone(),
            version: order.version,
            holder: shared.me.clone(),
            fence,
            expected: report.orders,
        };
        let (path, body) = (shared.dialect.order)(&asked);
        office.borrow_mut().tenure.ordered(shared.now());
        let status = call(&shared, &order.target, http::Method::POST, path, body).await;
        let status = status.map(|(status, _)| status.as_u16());
        log::info!(
            "order to {}: {} from {has:?} to {}, fence {fence}, expects {}: {status:?}",
            order.target,
            order.model,
            order.version,
            report.orders
        );
        if !matches!(status, Some(200 | 202)) {
            // An order without an answer may still be carried out: the next
            // report tells.
            sleep(LOADED_PAUSE).await;
            office.borrow_mut().roll.failed(&order.target);
            return;
        }
    }
    sleep(LOADED).await;
    for _ in 0..LOADED_LOOKS {
        if let Some(report) = self::report(&shared, &order.target).await {
            note(&shared, &order, &report);
            if report.versions.get(&order.model).copied() >= Some(order.version) {
                news::tell(&shared, &News::Loaded(order)).await;
                return;
            }
        }
        sleep(LOADED_PAUSE).await;
    }
    office.borrow_mut().roll.failed(&order.target);
}

fn note(shared: &Shared, order: &Order, report: &crate::entry::dialect::Report) {
    let world = &mut *shared.world.borrow_mut();
    if world.fleet.started(&order.target, report.born)
        && let Some(address) = world.fleet.targets.get(&order.target).map(|t| t.said.address)
    {
        shared.restarted(world, &order.target, address);
    }
    let born = world.fleet.targets.get(&order.target).and_then(|target| target.said.born);
    for (model, version) in &report.versions {
        world.fleet.answered(&order.target, born, model, *version);
    }
}

async fn report(shared: &Rc<Shared>, target: &str) -> Option<crate::entry::dialect::Report> {
    let path = shared.dialect.report_path;
    let (status, body) = call(shared, target, http::Method::GET, path, Bytes::new()).await?;
    if !status.is_success() {
        return None;
    }
    match (shared.dialect.report)(&body) {
        Ok(report) => Some(report),
        Err(why) => {
            log::warn!("report of {target}: {why}");
            None
        }
    }
}

async fn call(
    shared: &Rc<Shared>,
    target: &str,
    method: http::Method,
    path: &str,
    body: Bytes,
) -> Option<(http::StatusCode, Bytes)> {
    let address = {
        let world = shared.world.borrow();
        world.fleet.targets.get(target).map(|target| target.said.address)
    }?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(&shared.dialect.headers.target, target)
        .body(Full::new(body))
        .ok()?;
    let answer = match shared.pool.send(address, request, CALL).await {
        Ok(answer) => answer,
        Err(error) => {
            log::info!("call {path} to {target}: {error}");
            return None;
        }
    };
    let status = answer.head.status;
    let body = answer.whole(REPORT_BYTES, CALL).await.ok()?;
    Some((status, body))
}

/// Keeps up the lease, or waits for its holder to fall silent or give it up.
async fn hold(shared: Rc<Shared>, part: Part, office: Rc<RefCell<Office>>) {
    let apart_ms = u64::try_from(shared.settings.times.lease.as_millis()).unwrap_or(u64::MAX);
    let terms = Terms { term_ms: TERM_MS, apart_ms };
    let urgent = office.borrow().urgent.clone();
    let mut stop = shared.stop.subscribe();
    while !*stop.borrow() {
        if !office.borrow().tenure.is_held() {
            read(&shared, &part, &office).await;
        }
        claim(&shared, &part, &office, terms).await;
        if office.borrow().tenure.is_held() {
            tokio::select! {
                () = sleep(RENEW) => {}
                () = urgent.notified() => {}
                _ = stop.changed() => {}
            }
        }
    }
    let released = office.borrow().tenure.release(&shared.me, shared.now());
    if let Some(claim) = released {
        append(&shared, &part, &office, terms, claim).await;
    }
}

async fn read(shared: &Rc<Shared>, part: &Part, office: &RefCell<Office>) {
    let from = office.borrow().tenure.end;
    let read = Read { part: part.clone(), from, wait: RENEW, most_kb: None };
    match shared.reader.read(read).await {
        Ok(records) => {
            shared.store_did(true);
            let tenure = &mut office.borrow_mut().tenure;
            for record in &records.records {
                let value = record.value.clone().unwrap_or_default();
                match serde_json::from_slice::<Claim>(&value) {
                    Ok(claim) => tenure.read(&shared.me, shared.now(), record.offset, &claim),
                    Err(error) => log::warn!("claim at {} skipped: {error}", record.offset),
                }
            }
            tenure.read_to(records.end);
        }
        Err(Fault::Gone(first)) => office.borrow_mut().tenure.end = first,
        Err(fault) => {
            shared.store_did(false);
            log::info!("reading the lease: {fault}");
            sleep(RENEW).await;
        }
    }
}

async fn claim(shared: &Rc<Shared>, part: &Part, office: &RefCell<Office>, terms: Terms) {
    let claim = {
        let office = office.borrow();
        office.tenure.claim(&shared.me, shared.now(), terms, rank(shared), office.wanted)
    };
    if let Some(claim) = claim {
        append(shared, part, office, terms, claim).await;
    }
}

async fn append(
    shared: &Rc<Shared>,
    part: &Part,
    office: &RefCell<Office>,
    terms: Terms,
    claim: Claim,
) {
    let sent = shared.now();
    let value = Bytes::from(serde_json::to_vec(&claim).unwrap_or_default());
    let expected_end = Some(office.borrow().tenure.end);
    let (to, records) = (part.clone(), vec![(None, value)]);
    let append = Append { part: to, records, expected_end, purpose: Use::Claim };
    match shared.append(append).await {
        Ok(appended) => {
            if claim.renews.is_none() {
                log::info!(
                    "lease of {} granted, fence {}",
                    shared.settings.domain,
                    appended.offset
                );
            }
            office.borrow_mut().tenure.granted(sent, appended.offset, &claim, terms);
        }
        Err(Fault::Moved(_)) => {
            // Whose claim came first, or whether it was one of this
            // instance's whose answer was lost, is read next.
            read(shared, part, office).await;
        }
        Err(fault) => {
            log::info!("claiming the lease: {fault}");
            sleep(CLAIM_RETRY).await;
        }
    }
}

/// This instance's place among its failure domain's, so that challenges do
/// not all come at once.
fn rank(shared: &Shared) -> u64 {
    xxhash_rust::xxh3::xxh3_64(shared.me.as_bytes()) % 8
}
