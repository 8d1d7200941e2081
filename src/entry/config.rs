use std::rc::Rc;
use std::time::Duration;

use crate::id::WorkspaceId;

/// Shortest silence after which callers of a stream leave.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// What may be done with a request of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run at most once.
    Once,
    /// May run more than once.
    Repeatable,
    /// Answers with a series of events.
    Stream {
        /// Whether another target may go on after the last event that was delivered.
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

/// Where requests of a host and path prefix go.
#[derive(Clone, Debug)]
pub struct Route {
    /// Whether requests need no key.
    pub allow_anonymous: bool,
    /// Most targets that one request may run on.
    pub max_attempts: u32,
    /// Longest pause between events of an answer that is on time; zero without a stream.
    pub gap: Duration,
    /// Host that callers name.
    pub host: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Name in logs.
    pub name: String,
    /// Time within which an answer, or its first event, is on time.
    pub objective: Duration,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// Urgency; 0 is first.
    pub priority: u8,
    /// Names and weights of the services that share the route.
    pub shares: Vec<(String, u32)>,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
}

impl Default for Route {
    fn default() -> Route {
        Route {
            allow_anonymous: false,
            max_attempts: 1,
            gap: Duration::ZERO,
            host: String::new(),
            kind: RouteKind::Once,
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
    /// Silence after which callers of a stream leave, before the first event and between two.
    pub fn patience(&self) -> Duration {
        MIN_PATIENCE.max(self.objective * 4).max(self.gap * 8)
    }

    /// The service for a request with this hash; a hash always gets the same one while the weights stay.
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

/// How the engines of a service work; the figures come with the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Added to a step for each 1,000 tokens of context of each writer.
    pub context_per_k: Duration,
    /// Tokens of context that fit into the memory of an engine.
    pub memory_tokens: u32,
    /// Reading time for each million pairs of a token and an earlier one.
    pub pairs_per_m: Duration,
    /// Prompt tokens read in a second.
    pub read_per_s: f64,
    /// Requests that run at once.
    pub slots: u32,
    /// One step of a pass.
    pub step: Duration,
    /// Steps of a pass with writers.
    pub stride: u32,
}

impl Profile {
    /// Time that a pass with writers takes without any reading.
    pub fn pass_time(&self) -> Duration {
        self.step * self.stride
    }

    /// Time to read a prompt of `tokens` tokens on one engine.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        let tokens = f64::from(tokens);
        let plain = tokens / self.read_per_s.max(1.0);
        let pairs = tokens * tokens / 2e6 * self.pairs_per_m.as_secs_f64();
        Duration::from_secs_f64(plain + pairs)
    }
}

/// A kind of target.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Requests a second that a cold target tolerates; 0 if its targets are never cold.
    pub cold_per_s: f64,
    /// How its engines work; none for a plain service.
    pub profile: Option<Profile>,
    /// Name in records and routes.
    pub name: String,
}

/// A workspace and the keys that its callers show.
#[derive(Clone, Debug, Default)]
pub struct Workspace {
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Name that targets see.
    pub name: WorkspaceId,
    /// Urgency that replaces the route's, if any.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Most bytes of a body.
    pub max_body_bytes: usize,
    /// Most bytes of a request line and headers.
    pub max_header_bytes: usize,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_body_bytes: 4 << 20,
            max_header_bytes: 16 << 10,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    keys: Vec<(String, usize)>,
    /// Limits for callers.
    pub limits: Limits,
    routes: Vec<Rc<Route>>,
    services: Vec<Rc<Service>>,
    /// Version; a later configuration has a higher one.
    pub version: u64,
    workspaces: Vec<Workspace>,
}

impl Config {
    /// A configuration with these parts in any order.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
    ) -> Config {
        let mut routes: Vec<Rc<Route>> = routes.into_iter().map(Rc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let mut services: Vec<Rc<Service>> = services.into_iter().map(Rc::new).collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys: Vec<(String, usize)> = Vec::new();
        for (index, workspace) in workspaces.iter().enumerate() {
            keys.extend(workspace.keys.iter().map(|key| (key.clone(), index)));
        }
        keys.sort();
        Config {
            keys,
            limits,
            routes,
            services,
            version,
            workspaces,
        }
    }

    /// Whether callers need keys at all.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// The route of this host whose prefix is the longest that begins the path.
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

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        let found = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        self.services.get(found.ok()?)
    }

    /// The workspace that holds the key.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let found = self
            .keys
            .binary_search_by(|(known, _)| known.as_str().cmp(key));
        self.workspaces.get(self.keys.get(found.ok()?)?.1)
    }
}
