//! Reads a target's stream of events.
//!
//! What a faulty target sends need not contain an event, and need not end. Both
//! the size of an event and the time until it is complete are limited, however
//! many bytes arrive meanwhile.

use std::time::Duration;

use tokio::time::timeout;

use crate::entry::{
    exchange::{Error, IncomingResponse},
    lines::EventSplitter,
};

/// Maximum size of an event, in bytes. Events have a few tokens each.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A response that is a stream of events. Dropping it closes the connection,
/// unless the stream was read to its end.
#[derive(Debug)]
pub struct EventStream {
    response: IncomingResponse,
    splitter: EventSplitter,
    event_timeout: Duration,
}

impl EventStream {
    /// Reads the body of a response, of which each event has to be complete
    /// within `event_timeout` of the one before.
    #[must_use]
    pub fn new(response: IncomingResponse, event_timeout: Duration) -> EventStream {
        EventStream { response, splitter: EventSplitter::default(), event_timeout }
    }

    /// Reads the next event; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if the connection is closed before the end of the body,
    /// or an event is incomplete at the end or too long; [`Error::TimedOut`].
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, Error> {
        timeout(self.event_timeout, self.read()).await.map_err(|_| Error::TimedOut)?
    }

    async fn read(&mut self) -> Result<Option<Vec<u8>>, Error> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Ok(Some(event));
            }
            if self.splitter.len() > MAX_EVENT_BYTES {
                let why = format!("an event is longer than {MAX_EVENT_BYTES} bytes");
                return Err(Error::Broken(why));
            }
            match self.response.chunk().await? {
                Some(data) => self.splitter.push(&data),
                None if self.splitter.is_empty() => return Ok(None),
                None => return Err(Error::Broken(String::from("the stream ends within an event"))),
            }
        }
    }
}
