//! Settings that change while the instance runs.
//!
//! The level of log lines takes effect at once. Addresses, the store and
//! times take effect at the next start: open connections and leases rest on
//! them. A file that is faulty changes nothing.

use std::{path::PathBuf, rc::Rc, time::Duration};

use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use crate::entry::{settings::Settings, shared::Shared};

/// Time between looks at the file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(5);

/// Watches the settings file, at each SIGHUP at once.
pub async fn serve(shared: Rc<Shared>, path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!("SIGHUP cannot be handled: {error}");
            return;
        }
    };
    let mut in_force = shared.settings.clone();
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("SIGHUP: reading {}", path.display()),
            () = sleep(LOOK) => {}
        }
        match Settings::load(&path) {
            Ok(read) if read != in_force => {
                log::set_max_level(read.level);
                let rest = Settings { level: in_force.level, ..read.clone() };
                let later = if rest == in_force { "" } else { "; the rest at the next start" };
                log::info!("settings changed: level {} is in force{later}", read.level);
                in_force = read;
            }
            Ok(_) => {}
            Err(faults) => {
                for fault in faults {
                    log::warn!("settings not taken over: {fault}");
                }
            }
        }
    }
}
