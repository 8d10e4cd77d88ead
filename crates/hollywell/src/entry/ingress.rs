//! Serves callers' requests: classifies each one, dispatches it and creates the
//! response.
//!
//! When a caller disconnects, hyper drops the request's future, which also
//! cancels the request's exchange with a target.

use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header, uri::Authority};
use http_body_util::Full;
use hyper::{
    Request,
    body::{Body as _, Incoming},
};

use crate::{
    account::Charge,
    core::{
        batch::Submission,
        configuration::{Configuration, Route, RouteKind},
        host,
        time::Time,
    },
    entry::{
        caller::{self, Caller},
        codec::{Operation, SubmissionError},
        connection::Connection,
        forward::{self, ForwardResult, PlainRequest},
        intake,
        jobs::{self, JobReply},
        shared::Shared,
        submission, unidentified_ends,
    },
    error::Kind,
};

/// Limit on request bodies where the configuration sets none, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 32 << 20;
/// Longest wait of a long poll for results, in milliseconds.
const MAX_WAIT_MS: u64 = 5_000;
/// Default `Retry-After` of a refused request, in milliseconds: long enough
/// for a target's load or a read of the store to be refreshed, short compared
/// with a deadline.
const DEFAULT_RETRY_AFTER_MS: u64 = 150;
/// Upper bound of the random factor applied to `Retry-After`.
const MAX_RETRY_AFTER_JITTER: f64 = 1.25;
/// Deadline if neither the caller nor the route sets one, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Time in which a change of a job is stored unless the store is slow, in
/// milliseconds.
const JOB_MS: u64 = 1_000;

type HttpResponse = Response<Full<Bytes>>;

/// Serves one request.
pub(super) async fn answer(
    shared: &Rc<Shared>,
    connection: &Rc<Connection>,
    request: Request<Incoming>,
) -> HttpResponse {
    let arrived = shared.now();
    connection.has_unread_body.set(!request.body().is_end_stream());
    let operation = (shared.codec.operation)(request.method(), request.uri());
    let label = match &operation {
        Operation::Ready => "ready",
        Operation::Results { .. } => "results",
        Operation::SampleBody { .. } => "sample_body",
        Operation::EndJob { .. } => "end_job",
        Operation::Routed => "routed",
    };
    connection.may_have_run.set(false);
    let response = tokio::select! {
        biased;
        response = dispatch(shared, connection, request, operation, arrived) => response,
        () = shared.last_answer_due() => last_answer(shared, connection),
    };
    let seconds = shared.now().since(arrived) as f64 / 1_000.0;
    shared.meters.answer_seconds.with_label_values(&[label]).observe(seconds);
    shared.meters.answers.with_label_values(&[label, response.status().as_str()]).inc();
    response
}

/// The answer to a request that has none when the instance is about to exit.
fn last_answer(shared: &Shared, connection: &Connection) -> HttpResponse {
    match connection.may_have_run.get() {
        true => refuse(shared, Kind::OutcomeUnknown),
        false => refuse(shared, Kind::Draining),
    }
}

/// Whether a request that is answered at `answered_by` at the latest may be
/// begun.
fn may_begin(shared: &Shared, answered_by: Time) -> bool {
    let shutdown = shared.control.borrow().shutdown;
    shutdown.is_none_or(|shutdown| shutdown.may_begin(shared.now(), answered_by))
}

/// The authority that a request is for. One in the request target takes
/// precedence over `Host` (RFC 9112, section 3.2.2). Empty if there is none.
fn authority<T>(request: &Request<T>) -> &str {
    let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    request.uri().authority().map(Authority::as_str).or(host).unwrap_or("")
}

async fn dispatch(
    shared: &Rc<Shared>,
    connection: &Rc<Connection>,
    request: Request<Incoming>,
    operation: Operation,
    arrived: Time,
) -> HttpResponse {
    let headers = request.headers();
    match operation {
        Operation::Ready => ready(shared),
        Operation::Routed => routed(shared, connection, request, arrived).await,
        Operation::Results { job, after } => {
            let names = &shared.codec.headers;
            let max_wait = parse_number(headers, &names.wait).unwrap_or(0).min(MAX_WAIT_MS);
            let max_wait = Duration::from_millis(max_wait);
            let read =
                async |caller: &_| jobs::results(shared, caller, &job, after, max_wait).await;
            with_caller(shared, &request, read).await
        }
        Operation::SampleBody { job, sample } => {
            let read = async |caller: &_| jobs::sample_body(shared, caller, &job, &sample).await;
            with_caller(shared, &request, read).await
        }
        Operation::EndJob { .. } if !may_begin(shared, arrived.after(JOB_MS)) => {
            refuse(shared, Kind::Draining)
        }
        Operation::EndJob { job } => {
            connection.may_have_run.set(true);
            end_job(shared, &request, job).await
        }
    }
}

/// Identifies the caller and, if that succeeds, runs an operation on a job.
async fn with_caller(
    shared: &Rc<Shared>,
    request: &Request<Incoming>,
    run_operation: impl AsyncFnOnce(&Caller) -> JobReply,
) -> HttpResponse {
    let host = host::name(authority(request));
    match caller::identify_for_job(shared, &host, request.headers()).await {
        Ok(caller) => reply(shared, run_operation(&caller).await),
        Err(kind) => refuse(shared, kind),
    }
}

/// Ends a job for a caller, now or, if only a newer configuration can tell who it
/// is, later. A caller that leaves does not stop that.
async fn end_job(shared: &Rc<Shared>, request: &Request<Incoming>, job: String) -> HttpResponse {
    let host = host::name(authority(request));
    let mut headers = HeaderMap::new();
    for key in request.headers().get_all(header::AUTHORIZATION) {
        headers.append(header::AUTHORIZATION, key.clone());
    }
    let ending = {
        let shared = shared.clone();
        async move {
            match caller::identify_for_job(&shared, &host, &headers).await {
                Ok(caller) => reply(&shared, jobs::end(&shared, &caller, &job).await),
                Err(Kind::StoreUnavailable)
                    if unidentified_ends::hold(&shared, host, &headers, job) =>
                {
                    refuse(&shared, Kind::OutcomeUnknown)
                }
                Err(kind) => refuse(&shared, kind),
            }
        }
    };
    tokio::task::spawn_local(ending).await.unwrap_or_else(|error| {
        log::error!("the task that ends a job failed: {error}");
        refuse(shared, Kind::OutcomeUnknown)
    })
}

/// Whether this instance is ready to serve callers.
#[must_use]
pub fn is_ready(shared: &Shared) -> bool {
    let control = shared.control.borrow();
    let loaded = control.partitions.iter().all(|partition| partition.loaded);
    !control.is_stopping()
        && loaded
        && control.configuration.is_some()
        && control.poison_loaded
        && control.fleet_loaded
        && !control.fleet.store_unavailable
}

/// Responds with all metrics in the text exposition format.
#[must_use]
pub fn metrics(shared: &Shared) -> HttpResponse {
    let meters = &shared.meters;
    let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
    {
        let control = shared.control.borrow();
        let version =
            control.configuration.as_ref().map_or(0, |configuration| configuration.version);
        meters.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        let age_ms = control.fleet.departures.age_ms(shared.now());
        meters.targets_age_ms.set(age_ms.map_or(-1, |ms| i64::try_from(ms).unwrap_or(i64::MAX)));
        meters.members.set(gauge(control.roster.members().len()));
        meters.late_samples.set(gauge(control.dispatch.late_samples()));
        meters.in_flight.set(gauge(control.dispatch.in_flight()));
        // Reasons that no longer apply are left out.
        meters.ends_unstored.reset();
        meters.end_unstored_ms.reset();
        for (why, unstored) in control.ending.unstored(shared.now()) {
            let oldest_ms = i64::try_from(unstored.oldest_ms).unwrap_or(i64::MAX);
            meters.ends_unstored.with_label_values(&[why]).set(gauge(unstored.count));
            meters.end_unstored_ms.with_label_values(&[why]).set(oldest_ms);
        }
        let free =
            control.dispatch.free_tokens(shared.now(), &control.fleet, &control.observations);
        for (pool, tokens) in free {
            let tokens = i64::try_from(tokens).unwrap_or(i64::MAX);
            meters.free_tokens.with_label_values(&[&pool]).set(tokens);
        }
    }
    meters.jobs_in_doubt.set(gauge(shared.jobs_in_doubt()));
    meters.connections_opened.set(i64::try_from(shared.pool.opened.get()).unwrap_or(i64::MAX));
    meters.callers.set(gauge(shared.callers.count()));
    meters.request_bytes.set(gauge(shared.request_memory.used()));
    meters.ready.set(i64::from(is_ready(shared)));
    match meters.text() {
        Ok(text) => Response::new(Full::new(Bytes::from(text))),
        Err(error) => {
            log::error!("failed to encode the metrics: {error}");
            refuse(shared, Kind::Internal)
        }
    }
}

/// Responds to a readiness check.
#[must_use]
pub fn ready(shared: &Shared) -> HttpResponse {
    let ok = is_ready(shared);
    let mut response = Response::new(Full::default());
    *response.status_mut() = if ok { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    response
}

/// The configuration, once it and the poison state are loaded. Without the
/// poison state, an instance that starts would send poison requests that the
/// other instances hold back, and crash their targets.
fn loaded_configuration(shared: &Shared) -> Option<Rc<Configuration>> {
    let control = shared.control.borrow();
    control.configuration.clone().filter(|_| control.poison_loaded)
}

async fn routed(
    shared: &Rc<Shared>,
    connection: &Rc<Connection>,
    request: Request<Incoming>,
    arrived: Time,
) -> HttpResponse {
    let authority = authority(&request).to_owned();
    let host = host::name(&authority);
    let (mut head, body) = request.into_parts();
    if is_misdirected(shared, &head.headers) {
        return misdirected(shared);
    }
    let (route, caller) =
        match caller::identify_for_route(shared, &host, head.uri.path(), &head.headers).await {
            Ok(identified) => identified,
            Err(kind) => return refuse(shared, kind),
        };
    let Some(configuration) = loaded_configuration(shared) else {
        return refuse(shared, Kind::StoreUnavailable);
    };
    let names = &shared.codec.headers;
    if configuration.organisations.is_some() {
        // Targets must not see the API key, and a caller must not choose the
        // organisation that targets are told.
        head.headers.remove(header::AUTHORIZATION);
        head.headers.remove(&names.organisation);
    }
    let limit = if configuration.max_body_bytes == 0 {
        DEFAULT_MAX_BODY_BYTES
    } else {
        configuration.max_body_bytes
    };
    let timeout_ms = if route.timeout_ms == 0 { DEFAULT_DEADLINE_MS } else { route.timeout_ms };
    let deadline_ms =
        parse_number(&head.headers, &names.deadline).unwrap_or(timeout_ms).min(timeout_ms);
    // The timeout of a route for batch jobs is that of its samples.
    let receive_ms = match route.kind {
        RouteKind::Batch => timeout_ms.max(DEFAULT_DEADLINE_MS),
        _ => deadline_ms,
    };
    let answered_by = arrived.after(deadline_ms);
    if route.kind != RouteKind::Batch && !may_begin(shared, answered_by) {
        return refuse(shared, Kind::Draining);
    }
    // Another instance may have accepted the same job.
    connection.may_have_run.set(route.kind == RouteKind::Batch);
    let body = intake::read(shared, connection, body, limit, arrived.after(receive_ms)).await;
    let body = match body {
        Ok(body) => body,
        Err(kind) => {
            log::info!("a request body on route {} is refused: {}", route.name, kind.as_str());
            return refuse(shared, kind);
        }
    };
    let id = head.headers.get(&names.request_id).and_then(|id| id.to_str().ok());
    let Some(id) = id.map(str::to_owned) else {
        return refuse(shared, Kind::Malformed);
    };
    // The body may have taken long.
    let answered_by = match route.kind {
        RouteKind::Batch => shared.now().after(JOB_MS),
        _ => answered_by,
    };
    if !may_begin(shared, answered_by) {
        return match route.kind {
            RouteKind::Batch => refuse_job(shared, &id),
            _ => refuse(shared, Kind::Draining),
        };
    }
    if route.kind == RouteKind::Batch {
        let submitted = Submitted { caller, id, host, path: head.uri.path().to_owned(), body };
        return submit(shared, connection, submitted).await;
    }
    let target = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let request = PlainRequest {
        method: head.method,
        target,
        host,
        authority,
        id,
        organisation: caller.organisation().to_owned(),
        headers: head.headers,
        body,
        deadline: arrived.after(deadline_ms),
        usage_window: Cell::new(None),
        is_owed: false,
        may_have_run: connection.may_have_run.clone(),
        digest: OnceCell::new(),
    };
    forwarded(shared, &configuration, &route, &request).await
}

/// Refuses a job that may not be stored in time. A promise that it does not run
/// is only given if it has not been accepted, and cannot be any more.
fn refuse_job(shared: &Shared, job: &str) -> HttpResponse {
    let part = shared.partition_of(job);
    let may_run = jobs::is_known(shared, part, job)
        || shared.orphans.borrow().may_be_accepted(shared.now(), job);
    refuse(shared, if may_run { Kind::OutcomeUnknown } else { Kind::Draining })
}

/// Whether a request is for a target whose entry names no target to use here.
/// Then another instance sent it, which takes this one for that target.
fn is_misdirected(shared: &Shared, headers: &http::HeaderMap) -> bool {
    let target = headers.get(&shared.codec.headers.target).and_then(|id| id.to_str().ok());
    target.is_some_and(|id| shared.control.borrow().fleet.is_invalid(id))
}

fn misdirected(shared: &Shared) -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
    let not_run = shared.codec.headers.not_run.clone();
    response.headers_mut().insert(not_run, HeaderValue::from_static("1"));
    response
}

async fn forwarded(
    shared: &Rc<Shared>,
    configuration: &Configuration,
    route: &Route,
    request: &PlainRequest,
) -> HttpResponse {
    let salt = xxhash_rust::xxh3::xxh3_64(request.id.as_bytes());
    match forward::run(shared, route, request, salt).await {
        ForwardResult::Answered(response_from_target) => {
            let mut response = Response::new(Full::new(response_from_target.body));
            *response.status_mut() = response_from_target.status;
            *response.headers_mut() = response_from_target.headers;
            response
        }
        ForwardResult::Refused(kind, retry_after_ms) => {
            log::info!(
                "request {} refused under configuration {}: {}",
                request.id,
                configuration.version,
                kind.as_str()
            );
            let refusal = refuse(shared, kind);
            match retry_after_ms {
                Some(ms) => set_retry_after(refusal, ms),
                None => refusal,
            }
        }
    }
}

/// A batch job as it arrived.
struct Submitted {
    caller: Caller,
    id: String,
    host: String,
    path: String,
    body: Bytes,
}

async fn submit(
    shared: &Rc<Shared>,
    connection: &Connection,
    submitted: Submitted,
) -> HttpResponse {
    let Submitted { caller, id, host, path, body } = submitted;
    let (mut submission, _charge) = match decode(shared, connection, &id, body).await {
        Ok(decoded) => decoded,
        Err(kind) => return refuse(shared, kind),
    };
    if caller != Caller::Unrestricted {
        let reserved = [header::AUTHORIZATION.as_str(), shared.codec.headers.organisation.as_str()];
        submission.remove_headers(&reserved);
    }
    connection.may_have_run.set(true);
    let job_reply = submission::submit(shared, &caller, &id, &host, &path, &submission).await;
    let accepted = job_reply == JobReply::Done;
    let mut response = reply(shared, job_reply);
    if accepted {
        *response.status_mut() = StatusCode::ACCEPTED;
    }
    response
}

/// Decodes a job, and takes the memory for what is decoded and, once it is
/// encoded to be stored, as much again.
///
/// # Errors
///
/// [`Kind::Malformed`]; [`Kind::NoMemory`] if there is no room at present, or
/// [`Kind::TooLarge`] if there would be none with nothing else in memory.
async fn decode(
    shared: &Rc<Shared>,
    connection: &Connection,
    id: &str,
    body: Bytes,
) -> Result<(Submission, Charge), Kind> {
    let mut charge = Charge::new(&shared.request_memory);
    // Bodies are in base64, of which four bytes are three decoded.
    intake::take(shared, connection, &mut charge, body.len() / 4 * 3).await?;
    let limit = shared.request_memory.limit();
    let mut decoded_bytes = 0;
    let decoded = (shared.codec.submission)(&body, &mut |more| {
        decoded_bytes += more;
        decoded_bytes <= charge.held() || charge.try_grow(decoded_bytes - charge.held())
    });
    let no_memory = |bytes| {
        log::info!("job {id} takes over {bytes} bytes of memory; all requests have {limit}");
        if bytes > limit { Kind::TooLarge } else { Kind::NoMemory }
    };
    let submission = decoded.map_err(|error| match error {
        SubmissionError::Malformed(why) => {
            log::info!("job {id} is malformed: {why}");
            Kind::Malformed
        }
        SubmissionError::NoMemory => no_memory(body.len() + decoded_bytes),
    })?;
    drop(body);
    charge.shrink_to(decoded_bytes);
    match intake::take(shared, connection, &mut charge, decoded_bytes).await {
        Ok(()) => Ok((submission, charge)),
        Err(_) => Err(no_memory(2 * decoded_bytes)),
    }
}

fn reply(shared: &Shared, reply: JobReply) -> HttpResponse {
    match reply {
        JobReply::Done => Response::new(Full::default()),
        JobReply::Body(body) => {
            let mut charge = Charge::new(&shared.response_memory);
            match charge.try_grow(body.len()) {
                true => Response::new(Full::new(charge.attach(body))),
                false => refuse(shared, Kind::NoMemory),
            }
        }
        JobReply::Rejected | JobReply::Unavailable => refuse(shared, Kind::StoreUnavailable),
        JobReply::HeldBack(ms) => set_retry_after(refuse(shared, Kind::StoreUnavailable), ms),
        JobReply::StoreFull(ms) => set_retry_after(refuse(shared, Kind::StoreFull), ms),
        JobReply::TooManySamples(ms) => set_retry_after(refuse(shared, Kind::NoMemory), ms),
        JobReply::Late(ms) | JobReply::RateLimited(ms) => {
            set_retry_after(refuse(shared, Kind::Overloaded), ms)
        }
        JobReply::OutcomeUnknown => refuse(shared, Kind::OutcomeUnknown),
        JobReply::NotFound => refuse(shared, Kind::NoRoute),
        JobReply::Malformed(why) => {
            log::info!("request refused as malformed: {why}");
            refuse(shared, Kind::Malformed)
        }
    }
}

fn refuse(shared: &Shared, kind: Kind) -> HttpResponse {
    let answer = kind.answer();
    let mut response = Response::new(Full::new(Bytes::from_static(answer.text.as_bytes())));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    let has_not_run_header = answer.status >= 429 || kind == Kind::UnknownCaller;
    if answer.outcome == crate::error::Outcome::NotRun && has_not_run_header {
        headers.insert(shared.codec.headers.not_run.clone(), HeaderValue::from_static("1"));
    }
    if kind == Kind::UnknownCaller {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    match answer.retry_after_s {
        Some(_) => set_retry_after(response, DEFAULT_RETRY_AFTER_MS),
        None => response,
    }
}

/// Sets `Retry-After`, with jitter, so that callers that were refused together
/// do not retry together.
fn set_retry_after(mut response: HttpResponse, ms: u64) -> HttpResponse {
    let seconds = ms as f64 / 1_000.0 * rand::random_range(1.0..=MAX_RETRY_AFTER_JITTER);
    match HeaderValue::from_str(&format!("{seconds:.2}")) {
        Ok(value) => drop(response.headers_mut().insert(header::RETRY_AFTER, value)),
        Err(error) => log::error!("{seconds} is not a valid Retry-After value: {error}"),
    }
    response
}

fn parse_number(headers: &http::HeaderMap, name: &http::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
