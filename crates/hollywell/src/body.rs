//! Reads bodies into memory that is accounted for.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};

use crate::{account::Charge, error::Kind};

/// Initial capacity for a body without an announced length, in bytes. It is
/// doubled as the body grows.
const INITIAL_CAPACITY: usize = 8 << 10;

/// Part of its length by which a body that is collected grows at least, as a
/// divisor.
const GROWTH_DIVISOR: usize = 8;

/// Appends to a body that is collected. A vector that doubles would take up to
/// three times the bytes that are accounted for while it grows.
pub(crate) fn append(body: &mut Vec<u8>, data: &[u8]) {
    if body.capacity() - body.len() < data.len() {
        body.reserve_exact(data.len().max(body.len() / GROWTH_DIVISOR));
    }
    body.extend_from_slice(data);
}

/// Reads a body of at most `limit` bytes. `take` charges memory before it is
/// used: for the announced length if there is one, else as the body grows. The
/// charge is released with the last copy of the bytes.
///
/// # Errors
///
/// [`Kind::TooLarge`], [`Kind::Malformed`] if the body is not valid, or the error
/// of `take`.
pub(crate) async fn collect(
    mut body: Incoming,
    limit: usize,
    charge: Charge,
    mut take: impl AsyncFnMut(&mut Charge, usize) -> Result<(), Kind>,
) -> Result<Bytes, Kind> {
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(Kind::TooLarge);
    }
    let mut buffer = Buffer { bytes: Vec::new(), charge };
    if let Some(length) = hint.exact().and_then(|length| usize::try_from(length).ok()) {
        buffer.reserve(length, &mut take).await?;
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
            buffer.reserve(doubled.min(limit).max(length), &mut take).await?;
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
        capacity: usize,
        take: &mut impl AsyncFnMut(&mut Charge, usize) -> Result<(), Kind>,
    ) -> Result<(), Kind> {
        take(&mut self.charge, capacity).await?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.charge.shrink_to(capacity);
        Ok(())
    }
}
