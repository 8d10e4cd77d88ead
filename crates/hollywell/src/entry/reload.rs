//! Reloads the settings while the instance runs.
//!
//! A new log level takes effect at once. All other settings take effect at the
//! next start, because open connections and leases depend on them. A file with
//! faults changes nothing.

use std::{path::PathBuf, rc::Rc, time::Duration};

use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use crate::entry::{settings::Settings, shared::Shared};

/// Time between checks of the file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Watches the settings file: at regular intervals, and at once on SIGHUP.
pub async fn serve(shared: Rc<Shared>, path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!("failed to install the handler for SIGHUP: {error}");
            return;
        }
    };
    let mut current = shared.settings.clone();
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("SIGHUP: reading {}", path.display()),
            () = sleep(CHECK_INTERVAL) => {}
        }
        match Settings::load(&path) {
            Ok(read) if read != current => {
                log::set_max_level(read.level);
                let with_current_level = Settings { level: current.level, ..read.clone() };
                let suffix =
                    if with_current_level == current { "" } else { "; the rest at the next start" };
                log::info!("settings changed: level {} is in force{suffix}", read.level);
                current = read;
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
