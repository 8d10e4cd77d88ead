//! The requests of samples. They are stored in bundles and read by the instance
//! that runs a sample.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use prost::Message as _;
use tokio::time::timeout;

use crate::{
    core::{
        batch::{self, Bundle, Sample, SampleMeta, Submission, TextRef},
        capacity::Purpose,
        dispatch::SampleId,
    },
    entry::{
        shared::{Shared, TEXTS},
        store::{Append, Partition, StoreError},
        submission::Attempt,
        texts,
    },
};

/// Attempts to append bundles if the outcome of an append is unknown.
const MAX_ATTEMPTS: u32 = 3;
/// Timeout for reading a bundle.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The request of a sample, read from the store if it is not in memory.
pub async fn get(shared: &Rc<Shared>, sample_id: &SampleId) -> Option<Sample> {
    let part = shared.partition_of(&sample_id.job);
    let (bundle, at, text) = {
        let control = shared.control.borrow();
        let manifest = &control.partitions[part].index.jobs.get(&sample_id.job)?.manifest;
        let meta = manifest.samples.get(sample_id.index)?;
        let (bundle, at) = (meta.bundle as usize, meta.at as usize);
        let cached = control.bundles.get(&(sample_id.job.clone(), bundle));
        if let Some(bundle) = cached {
            return bundle.samples.get(at).cloned();
        }
        (bundle, at, manifest.bundles.get(bundle)?.clone())
    };
    let wanted = std::slice::from_ref(&text);
    let read = texts::fetch(&shared.reader, &shared.text_cache, wanted);
    let bytes = match timeout(READ_TIMEOUT, read).await {
        Ok(Ok(mut texts)) => {
            let Some(bytes) = texts.pop().flatten() else {
                log::info!(
                    "samples of job {} at offset {} are no longer stored",
                    sample_id.job,
                    text.offset
                );
                return None;
            };
            bytes
        }
        Ok(Err(error)) => {
            log::info!(
                "failed to read samples of job {} at offset {}: {error}",
                sample_id.job,
                text.offset
            );
            return None;
        }
        Err(_) => {
            log::info!(
                "reading samples of job {} at offset {} timed out",
                sample_id.job,
                text.offset
            );
            return None;
        }
    };
    let decoded_bundle = match Bundle::decode(bytes) {
        Ok(decoded_bundle) => Rc::new(decoded_bundle),
        Err(error) => {
            log::error!(
                "failed to decode samples of job {} at offset {}: {error}",
                sample_id.job,
                text.offset
            );
            return None;
        }
    };
    let control = &mut *shared.control.borrow_mut();
    // Don't cache the samples of a job that ended in the meantime.
    let open =
        control.partitions[part].index.jobs.get(&sample_id.job).is_some_and(|job| !job.ended)
            && !control.is_end_pending(part, &sample_id.job);
    if open {
        control.bundles.insert((sample_id.job.clone(), bundle), decoded_bundle.clone());
    }
    decoded_bundle.samples.get(at).cloned()
}

/// The requests of a submission, as stored.
pub struct StoredRequests {
    /// Metadata of each sample.
    pub samples: Vec<SampleMeta>,
    /// References to the bundles of requests.
    pub bundles: Vec<TextRef>,
    /// The attempt that stored them, and that has yet to append the manifest.
    pub attempt: Attempt,
}

/// Stores the requests of a submission.
///
/// # Errors
///
/// The store's [`StoreError`]. This never creates the job, whatever was
/// appended.
pub async fn store_submission(
    shared: &Rc<Shared>,
    job: &str,
    submission: &Submission,
) -> Result<StoredRequests, StoreError> {
    let part = shared.partition_of(job);
    let store = &shared.settings.store;
    let (samples, bundles) = batch::bundle(submission, store.record_bytes / 2);
    let number = u32::try_from(part).unwrap_or_default();
    let values: Vec<Bytes> =
        bundles.iter().map(|bundle| Bytes::from(bundle.encode_to_vec())).collect();
    // A bundle has at least one sample, so that no value is empty.
    let new = |value: &Bytes| {
        let key = batch::bundle_key(job, &shared.unique_key_part());
        TextRef::new(number, key, value, store.record_bytes).unwrap_or_default()
    };
    let mut refs: Vec<TextRef> = values.iter().map(new).collect();
    // If the caller disconnects or the job is refused, no record references
    // them, and they have to be deleted.
    let attempt = Attempt::begin(shared, part, job, refs.iter().flat_map(TextRef::keys));
    let (mut first, mut bytes) = (0, 0);
    for (at, value) in values.iter().enumerate() {
        if bytes + value.len() > store.call_bytes / 2 {
            append(&attempt, number, &mut refs[first..at], &values[first..at]).await?;
            (first, bytes) = (at, 0);
        }
        bytes += value.len();
    }
    append(&attempt, number, &mut refs[first..], &values[first..]).await?;
    Ok(StoredRequests { samples, bundles: refs, attempt })
}

async fn append(
    attempt: &Attempt,
    number: u32,
    refs: &mut [TextRef],
    values: &[Bytes],
) -> Result<(), StoreError> {
    let split = refs.iter().zip(values).flat_map(|(at, value)| at.split(value));
    let records: Vec<(Option<String>, Bytes)> =
        split.map(|(key, value)| (Some(key), value)).collect();
    if records.is_empty() {
        return Ok(());
    }
    let part = Partition::new(TEXTS, number);
    let append = Append { part, records, expected_end: None, purpose: Purpose::Requests };
    let mut attempts = 1;
    let first = loop {
        match attempt.append_requests(append.clone()).await {
            Ok(appended) => break appended.offset,
            // A record that was appended twice does no harm: only the job's
            // metadata references one of the copies.
            Err(StoreError::OutcomeUnknown(why)) if attempts < MAX_ATTEMPTS => {
                log::info!("outcome of appending samples is unknown, retrying: {why}");
                attempts += 1;
            }
            Err(error) => return Err(error),
        }
    };
    texts::set_offsets(refs.iter_mut(), first);
    Ok(())
}
