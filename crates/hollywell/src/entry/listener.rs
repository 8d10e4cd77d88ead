//! Listeners for others than callers: peers and monitors. Each has a limit on
//! connections; beyond it, the one without a request for longest makes room.

use std::{cell::RefCell, collections::HashMap, convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::sleep,
};

use crate::{
    core::{
        callers::{Callers, Id, Phase},
        machine::SHORT_BUFFER_BYTES,
    },
    entry::shared::Shared,
};

/// Idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

struct Connections {
    shared: Rc<Shared>,
    state: RefCell<Callers>,
    closes: RefCell<HashMap<Id, Rc<Notify>>>,
}

impl Connections {
    /// Adds a connection; `None` if all that there may be are being served.
    fn open(&self) -> Option<(Id, Rc<Notify>)> {
        let now = self.shared.now();
        let mut state = self.state.borrow_mut();
        if state.is_full() {
            let chosen = state.make_room(now)?;
            if let Some(close) = self.closes.borrow().get(&chosen) {
                close.notify_one();
            }
        }
        let id = state.open(now);
        let close = Rc::new(Notify::new());
        self.closes.borrow_mut().insert(id, close.clone());
        Some((id, close))
    }

    fn close(&self, id: Id) {
        self.state.borrow_mut().close(id);
        self.closes.borrow_mut().remove(&id);
    }

    fn enter(&self, id: Id, phase: Phase) {
        self.state.borrow_mut().enter(self.shared.now(), id, phase);
    }
}

/// Serves a listener with at most `limit` connections until the process ends.
pub(super) async fn serve<R>(shared: Rc<Shared>, listener: TcpListener, limit: usize, respond: R)
where
    R: AsyncFn(&Rc<Shared>, Request<Incoming>) -> Response<Full<Bytes>> + Clone + 'static,
{
    let state = RefCell::new(Callers::new(limit));
    let connections = Rc::new(Connections { shared, state, closes: RefCell::default() });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some((id, close)) = connections.open() {
                    let (connections, respond) = (connections.clone(), respond.clone());
                    tokio::task::spawn_local(async move {
                        tokio::select! {
                            () = run(&connections, id, stream, respond) => {}
                            () = close.notified() => {}
                        }
                        connections.close(id);
                    });
                }
            }
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn run<R>(connections: &Rc<Connections>, id: Id, stream: TcpStream, respond: R)
where
    R: AsyncFn(&Rc<Shared>, Request<Incoming>) -> Response<Full<Bytes>> + Clone + 'static,
{
    let service = service_fn(|request| {
        let (connections, respond) = (connections.clone(), respond.clone());
        async move {
            connections.enter(id, Phase::Serving);
            let response = respond(&connections.shared, request).await;
            connections.enter(id, Phase::Idle);
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    builder.max_buf_size(SHORT_BUFFER_BYTES);
    // A message that has arrived is received although its sender has exited.
    builder.half_close(true);
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!("a connection ended: {error}");
    }
}
