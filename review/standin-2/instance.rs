//! Entry instances as child processes, started as the deploy file says, with
//! settings as its template renders them.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{http, store::Store};

/// The processes that run, so that a case that hangs can end them.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all instances.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap_or_else(|held| held.into_inner()).drain(..) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

/// The program and its argument in `deploy/system.toml`.
const RUN: [&str; 2] = ["target/release/hollywell", "enter"];

pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let id = self.child.id();
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap_or_else(|held| held.into_inner()).retain(|other| *other != id);
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

fn spawn(folder: &std::path::Path) -> Child {
    let log = folder.join("log");
    let log = File::options().create(true).append(true).open(log).expect("a log");
    let child = Command::new(RUN[0])
        .arg(RUN[1])
        .env("HOLLYWELL_BOOT", folder.join("boot.ini"))
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn()
        .expect("target/release/hollywell can be started");
    RUNNING.lock().expect("no other holder has failed").push(child.id());
    child
}

impl Instance {
    pub fn start(store: &Store, folder: &str, name: &str, zone: &str, zones: &str) -> Instance {
        Instance::start_at(store.address, folder, name, zone, zones)
    }

    /// Starts an instance that reaches the store at an address of its own.
    pub fn start_at(
        store: SocketAddr,
        folder: &str,
        name: &str,
        zone: &str,
        zones: &str,
    ) -> Instance {
        let (front, ready) = (free_address(), free_address());
        let (peer, metrics) = (free_address(), free_address());
        let folder = PathBuf::from(folder).join(name);
        fs::create_dir_all(&folder).expect("a temporary folder");
        let settings = format!(
            "[instance]\nname = {name}\ndomain = {zone}\nlink_mbps = 1000.0\ndomains = {zones}\n\
             listen = {front}\nready_listen = {ready}\npeer_listen = {peer}\nmetrics_listen = {metrics}\n\n\
             [store]\naddress = {store}\nparts = 24\nrecord_bytes = 262144\ncall_bytes = 2097152\n\
             ttl_min_ms = 1000\nretention_s = 300\nreads_per_s = 2000\nread_mb_s = 80.0\n\n\
             [times]\ngrace_s = 8\nlease_ms = 3000\nstatus_s = 120\nbeat_ms = 1200\ndrain_ms = 2000\n\
             config_apply_ms = 2000\n\n[logs]\nlevel = debug\n"
        );
        fs::write(folder.join("boot.ini"), settings).expect("settings can be written");
        let child = spawn(&folder);
        Instance { name: name.to_owned(), front, ready, child }
    }

    /// Waits until the instance is ready; false if it isn't in time.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let second = Duration::from_secs(1);
            let answer = http::send(self.ready, "GET", "/-/ready", &[("Host", "x")], b"", second);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}
