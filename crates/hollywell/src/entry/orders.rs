//! Orders to engines: the lease on one failure domain and the calls.
//!
//! Each order is given under a report just read: it names how many orders
//! the engine has accepted, so that one that is carried out late, after a
//! newer one, does nothing.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::time::{Instant, sleep};

use crate::{
    core::{
        roll::{self, Order, Step},
        roster,
    },
    entry::{
        codec::VersionOrder,
        lease::Lease,
        news::{self, News},
        shared::{Shared, World},
        store::Part,
    },
};

/// The topic of leases, one partition for each failure domain.
const LEASES: &str = "leases";
/// Instances of a failure domain that compete for its lease. Each reads it all
/// the time, and the store's rate is everybody's.
const CANDIDATES: usize = 4;
/// Time between looks at what is to be ordered.
const TICK: Duration = Duration::from_millis(100);
/// A look takes one part of the time in so many at most: it grows with the
/// engines, and whoever looks serves callers too.
const LOOK_PART: u32 = 5;
/// Time that one call to an engine may take.
const CALL: Duration = Duration::from_millis(600);
/// First look whether a load is done; it takes 0.9 s alone.
const LOADED: Duration = Duration::from_millis(920);
/// Time between later looks.
const LOADED_PAUSE: Duration = Duration::from_millis(300);
/// Later looks.
const LOADED_LOOKS: u32 = 6;
/// Largest report.
const REPORT_BYTES: usize = 1 << 20;

struct Office {
    lease: Rc<Lease>,
    roll: RefCell<roll::State>,
}

/// Competes for the failure domain's lease and gives orders while it is
/// held.
pub async fn serve(shared: Rc<Shared>) {
    let domain = shared.settings.domain.clone();
    let number = shared.settings.domains.iter().position(|name| *name == domain);
    let part = Part::at(LEASES, number.unwrap_or_default());
    let lease = Lease::new(&shared, part, &domain);
    tokio::task::spawn_local(lease.clone().keep(shared.clone(), is_candidate));
    let office = Rc::new(Office { lease, roll: RefCell::default() });
    let mut pause = TICK;
    loop {
        sleep(pause).await;
        let started = Instant::now();
        if !shared.world.borrow().stopping {
            give(&shared, &office, &domain);
        }
        pause = TICK.max(started.elapsed() * LOOK_PART);
    }
}

/// Whether this instance competes for its failure domain's lease.
fn is_candidate(shared: &Shared) -> bool {
    let world = shared.world.borrow();
    let domain = roster::domain(&shared.me);
    let all = roster::candidates(world.roster.members(), domain, LEASES, CANDIDATES);
    // Before the members are known, everybody does.
    all.is_empty() || all.contains(&shared.me.as_str())
}

fn give(shared: &Rc<Shared>, office: &Rc<Office>, domain: &str) {
    let now = shared.now();
    if !office.lease.is_held() {
        return;
    }
    {
        let world = shared.world.borrow();
        office.lease.want(roll::is_due(domain, &world.models, &world.fleet));
    }
    // Orders may be given only if a call started now ends within the lease.
    if office.lease.fence(shared, CALL).is_none() {
        return;
    }
    let orders = {
        let world = &mut *shared.world.borrow_mut();
        world.models.steps = steps(world);
        let mut roll = office.roll.borrow_mut();
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

async fn carry_out(shared: Rc<Shared>, office: Rc<Office>, order: Order) {
    let Some(report) = report(&shared, &order.target).await else {
        office.roll.borrow_mut().failed(&order.target);
        return;
    };
    note(&shared, &order, &report);
    let has = report.versions.get(&order.model).copied();
    if has >= Some(order.version) {
        return;
    }
    if !report.busy {
        let Some(fence) = office.lease.fence(&shared, CALL) else {
            return;
        };
        let asked = VersionOrder {
            model: order.model.clone(),
            version: order.version,
            holder: shared.me.clone(),
            fence,
            expected: report.orders,
        };
        let (path, body) = (shared.codec.order)(&asked);
        office.lease.used(&shared);
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
            office.roll.borrow_mut().failed(&order.target);
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
    office.roll.borrow_mut().failed(&order.target);
}

fn note(shared: &Shared, order: &Order, report: &crate::entry::codec::Report) {
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

async fn report(shared: &Rc<Shared>, target: &str) -> Option<crate::entry::codec::Report> {
    let path = shared.codec.report_path;
    let (status, body) = call(shared, target, http::Method::GET, path, Bytes::new()).await?;
    if !status.is_success() {
        return None;
    }
    match (shared.codec.report)(&body) {
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
        .header(&shared.codec.headers.target, target)
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
    let body = answer.read_body(REPORT_BYTES, CALL).await.ok()?;
    Some((status, body))
}
