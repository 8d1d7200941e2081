//! Stand-ins for the platform and the targets, and byte-counting proxies in front of them.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use jujubehook_http::http_types::{Request, Response};
use jujubehook_http::{text, Peer, Server};
use jujubehook_standin::{engine, log, service, Engine, Log, Service};
use serde_json::{json, Value};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream, UdpSocket};

use super::options::Options;

/// Failure domain of the measured instances.
pub(crate) const DOMAIN: &str = "north";

/// Number of domains of a full-size installation, the measured one included.
const DOMAINS: usize = 12;

/// Number of models of a full-size installation.
const MODELS: usize = 13;

/// Listed instances in each other domain.
const ENTRIES: usize = 30;

/// Stand-ins of one run, and an instance list whose version the run increments.
pub(crate) struct Platform {
    pub(crate) list: SocketAddr,
    pub(crate) log: SocketAddr,
    /// Entries of the instance list.
    pub(crate) rows: Vec<Value>,
    /// Bytes to and from instance list, log and engines.
    pub(crate) tapped: Arc<Tapped>,
    /// Version of the instance list.
    pub(crate) version: Arc<AtomicU64>,
    _engines: Vec<Engine>,
    _log: Log,
    _service: Service,
}

/// Bytes counted by the proxies and the probe.
#[derive(Debug, Default)]
pub(crate) struct Tapped {
    /// Bytes of the heartbeats that the probe received.
    pub(crate) datagrams: AtomicU64,
    /// Bytes from the stand-ins to the daemons.
    pub(crate) received: AtomicU64,
    /// Bytes from the daemons to the stand-ins.
    pub(crate) sent: AtomicU64,
}

impl Platform {
    /// Starts the stand-ins except for the instance list, which needs the addresses of the instances.
    pub(crate) async fn start(options: &Options) -> io::Result<Self> {
        let tapped = Arc::new(Tapped::default());
        let log = Log::start(loopback(), log::Settings::default()).await?;
        let service = Service::start(loopback(), service::Settings::default()).await?;
        let mut rows = other_domains(options.rows);
        rows.push(json!({
            "id": "service", "role": "service", "address": service.address(), "domain": DOMAIN,
            "state": "live", "service": "seats",
        }));
        let mut engines = Vec::new();
        for index in 0..options.engines {
            let engine = Engine::start(loopback(), engine_settings()).await?;
            let address = tap(options, engine.address(), &tapped).await?;
            rows.push(row(
                &format!("engine-{index:05}"),
                address,
                DOMAIN,
                "model-0",
            ));
            engines.push(engine);
        }
        if options.tap {
            rows.push(probe(&tapped).await?);
        }
        Ok(Self {
            list: loopback(),
            log: tap(options, log.address(), &tapped).await?,
            rows,
            tapped,
            version: Arc::new(AtomicU64::new(1)),
            _engines: engines,
            _log: log,
            _service: service,
        })
    }

    /// Serves `rows` as the instance list.
    pub(crate) async fn serve_list(&mut self, options: &Options) -> io::Result<Server> {
        let rows = Arc::new(self.rows.clone());
        let version = self.version.clone();
        let server = Server::start(loopback(), move |request: Request, _: Peer| {
            let (rows, version) = (rows.clone(), version.load(Ordering::Relaxed));
            async move { instance_list(&request, &rows, version) }
        })
        .await?;
        self.list = tap(options, server.address(), &self.tapped).await?;
        Ok(server)
    }
}

pub(crate) fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn engine_settings() -> engine::Settings {
    engine::Settings {
        cold: false,
        decode_rate: 400.0,
        memory: 4_000_000,
        model: "model-0".into(),
        prefill_rate: 10_000_000.0,
        ..engine::Settings::default()
    }
}

/// Response of the instance list.
fn instance_list(request: &Request, rows: &[Value], version: u64) -> Response {
    if request.url().query() == Some(&format!("version={version}")) {
        return text(304, "");
    }
    let body = json!({"instances": rows, "version": version});
    jujubehook_http::json(200, &body)
}

/// Entries of the other domains: `rows` engines and, if there are any, the instances. None of them runs.
fn other_domains(rows: usize) -> Vec<Value> {
    let unused = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let mut list = Vec::new();
    for index in 0..rows {
        let domain = format!("domain-{}", 1 + index % (DOMAINS - 1));
        let model = format!("model-{}", index % MODELS);
        list.push(row(&format!("replica-{index:05}"), unused, &domain, &model));
    }
    let entries = if rows == 0 {
        0
    } else {
        ENTRIES * (DOMAINS - 1)
    };
    for index in 0..entries {
        let domain = format!("domain-{}", 1 + index % (DOMAINS - 1));
        list.push(json!({
            "id": format!("remote-{index:05}"), "role": "entry", "address": unused,
            "domain": domain, "state": "live",
        }));
    }
    list
}

/// Entry of an engine in the instance list.
fn row(id: &str, address: SocketAddr, domain: &str, model: &str) -> Value {
    json!({
        "id": id, "role": "engine", "address": address, "domain": domain, "state": "live", "model": model,
    })
}

/// Entry of an instance that does not run. A socket at its address counts the bytes of the heartbeats sent to it.
async fn probe(tapped: &Arc<Tapped>) -> io::Result<Value> {
    let socket = UdpSocket::bind(loopback()).await?;
    let address = socket.local_addr()?;
    let tapped = tapped.clone();
    smol::spawn(async move {
        let mut buffer = [0; 2048];
        while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
            tapped.datagrams.fetch_add(length as u64, Ordering::Relaxed);
        }
    })
    .detach();
    Ok(json!({
        "id": "probe", "role": "entry", "address": address, "domain": DOMAIN, "state": "live",
    }))
}

/// The address of a proxy that forwards to `to` and counts the bytes; `to` itself if the run does not count them.
async fn tap(options: &Options, to: SocketAddr, tapped: &Arc<Tapped>) -> io::Result<SocketAddr> {
    if !options.tap {
        return Ok(to);
    }
    let listener = TcpListener::bind(loopback()).await?;
    let address = listener.local_addr()?;
    let tapped = tapped.clone();
    smol::spawn(async move {
        while let Ok((daemon, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(to).await else {
                continue;
            };
            let (up, down) = (tapped.clone(), tapped.clone());
            smol::spawn(copy(daemon.clone(), server.clone(), move |n| {
                up.sent.fetch_add(n, Ordering::Relaxed);
            }))
            .detach();
            smol::spawn(copy(server, daemon, move |n| {
                down.received.fetch_add(n, Ordering::Relaxed);
            }))
            .detach();
        }
    })
    .detach();
    Ok(address)
}

/// Copies bytes in one direction until either end is closed.
async fn copy(mut from: TcpStream, mut to: TcpStream, count: impl Fn(u64)) {
    let mut buffer = vec![0; 1 << 16];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
        count(length as u64);
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}
