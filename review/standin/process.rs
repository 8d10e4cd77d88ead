//! Entry instances as child processes, started as the deploy file says.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, store::Store};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, _: u64, _: u64, _: u64) -> i32;
}

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

/// The processes that run, to end them whatever happens.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(vec![]);

/// Ends all processes that were started here.
pub fn end_all() {
    for pid in RUNNING.lock().unwrap_or_else(|held| held.into_inner()).drain(..) {
        unsafe { kill(pid, SIGKILL) };
    }
}

/// The failure domains of falaj-drain.
pub const DOMAINS: [&str; 4] = ["seeb-hall", "ruwi-hall", "bawshar-hall", "amerat-hall"];

pub struct Instance {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    folder: PathBuf,
}

/// A free port below the ephemeral range, so that no outgoing connection takes it
/// before the instance listens there.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    const FIRST: u32 = 10_000;
    const COUNT: u32 = 20_000;
    loop {
        let at = std::process::id().wrapping_mul(64).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(FIRST + at % COUNT).expect("a port");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts the program with the settings file in a folder, as the deploy file says.
fn spawn(folder: &Path) -> Child {
    let log = fs::File::options().create(true).append(true).open(folder.join("log"));
    let log = log.expect("the log file");
    let mut command = Command::new("target/release/hollywell");
    command.arg("enter").env_clear().env("HOLLYWELL_BOOT", folder.join("boot.ini"));
    command.stdout(log.try_clone().expect("the log file")).stderr(log);
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
    let child = command.spawn().expect("target/release/hollywell");
    RUNNING.lock().unwrap().push(child.id() as i32);
    child
}

impl Instance {
    /// Starts an instance with the settings that the platform renders from
    /// deploy/settings.ini for falaj-drain, and waits until it is ready.
    pub fn start(store: &Store, name: &str, domain: &str) -> Instance {
        let [front, ready, peer, metrics] = [(); 4].map(|()| free_address());
        let folder =
            std::env::temp_dir().join(format!("hollywell-review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let settings = format!(
            "[instance]\nname = {name}\ndomain = {domain}\nlink_mbps = 1000.0\n\
             domains = {}\nlisten = {front}\nready_listen = {ready}\npeer_listen = {peer}\n\
             metrics_listen = {metrics}\n\n[store]\naddress = {}\nparts = 24\n\
             record_bytes = 262144\ncall_bytes = 2097152\nttl_min_ms = 1000\n\
             retention_s = 300\nreads_per_s = 2000\nread_mb_s = 80.0\n\n[times]\n\
             grace_s = 8\nlease_ms = 3000\nstatus_s = 120\nbeat_ms = 1200\ndrain_ms = 2000\n\
             config_apply_ms = 2000\n\n[logs]\nlevel = info\n",
            DOMAINS.join(","),
            store.address,
        );
        fs::write(folder.join("boot.ini"), settings).expect("the settings file");
        let child = spawn(&folder);
        let instance = Instance { front, ready, child, folder };
        instance.wait_ready();
        instance
    }

    fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            assert!(Instant::now() < until, "an instance is not ready\n{}", self.log());
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Stops the instance as the platform does, and starts it again.
    pub fn restart(&mut self) {
        self.terminate();
        let until = Instant::now() + Duration::from_secs(8);
        while !self.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        self.child = spawn(&self.folder);
        self.wait_ready();
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id() as i32;
        RUNNING.lock().unwrap_or_else(|held| held.into_inner()).retain(|other| *other != pid);
    }

    pub fn is_ready(&self) -> bool {
        let host = [("Host", self.ready.to_string())];
        let answer = http::exchange(self.ready, "GET /-/ready", &host, b"");
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends SIGTERM, as the platform does to stop a process.
    pub fn terminate(&self) {
        unsafe { kill(self.child.id() as i32, SIGTERM) };
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
