//! A running cluster.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use jujubehook::load::{Answer, Caller};
use jujubehook::record::{self, Kind};
use jujubehook::remote;
use jujubehook_http::http_types::Method;
use jujubehook_http::{with_timeout, Client, Reuse};
use jujubehook_standin::{list, text, Engine, List, Log, Service};
use rustix::process::Signal;
use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use smol::Task;

use super::link::{Link, Route};
use super::process::Process;
use super::{unix_ms, wait_until, ClusterBuilder, DELIVERY_GRACE, MODEL, ONCE_CALL, SERVICE};

const RESPONSE_LIMIT: usize = 16 << 20;
const DOMAINS: [&str; 4] = ["north", "south", "west", "east"];
/// Key that all instances share.
pub const PEER_KEY: &str = "peer key of a test cluster";
const READY_LIMIT: Duration = Duration::from_secs(20);
const WORKSPACE_KEY: &str = "key-0";

/// Time limit for the status of an instance, which may be paused.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Timing of the instances, shorter than in production so that takeovers are quick.
const NETWORK: &str = "\
heartbeat_ms = 100
lease_ms = 800
list_interval_ms = 100
margin_ms = 150
pause_ms = 400
reap_ms = 300
suspicion_ms = 300
";

/// A target's stand-in.
pub struct Target {
    pub address: SocketAddr,
    pub domain: String,
    pub id: String,
}

/// A completion request, against which its answer can be checked.
#[derive(Clone, Debug)]
pub struct Completion {
    pub deadline: Duration,
    pub max_tokens: u64,
    pub prompt: String,
}

/// A running cluster: stand-ins in this process and daemons in their own processes.
pub struct Cluster {
    pub caller: Arc<Caller>,
    pub engines: Vec<Target>,
    pub instances: Vec<Process>,
    pub services: Vec<Target>,
    client: Client,
    builder: ClusterBuilder,
    folder: tempfile::TempDir,
    links: Vec<Link>,
    lists: Vec<List>,
    log: Log,
    running_engines: Vec<Engine>,
    running_services: Vec<Service>,
    /// Number of instances started so far.
    started: usize,
}

impl Completion {
    /// Makes a request with a prompt of `tokens` tokens that is different for each `number`.
    pub fn new(number: usize, tokens: usize, max_tokens: u64, deadline: Duration) -> Self {
        let bytes = tokens * text::TOKEN_BYTES;
        let mut prompt = format!("{number:06} ");
        prompt.push_str(&"seat ".repeat(bytes / 5 + 1));
        prompt.truncate(bytes);
        Self {
            deadline,
            max_tokens,
            prompt,
        }
    }

    /// Panics unless the answer arrived in time and is complete, or a correct prefix followed by an error.
    pub fn check(&self, answer: &Answer) {
        assert!(
            answer.total <= self.deadline + DELIVERY_GRACE,
            "answered after {:?}, deadline {:?}: {:?}",
            answer.total,
            self.deadline,
            answer.error
        );
        assert_ne!(
            answer.error.as_deref(),
            Some("lost"),
            "no proper end: {answer:?}"
        );
        let whole = text::response(&self.prompt, self.max_tokens as usize);
        if answer.is_ok() {
            assert!(answer.text == whole, "wrong text: {}", answer.text);
            assert_eq!(answer.count, Some(self.max_tokens));
        } else {
            assert!(
                whole.starts_with(&answer.text),
                "wrong text before an error"
            );
        }
    }

    /// Panics unless the answer arrived in time and is complete.
    pub fn check_whole(&self, answer: &Answer) {
        assert!(
            answer.is_ok(),
            "{:?} after {:?}",
            answer.error,
            answer.total
        );
        self.check(answer);
    }
}

impl Cluster {
    pub(super) async fn start(builder: ClusterBuilder) -> Self {
        let log = Log::start(loopback(), builder.log.clone())
            .await
            .expect("a log");
        let mut cluster = Self {
            caller: Arc::new(Caller::new(WORKSPACE_KEY)),
            client: Client::default(),
            engines: Vec::new(),
            folder: tempfile::tempdir().expect("a temporary folder"),
            instances: Vec::new(),
            links: Vec::new(),
            lists: Vec::new(),
            log,
            running_engines: Vec::new(),
            running_services: Vec::new(),
            services: Vec::new(),
            started: 0,
            builder,
        };
        cluster.publish_initial().await;
        cluster.start_platform().await;
        let domains = &DOMAINS[..cluster.builder.domains];
        for domain in domains {
            cluster.start_targets(domain).await;
        }
        for domain in domains {
            for _ in 0..cluster.builder.instances {
                cluster.start_instance(domain).await;
            }
        }
        cluster.wait_settled().await;
        cluster
    }

    /// Starts another instance and returns its index.
    pub async fn start_instance(&mut self, domain: &str) -> usize {
        let id = format!("entry-{domain}-{}", self.started);
        self.started += 1;
        let path = self.write_settings(&id, domain);
        let process = Process::start(&id, domain, &path);
        let member = json!({
            "role": "entry", "address": process.address, "domain": domain, "state": "live",
        });
        self.register(&id, domain, process.address, member).await;
        self.instances.push(process);
        self.instances.len() - 1
    }

    /// Waits until all running instances are ready and every target has exactly one owner.
    pub async fn wait_settled(&self) {
        wait_until(
            "all instances ready, all targets owned",
            READY_LIMIT,
            async || self.is_settled().await,
        )
        .await;
    }

    /// Publishes a record, based on the revision in force, and returns its offset.
    pub async fn publish(&self, kind: Kind, name: &str, body: Value) -> u64 {
        let log = remote::Log::new(self.log.address(), remote::Settings::default());
        let page = log
            .read("config", 1, 100_000, Duration::ZERO)
            .await
            .expect("the records");
        let mut fold = record::Fold::default();
        for entry in &page.entries {
            fold.apply(entry.offset, &entry.body)
                .expect("a known schema");
        }
        let base = fold.revision(kind, name);
        let entry = record::entry(kind, name, record::NEWEST_SCHEMA, base, &body);
        log.append("config", &entry).await.expect("an append")
    }

    /// Sends a completion request through an instance.
    pub fn complete(&self, instance: usize, completion: &Completion) -> Task<Answer> {
        let entry = self.instances[instance].address;
        let (caller, completion) = (self.caller.clone(), completion.clone());
        smol::spawn(async move {
            caller
                .complete(
                    entry,
                    MODEL,
                    &completion.prompt,
                    completion.max_tokens,
                    completion.deadline,
                )
                .await
        })
    }

    /// Sends a sale through an instance.
    pub fn sell(&self, instance: usize, key: &str, deadline: Duration) -> Task<Answer> {
        let entry = self.instances[instance].address;
        let (caller, key) = (self.caller.clone(), key.to_owned());
        smol::spawn(async move {
            let body = json!({"seat": key});
            caller
                .call(entry, ONCE_CALL, Some(&key), &body, deadline)
                .await
        })
    }

    /// Kills an instance with SIGKILL. From then on all its addresses refuse connections.
    pub async fn kill(&mut self, instance: usize) {
        self.instances[instance].kill();
        let address = self.instances[instance].address;
        for link in self.links.iter().filter(|link| link.upstream() == address) {
            link.cut().await;
        }
    }

    /// Removes an instance from all instance lists, as the platform does some time after it has died.
    pub async fn unlist(&self, instance: usize) {
        let path = format!("/instances/{}", self.instances[instance].id);
        for list in &self.lists {
            self.send(Method::Delete, list.address(), &path, &Value::Null)
                .await;
        }
    }

    /// Pauses an instance with SIGSTOP.
    pub fn pause(&self, instance: usize) {
        self.instances[instance].signal(Signal::STOP);
    }

    /// Resumes a paused instance.
    pub fn resume(&self, instance: usize) {
        self.instances[instance].signal(Signal::CONT);
    }

    /// Asks an instance to shut down gracefully, with SIGTERM.
    pub fn terminate(&self, instance: usize) {
        self.instances[instance].signal(Signal::TERM);
    }

    /// Sets faults of a stand-in.
    pub async fn set_faults(&self, address: SocketAddr, faults: Value) {
        self.send(Method::Post, address, "/fault", &faults).await;
    }

    /// Waits until a stand-in accepts connections again.
    pub async fn wait_up(&self, address: SocketAddr) {
        wait_until("a stand-in is up", READY_LIMIT, async || {
            smol::net::TcpStream::connect(address).await.is_ok()
        })
        .await;
    }

    /// Waits until a stand-in refuses connections.
    pub async fn wait_down(&self, address: SocketAddr) {
        wait_until("a stand-in is down", READY_LIMIT, async || {
            smol::net::TcpStream::connect(address).await.is_err()
        })
        .await;
    }

    /// Reads what a stand-in has recorded.
    pub async fn stats(&self, address: SocketAddr) -> Value {
        self.send(Method::Get, address, "/stats", &Value::Null)
            .await
    }

    /// Times at which a target got its requests, in Unix milliseconds.
    pub fn request_times(&self, stats: &Value) -> Vec<u64> {
        let requests = stats["requests"].as_array().cloned().unwrap_or_default();
        requests
            .iter()
            .filter_map(|request| request["at_ms"].as_u64())
            .collect()
    }

    /// Time at which a target got its last request, in Unix milliseconds; 0 if there was none.
    pub async fn last_request(&self, address: SocketAddr) -> u64 {
        let stats = self.stats(address).await;
        self.request_times(&stats)
            .into_iter()
            .max()
            .unwrap_or_default()
    }

    /// Reads the status of an instance; `None` if it does not answer.
    pub async fn status(&self, instance: usize) -> Option<Value> {
        let process = &self.instances[instance];
        if process.has_ended() {
            return None;
        }
        let mut request = Client::request(Method::Get, process.address, "/peer/status").ok()?;
        request.insert_header("x-peer-key", PEER_KEY);
        let call = self
            .client
            .fetch(process.address, request, Reuse::Never, RESPONSE_LIMIT);
        let (response, bytes) = with_timeout(STATUS_TIMEOUT, call).await.ok()?;
        let value = serde_json::from_slice(&bytes).ok()?;
        response.status().is_success().then_some(value)
    }

    /// Whether an instance reports that it is ready; `None` if it does not answer.
    pub async fn is_ready(&self, instance: usize) -> Option<bool> {
        let address = self.instances[instance].address;
        let request = Client::request(Method::Get, address, "/readyz").ok()?;
        let call = self
            .client
            .fetch(address, request, Reuse::Never, RESPONSE_LIMIT);
        let (response, _) = with_timeout(STATUS_TIMEOUT, call).await.ok()?;
        Some(response.status().is_success())
    }

    /// Instances that dispatch to a target.
    pub async fn owners(&self, target: &str) -> Vec<usize> {
        let mut owners = Vec::new();
        for index in 0..self.instances.len() {
            let Some(status) = self.status(index).await else {
                continue;
            };
            let targets = status["targets"].as_array().cloned().unwrap_or_default();
            if targets.iter().any(|owned| owned["target"] == target) {
                owners.push(index);
            }
        }
        owners
    }

    /// The instance that owns the most engines, and the indices of these engines.
    pub async fn main_owner(&self) -> (usize, Vec<usize>) {
        let mut owned = vec![Vec::new(); self.instances.len()];
        for (index, engine) in self.engines.iter().enumerate() {
            for owner in self.owners(&engine.id).await {
                owned[owner].push(index);
            }
        }
        let owner = (0..owned.len()).max_by_key(|&index| owned[index].len());
        let owner = owner.expect("an instance");
        assert!(!owned[owner].is_empty(), "no engine has an owner");
        (owner, owned.swap_remove(owner))
    }

    /// Cuts the links between two domains.
    pub async fn cut_domains(&self, a: &str, b: &str) {
        for link in self.links_between(a, b) {
            link.cut().await;
        }
    }

    /// Cuts the links between the instances of a domain; its targets stay reachable.
    pub async fn cut_inside(&self, domain: &str) {
        for link in self.links_on(&Route::Inside(domain.to_owned())) {
            link.cut().await;
        }
    }

    /// Cuts the links from a domain to the log and the instance list.
    pub async fn cut_platform(&self, domain: &str) {
        for link in self.links_on(&Route::Platform(domain.to_owned())) {
            link.cut().await;
        }
    }

    /// Heals all links.
    pub async fn heal(&self) {
        for link in &self.links {
            link.heal().await;
        }
    }

    /// Waits until no engine has a running stream or a handle.
    pub async fn wait_released(&self, limit: Duration) {
        wait_until("no engine holds memory for a request", limit, async || {
            for engine in &self.engines {
                let stats = self.stats(engine.address).await;
                let memory = &stats["memory"];
                if stats["running"] != 0 || memory["streams"] != 0 || memory["handles"] != 0 {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Number of executions with a key on all services.
    pub async fn executions(&self, key: &str) -> u64 {
        let mut count = 0;
        for service in &self.services {
            let stats = self.stats(service.address).await;
            let calls = stats["calls"].as_array().cloned().unwrap_or_default();
            let counts = calls.iter().filter(|call| call["key"] == key);
            count += counts
                .filter_map(|call| call["count"].as_u64())
                .sum::<u64>();
        }
        count
    }

    pub fn log(&self) -> SocketAddr {
        self.log.address()
    }

    /// Index of the first instance of a domain.
    pub fn instance_in(&self, domain: &str) -> usize {
        let position = self
            .instances
            .iter()
            .position(|process| process.domain == domain);
        position.expect("an instance in the domain")
    }

    async fn is_settled(&self) -> bool {
        for index in 0..self.instances.len() {
            if !self.instances[index].has_ended() && self.is_ready(index).await != Some(true) {
                return false;
            }
        }
        for target in self.engines.iter().chain(&self.services) {
            if self.owners(&target.id).await.len() != 1 {
                return false;
            }
        }
        true
    }

    /// Publishes the records that the tests need.
    async fn publish_initial(&self) {
        let digest = Sha256::digest(WORKSPACE_KEY.as_bytes());
        let key: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let body = json!({"grants": [{"model": MODEL}], "keys": [key]});
        self.publish(Kind::Workspace, "workspace-0", body).await;
        let body = json!({"calls": [{"name": ONCE_CALL, "once": true}]});
        self.publish(Kind::Service, SERVICE, body).await;
    }

    /// Starts an instance list for each domain, and the domain's links to its list and to the log.
    async fn start_platform(&mut self) {
        for domain in &DOMAINS[..self.builder.domains] {
            let list = List::start(loopback(), list::Settings::default())
                .await
                .expect("a list");
            let route = Route::Platform((*domain).to_owned());
            self.links
                .push(Link::start(route.clone(), list.address()).await);
            self.links
                .push(Link::start(route, self.log.address()).await);
            self.lists.push(list);
        }
    }

    async fn start_targets(&mut self, domain: &str) {
        for index in 0..self.builder.engines {
            let id = format!("engine-{domain}-{index}");
            let engine = Engine::start(loopback(), self.builder.engine.clone());
            let engine = engine.await.expect("an engine");
            let address = engine.address();
            let member = json!({
                "role": "engine", "address": address, "domain": domain, "state": "live",
                "model": MODEL,
            });
            self.register(&id, domain, address, member).await;
            let domain = domain.to_owned();
            self.engines.push(Target {
                address,
                domain,
                id,
            });
            self.running_engines.push(engine);
        }
        let id = format!("service-{domain}");
        let service = Service::start(loopback(), self.builder.service.clone());
        let service = service.await.expect("a service");
        let address = service.address();
        let member = json!({
            "role": "service", "address": address, "domain": domain, "state": "live",
            "service": SERVICE,
        });
        self.register(&id, domain, address, member).await;
        let domain = domain.to_owned();
        self.services.push(Target {
            address,
            domain,
            id,
        });
        self.running_services.push(service);
    }

    /// Adds a member to each domain's instance list, with the address of a link unless it is a target of that domain.
    async fn register(&mut self, id: &str, domain: &str, address: SocketAddr, mut member: Value) {
        for (list, name) in self.lists.iter().zip(DOMAINS) {
            let name = name.to_owned();
            let route = match (name == domain, member["role"] == "entry") {
                (true, true) => Some(Route::Inside(name)),
                (true, false) => None,
                (false, _) => Some(Route::Across(name, domain.to_owned())),
            };
            member["address"] = json!(address);
            if let Some(route) = route {
                let link = Link::start(route, address).await;
                member["address"] = json!(link.address());
                self.links.push(link);
            }
            self.send(
                Method::Put,
                list.address(),
                &format!("/instances/{id}"),
                &member,
            )
            .await;
        }
    }

    fn write_settings(&self, id: &str, domain: &str) -> PathBuf {
        let index = DOMAINS
            .iter()
            .position(|name| *name == domain)
            .expect("a known domain");
        let file = match std::env::var_os("JUJUBEHOOK_TEST_LOGS") {
            Some(folder) => PathBuf::from(folder).join(format!("{id}.log")),
            None => self.folder.path().join(format!("{id}.log")),
        };
        let text = format!(
            "domain = \"{domain}\"\ninstance = \"{id}\"\nlisten = \"127.0.0.1:0\"\n\
             peer_key = \"{PEER_KEY}\"\n\n[network]\nlist = \"{}\"\nlog = \"{}\"\n{NETWORK}\n\
             [queue]\n{}\n\n[log]\nfile = \"{}\"\n",
            self.links[2 * index].address(),
            self.links[2 * index + 1].address(),
            self.builder.queue,
            file.display(),
        );
        let path = self.folder.path().join(format!("{id}.toml"));
        std::fs::write(&path, text).expect("a settings file");
        path
    }

    fn links_between<'a>(&'a self, a: &str, b: &str) -> impl Iterator<Item = &'a Link> {
        let there = Route::Across(a.to_owned(), b.to_owned());
        let back = Route::Across(b.to_owned(), a.to_owned());
        self.links
            .iter()
            .filter(move |link| *link.route() == there || *link.route() == back)
    }

    fn links_on<'a>(&'a self, route: &'a Route) -> impl Iterator<Item = &'a Link> {
        self.links.iter().filter(move |link| link.route() == route)
    }

    async fn send(&self, method: Method, address: SocketAddr, path: &str, body: &Value) -> Value {
        let mut request = Client::request(method, address, path).expect("a request");
        if !body.is_null() {
            request.set_body(body.to_string());
        }
        let call = self
            .client
            .fetch(address, request, Reuse::Never, RESPONSE_LIMIT);
        let (response, bytes) = call.await.expect("a stand-in answers");
        let text = String::from_utf8_lossy(&bytes);
        assert!(response.status().is_success(), "`{path}`: {text}");
        serde_json::from_slice(&bytes).unwrap_or_default()
    }
}

/// A key that no other test or run uses.
pub fn unique_key(name: &str) -> String {
    format!("{}-{name}", unix_ms() / 1_000)
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
