//! The requests of samples: kept in the store in bundles, read by whoever
//! runs one of them.

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
        texts,
    },
};

/// Appends of one bundle where the store does not answer.
const TRIES: u32 = 3;
/// Longest time that reading a bundle may take.
const READ: Duration = Duration::from_secs(2);

/// A sample's request, read from the store if it is not known.
pub async fn get(shared: &Rc<Shared>, sample_id: &SampleId) -> Option<Sample> {
    let part = shared.partition_of(&sample_id.job);
    let (bundle, at, text) = {
        let control = shared.control.borrow();
        let head = &control.partitions[part].index.jobs.get(&sample_id.job)?.manifest;
        let brief = head.samples.get(sample_id.index)?;
        let (bundle, at) = (brief.bundle as usize, brief.at as usize);
        let known = control.bundles.get(&(sample_id.job.clone(), bundle));
        if let Some(bundle) = known {
            return bundle.samples.get(at).cloned();
        }
        (bundle, at, head.bundles.get(bundle)?.clone())
    };
    let read = timeout(READ, texts::fetch(shared, std::slice::from_ref(&text))).await;
    let bytes = match read {
        Ok(Ok(mut texts)) => texts.pop()?,
        Ok(Err(fault)) => {
            log::info!("samples of job {} at {}: {fault}", sample_id.job, text.offset);
            return None;
        }
        Err(_) => {
            log::info!("samples of job {} at {}: no answer in time", sample_id.job, text.offset);
            return None;
        }
    };
    let decoded = match Bundle::decode(bytes) {
        Ok(decoded) => Rc::new(decoded),
        Err(error) => {
            log::error!("samples of job {} at {}: {error}", sample_id.job, text.offset);
            return None;
        }
    };
    let control = &mut *shared.control.borrow_mut();
    // A job that was ended meanwhile is not remembered.
    let open =
        control.partitions[part].index.jobs.get(&sample_id.job).is_some_and(|job| !job.ended)
            && !control.ending.is_pending(&sample_id.job);
    if open {
        control.bundles.insert((sample_id.job.clone(), bundle), decoded.clone());
    }
    decoded.samples.get(at).cloned()
}

/// Brings a submission's samples to the store; where each lies.
///
/// # Errors
///
/// The store's [`StoreError`]. Whatever it did, no job is kept by this.
pub async fn put(
    shared: &Rc<Shared>,
    job: &str,
    submission: &Submission,
) -> Result<(Vec<SampleMeta>, Vec<TextRef>), StoreError> {
    let part = shared.partition_of(job);
    let store = &shared.settings.store;
    let (briefs, bundles) = batch::bundle(submission, store.record_bytes / 2);
    let keys: Vec<String> =
        bundles.iter().map(|_| batch::bundle_key(job, &shared.unique_key_part())).collect();
    // Should the caller leave, or the job be refused, nothing names them.
    shared.orphans.requests(shared.now(), part, job, keys.iter().cloned());
    let part = u32::try_from(part).unwrap_or_default();
    let mut refs = Vec::new();
    let mut records: Vec<(Option<String>, Bytes)> = Vec::new();
    let mut bytes = 0;
    for (bundle, key) in bundles.iter().zip(keys) {
        let value = Bytes::from(bundle.encode_to_vec());
        if bytes + value.len() > store.call_bytes / 2 {
            let full = std::mem::take(&mut records);
            append(shared, part, full, &mut refs).await?;
            bytes = 0;
        }
        bytes += value.len();
        records.push((Some(key), value));
    }
    append(shared, part, records, &mut refs).await?;
    Ok((briefs, refs))
}

async fn append(
    shared: &Rc<Shared>,
    number: u32,
    records: Vec<(Option<String>, Bytes)>,
    refs: &mut Vec<TextRef>,
) -> Result<(), StoreError> {
    if records.is_empty() {
        return Ok(());
    }
    let part = Partition::new(TEXTS, number);
    let purpose = Purpose::Requests;
    let append = Append { part, records: records.clone(), expected_end: None, purpose };
    let mut tries = 1;
    let first = loop {
        match shared.append(append.clone()).await {
            Ok(appended) => break appended.offset,
            // Records that were appended twice lie there twice; nothing but
            // the head names them.
            Err(StoreError::OutcomeUnknown(why)) if tries < TRIES => {
                log::info!("samples are appended again: {why}");
                tries += 1;
            }
            Err(fault) => return Err(fault),
        }
    };
    for ((key, value), offset) in records.into_iter().zip(first..) {
        refs.push(TextRef::new(number, offset, key.unwrap_or_default(), &value));
    }
    Ok(())
}
