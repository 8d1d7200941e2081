//! A daemon process and its resource usage.

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

/// Clock ticks per second in `/proc/<pid>/stat`; 100 on all current Linux architectures.
const TICKS_PER_SECOND: f64 = 100.0;

/// Largest accepted response in bytes.
const RESPONSE_LIMIT: usize = 64 << 20;

/// Key that authenticates instances to each other.
pub(crate) const PEER_KEY: &str = "peer key of a capacity run";

/// One daemon process; it is killed when dropped.
pub(crate) struct Node {
    pub(crate) address: SocketAddr,
    child: Child,
    folder: String,
    index: usize,
}

/// Resources that a daemon has used since its start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Usage {
    /// User and system time in seconds.
    pub(crate) cpu: f64,
    /// Bytes of its log lines.
    pub(crate) logged: u64,
    /// Resident anonymous memory in KiB.
    pub(crate) anonymous: u64,
    /// Resident memory in KiB.
    pub(crate) resident: u64,
}

impl Node {
    /// Starts a daemon whose settings and log are in `folder`.
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
                "the daemon with settings `{}` does not listen",
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

    /// Requests `path` from the daemon and returns the body.
    pub(crate) async fn get(&self, client: &Client, path: &str) -> io::Result<String> {
        let mut request =
            Client::request(Method::Get, self.address, path).map_err(io::Error::other)?;
        request.insert_header("x-peer-key", PEER_KEY);
        let call = client.fetch(self.address, request, Reuse::Pooled, RESPONSE_LIMIT);
        let (response, bytes) = call.await.map_err(io::Error::other)?;
        if response.status().is_success() {
            return Ok(String::from_utf8_lossy(&bytes).into_owned());
        }
        Err(io::Error::other(format!(
            "`{path}` responded {}",
            response.status()
        )))
    }

    /// Reads the usage of the process from `/proc` and the size of its log.
    pub(crate) fn usage(&self) -> io::Result<Usage> {
        let id = self.child.id();
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let fields: Vec<&str> = stat
            .rsplit(") ")
            .next()
            .unwrap_or_default()
            .split(' ')
            .collect();
        let ticks = |index: usize| {
            fields
                .get(index)
                .and_then(|field| field.parse::<f64>().ok())
        };
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        Ok(Usage {
            anonymous: kib(&status, "RssAnon:"),
            // Fields 14 and 15 of the line; the name, field 2, is cut off with those before it.
            cpu: (ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default()) / TICKS_PER_SECOND,
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

/// An address on loopback whose port was free a moment ago.
pub(crate) fn free_port() -> io::Result<SocketAddr> {
    TcpListener::bind(loopback())?.local_addr()
}

/// A value in KiB from `/proc/<pid>/status`.
fn kib(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or_default()
}

/// The settings file of a daemon.
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
