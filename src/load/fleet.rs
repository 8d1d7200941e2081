use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use jujubehook_http::http_types::Method;
use jujubehook_http::{Client, Reuse};
use jujubehook_standin::{engine, list, log, service, Engine, List, Log, Service};
use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use smol::Timer;

use crate::daemon::Daemon;
use crate::id::{DomainId, InstanceId, ModelId, TargetId};
use crate::record;
use crate::remote;
use crate::settings;

/// Longest time until a new fleet is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the readiness of a new fleet is checked.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// Attempts to start a daemon, each on another port.
const START_ATTEMPTS: u32 = 5;

/// Largest accepted response of a stand-in in bytes.
const RESPONSE_LIMIT: usize = 16 << 20;

/// Name of the plain service that every fleet has.
pub(super) const SERVICE: &str = "seats";

/// Name of the service call that must run at most once.
pub(super) const ONCE_CALL: &str = "sell";

/// Key that authenticates instances to each other.
const PEER_KEY: &str = "peer key of an embedded fleet";

/// Size and speed of a fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of failure domains.
    pub domains: usize,
    /// Settings of each engine; its model is replaced by `model`.
    pub engine: engine::Settings,
    /// Engines in each domain.
    pub engines: usize,
    /// Additional engines, one in each of the first domains.
    pub extra_engines: usize,
    /// Instances in each domain.
    pub instances: usize,
    /// Model that all engines serve.
    pub model: ModelId,
    /// Network settings of the instances; the addresses are replaced.
    pub network: settings::Network,
    /// Routing policy of the instances.
    pub policy: String,
    /// Queue settings of the instances.
    pub queue: settings::Queue,
    /// Settings of each plain service; one runs in each domain.
    pub service: service::Settings,
    /// Number of workspaces; the key of workspace `<index>` is `key-<index>`.
    pub workspaces: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            domains: 3,
            engine: engine::Settings::default(),
            engines: 8,
            extra_engines: 0,
            instances: 5,
            model: "resin".into(),
            network: settings::Network::default(),
            policy: "affinity".into(),
            queue: settings::Queue::default(),
            service: service::Settings::default(),
            workspaces: 10,
        }
    }
}

/// Stand-ins and daemons in this process, on loopback ports.
pub struct Fleet {
    client: Client,
    daemons: Vec<(InstanceId, DomainId, Daemon)>,
    engines: Vec<(TargetId, DomainId, Engine)>,
    list: List,
    log: Log,
    services: Vec<(TargetId, DomainId, Service)>,
    settings: Settings,
}

impl Fleet {
    /// Starts a fleet and waits until every instance is ready and every target has an owner.
    ///
    /// # Errors
    /// Fails if a port cannot be bound, a record is refused or the fleet is not ready within 30 s.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let list = List::start(loopback(), list::Settings::default()).await?;
        let log = Log::start(loopback(), log::Settings::default()).await?;
        let mut fleet = Self {
            client: Client::default(),
            daemons: Vec::new(),
            engines: Vec::new(),
            list,
            log,
            services: Vec::new(),
            settings,
        };
        fleet.publish_workspaces().await?;
        for domain in 0..fleet.settings.domains {
            fleet.start_targets(domain).await?;
        }
        for domain in 0..fleet.settings.domains {
            for _ in 0..fleet.settings.instances {
                fleet.start_daemon(&domain_name(domain)).await?;
            }
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Publishes a record; its base is the revision in force.
    ///
    /// # Errors
    /// Fails if the log cannot be read or refuses the entry.
    pub async fn publish(&self, kind: record::Kind, name: &str, body: Value) -> io::Result<u64> {
        let log = remote::Log::new(self.log.address(), remote::Settings::default());
        let page = log
            .read("config", 1, 100_000, Duration::ZERO)
            .await
            .map_err(other)?;
        let mut fold = record::Fold::default();
        for entry in &page.entries {
            fold.apply(entry.offset, &entry.body).map_err(other)?;
        }
        let base = fold.revision(kind, name);
        let entry = record::entry(kind, name, record::NEWEST_SCHEMA, base, &body);
        log.append("config", &entry).await.map_err(other)
    }

    /// Sets fault switches of the stand-in at `address`.
    ///
    /// # Errors
    /// Fails if the stand-in cannot be reached or refuses them.
    pub async fn set_faults(&self, address: SocketAddr, switches: &Value) -> io::Result<()> {
        self.send(Method::Post, address, "/fault", switches)
            .await
            .map(|_| ())
    }

    /// Statistics of the stand-in at `address`.
    ///
    /// # Errors
    /// Fails if the stand-in cannot be reached.
    pub async fn stats(&self, address: SocketAddr) -> io::Result<Value> {
        self.send(Method::Get, address, "/stats", &Value::Null)
            .await
    }

    /// Stops an instance abruptly, as a crash would. It stays in the instance list.
    ///
    /// # Panics
    /// Panics if there is no instance `index`.
    pub fn kill(&mut self, index: usize) -> InstanceId {
        self.daemons.remove(index).0
    }

    /// Index of the first instance that is the controller of its domain.
    pub fn controller(&self) -> Option<usize> {
        self.daemons
            .iter()
            .position(|(.., daemon)| daemon.is_controller())
    }

    /// Addresses of the instances, ordered by domain.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.daemons
            .iter()
            .map(|(.., daemon)| daemon.address())
            .collect()
    }

    /// Names, domains and addresses of the engines.
    pub fn engines(&self) -> Vec<(TargetId, DomainId, SocketAddr)> {
        self.engines
            .iter()
            .map(|(id, domain, engine)| (id.clone(), domain.clone(), engine.address()))
            .collect()
    }

    /// Names, domains and addresses of the plain services.
    pub fn services(&self) -> Vec<(TargetId, DomainId, SocketAddr)> {
        self.services
            .iter()
            .map(|(id, domain, service)| (id.clone(), domain.clone(), service.address()))
            .collect()
    }

    /// Address of the instance list.
    pub fn list(&self) -> SocketAddr {
        self.list.address()
    }

    /// Address of the log.
    pub fn log(&self) -> SocketAddr {
        self.log.address()
    }

    /// Key that authenticates instances to each other.
    pub fn peer_key(&self) -> &'static str {
        PEER_KEY
    }

    /// Settings of the fleet.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    async fn publish_workspaces(&self) -> io::Result<()> {
        for workspace in 0..self.settings.workspaces {
            let key = workspace_key(workspace);
            let body = json!({
                "grants": [{"model": self.settings.model}],
                "keys": [hex(&Sha256::digest(key.as_bytes()))],
            });
            self.publish(
                record::Kind::Workspace,
                &format!("workspace-{workspace}"),
                body,
            )
            .await?;
        }
        let body = json!({"calls": [{"name": ONCE_CALL, "once": true}]});
        self.publish(record::Kind::Service, SERVICE, body)
            .await
            .map(|_| ())
    }

    async fn start_targets(&mut self, domain: usize) -> io::Result<()> {
        let extra = usize::from(domain < self.settings.extra_engines);
        let domain = &domain_name(domain);
        for index in 0..self.settings.engines + extra {
            let id = format!("engine-{domain}-{index}");
            let settings = engine::Settings {
                model: self.settings.model.clone(),
                ..self.settings.engine.clone()
            };
            let engine = Engine::start(loopback(), settings).await?;
            let member = json!({
                "role": "engine", "address": engine.address(), "domain": domain,
                "state": "live", "model": self.settings.model,
            });
            self.register(&id, &member).await?;
            self.engines.push((id, domain.to_owned(), engine));
        }
        let id = format!("service-{domain}");
        let service = Service::start(loopback(), self.settings.service.clone()).await?;
        let member = json!({
            "role": "service", "address": service.address(), "domain": domain,
            "state": "live", "service": SERVICE,
        });
        self.register(&id, &member).await?;
        self.services.push((id, domain.to_owned(), service));
        Ok(())
    }

    async fn start_daemon(&mut self, domain: &str) -> io::Result<()> {
        let instance = format!("entry-{domain}-{}", self.daemons.len());
        let daemon = self.launch(domain, &instance).await?;
        let member = json!({
            "role": "entry", "address": daemon.address(), "domain": domain, "state": "live",
        });
        self.register(&instance, &member).await?;
        self.daemons.push((instance, domain.to_owned(), daemon));
        Ok(())
    }

    /// Starts a daemon on a free port. Another process may take the port before the daemon binds it, so it is tried
    /// again on another one.
    async fn launch(&self, domain: &str, instance: &str) -> io::Result<Daemon> {
        let mut failure = other("no start was attempted");
        for _ in 0..START_ATTEMPTS {
            let settings = settings::Settings {
                domain: domain.to_owned(),
                instance: instance.to_owned(),
                limits: settings::Limits::default(),
                listen: free_port()?,
                log: crate::event::Settings::default(),
                network: settings::Network {
                    list: self.list.address(),
                    log: self.log.address(),
                    ..self.settings.network.clone()
                },
                peer_key: PEER_KEY.into(),
                policy: self.settings.policy.clone(),
                queue: self.settings.queue.clone(),
            };
            match Daemon::start(settings).await {
                Ok(daemon) => return Ok(daemon),
                Err(error) => failure = other(error),
            }
        }
        Err(failure)
    }

    /// Puts a member into the instance list.
    async fn register(&self, id: &str, member: &Value) -> io::Result<()> {
        let path = format!("/instances/{id}");
        self.send(Method::Put, self.list.address(), &path, member)
            .await
            .map(|_| ())
    }

    async fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > end {
                return Err(other(format!(
                    "fleet not ready after {} s",
                    READY_TIMEOUT.as_secs()
                )));
            }
            Timer::after(READY_INTERVAL).await;
        }
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let owned: usize = self
            .daemons
            .iter()
            .map(|(.., daemon)| daemon.owned_targets())
            .sum();
        let targets = self.engines.len() + self.services.len();
        // Only the affinity policy assigns owners to targets.
        let has_owners = self.settings.policy == "affinity";
        self.daemons.iter().all(|(.., daemon)| daemon.is_ready())
            && (owned == targets || !has_owners)
    }

    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> io::Result<Value> {
        let mut request = Client::request(method, address, path).map_err(other)?;
        if !body.is_null() {
            request.set_body(body.to_string());
        }
        let call = self
            .client
            .fetch(address, request, Reuse::Never, RESPONSE_LIMIT);
        let (response, bytes) = call.await.map_err(other)?;
        if response.status().is_success() {
            return Ok(serde_json::from_slice(&bytes).unwrap_or_default());
        }
        Err(other(format!(
            "`{path}` responded {}: {}",
            response.status(),
            String::from_utf8_lossy(&bytes)
        )))
    }
}

/// Key of the callers of a workspace.
pub(super) fn workspace_key(workspace: usize) -> String {
    format!("key-{workspace}")
}

fn domain_name(index: usize) -> DomainId {
    let names = ["north", "south", "west", "east"];
    names
        .get(index)
        .map_or_else(|| format!("domain-{index}"), |name| (*name).to_owned())
}

fn free_port() -> io::Result<SocketAddr> {
    // The listener only finds a free port and is closed again; the daemon binds the port for TCP and UDP.
    TcpListener::bind(loopback())?.local_addr()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn other(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::other(error)
}
