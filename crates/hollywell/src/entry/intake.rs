//! Reads the bodies of callers' requests into memory that is accounted for.
//!
//! A body is charged before memory is taken: by its announced length, so that
//! one that is begun can be finished, else as it grows. Where there is no room,
//! a body that is stalled is given up for the new one; without any, the new one
//! is refused at once. It is not left unread instead: what the kernel has
//! received counts as the instance's memory too, and another instance may have
//! room.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout;

use crate::{
    core::{callers::Phase, time::Time},
    entry::{account::Charge, connection::Connection, shared::Shared},
    error::Kind,
};

/// Initial capacity for a body without an announced length, in bytes. It is
/// doubled as the body grows.
const INITIAL_CAPACITY: usize = 8 << 10;
/// Longest wait for a body that was given up to release its memory.
const RELEASE_WAIT: Duration = Duration::from_millis(100);

/// Reads a body of at most `limit` bytes that has to be complete at `deadline`.
///
/// # Errors
///
/// [`Kind::TooLarge`], [`Kind::NoMemory`], [`Kind::ReceiveTimeout`], or
/// [`Kind::Malformed`] if the body is not valid.
pub(super) async fn read(
    shared: &Rc<Shared>,
    connection: &Rc<Connection>,
    body: Incoming,
    limit: usize,
    deadline: Time,
) -> Result<Bytes, Kind> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    connection.enter(Phase::Body);
    let left = Duration::from_millis(deadline.since(shared.now()));
    let complete = timeout(left, collect(shared, connection, body, limit));
    let read = tokio::select! {
        biased;
        () = connection.body_given_up() => Err(Kind::NoMemory),
        read = complete => read.unwrap_or(Err(Kind::ReceiveTimeout)),
    };
    connection.enter(Phase::Serving);
    connection.has_unread_body.set(read.is_err());
    if let Err(kind) = read {
        shared.meters.bodies_refused.with_label_values(&[kind.as_str()]).inc();
    }
    read
}

async fn collect(
    shared: &Rc<Shared>,
    connection: &Connection,
    mut body: Incoming,
    limit: usize,
) -> Result<Bytes, Kind> {
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(Kind::TooLarge);
    }
    let announced = hint.exact().and_then(|length| usize::try_from(length).ok());
    let mut buffer = Buffer { bytes: Vec::new(), charge: Charge::new(&shared.request_memory) };
    if let Some(length) = announced {
        buffer.reserve(shared, connection, length).await?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            log::info!("a request body ended early: {error}");
            Kind::Malformed
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = buffer.bytes.len() + data.len();
        if length > limit {
            return Err(Kind::TooLarge);
        }
        if length > buffer.bytes.capacity() {
            let doubled = (2 * buffer.bytes.capacity()).max(INITIAL_CAPACITY);
            buffer.reserve(shared, connection, doubled.min(limit).max(length)).await?;
        }
        buffer.bytes.extend_from_slice(&data);
    }
    Ok(buffer.charge.attach(buffer.bytes))
}

/// A body that is being read, and its charge.
struct Buffer {
    bytes: Vec<u8>,
    charge: Charge,
}

impl Buffer {
    /// Enlarges the capacity. While the bytes are copied, both buffers are held.
    async fn reserve(
        &mut self,
        shared: &Rc<Shared>,
        connection: &Connection,
        capacity: usize,
    ) -> Result<(), Kind> {
        take(shared, connection, &mut self.charge, capacity).await?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.charge.shrink_to(capacity);
        Ok(())
    }
}

/// Takes memory for a request, and gives up the bodies of stalled connections
/// for it.
///
/// # Errors
///
/// [`Kind::NoMemory`].
pub(super) async fn take(
    shared: &Rc<Shared>,
    connection: &Connection,
    charge: &mut Charge,
    more: usize,
) -> Result<(), Kind> {
    loop {
        let released = shared.request_memory.released();
        if charge.try_grow(more) {
            return Ok(());
        }
        if !shared.callers.give_up_body(shared.now(), connection) {
            log::info!(
                "no room for {more} bytes of a request: {} of {} bytes are in use",
                shared.request_memory.used(),
                shared.request_memory.limit()
            );
            return Err(Kind::NoMemory);
        }
        // If nothing is released in time, another body is given up.
        let _in_time = timeout(RELEASE_WAIT, released).await;
    }
}
