//! Guards against signals that end a daemon although it handles them.

use std::{
    fs::{File, OpenOptions},
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Longest wait for a state of the process. It only ends a test that has failed.
const PATIENCE: Duration = Duration::from_secs(30);

/// Process that is killed when the value is dropped, with the files that it reads.
struct Process {
    child: Child,
    paths: Vec<PathBuf>,
}

impl Process {
    fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).unwrap();
        // SAFETY: the function has no preconditions. The child was not waited for, so the identifier is still its own.
        assert_eq!(unsafe { libc::kill(pid, signal) }, 0);
    }

    /// Tries `attempt` until it returns a value. Panics if the process ends before that.
    fn wait_for<T>(&mut self, what: &str, mut attempt: impl FnMut() -> Option<T>) -> T {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(value) = attempt() {
                return value;
            }
            let status = self.child.try_wait().unwrap();
            assert!(status.is_none(), "the daemon ended before {what}: {status:?}");
            assert!(Instant::now() < end, "the daemon does not reach: {what}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.paths.iter().for_each(|path| drop(std::fs::remove_file(path)));
    }
}

fn make_fifo(path: &Path) {
    let text = std::ffi::CString::new(path.to_str().unwrap()).unwrap();
    // SAFETY: `text` is a string that ends with a zero byte and lives during the call.
    assert_eq!(unsafe { libc::mkfifo(text.as_ptr(), 0o600) }, 0);
}

/// Opens the writing end of a FIFO; `None` while no process reads from it.
fn open_fifo(path: &Path) -> Option<File> {
    OpenOptions::new().write(true).custom_flags(libc::O_NONBLOCK).open(path).ok()
}

/// Whether a server answers HTTP requests at `addr`.
fn answers(addr: SocketAddr) -> Option<()> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n").ok()?;
    let mut answer = [0; 5];
    stream.read_exact(&mut answer).ok()?;
    (answer == *b"HTTP/").then_some(())
}

/// Guards against a daemon that ends because it is told to reload its settings while it starts. The settings are read from a
/// FIFO, so that the signal surely arrives before the daemon has read them.
#[test]
fn a_hangup_during_the_start_does_not_end_the_daemon() {
    let own = std::process::id();
    let path = std::env::temp_dir().join(format!("geraniumroad-signals-{own}"));
    let later_path = path.with_extension("later");
    let ip = format!("127.{}.{}.200", 64 + own / 250 % 128, 1 + own % 250);
    let settings = format!(
        r#"{{"node_name":"front-1","zone":"a","listen":{{"front":"{ip}:7000","ready":"{ip}:7001"}},
        "internal_port_range":[7200,7215],"platform":{{"address":"127.0.0.1:9"}},
        "limits":{{"memory_mb":64,"file_descriptors":700,"link_mbps":100}},
        "bounds":{{"grace_s":4,"retry_budget_ratio":0.8,"retry_budget_slack":150,"budget_window_s":10}}}}"#
    );
    make_fifo(&path);
    let mut command = Command::new(env!("CARGO_BIN_EXE_geraniumroad"));
    command.args(["serve", "--settings"]).arg(&path).stdout(Stdio::null());
    let child = command.spawn().unwrap();
    let mut process = Process { child, paths: vec![path.clone(), later_path.clone()] };
    let mut fifo = process.wait_for("reading its settings", || open_fifo(&path));
    process.signal(libc::SIGHUP);
    // The daemon reads the settings again once it has started.
    std::fs::write(&later_path, &settings).unwrap();
    std::fs::rename(&later_path, &path).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    // Writing fails if the daemon has ended.
    let _ = fifo.write_all(settings.as_bytes());
    drop(fifo);
    let ready_addr: SocketAddr = format!("{ip}:7001").parse().unwrap();
    process.wait_for("serving", || answers(ready_addr));
    process.signal(libc::SIGTERM);
    let mut status = None;
    let end = Instant::now() + PATIENCE;
    while status.is_none() && Instant::now() < end {
        status = process.child.try_wait().unwrap();
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}
