//! Authentication of callers at the edge, and whether the configuration is
//! fresh enough to refuse a request.
//!
//! "Unknown key" and "no such route" are statements about the newest
//! configuration. If this instance's configuration may be out of date, the
//! request waits for the next refresh, which all waiting requests share; if
//! none arrives in time, the caller is told that the store is unavailable.
//! Requests with bad keys therefore never cause a call of their own.
//!
//! How a key maps to an organisation is defined in
//! [`crate::core::organisation`].

use std::{rc::Rc, time::Duration};

use http::{HeaderMap, header};
use tokio::time::{Instant, timeout_at};

pub use crate::core::organisation::Caller;
use crate::{
    core::{
        configuration::{Configuration, Route},
        organisation::{AuthError, Directory, Organisation},
    },
    entry::{configuration, shared::Shared},
    error::Kind,
};

/// Longest time that a request waits for the configuration to be refreshed.
/// A long poll of the store that returns nothing takes less than twice that;
/// callers time out after about one second.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(600);

/// The organisation that a request's API key belongs to.
fn organisation<'a>(
    shared: &Shared,
    directory: &'a Directory,
    headers: &HeaderMap,
) -> Result<&'a Organisation, Kind> {
    let values = headers.get_all(header::AUTHORIZATION);
    directory.authenticate(values.iter().map(http::HeaderValue::as_bytes)).map_err(
        |why: AuthError| {
            shared.meters.unauthenticated.with_label_values(&[why.as_str()]).inc();
            let provenance = configuration::provenance(shared);
            log::info!("a caller is not known: {}; configuration {provenance}", why.as_str());
            Kind::UnknownCaller
        },
    )
}

/// The route of a request and its caller, under one configuration.
fn for_route(
    shared: &Shared,
    configuration: &Configuration,
    host: &str,
    path: &str,
    headers: &HeaderMap,
) -> Result<(Route, Caller), Kind> {
    let Some(route) = configuration.route(host, path).cloned() else {
        let (version, provenance) = (configuration.version, configuration::provenance(shared));
        log::info!("no route for {host} {path} in configuration {version}, {provenance}");
        return Err(Kind::NoRoute);
    };
    let caller = match &configuration.organisations {
        None => Caller::Unrestricted,
        Some(_) if route.public => Caller::Anonymous,
        Some(directory) => {
            Caller::Organisation(organisation(shared, directory, headers)?.name.clone())
        }
    };
    Ok((route, caller))
}

/// The caller of an operation on a job of a host, under one configuration.
fn for_job(
    shared: &Shared,
    configuration: &Configuration,
    host: &str,
    headers: &HeaderMap,
) -> Result<Caller, Kind> {
    let Some(directory) = &configuration.organisations else {
        return Ok(Caller::Unrestricted);
    };
    match organisation(shared, directory, headers) {
        Ok(organisation) => Ok(Caller::Organisation(organisation.name.clone())),
        Err(_) if configuration.has_public_jobs(host) => Ok(Caller::Anonymous),
        Err(kind) => Err(kind),
    }
}

/// The route of a request and its caller, under a configuration that is fresh
/// enough.
///
/// # Errors
///
/// Why the request is refused; [`Kind::StoreUnavailable`] if no configuration
/// that is fresh enough arrived in time.
pub async fn identify_for_route(
    shared: &Rc<Shared>,
    host: &str,
    path: &str,
    headers: &HeaderMap,
) -> Result<(Route, Caller), Kind> {
    with_current_configuration(shared, |configuration| {
        for_route(shared, configuration, host, path, headers)
    })
    .await
}

/// The caller of an operation on a job, under a configuration that is fresh
/// enough.
///
/// # Errors
///
/// As [`identify_for_route`].
pub async fn identify_for_job(
    shared: &Rc<Shared>,
    host: &str,
    headers: &HeaderMap,
) -> Result<Caller, Kind> {
    with_current_configuration(shared, |configuration| {
        for_job(shared, configuration, host, headers)
    })
    .await
}

/// What the configuration at hand says of the caller of an operation on a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// It is new enough to say who the caller is.
    Known(Caller),
    /// It names the caller, but is too old: the key may have been revoked.
    Presumed(Caller),
    /// It is new enough to refuse the caller.
    Refused(Kind),
    /// There is none, or it does not name the caller and is too old to refuse it.
    Unknown,
}

/// As [`identify_for_job`], without waiting for a newer configuration.
#[must_use]
pub fn identify_now(shared: &Shared, host: &str, headers: &HeaderMap) -> Identity {
    let Some(configuration) = shared.control.borrow().configuration.clone() else {
        return Identity::Unknown;
    };
    match for_job(shared, &configuration, host, headers) {
        Ok(caller) if !is_too_old(shared, &configuration) => Identity::Known(caller),
        Ok(caller) => Identity::Presumed(caller),
        Err(kind) if is_current(shared) => Identity::Refused(kind),
        Err(_) => Identity::Unknown,
    }
}

async fn with_current_configuration<T>(
    shared: &Rc<Shared>,
    identify: impl Fn(&Configuration) -> Result<T, Kind>,
) -> Result<T, Kind> {
    let deadline = Instant::now() + CONFIGURATION_WAIT;
    loop {
        let refreshed = shared.configuration_read.notified();
        let configuration =
            shared.control.borrow().configuration.clone().ok_or(Kind::StoreUnavailable)?;
        if let Some(identified) = identify_under(shared, &configuration, &identify) {
            return identified;
        }
        if timeout_at(deadline, refreshed).await.is_err() {
            return Err(Kind::StoreUnavailable);
        }
    }
}

/// What a configuration says of a request; `None` if it is too old to say it.
fn identify_under<T>(
    shared: &Shared,
    configuration: &Configuration,
    identify: impl Fn(&Configuration) -> Result<T, Kind>,
) -> Option<Result<T, Kind>> {
    match identify(configuration) {
        Ok(identified) if !is_too_old(shared, configuration) => Some(Ok(identified)),
        Err(kind) if is_current(shared) => Some(Err(kind)),
        Ok(_) | Err(_) => None,
    }
}

/// Whether the configuration is fresh enough to refuse a request. A change has
/// to be in force `config_apply` after its acknowledgement; a quarter of that
/// is kept as a margin.
fn is_current(shared: &Shared) -> bool {
    let apply_ms = shared.settings.times.config_apply.as_millis();
    configuration::age_ms(shared).is_some_and(|age_ms| u128::from(age_ms) * 4 <= apply_ms * 3)
}

/// Whether the configuration is too old to accept an API key, which may have
/// been revoked since.
fn is_too_old(shared: &Shared, configuration: &Configuration) -> bool {
    let Some(revoke) = shared.settings.times.revoke else {
        return false;
    };
    let age_ms = configuration::age_ms(shared).unwrap_or(u64::MAX);
    configuration.organisations.is_some() && u128::from(age_ms) > revoke.as_millis()
}
