//! Who asks, decided once at the edge, and whether enough is known to refuse.
//!
//! "No such key" and "no such route" are claims about the newest
//! configuration. An instance whose own may be older waits for the next
//! reading, one for all who wait, and answers that it cannot know where none
//! comes. A flood of bad keys therefore causes no call at all.
//!
//! What it leaves out: what a key means ([`crate::core::organisation`]).

use std::{rc::Rc, time::Duration};

use http::{HeaderMap, header};
use tokio::time::{Instant, timeout_at};

use crate::{
    core::{
        configuration::{Configuration, Route},
        organisation::{AuthError, Directory, Organisation},
    },
    entry::{configuration, shared::Shared},
    error::Kind,
};

/// Longest time that a caller waits for news of the configuration before it
/// is told that it cannot be known. Reads of the store that wait in vain take
/// less than twice that; callers give up after a second or so.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(600);

/// Who asks about jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// Organisations are not told apart.
    Unrestricted,
    /// A caller without a key, where some jobs are everybody's.
    Anonymous,
    /// A caller of that organisation.
    Organisation(String),
}

impl Caller {
    /// Whether a job is this caller's to read and to end. One that belongs to
    /// no organisation is everybody's.
    #[must_use]
    pub fn may_see(&self, organisation: &str) -> bool {
        match self {
            Caller::Unrestricted => true,
            Caller::Anonymous => organisation.is_empty(),
            Caller::Organisation(name) => organisation.is_empty() || organisation == name,
        }
    }

    /// The organisation that a job of this caller belongs to.
    #[must_use]
    pub fn organisation(&self) -> &str {
        match self {
            Caller::Unrestricted | Caller::Anonymous => "",
            Caller::Organisation(name) => name,
        }
    }
}

/// The organisation whose key came with a request.
fn organisation<'a>(
    shared: &Shared,
    directory: &'a Directory,
    headers: &HeaderMap,
) -> Result<&'a Organisation, Kind> {
    let values = headers.get_all(header::AUTHORIZATION);
    directory.authenticate(values.iter().map(http::HeaderValue::as_bytes)).map_err(
        |why: AuthError| {
            shared.meters.unauthenticated.with_label_values(&[why.as_str()]).inc();
            log::info!("a caller is not known: {}", why.as_str());
            Kind::UnknownCaller
        },
    )
}

/// The route of a request, and who may use it.
fn for_route(
    shared: &Shared,
    plan: &Configuration,
    host: &str,
    path: &str,
    headers: &HeaderMap,
) -> Result<(Route, Caller), Kind> {
    let Some(route) = plan.route(host, path).cloned() else {
        log::info!("no route for {host} {path} in configuration {}", plan.version);
        return Err(Kind::NoRoute);
    };
    let caller = match &plan.organisations {
        None => Caller::Unrestricted,
        Some(_) if route.public => Caller::Anonymous,
        Some(directory) => {
            Caller::Organisation(organisation(shared, directory, headers)?.name.clone())
        }
    };
    Ok((route, caller))
}

/// Who asks about a job of a host.
fn for_job(
    shared: &Shared,
    plan: &Configuration,
    host: &str,
    headers: &HeaderMap,
) -> Result<Caller, Kind> {
    let Some(directory) = &plan.organisations else {
        return Ok(Caller::Unrestricted);
    };
    match organisation(shared, directory, headers) {
        Ok(organisation) => Ok(Caller::Organisation(organisation.name.clone())),
        Err(_) if plan.has_public_jobs(host) => Ok(Caller::Anonymous),
        Err(kind) => Err(kind),
    }
}

/// The route of a request and its caller, by the newest configuration.
///
/// # Errors
///
/// Why it is refused: [`Kind::StoreUnavailable`] where that cannot be known.
pub async fn identify_for_route(
    shared: &Rc<Shared>,
    host: &str,
    path: &str,
    headers: &HeaderMap,
) -> Result<(Route, Caller), Kind> {
    with_current_configuration(shared, |plan| for_route(shared, plan, host, path, headers)).await
}

/// Who asks about a job, by the newest configuration.
///
/// # Errors
///
/// As [`identify_for_route`].
pub async fn identify_for_job(shared: &Rc<Shared>, headers: &HeaderMap) -> Result<Caller, Kind> {
    let host = headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    with_current_configuration(shared, |plan| for_job(shared, plan, host, headers)).await
}

async fn with_current_configuration<T>(
    shared: &Rc<Shared>,
    judge: impl Fn(&Configuration) -> Result<T, Kind>,
) -> Result<T, Kind> {
    let until = Instant::now() + CONFIGURATION_WAIT;
    loop {
        let told = shared.configuration_read.notified();
        let plan = shared.control.borrow().configuration.clone().ok_or(Kind::StoreUnavailable)?;
        let current = is_current(shared);
        match judge(&plan) {
            Ok(judged) if !is_too_old(shared, &plan) => return Ok(judged),
            Err(kind) if current => return Err(kind),
            Ok(_) | Err(_) => {}
        }
        if timeout_at(until, told).await.is_err() {
            return Err(Kind::StoreUnavailable);
        }
    }
}

/// Whether what is known of the configuration is new enough to refuse by it:
/// whatever was acknowledged before has to be in force somewhat later.
fn is_current(shared: &Shared) -> bool {
    let apply_ms = shared.settings.times.config_apply.as_millis();
    configuration::age_ms(shared).is_some_and(|age_ms| u128::from(age_ms) * 4 <= apply_ms * 3)
}

/// Whether it is so old that a key must not be taken for good any more.
fn is_too_old(shared: &Shared, plan: &Configuration) -> bool {
    let Some(revoke) = shared.settings.times.revoke else {
        return false;
    };
    let age_ms = configuration::age_ms(shared).unwrap_or(u64::MAX);
    plan.organisations.is_some() && u128::from(age_ms) > revoke.as_millis()
}
