//! Asks a target itself whether it accepts work, where what was read of it is
//! too old to rely on.
//!
//! This keeps requests served while neither the store nor any peer tells more:
//! the targets can be reached all the same. Whether what is known is too old is
//! decided in [`crate::core::fleet`].

use std::{cell::RefCell, collections::HashSet, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use tokio::sync::Notify;

use crate::{
    core::{
        fleet::{Announcement, Standing},
        time::Time,
    },
    entry::{exchange::IncomingResponse, shared::Shared},
};

/// Timeout of a target's answer. A target without a free slot may let the check
/// wait like any request; a request would not be answered there sooner.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a target's answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Targets that are being asked.
#[derive(Debug, Default)]
pub struct Confirmations {
    asked: RefCell<HashSet<String>>,
    changed: Notify,
}

/// Whether a target may get a request now; asks it if that is not known.
/// Concurrent requests for one target share a check.
pub async fn is_usable(shared: &Rc<Shared>, target: &Announcement) -> bool {
    let confirmations = &shared.confirmations;
    let mut has_waited = false;
    loop {
        match shared.standing(target) {
            Standing::InUse => return true,
            Standing::Leaving => return false,
            Standing::Unconfirmed => {}
        }
        if confirmations.asked.borrow_mut().insert(target.id.clone()) {
            let _asking = Asking { shared, id: &target.id };
            check(shared, target).await;
            return shared.may_send_to(target);
        }
        if has_waited {
            return false;
        }
        while confirmations.asked.borrow().contains(&target.id) {
            confirmations.changed.notified().await;
        }
        has_waited = true;
    }
}

/// Ends a check when dropped, which also covers a caller that disconnects.
struct Asking<'a> {
    shared: &'a Rc<Shared>,
    id: &'a str,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        let confirmations = &self.shared.confirmations;
        confirmations.asked.borrow_mut().remove(self.id);
        confirmations.changed.notify_waiters();
    }
}

/// Asks a target, and records if it accepts work.
async fn check(shared: &Rc<Shared>, target: &Announcement) {
    let path = {
        let control = shared.control.borrow();
        let pool = control.configuration.as_ref().and_then(|all| all.pool(&target.pool));
        pool.map(|pool| pool.health_path.clone()).filter(|path| path.starts_with('/'))
    };
    let Some(path) = path else {
        return;
    };
    let request = Request::get(path)
        .header(header::HOST, target.address.to_string())
        .header(&shared.codec.headers.target, target.id.as_str())
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else {
        log::warn!("health check of {}: its id is no valid header", target.id);
        return;
    };
    let asked_at = shared.now();
    let outcome = match shared.pool.send(target.address, request, CHECK_TIMEOUT).await {
        Ok(answer) => {
            let status = answer.head.status;
            let own = answer.header(&shared.codec.headers.instance) == Some(target.id.as_str());
            // Read to its end, so that the connection can be reused.
            let read = answer.read_body(MAX_RESPONSE_BYTES, CHECK_TIMEOUT).await;
            match read {
                Ok(_) if status == StatusCode::OK && !own => {
                    Err(String::from("the answer names another target, or none"))
                }
                read => read.map(|_| status).map_err(|error| error.to_string()),
            }
        }
        Err(error) => Err(error.to_string()),
    };
    let label = match outcome {
        Ok(StatusCode::OK) => {
            shared.control.borrow_mut().fleet.confirm(asked_at, &target.id);
            "accepts"
        }
        Ok(status) => {
            log::info!("health check of {}: {status}", target.id);
            "rejects"
        }
        Err(why) => {
            log::info!("health check of {}: {why}", target.id);
            "no_answer"
        }
    };
    shared.meters.health_checks.with_label_values(&[label]).inc();
}

/// Records what the answer to a request that was sent at a time says of its
/// target. One that leaves closes the connection after each answer.
pub(super) fn record_answer(
    shared: &Shared,
    sent_at: Time,
    target: &Announcement,
    answer: &IncomingResponse,
) {
    let is_closing = answer
        .header(&header::CONNECTION)
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if answer.head.status.is_success() && !is_closing {
        shared.control.borrow_mut().fleet.confirm(sent_at, &target.id);
    }
}
