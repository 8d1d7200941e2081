//! One daemon process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{kill_process, Pid, Signal};

/// Attempts to start a process, whose port must happen to be free for both TCP and UDP.
const START_ATTEMPTS: usize = 10;

/// A running `jujubehookd` process, which is killed when dropped.
pub struct Process {
    pub address: SocketAddr,
    pub domain: String,
    pub id: String,
    child: Child,
    ended: bool,
}

impl Process {
    pub fn start(id: &str, domain: &str, settings: &Path) -> Self {
        for _ in 0..START_ATTEMPTS {
            if let Some((child, address)) = spawn(settings) {
                return Self {
                    address,
                    child,
                    domain: domain.to_owned(),
                    ended: false,
                    id: id.to_owned(),
                };
            }
        }
        panic!("`{id}` does not start");
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.child.wait();
        self.ended = true;
    }

    pub fn signal(&self, signal: Signal) {
        assert!(!self.ended, "`{}` has ended", self.id);
        kill_process(Pid::from_child(&self.child), signal).expect("a signal to a child");
    }

    /// Returns the exit status, if the process has ended.
    pub fn exit(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().expect("the status of a child");
        self.ended |= status.is_some();
        status
    }

    pub fn has_ended(&self) -> bool {
        self.ended
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Starts a process and reads its address from its output; `None` if it does not get that far.
fn spawn(settings: &Path) -> Option<(Child, SocketAddr)> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_jujubehookd"))
        .arg("--settings")
        .arg(settings)
        .env_remove("SMOL_THREADS")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("a piped output");
    let _ = BufReader::new(stdout).read_line(&mut line);
    let address = line
        .trim()
        .strip_prefix("listening address=")
        .and_then(|address| address.parse().ok());
    match address {
        Some(address) => Some((child, address)),
        None => {
            let _ = child.kill();
            let _ = child.wait();
            None
        }
    }
}
