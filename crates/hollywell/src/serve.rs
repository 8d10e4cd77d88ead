//! Runs an entry instance.

use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::watch,
};

use crate::{
    account::Account,
    clock::Clock,
    control::{self, Handle, Options, TICK},
    core::{event::Event, memory::Memory},
    metrics::Metrics,
    peer, platform,
    settings::Settings,
    traffic::{executor::Executor, server::Server},
    watchdog::Watchdog,
};

/// Runs an instance until SIGTERM or SIGINT and the end of its graceful shutdown.
///
/// On shutdown the instance hands over its duties and answers requests in flight
/// first, which may take as long as their deadlines allow.
///
/// # Errors
///
/// If a listener cannot be bound, or the trace file cannot be created.
pub fn run(settings: &Settings) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: &Settings) -> Result<(), Box<dyn std::error::Error>> {
    let clock = Clock::start();
    let metrics = Metrics::new()?;
    let listener = TcpListener::bind(settings.listen).await?;
    let peer_listener = peer::server::bind(settings.peer_listen).await?;
    let (control, effects) = control::start(Options {
        config: settings.config.clone(),
        queue: settings.limits.queue,
        trace: settings.trace.as_deref(),
        metrics: metrics.clone(),
        clock,
    })?;
    let platform = settings.platform.clone();
    let executor =
        Executor::new(control.clone(), clock, platform.clone(), &settings.limits, metrics.clone());
    let registry = executor.registry.clone();
    let (stop, stopping) = watch::channel(false);
    log::info!(
        "{} listens on {} and for peers on {}",
        settings.config.id,
        listener.local_addr()?,
        peer_listener.local_addr()?
    );

    tokio::spawn(executor.clone().run(effects));
    tokio::spawn(tick(control.clone()));
    tokio::spawn(platform::follow_log(platform.clone(), control.clone(), clock));
    tokio::spawn(platform::follow_list(platform.clone(), control.clone()));
    tokio::spawn(platform::follow_versions(platform.clone(), control.clone()));
    tokio::spawn(platform::follow_load(platform, control.clone()));
    let mut peer_stop = stopping.clone();
    let peers = tokio::spawn(peer::server::serve(
        peer_listener,
        control.clone(),
        registry.clone(),
        async move {
            let _ended = peer_stop.wait_for(|stop| *stop).await;
        },
    ));
    let watchdog = Watchdog::new(clock.now());
    tokio::spawn(watchdog.clone().run(clock));
    let server = Server {
        control: control.clone(),
        clock,
        registry,
        watchdog,
        limits: settings.limits,
        request_memory: Account::new(Memory::with_reserve(
            settings.limits.request_bytes,
            settings.limits.request_bytes / 4,
        )),
        metrics,
    };
    let callers = tokio::spawn(server.serve(listener, stopping));

    shutdown_signal().await?;
    log::info!("stopping");
    control.send(Event::Drain).await;
    executor.exited().await;
    stop.send_replace(true);
    callers.await?;
    peers.await??;
    log::info!("stopped");
    Ok(())
}

async fn tick(control: Handle) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // If the queue is full, the next tick does the work of this one.
        let _full = control.try_send(Event::Tick);
    }
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn shutdown_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
