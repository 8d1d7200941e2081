use std::rc::Rc;
use std::time::Duration;

use super::hedge::{route_key, RouteKey};
use crate::id::WorkspaceId;

/// Minimum time without an event after which the caller of a stream disconnects.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// Whether and how requests of a route may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run at most once.
    Once,
    /// A request may run more than once.
    Repeatable,
    /// The answer is a stream of events.
    Stream {
        /// Whether another target may continue after the last delivered event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent to another target.
    pub const fn is_repeatable(self) -> bool {
        match self {
            RouteKind::Once => false,
            RouteKind::Repeatable => true,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            RouteKind::Once => "once",
            RouteKind::Repeatable => "repeatable",
            RouteKind::Stream { .. } => "stream",
        }
    }
}

/// Routing of requests by host and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Whether requests without a key are accepted.
    pub allow_anonymous: bool,
    /// Objective for the gap between events; zero unless answers are streams.
    pub gap: Duration,
    /// Host in the caller's request.
    pub host: String,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Maximum number of targets on which a request may run.
    pub max_attempts: u32,
    /// Name in logs.
    pub name: String,
    /// Objective for the time to the answer, or to its first event.
    pub objective: Duration,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Names and weights of the services that share the route.
    pub shares: Vec<(String, u32)>,
    /// Maximum time for a request.
    pub timeout: Duration,
}

impl Default for Route {
    fn default() -> Route {
        Route {
            allow_anonymous: false,
            gap: Duration::ZERO,
            host: String::new(),
            kind: RouteKind::Once,
            max_attempts: 1,
            name: String::new(),
            objective: Duration::from_secs(1),
            prefix: "/".into(),
            priority: 5,
            shares: Vec::new(),
            timeout: Duration::from_secs(10),
        }
    }
}

impl Route {
    /// Time without an event after which the caller of a stream disconnects, before the first event or between two.
    pub fn patience(&self) -> Duration {
        MIN_PATIENCE.max(self.objective * 4).max(self.gap * 8)
    }

    /// Time for which a caller may stop reading its answer.
    pub fn max_pause(&self) -> Duration {
        match self.kind {
            RouteKind::Once | RouteKind::Repeatable => self.timeout,
            RouteKind::Stream { .. } => self.patience(),
        }
    }

    /// The service for a request with this hash; the same for each hash as long as the weights stay.
    pub fn service(&self, hash: u64) -> Option<&str> {
        let total: u64 = self
            .shares
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut at = hash.checked_rem(total)?;
        for (name, weight) in &self.shares {
            let weight = u64::from(*weight);
            if at < weight {
                return Some(name);
            }
            at -= weight;
        }
        None
    }
}

/// Performance profile of a service's engines, from the configuration.
///
/// An engine works in passes of several decode steps, into which it interleaves prefill.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Time added to a decode step per 1,000 tokens of context.
    pub context_per_k: Duration,
    /// Tokens of context that fit into an engine's memory.
    pub memory_tokens: u32,
    /// Prefill time per million pairs of a token and an earlier one.
    pub pairs_per_m: Duration,
    /// Prompt tokens prefilled per second, without the time for pairs.
    pub read_per_s: f64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Time of a decode step without context.
    pub step: Duration,
    /// Decode steps in a pass.
    pub stride: u32,
}

impl Profile {
    /// Time of a decode pass without prefill and without context.
    pub fn pass_time(&self) -> Duration {
        self.step * self.stride
    }

    /// Time to prefill `tokens` tokens on one engine.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        let tokens = f64::from(tokens);
        let plain = tokens / self.read_per_s.max(1.0);
        let pairs = tokens * tokens / 2e6 * self.pairs_per_m.as_secs_f64();
        Duration::from_secs_f64(plain + pairs)
    }
}

/// A service: targets that do the same work.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Requests per second that a cold target tolerates; 0 if targets are never cold.
    pub cold_per_s: f64,
    /// Performance profile of its engines; none for a service without engines.
    pub profile: Option<Profile>,
    /// Name in records and routes.
    pub name: String,
}

/// A workspace.
#[derive(Clone, Debug, Default)]
pub struct Workspace {
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Name; targets get it with each request.
    pub name: WorkspaceId,
    /// Priority of its requests; overrides that of the route.
    pub priority: Option<u8>,
}

/// Limits for callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of the request line and headers, in bytes.
    pub max_header_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            idle_timeout: Duration::from_secs(15),
            max_body_bytes: 4 << 20,
            max_header_bytes: 16 << 10,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Keys of the routes with requests that may be hedged, sorted.
    hedged: Vec<RouteKey>,
    keys: Vec<(String, usize)>,
    /// Limits for callers.
    pub limits: Limits,
    routes: Vec<Rc<Route>>,
    services: Vec<Rc<Service>>,
    /// Version; increases with each configuration.
    pub version: u64,
    workspaces: Vec<Workspace>,
}

impl Config {
    /// A configuration of these parts, which may be in any order.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
    ) -> Config {
        let mut routes: Vec<Rc<Route>> = routes.into_iter().map(Rc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let repeatable = |route: &&Rc<Route>| route.kind == RouteKind::Repeatable;
        let hedged = routes.iter().filter(repeatable);
        let mut hedged: Vec<RouteKey> = hedged.map(|route| route_key(&route.name)).collect();
        hedged.sort_unstable();
        let mut services: Vec<Rc<Service>> = services.into_iter().map(Rc::new).collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys: Vec<(String, usize)> = Vec::new();
        for (index, workspace) in workspaces.iter().enumerate() {
            keys.extend(workspace.keys.iter().map(|key| (key.clone(), index)));
        }
        keys.sort();
        Config {
            hedged,
            keys,
            limits,
            routes,
            services,
            version,
            workspaces,
        }
    }

    /// Whether there are workspaces, so that callers need keys.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// The route of the host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            let prefix = &path[..=slash];
            let found = self
                .routes
                .binary_search_by(|route| (&*route.host, &*route.prefix).cmp(&(host, prefix)));
            if let Ok(index) = found {
                return self.routes.get(index);
            }
            end = slash;
        }
        None
    }

    /// Whether a route with this key has requests that may be hedged.
    pub fn has_hedged_route(&self, key: RouteKey) -> bool {
        self.hedged.binary_search(&key).is_ok()
    }

    /// The longest timeout of a route.
    pub fn longest_timeout(&self) -> Duration {
        let timeouts = self.routes.iter().map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        let found = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        self.services.get(found.ok()?)
    }

    /// The workspace with this API key.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let found = self
            .keys
            .binary_search_by(|(known, _)| known.as_str().cmp(key));
        self.workspaces.get(self.keys.get(found.ok()?)?.1)
    }
}
