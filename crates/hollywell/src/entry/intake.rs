//! Reads the bodies of callers' requests, and decides which are refused.
//!
//! A body is charged before memory is taken: by its announced length, so that
//! one that is begun can be finished, else as it grows. Where there is no room,
//! a body that is stalled is given up for the new one; without any, the new one
//! is refused at once. It is not left unread instead: what the kernel has
//! received counts as the instance's memory too, and another instance may have
//! room.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout;

use crate::{
    account::Charge,
    body,
    core::{callers::Phase, time::Time},
    entry::{connection::Connection, shared::Shared},
    error::Kind,
};

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
    // What never has room is too large.
    let limit = limit.min(shared.request_memory.limit());
    let left = Duration::from_millis(deadline.since(shared.now()));
    let charge = Charge::new(&shared.request_memory);
    let take = async |charge: &mut Charge, more| take(shared, connection, charge, more).await;
    let complete = timeout(left, body::collect(body, limit, charge, take));
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
                "no room for {more} bytes of a request: {} of {} bytes are in use by requests, {} of \
                 {} by all",
                shared.request_memory.used(),
                shared.request_memory.limit(),
                shared.caller_memory.used(),
                shared.caller_memory.limit()
            );
            return Err(Kind::NoMemory);
        }
        // If nothing is released in time, another body is given up.
        let _in_time = timeout(RELEASE_WAIT, released).await;
    }
}
