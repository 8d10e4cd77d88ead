//! Orders to engines to load weights: the lease on one failure domain, and the
//! calls.
//!
//! An order is sent right after a report of the engine was read, and names the
//! number of orders that the engine had accepted by then. An order that arrives
//! late, after a newer one, therefore has no effect.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::time::{Instant, sleep};

use crate::{
    core::{
        roster,
        versions::Rule,
        weight_loading::{self, Order, Step},
    },
    entry::{
        codec::VersionOrder,
        hints::{self, Hint},
        lease::Lease,
        shared::{Control, Shared},
        store::Partition,
        versions,
    },
};

/// The topic of leases, one partition for each failure domain.
const LEASES: &str = "leases";
/// Instances of a failure domain that compete for its lease. Each of them reads
/// it continuously, and all instances share the store's rate of calls.
const CANDIDATES: usize = 4;
/// Minimum interval between checks for orders to send.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// A check takes at most one part in so many of the time. Its cost grows with
/// the number of engines, and the instance serves callers on the same thread.
const CHECK_SHARE: u32 = 5;
/// Timeout of a call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time until the first check whether a load is done; loading takes 0.9 s on an
/// otherwise idle engine.
const FIRST_LOAD_CHECK: Duration = Duration::from_millis(920);
/// Interval between later checks.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Number of checks.
const LOAD_CHECKS: u32 = 6;
/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

struct OrderIssuer {
    lease: Rc<Lease>,
    loading: RefCell<weight_loading::State>,
}

/// Competes for the failure domain's lease and sends orders while it is held.
pub async fn serve(shared: Rc<Shared>) {
    let domain = shared.settings.domain.clone();
    let number = shared.settings.domains.iter().position(|name| *name == domain);
    let part = Partition::at(LEASES, number.unwrap_or_default());
    let lease = Lease::new(&shared, part, &domain);
    tokio::task::spawn_local(lease.clone().maintain(shared.clone(), is_candidate));
    let issuer = Rc::new(OrderIssuer { lease, loading: RefCell::default() });
    let mut interval = TICK_INTERVAL;
    loop {
        sleep(interval).await;
        let started = Instant::now();
        if !shared.control.borrow().is_stopping() {
            issue_orders(&shared, &issuer, &domain);
        }
        interval = TICK_INTERVAL.max(started.elapsed() * CHECK_SHARE);
    }
}

/// Whether this instance competes for its failure domain's lease.
fn is_candidate(shared: &Shared) -> bool {
    let control = shared.control.borrow();
    let domain = roster::domain(&shared.instance_id);
    let all = roster::candidates(control.roster.members(), domain, LEASES, CANDIDATES);
    // Before the members are known, every instance does.
    all.is_empty() || all.contains(&shared.instance_id.as_str())
}

fn issue_orders(shared: &Rc<Shared>, issuer: &Rc<OrderIssuer>, domain: &str) {
    let now = shared.now();
    if !issuer.lease.is_held() {
        return;
    }
    {
        let control = shared.control.borrow();
        issuer.lease.set_wanted(weight_loading::has_due_load(
            domain,
            &control.models,
            &control.fleet,
        ));
    }
    // Orders may be sent only if a call started now ends within the lease.
    if issuer.lease.fencing_token(shared, CALL_TIMEOUT).is_none() {
        return;
    }
    let orders = {
        let control = &mut *shared.control.borrow_mut();
        control.models.steps = open_steps(shared, control);
        let mut loading = issuer.loading.borrow_mut();
        loading.step(now, domain, &control.models, &control.fleet, &control.observations)
    };
    for order in orders {
        tokio::task::spawn_local(execute(shared.clone(), issuer.clone(), order));
    }
}

/// The open steps by model.
fn open_steps(shared: &Shared, control: &Control) -> BTreeMap<String, Vec<Step>> {
    let mut steps: BTreeMap<String, Vec<Step>> = BTreeMap::new();
    let jobs = control.partitions.iter().flat_map(|partition| &partition.index.jobs);
    for (id, job) in jobs {
        if job.ended
            || job.is_complete()
            || control.ending.is_pending(id, &job.manifest.organisation)
        {
            continue;
        }
        let samples = (job.done.len() - job.results.len()) as u64;
        let Rule { min_version, single_version } = versions::rule(shared, control, id);
        let step = Step { min_version, samples, single_version };
        steps.entry(job.manifest.model.clone()).or_default().push(step);
    }
    steps
}

async fn execute(shared: Rc<Shared>, issuer: Rc<OrderIssuer>, order: Order) {
    let Some(report) = fetch_report(&shared, &order.target).await else {
        issuer.loading.borrow_mut().order_failed(&order.target);
        return;
    };
    apply_report(&shared, &order, &report);
    let loaded = report.versions.get(&order.model).copied();
    if loaded >= Some(order.version) {
        return;
    }
    if !report.busy {
        let Some(fence) = issuer.lease.fencing_token(&shared, CALL_TIMEOUT) else {
            return;
        };
        let version_order = VersionOrder {
            model: order.model.clone(),
            version: order.version,
            holder: shared.instance_id.clone(),
            fence,
            expected: report.orders,
            runs_finish: shared.control.borrow().models.lets_runs_finish(&order.model),
        };
        let (path, body) = (shared.codec.order)(&version_order);
        issuer.lease.record_use(&shared);
        let status = call(&shared, &order.target, http::Method::POST, path, body).await;
        let status = status.map(|(status, _)| status.as_u16());
        log::info!(
            "order to {}: {} from {loaded:?} to {}, fence {fence}, expects {}: {status:?}",
            order.target,
            order.model,
            order.version,
            report.orders
        );
        if status == Some(202) {
            let (shared, hint) = (shared.clone(), Hint::Loading(order.clone()));
            tokio::task::spawn_local(async move { hints::publish(&shared, &hint).await });
        }
        if !matches!(status, Some(200 | 202)) {
            // An order without a response may still be carried out; the next
            // report shows it.
            sleep(LOAD_CHECK_INTERVAL).await;
            issuer.loading.borrow_mut().order_failed(&order.target);
            return;
        }
    }
    sleep(FIRST_LOAD_CHECK).await;
    for _ in 0..LOAD_CHECKS {
        if let Some(report) = fetch_report(&shared, &order.target).await {
            apply_report(&shared, &order, &report);
            if report.versions.get(&order.model).copied() >= Some(order.version) {
                hints::publish(&shared, &Hint::Loaded(order)).await;
                return;
            }
        }
        sleep(LOAD_CHECK_INTERVAL).await;
    }
    issuer.loading.borrow_mut().order_failed(&order.target);
}

fn apply_report(shared: &Shared, order: &Order, report: &crate::entry::codec::Report) {
    let control = &mut *shared.control.borrow_mut();
    if control.fleet.record_start(&order.target, report.born)
        && let Some(address) =
            control.fleet.targets.get(&order.target).map(|t| t.announcement.address)
    {
        shared.reset_target(control, &order.target, address);
    }
    let born =
        control.fleet.targets.get(&order.target).and_then(|target| target.announcement.start_ms);
    for (model, version) in &report.versions {
        control.fleet.record_version(&order.target, born, model, *version);
    }
}

async fn fetch_report(shared: &Rc<Shared>, target: &str) -> Option<crate::entry::codec::Report> {
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
        let control = shared.control.borrow();
        control.fleet.targets.get(target).map(|target| target.announcement.address)
    }?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(&shared.codec.headers.target, target)
        .body(Full::new(body))
        .ok()?;
    let answer = match shared.pool.send(address, request, CALL_TIMEOUT).await {
        Ok(answer) => answer,
        Err(error) => {
            log::info!("call {path} to {target}: {error}");
            return None;
        }
    };
    let status = answer.head.status;
    let body = answer.read_body(MAX_REPORT_BYTES, CALL_TIMEOUT).await.ok()?;
    Some((status, body))
}
