//! Process of the daemon with low limits.

use std::{
    collections::HashSet,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

/// Memory of the VM in the settings of the daemon.
pub const MEMORY_MB: u64 = 64;

/// File descriptors of the VM in the settings of the daemon, which the process cannot exceed.
pub const FILE_DESCRIPTORS: usize = 700;

/// Longest wait for a state of the process. It only ends a test that has failed.
const PATIENCE: Duration = Duration::from_secs(30);

/// Memory and descriptors that a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory, and the bytes in the buffers of the process's sockets.
    pub memory_bytes: u64,
    pub descriptors: usize,
}

impl Usage {
    /// The larger values of both.
    pub fn max(self, other: Self) -> Self {
        Self {
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Process of the program `geraniumroad`, which is killed when the value is dropped.
pub struct DaemonProcess {
    child: Child,
    /// Address of the server for callers.
    pub addr: SocketAddr,
    /// Ports of the metrics and the relay server; of the server for operators in `run`, if there is one.
    pub internal_addrs: Vec<SocketAddr>,
    /// Address of the server for peers in `run`; `None` if there is none.
    pub peer_addr: Option<SocketAddr>,
    pub ready_addr: SocketAddr,
    settings_path: PathBuf,
}

impl DaemonProcess {
    /// Starts the command `serve` with the store at `store_addr`, on a loopback address of its own.
    pub fn serve(store_addr: SocketAddr) -> Self {
        static STARTED: AtomicU16 = AtomicU16::new(1);
        let process = std::process::id();
        let number = STARTED.fetch_add(1, Ordering::SeqCst);
        let ip = format!("127.{}.{}.{number}", 64 + process / 250 % 128, 1 + process % 250);
        let settings = format!(
            r#"{{"node_name":"front-1","zone":"a","listen":{{"front":"{ip}:7000","ready":"{ip}:7001"}},
            "internal_port_range":[7200,7215],"platform":{{"address":"{store_addr}"}},
            "limits":{{"memory_mb":{MEMORY_MB},"file_descriptors":{FILE_DESCRIPTORS},"link_mbps":100}},
            "bounds":{{"grace_s":4,"retry_budget_ratio":0.8,"retry_budget_slack":150,"budget_window_s":10}}}}"#
        );
        let settings_path = write_settings(&settings, number);
        let child = spawn("serve", &settings_path, FILE_DESCRIPTORS);
        let addr = |port: u16| SocketAddr::new(ip.parse().unwrap(), port);
        let internal_addrs = vec![addr(7200), addr(7202)];
        Self {
            child,
            addr: addr(7000),
            internal_addrs,
            peer_addr: None,
            ready_addr: addr(7001),
            settings_path,
        }
    }

    /// Starts the command `run` with the given sections of the settings beside `[entry]` and `[platform]`.
    pub fn run(sections: &str, descriptors: usize) -> Self {
        Self::run_with_platform("127.0.0.1:9".parse().unwrap(), sections, descriptors)
    }

    /// Like `run`, with the platform at `platform_addr`.
    pub fn run_with_platform(
        platform_addr: SocketAddr,
        sections: &str,
        descriptors: usize,
    ) -> Self {
        let settings = format!(
            "[entry]\nvm_id = \"vm-1\"\ndomain = \"a\"\nlisten = \"127.0.0.1:0\"\n\
             [platform]\naddr = \"{platform_addr}\"\n{sections}"
        );
        let settings_path = write_settings(&settings, 0);
        let mut child = spawn("run", &settings_path, descriptors);
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let part = |name: &str| -> Option<SocketAddr> {
            line.split_whitespace().find_map(|part| part.strip_prefix(name)?.parse().ok())
        };
        let addr = part("addr=").expect("the daemon started");
        let internal_addrs = part("admin=").into_iter().collect();
        let peer_addr = part("peer=");
        Self { child, addr, internal_addrs, peer_addr, ready_addr: addr, settings_path }
    }

    /// Memory and descriptors that the process uses now. Panics if the process has ended.
    pub fn usage(&self) -> Usage {
        let proc = format!("/proc/{}", self.child.id());
        let status = std::fs::read_to_string(format!("{proc}/status")).unwrap();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.expect("the daemon lives").split_whitespace().next().unwrap();
        let links = std::fs::read_dir(format!("{proc}/fd")).expect("the daemon lives");
        let links: Vec<_> =
            links.filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok()).collect();
        let inodes: HashSet<&str> = links
            .iter()
            .filter_map(|link| link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']'))
            .collect();
        let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let queued: u64 = sockets
            .lines()
            .skip(1)
            .map(|line| line.split_whitespace().collect::<Vec<_>>())
            .filter(|fields| inodes.contains(fields[9]))
            .map(|fields| {
                fields[4]
                    .split(':')
                    .map(|queue| u64::from_str_radix(queue, 16).unwrap())
                    .sum::<u64>()
            })
            .sum();
        Usage {
            memory_bytes: resident.parse::<u64>().unwrap() * 1024 + queued,
            descriptors: links.len(),
        }
    }

    /// Largest usage within `time`, sampled each 20 ms.
    pub fn peak_usage(&self, time: Duration) -> Usage {
        let end = Instant::now() + time;
        let mut peak = self.usage();
        while Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
            peak = peak.max(self.usage());
        }
        peak
    }

    /// Sends `request` on connections of its own until it gets an answer with status 200. Panics if there is none.
    pub fn wait_for_answer(&self, request: &str) {
        let end = Instant::now() + PATIENCE;
        while self.ask(request).is_none_or(|answer| !answer.starts_with("HTTP/1.1 200 ")) {
            assert!(Instant::now() < end, "no ordinary request was answered");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// First bytes of the answer to `request` on a new connection; `None` if there is none.
    pub fn ask(&self, request: &str) -> Option<String> {
        Self::ask_at(self.addr, request)
    }

    /// Like `ask`, at another port.
    pub fn ask_at(addr: SocketAddr, request: &str) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream.write_all(request.as_bytes()).ok()?;
        let mut answer = [0; 1024];
        let size = stream.read(&mut answer).ok().filter(|size| *size > 0)?;
        Some(String::from_utf8_lossy(&answer[..size]).into_owned())
    }

    /// Value of a metric without labels at the first internal port; `None` if it is not there.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let addr = self.internal_addrs.first()?;
        let mut stream = TcpStream::connect_timeout(addr, Duration::from_secs(2)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// Waits until the usage is at most `bound`. Panics if it stays above.
    pub fn wait_until_below(&self, bound: Usage) {
        let end = Instant::now() + PATIENCE;
        loop {
            let usage = self.usage();
            if usage.memory_bytes <= bound.memory_bytes && usage.descriptors <= bound.descriptors {
                return;
            }
            assert!(Instant::now() < end, "{usage:?} stays above {bound:?}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Sends SIGTERM, and returns how the process ended within its grace and a margin. Panics if it still runs then.
    pub fn stop(&mut self) -> ExitStatus {
        let kill = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        assert!(kill.unwrap().success());
        let end = Instant::now() + Duration::from_secs(12);
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the daemon still runs after its grace");
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_path);
    }
}

fn write_settings(settings: &str, number: u16) -> PathBuf {
    let name = format!("geraniumroad-callers-{}-{number}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, settings).unwrap();
    path
}

/// Starts a command of the program with a limit on its descriptors.
fn spawn(command: &str, settings_path: &Path, descriptors: usize) -> Child {
    let program = env!("CARGO_BIN_EXE_geraniumroad");
    let line = format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"");
    Command::new("sh")
        .args(["-c", &line, program, command, "--settings"])
        .arg(settings_path)
        .stdout(match command {
            "run" => Stdio::piped(),
            _ => Stdio::null(),
        })
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}
