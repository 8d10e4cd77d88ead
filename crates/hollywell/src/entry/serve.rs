//! Runs an entry instance on a platform, from start to shutdown.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    path::Path,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use nix::sys::resource::{Resource, getrlimit};
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
    task::LocalSet,
};

use crate::{
    account::Account,
    clock::Clock,
    core::{
        append_queue::Queues,
        availability::Availability,
        capacity,
        choice::Observations,
        dispatch, ending,
        fleet::Fleet,
        group::GroupSize,
        hedge,
        inquiry::Inquiry,
        instances::Instances,
        interest::Interest,
        machine::{Limits, Machine},
        memory::Memory,
        poison,
        relay::Following,
        reserve,
        roster::Roster,
        shutdown::Shutdown,
        throttle::Throttle,
        time::Time,
    },
    entry::{
        self, calls,
        codec::Codec,
        configuration, confirm,
        connection::{self, Connections, OpenConnections},
        departures, duties, ends,
        exchange::Pool,
        feed::Feed,
        follow, garbage, hints, ingress, instances, interest,
        jobs::WaitingReads,
        listener, member,
        meters::Meters,
        orders, outbox, peers,
        reader::Reader,
        relay::{self, Relay},
        reload,
        settings::{Settings, Store},
        shared::{Control, JOB_PARTITIONS, JobPartition, Shared},
        store::Client,
        submission, suspects,
        unidentified_ends::{self, UnidentifiedEnds},
        usage,
    },
};

/// Time between ticks of the reducer, which bounds how late a stalled stream is
/// detected.
const TICK: Duration = Duration::from_millis(50);
/// Time between saves of partial texts.
const SAVE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of new events after which a text is saved. Half of all samples are
/// complete before that, and a crash of an instance loses half a second of
/// work. With 16 events, steps during which an instance was lost ended 0.3 s
/// later.
const SAVE_EVENTS: u64 = 10;
/// Time between sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for the load balancer to see that a stopping instance is not ready: two
/// health checks, one per second, and the requests that overlap with them.
const DRAIN_TIME: Duration = Duration::from_millis(2_300);

/// What an adapter provides for its platform.
#[derive(Clone, Copy, Debug)]
pub struct Adapter {
    /// The platform's names and formats.
    pub codec: fn() -> Codec,
    /// Creates the store's client, which uses the given connection pool.
    pub store: fn(Rc<Pool>, &Store) -> Client,
    /// The path at which the platform put the settings file.
    pub settings_path: fn() -> Option<std::path::PathBuf>,
}

/// Runs an instance until it is told to stop.
///
/// # Errors
///
/// If a listener cannot be bound.
pub fn run(
    adapter: &Adapter,
    settings: Settings,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(adapter, settings, path))
}

fn new_shared(adapter: &Adapter, settings: Settings) -> prometheus::Result<Rc<Shared>> {
    let incarnation = crate::entry::shared::unix_ms();
    let domain = settings.domains.iter().position(|name| *name == settings.domain);
    let link = Some(settings.link_mbps).filter(|mbps| *mbps > 0);
    let link = link.map(|mbps| format!("*{mbps}")).unwrap_or_default();
    let domain = domain.map(|number| format!("+{number}{link}")).unwrap_or_default();
    let instance_id =
        format!("{}@{}{domain}/{incarnation:x}", settings.name, settings.peer_address);
    let writer_id =
        format!("{:08x}", xxhash_rust::xxh3::xxh3_64(instance_id.as_bytes()) & u64::from(u32::MAX));
    let parts = JOB_PARTITIONS.min(settings.store.parts).max(1) as usize;
    let room_bytes = settings.store.room_bytes;
    let clock = Clock::start();
    let control = Control {
        configuration: None,
        configuration_read_at: None,
        configuration_read_by: String::new(),
        fleet: Fleet::default(),
        observations: Observations::default(),
        hedges: hedge::State::default(),
        dispatch: dispatch::State::new(&instance_id).in_domain(&settings.domain),
        ending: ending::State::new(&instance_id),
        presumed_ends: BTreeMap::new(),
        inquiry: Inquiry::default(),
        active_at: clock.now(),
        instances: Instances::new(&instance_id),
        interest: Interest::new(&instance_id, parts),
        poison: poison::State::default(),
        poison_loaded: false,
        capacity: capacity::State::new(room_bytes - reserve::bytes(room_bytes))
            .with_retention(settings.store.retention_ms()),
        throttle: Throttle::default(),
        append_queues: Queues::default(),
        other_logs: std::collections::HashMap::new(),
        following: Following::default(),
        partitions: (0..parts).map(|_| JobPartition::default()).collect(),
        models: crate::core::weight_loading::Models::default(),
        partial_texts: std::collections::HashMap::new(),
        bundles: std::collections::HashMap::new(),
        runs: std::collections::HashMap::new(),
        unopened_jobs: vec![],
        roster: Roster::new(&instance_id),
        group_size: GroupSize::default(),
        availability: Availability::default(),
        fleet_loaded: false,
        shutdown: None,
    };
    let limits = limits(settings.machine);
    let caller_memory = Account::new(limits.caller_memory());
    let codec = (adapter.codec)();
    let pool = Pool::checking(codec.headers.request_id.clone());
    let meters = Meters::new()?;
    let store = (adapter.store)(pool.clone(), &settings.store);
    let clock = Clock::start();
    let store_answers = Rc::new(calls::Answers::new(clock));
    let counters = calls::Counters {
        calls: meters.store_calls_by_kind.clone(),
        read_bytes: meters.read_bytes.clone(),
    };
    let store = calls::recorded(store, counters, &store_answers);
    Ok(Rc::new(Shared {
        meters,
        codec,
        reader: Rc::new(Reader::new(store.clone())),
        store_answers,
        feed: Feed::default(),
        relay: Relay::default(),
        store,
        pool,
        request_memory: Account::within(&caller_memory, Memory::new(limits.request_bytes)),
        response_memory: Account::within(&caller_memory, Memory::new(limits.response_bytes)),
        caller_memory,
        limits,
        callers: Connections::new(limits.connections),
        clock,
        instance_id,
        writer_id,
        keys_issued: Cell::new(0),
        control: RefCell::new(control),
        inquiry_restarted: Notify::new(),
        configuration_read: Notify::new(),
        unidentified_ends: UnidentifiedEnds::default(),
        group_changed: Notify::new(),
        membership: member::Membership::default(),
        end_without_space: Notify::new(),
        reserve: entry::reserve::Reserve::default(),
        job_accepted: (0..parts).map(|_| Notify::new()).collect(),
        result_waiters: (0..parts).map(|_| Cell::new(0)).collect(),
        waiting_reads: WaitingReads::new(limits.waiting_reads),
        partition_changed: (0..parts).map(|_| Notify::new()).collect(),
        producers: entry::producers::Producers::default(),
        outbox: (0..parts).map(|_| outbox::Outbox::default()).collect(),
        text_cache: Rc::default(),
        probe_permits: RefCell::default(),
        unanswered: RefCell::default(),
        confirmations: confirm::Confirmations::default(),
        usage: usage::Usage::default(),
        unsaved_suspects: suspects::UnsavedSuspects::default(),
        orphans: RefCell::default(),
        stop: watch::channel(false).0,
        settings,
    }))
}

/// The limits of a machine. Descriptors may be limited further by the system.
fn limits(machine: Machine) -> Limits {
    let descriptors = match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _)) => usize::try_from(soft).unwrap_or(usize::MAX).min(machine.descriptors),
        Err(error) => {
            log::warn!("the limit on open descriptors is not known: {error}");
            machine.descriptors
        }
    };
    Machine { descriptors, ..machine }.limits()
}

async fn serve(
    adapter: &Adapter,
    settings: Settings,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let shared = new_shared(adapter, settings)?;
    let settings = &shared.settings;
    let callers = TcpListener::bind(settings.listen).await?;
    let ready = TcpListener::bind(settings.ready_listen).await?;
    let metrics = TcpListener::bind(settings.metrics_listen).await?;
    let peer_listener = TcpListener::bind(settings.peer_listen).await?;
    log::info!(
        "{} listens on {}, settings {}",
        shared.instance_id,
        settings.listen,
        path.display()
    );
    let open = Rc::new(OpenConnections::default());
    let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
    // In the order in which a starting instance reads from the store: data that
    // is small and needed for every request before the jobs.
    spawn(Box::pin(follow::commands(shared.clone())));
    spawn(Box::pin(configuration::serve(shared.clone())));
    spawn(Box::pin(follow::targets(shared.clone())));
    spawn(Box::pin(departures::serve(shared.clone())));
    spawn(Box::pin(hints::serve(shared.clone())));
    spawn(Box::pin(suspects::serve(shared.clone())));
    spawn(Box::pin(suspects::save(shared.clone())));
    for part in 0..shared.partition_changed.len() {
        spawn(Box::pin(follow::jobs(shared.clone(), part)));
    }
    spawn(Box::pin(member::heartbeat(shared.clone())));
    spawn(Box::pin(member::follow_members(shared.clone())));
    spawn(Box::pin(instances::serve(shared.clone())));
    spawn(Box::pin(orders::serve(shared.clone())));
    spawn(Box::pin(usage::store_counts(shared.clone())));
    spawn(Box::pin(duties::serve(shared.clone())));
    spawn(Box::pin(garbage::serve(shared.clone())));
    spawn(Box::pin(peers::serve(shared.clone(), peer_listener)));
    spawn(Box::pin(ends::tick(shared.clone())));
    spawn(Box::pin(ends::learn(shared.clone())));
    spawn(Box::pin(interest::settle(shared.clone())));
    spawn(Box::pin(entry::capacity::serve(shared.clone())));
    spawn(Box::pin(entry::reserve::serve(shared.clone())));
    spawn(Box::pin(entry::traffic::serve(shared.clone())));
    spawn(Box::pin(reload::serve(shared.clone(), path.to_owned())));
    spawn(Box::pin(tick(shared.clone())));
    spawn(Box::pin(save(shared.clone())));
    spawn(Box::pin(serve_constant(shared.clone(), ready, ingress::ready)));
    spawn(Box::pin(serve_constant(shared.clone(), metrics, ingress::metrics)));
    spawn(Box::pin(connection::serve(shared.clone(), callers, open.clone())));
    crate::serve::shutdown_signal().await?;
    stop(&shared, &open).await;
    Ok(())
}

async fn stop(shared: &Rc<Shared>, open: &OpenConnections) {
    log::info!("stopping");
    let grace_ms = u64::try_from(shared.settings.times.grace.as_millis()).unwrap_or(u64::MAX);
    let shutdown = Shutdown::new(shared.now(), grace_ms);
    {
        let mut control = shared.control.borrow_mut();
        control.shutdown = Some(shutdown);
        control.roster.leave();
    }
    shared.stop.send_replace(true);
    ends::hand_over(shared);
    unidentified_ends::hand_over(shared);
    // Calls of the store, each with a timeout of its own: together they may take
    // longer than the grace period.
    let leaving = tokio::task::spawn_local(leave(shared.clone(), shutdown.served_until()));
    let drain_deadline = tokio::time::Instant::now() + DRAIN_TIME;
    let mut is_half_reported = false;
    while shared.now() < shutdown.exit_by() {
        // Doesn't wait for samples in flight: other instances resume them from
        // their saved texts.
        let waits_for = waits_for(shared, open, leaving.is_finished());
        if waits_for.is_empty() && tokio::time::Instant::now() >= drain_deadline {
            break;
        }
        if !is_half_reported && shared.now() >= shutdown.half() {
            is_half_reported = true;
            log::info!("still stopping after half of the grace period: {}", waits_for.join(", "));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let left = waits_for(shared, open, leaving.is_finished());
    if !left.is_empty() {
        log::warn!("stopped before the end of: {}", left.join(", "));
    }
    log::info!("stopped: {} connections open", open.count());
}

/// Saves texts until `save_by`, then leaves the group: its other members resume
/// the samples from the saved texts.
async fn leave(shared: Rc<Shared>, save_by: Time) {
    let save_time = Duration::from_millis(save_by.since(shared.now()));
    if tokio::time::timeout(save_time, outbox::save_partials(&shared, 1)).await.is_err() {
        log::warn!("texts of samples are not saved within {save_time:?}");
    }
    if let Err(fault) = member::leave(&shared).await {
        log::warn!("failed to leave the group: {fault}");
    }
}

/// What a stopping instance has yet to do.
fn waits_for(shared: &Shared, open: &OpenConnections, has_left: bool) -> Vec<String> {
    let mut left = Vec::new();
    if open.count() > 0 {
        left.push(format!("{} connections", open.count()));
    }
    if !ends::are_handed_over(shared) || !unidentified_ends::are_handed_over(shared) {
        left.push(String::from("ends of jobs"));
    }
    if !has_left {
        left.push(String::from("saving texts and leaving the group"));
    }
    left
}

async fn tick(shared: Rc<Shared>) {
    let mut last_sweep = tokio::time::Instant::now();
    loop {
        tokio::time::sleep(TICK).await;
        let now = shared.now();
        {
            let control = &mut *shared.control.borrow_mut();
            control.fleet.expire(now);
            for (id, address) in control.fleet.apply_late(now) {
                log::warn!("entries of {id} that seemed out of date are its newest, and hold");
                shared.reset_target(control, &id, address);
            }
        }
        shared.handle_event(&dispatch::Event::Tick);
        if last_sweep.elapsed() > SWEEP_INTERVAL {
            last_sweep = tokio::time::Instant::now();
            shared.pool.sweep();
            submission::set_aside_kept(&shared);
            shared.callers.close_overdue(&shared);
            shared.relay.expire(now);
            relay::update_holder(&shared);
            relay::take_missing(&shared);
            suspects::expire(&shared);
        }
    }
}

/// Regularly saves the texts of long samples to the store, so that another
/// instance that takes them over can resume.
async fn save(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(SAVE_INTERVAL).await;
        outbox::save_partials(&shared, SAVE_EVENTS).await;
    }
}

/// Serves a listener that gives the same response to every request: readiness
/// or metrics.
async fn serve_constant(
    shared: Rc<Shared>,
    listener: TcpListener,
    answer: fn(&Shared) -> hyper::Response<Full<Bytes>>,
) {
    let limit = shared.limits.monitor_connections;
    let respond = async move |shared: &Rc<Shared>, _: hyper::Request<Incoming>| answer(shared);
    listener::serve(shared, listener, limit, respond).await;
}
