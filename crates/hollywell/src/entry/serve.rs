//! One entry instance on a platform, from its settings to its end.

use std::{
    cell::{Cell, RefCell},
    path::Path,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
    task::LocalSet,
};

use crate::{
    clock::Clock,
    core::{
        capacity, choice::Observations, dispatch, ending, fleet::Fleet, group::GroupSize, poison,
        roster::Roster,
    },
    entry::{
        self,
        codec::Codec,
        configuration, duties, ends,
        exchange::Pool,
        feed::Feed,
        follow, garbage, hints, ingress, member,
        meters::Meters,
        orders, outbox, peers,
        reader::Reader,
        relay::Relay,
        reload,
        settings::{Settings, Store},
        shared::{Control, JOB_PARTS, JobPartition, Shared},
        store::Client,
        suspects,
        texts::TextCache,
        usage,
    },
};

/// Time between ticks of the reducer: how late a silent stream is noticed.
const TICK: Duration = Duration::from_millis(50);
/// Time between looks for texts that have grown.
const SAVE: Duration = Duration::from_millis(200);
/// Events by which a text has grown when it is kept: half of all samples are
/// whole before that, and what is lost with an instance is half a second's
/// work. With 16, steps that lost an instance ended 0.3 s later.
const SAVE_EVENTS: u64 = 10;
/// Time between sweeps of kept connections.
const SWEEP: Duration = Duration::from_millis(1_000);
/// Share of the grace after which a stopping instance exits whatever is
/// still open.
const GRACE_SHARE: f64 = 0.9;
/// Time for the balancer to see that a stopping instance is not ready: two
/// questions, one a second, and what crosses them.
const DRAIN: Duration = Duration::from_millis(2_300);

/// What an adapter brings.
#[derive(Clone, Copy, Debug)]
pub struct Adapter {
    /// How the platform spells things.
    pub codec: fn() -> Codec,
    /// The store's client, over the given connections.
    pub store: fn(Rc<Pool>, &Store) -> Client,
    /// Where the platform put the settings file.
    pub settings_path: fn() -> Option<std::path::PathBuf>,
}

/// Runs an instance until it is asked to stop.
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

fn share(adapter: &Adapter, settings: Settings) -> prometheus::Result<Rc<Shared>> {
    let incarnation = crate::entry::shared::unix_ms();
    let domain = settings.domains.iter().position(|name| *name == settings.domain);
    let link = Some(settings.link_mbps).filter(|mbps| *mbps > 0);
    let link = link.map(|mbps| format!("*{mbps}")).unwrap_or_default();
    let domain = domain.map(|number| format!("+{number}{link}")).unwrap_or_default();
    let me = format!("{}@{}{domain}/{incarnation:x}", settings.name, settings.peer_listen);
    let writer = format!("{:08x}", xxhash_rust::xxh3::xxh3_64(me.as_bytes()) & u64::from(u32::MAX));
    let parts = JOB_PARTS.min(settings.store.parts).max(1) as usize;
    let control = Control {
        configuration: None,
        configuration_read_at: None,
        fleet: Fleet::default(),
        observations: Observations::default(),
        dispatch: dispatch::State::new(&me).in_domain(&settings.domain),
        ending: ending::State::new(&me),
        poison: poison::State::default(),
        poison_loaded: false,
        capacity: capacity::State::new(settings.store.room_bytes),
        other_logs: std::collections::HashMap::new(),
        partitions: (0..parts).map(|_| JobPartition::default()).collect(),
        models: crate::core::weight_loading::Models::default(),
        partial_texts: std::collections::HashMap::new(),
        bundles: std::collections::HashMap::new(),
        runs: std::collections::HashMap::new(),
        unopened_jobs: vec![],
        roster: Roster::new(&me),
        group_size: GroupSize::default(),
        store_failing_since: None,
        fleet_loaded: false,
        stopping: false,
    };
    let pool = Pool::new();
    let store = (adapter.store)(pool.clone(), &settings.store);
    Ok(Rc::new(Shared {
        meters: Meters::new()?,
        codec: (adapter.codec)(),
        reader: Reader::new(store.clone()),
        feed: Feed::default(),
        relay: Relay::default(),
        store,
        pool,
        clock: Clock::start(),
        instance_id: me,
        writer_id: writer,
        keys_issued: Cell::new(0),
        control: RefCell::new(control),
        configuration_read: Notify::new(),
        group_changed: Notify::new(),
        membership: member::Membership::default(),
        job_accepted: (0..parts).map(|_| Notify::new()).collect(),
        result_waiters: (0..parts).map(|_| Cell::new(0)).collect(),
        partition_changed: (0..parts).map(|_| Notify::new()).collect(),
        outbox: (0..parts).map(|_| outbox::Outbox::default()).collect(),
        text_cache: TextCache::default(),
        probe_permits: RefCell::default(),
        usage: usage::Usage::default(),
        unsaved_suspects: suspects::UnsavedSuspects::default(),
        orphans: garbage::Orphans::default(),
        stop: watch::channel(false).0,
        settings,
    }))
}

async fn serve(
    adapter: &Adapter,
    settings: Settings,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let shared = share(adapter, settings)?;
    let settings = &shared.settings;
    let front = TcpListener::bind(settings.listen).await?;
    let ready = TcpListener::bind(settings.ready_listen).await?;
    let metrics = TcpListener::bind(settings.metrics_listen).await?;
    let peer_listener = TcpListener::bind(settings.peer_listen).await?;
    log::info!(
        "{} listens on {}, settings {}",
        shared.instance_id,
        settings.listen,
        path.display()
    );
    let open = Rc::new(ingress::OpenRequests::default());
    let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
    // In the order in which they are read from the store at a start: what is
    // small and needed for every request before the jobs.
    spawn(Box::pin(follow::commands(shared.clone())));
    spawn(Box::pin(configuration::serve(shared.clone())));
    spawn(Box::pin(follow::targets(shared.clone())));
    spawn(Box::pin(hints::serve(shared.clone())));
    spawn(Box::pin(suspects::serve(shared.clone())));
    spawn(Box::pin(suspects::save(shared.clone())));
    for part in 0..shared.partition_changed.len() {
        spawn(Box::pin(follow::jobs(shared.clone(), part)));
    }
    spawn(Box::pin(member::heartbeat(shared.clone())));
    spawn(Box::pin(member::follow_members(shared.clone())));
    spawn(Box::pin(orders::serve(shared.clone())));
    spawn(Box::pin(usage::store_counts(shared.clone())));
    spawn(Box::pin(duties::serve(shared.clone())));
    spawn(Box::pin(garbage::serve(shared.clone())));
    spawn(Box::pin(peers::serve(shared.clone(), peer_listener)));
    spawn(Box::pin(ends::tick(shared.clone())));
    spawn(Box::pin(entry::capacity::serve(shared.clone())));
    spawn(Box::pin(reload::serve(shared.clone(), path.to_owned())));
    spawn(Box::pin(tick(shared.clone())));
    spawn(Box::pin(save(shared.clone())));
    spawn(Box::pin(answer_always(shared.clone(), ready, ingress::ready)));
    spawn(Box::pin(answer_always(shared.clone(), metrics, ingress::metrics)));
    spawn(Box::pin(ingress::serve(shared.clone(), front, open.clone())));
    crate::serve::shutdown_signal().await?;
    stop(&shared, &open).await;
    Ok(())
}

async fn stop(shared: &Rc<Shared>, open: &ingress::OpenRequests) {
    log::info!("stopping: {} requests open", open.count());
    let end = tokio::time::Instant::now() + shared.settings.times.grace.mul_f64(GRACE_SHARE);
    {
        let mut control = shared.control.borrow_mut();
        control.stopping = true;
        control.roster.leave();
    }
    shared.stop.send_replace(true);
    outbox::save_partials(shared, 1).await;
    if let Err(fault) = member::leave(shared).await {
        log::warn!("leaving the group: {fault}");
    }
    let drained = tokio::time::Instant::now() + DRAIN;
    while tokio::time::Instant::now() < end {
        // Samples in flight go on elsewhere after what was kept of them.
        if open.count() == 0 && tokio::time::Instant::now() >= drained {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    log::info!("stopped: {} requests open", open.count());
}

async fn tick(shared: Rc<Shared>) {
    let mut swept = tokio::time::Instant::now();
    loop {
        tokio::time::sleep(TICK).await;
        let now = shared.now();
        shared.control.borrow_mut().fleet.expire(now);
        shared.handle_event(&dispatch::Event::Tick);
        if swept.elapsed() > SWEEP {
            swept = tokio::time::Instant::now();
            shared.pool.sweep();
            shared.relay.expire(now);
            suspects::expire(&shared);
        }
    }
}

/// Keeps the texts of long samples in the store, so that whoever takes them
/// over does not begin anew.
async fn save(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(SAVE).await;
        outbox::save_partials(&shared, SAVE_EVENTS).await;
    }
}

/// Gives the same answer to whatever is asked at a listener: whether the
/// instance takes callers, or its metrics.
async fn answer_always(
    shared: Rc<Shared>,
    listener: TcpListener,
    answer: fn(&Shared) -> hyper::Response<Full<Bytes>>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a connection: {error}");
                tokio::time::sleep(TICK).await;
                continue;
            }
        };
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|_: hyper::Request<Incoming>| {
                let response = answer(&shared);
                async move { Ok::<_, std::convert::Infallible>(response) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("a connection ended: {error}");
            }
        });
    }
}
