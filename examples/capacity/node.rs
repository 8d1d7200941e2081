use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use jujubehook_http::http_types::Method;
use jujubehook_http::{Client, Reuse};

use super::options::Options;
use super::platform::{loopback, Platform, DOMAIN};

/// Clock ticks per second in `/proc/<pid>/stat`; 100 on every Linux port in use.
const TICKS: f64 = 100.0;

/// Largest accepted answer in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

pub(crate) const PEER_KEY: &str = "peer key of a capacity run";

/// One daemon process; it is killed when dropped.
pub(crate) struct Node {
    pub(crate) address: SocketAddr,
    child: Child,
    folder: String,
    index: usize,
}

/// What a daemon has used since its start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Usage {
    /// Processor seconds, user and system.
    pub(crate) cpu: f64,
    /// Bytes of its log lines.
    pub(crate) logged: u64,
    /// Resident anonymous memory in KiB.
    pub(crate) anonymous: u64,
    /// Resident memory in KiB.
    pub(crate) resident: u64,
}

impl Node {
    /// Starts one daemon with settings in `folder`.
    pub(crate) fn start(
        options: &Options,
        platform: &Platform,
        folder: &Path,
        index: usize,
        address: SocketAddr,
    ) -> io::Result<Self> {
        let path = folder.join(format!("{index}.toml"));
        fs::write(&path, settings(options, platform, index, address))?;
        let log = File::create(folder.join(format!("{index}.log")))?;
        let mut child = Command::new(&options.daemon)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            BufReader::new(output).read_line(&mut line)?;
        }
        if !line.starts_with("listening") {
            let _ = child.kill();
            let _ = child.wait();
            return Err(io::Error::other(format!(
                "`{}` does not listen",
                path.display()
            )));
        }
        Ok(Self {
            address,
            child,
            folder: folder.display().to_string(),
            index,
        })
    }

    /// Reads a page of the daemon.
    pub(crate) async fn get(&self, client: &Client, path: &str) -> io::Result<String> {
        let mut request =
            Client::request(Method::Get, self.address, path).map_err(io::Error::other)?;
        request.insert_header("x-peer-key", PEER_KEY);
        let call = client.fetch(self.address, request, Reuse::Pooled, ANSWER_LIMIT);
        let (response, bytes) = call.await.map_err(io::Error::other)?;
        if response.status().is_success() {
            return Ok(String::from_utf8_lossy(&bytes).into_owned());
        }
        Err(io::Error::other(format!(
            "`{path}` answered {}",
            response.status()
        )))
    }

    /// Reads `/proc`.
    pub(crate) fn usage(&self) -> io::Result<Usage> {
        let id = self.child.id();
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let fields: Vec<&str> = stat
            .rsplit(") ")
            .next()
            .unwrap_or_default()
            .split(' ')
            .collect();
        let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        Ok(Usage {
            anonymous: kib(&status, "RssAnon:"),
            // Fields 14 and 15, counted from the one after the name.
            cpu: (ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default()) / TICKS,
            logged: fs::metadata(format!("{}/{}.log", self.folder, self.index))?.len(),
            resident: kib(&status, "VmRSS:"),
        })
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A port that was free a moment ago.
pub(crate) fn free_port() -> io::Result<SocketAddr> {
    TcpListener::bind(loopback())?.local_addr()
}

fn kib(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or_default()
}

fn settings(options: &Options, platform: &Platform, index: usize, address: SocketAddr) -> String {
    let heartbeat = Duration::from_millis(options.heartbeat_ms);
    let suspicion = (heartbeat * 2).max(Duration::from_millis(1500));
    let lease = (suspicion + Duration::from_secs(1)).max(Duration::from_secs(3));
    format!(
        "instance = \"node-{index:03}\"\ndomain = \"{DOMAIN}\"\nlisten = \"{address}\"\npeer_key = \"{PEER_KEY}\"\n\
         [network]\nlog = \"{}\"\nlist = \"{}\"\nheartbeat_ms = {}\nsuspicion_ms = {}\nlease_ms = {}\n\
         list_interval_ms = {}\nreap_ms = {}\n[queue]\nlimit = 64\nmemory_tokens = 4000000\n",
        platform.log,
        platform.list,
        options.heartbeat_ms,
        suspicion.as_millis(),
        lease.as_millis(),
        options.list_ms,
        options.reap_ms,
    )
}
