use super::find::saturate;
use super::outcome::GivenUp;
use super::{Exchange, InFlight};
use crate::entry::permit::{Ask, Reply, Search, MAX_EXCLUDED};
use crate::entry::{is_long, Placement, TargetKey};
use crate::error::Kind;
use crate::event;
use crate::id::DomainId;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Outcome of the search for a slot through allocators.
pub(super) enum Permission {
    Granted(Placement, InFlight),
    Refused(GivenUp),
    /// No allocator decides; the instance places the request by itself.
    Unavailable,
}

impl Exchange {
    /// Whether the request gets its slot from an allocator. A trial, and a stream that may only go on at targets where it
    /// ran, are restricted to some engines and are placed by the instance.
    pub(super) fn needs_permit(&self) -> bool {
        let is_free = !self.is_trial() && (!self.resumes || self.may_use_another());
        let is_short = self.service.profile.as_ref().is_some_and(|profile| {
            let prompt = self.request.prompt.unwrap_or_default().tokens;
            !is_long(profile, saturate(prompt))
        });
        is_short && is_free && self.instance.uses_permits()
    }

    /// Asks the allocator of the own domain for a slot, then those that it names.
    pub(super) async fn request_permit(&self) -> Permission {
        let instance = &self.instance;
        let Some(domain) = self.first_domain() else {
            return Permission::Unavailable;
        };
        let since = instance.clock.now();
        let own = instance.settings.borrow().domain.clone();
        // A domain whose allocator did not reply may be partitioned, so the own one does not redirect meanwhile.
        let mut search = Search::new(domain, own, instance.lacks_reply_elsewhere());
        while search.start_ask() {
            let Some(allocator) = instance.allocator(search.domain()) else {
                break;
            };
            let Some(ask) = self.ask(search.domain(), search.is_redirected()) else {
                break;
            };
            let number = ask.number;
            match instance.ask_allocator(&allocator, ask).await {
                Some(Reply::Grant {
                    permit,
                    target,
                    wait_ms,
                }) => {
                    let wait = Duration::from_millis(u64::from(wait_ms));
                    if let Some(placement) = self.granted(target, wait) {
                        self.log_permit(&search, since, "granted", None);
                        let in_flight = self.start_permitted(&placement, permit);
                        return Permission::Granted(placement, in_flight);
                    }
                    instance.decline(&allocator, number, permit);
                }
                Some(Reply::Refused { .. }) if search.refused() => {}
                Some(Reply::Refused { retry_ms }) => {
                    let retry = Duration::from_millis(u64::from(retry_ms));
                    self.log_permit(&search, since, "refused", Some(retry));
                    return Permission::Refused(self.refused(retry));
                }
                Some(Reply::Elsewhere { domain }) => search.redirect(domain),
                // The other domain may be partitioned since it was named.
                None if search.fall_back() => {}
                Some(Reply::Queued) | None => break,
            }
        }
        self.log_permit(&search, since, "unavailable", None);
        Permission::Unavailable
    }

    /// The own domain if an engine there is usable, otherwise the one with the most free slots.
    fn first_domain(&self) -> Option<DomainId> {
        let instance = &self.instance;
        let own = instance.settings.borrow().domain.clone();
        let usable = instance.engines_to_ask_for(&self.service, &self.tried);
        if usable.iter().any(|engine| engine.local && engine.admits) {
            return Some(own);
        }
        let engines = instance.engines(&self.service, &self.tried, false);
        let free = |domain: &str| -> u32 {
            let engines = engines
                .iter()
                .filter(|engine| engine.admits && engine.target.domain == domain);
            let free = |slots: u32, running: u32| slots.saturating_sub(running);
            engines
                .map(|engine| free(engine.target.slots, engine.load.running))
                .fold(0, u32::saturating_add)
        };
        let domains = engines.iter().map(|engine| engine.target.domain.as_str());
        let best = domains.max_by_key(|domain| (free(domain), *domain))?;
        Some(best.to_owned())
    }

    /// What the request asks the allocator of `domain`; none if it excludes too many targets there.
    fn ask(&self, domain: &str, redirected: bool) -> Option<Ask> {
        let instance = &self.instance;
        let now = instance.clock.now();
        let engines = instance.engines_to_ask_for(&self.service, &self.tried);
        let admitted = |key: TargetKey| {
            engines
                .iter()
                .any(|engine| engine.key == key && engine.admits)
        };
        let usable = instance.directory.borrow().usable(&self.service.name, now);
        let excluded = usable
            .iter()
            .filter(|target| target.domain == domain && !admitted(target.key()));
        let excluded: Vec<TargetKey> = excluded.map(|target| target.key()).collect();
        if excluded.len() > MAX_EXCLUDED {
            return None;
        }
        let requirements = self.requirements(&engines, now);
        let workspace = self.workspace.as_ref();
        Some(Ask {
            number: instance.next_ask(),
            service: self.service.name.clone(),
            prompt: requirements.prompt,
            tokens: requirements.tokens,
            gap_ms: millis(requirements.gap),
            objective_ms: millis(requirements.objective),
            left_ms: millis(requirements.deadline),
            priority: self.priority,
            workspace: workspace.map_or(0, |name| xxh3_64(name.as_bytes()) as u32),
            resumes: self.resumes,
            redirected,
            excluded,
        })
    }

    /// The placement on a granted target; none if it may not be used any more.
    fn granted(&self, target: TargetKey, wait: Duration) -> Option<Placement> {
        let profile = self.service.profile.as_ref()?;
        let now = self.instance.clock.now();
        let instance = &self.instance;
        let engines = instance.engines_to_ask_for(&self.service, &self.tried);
        let engine = engines
            .iter()
            .find(|engine| engine.key == target && engine.admits)?;
        let requirements = self.requirements(&engines, now);
        Some(Placement {
            background: false,
            helpers: Vec::new(),
            part_time: profile.prefill_time(requirements.prompt),
            primary: engine.target.clone(),
            primary_tokens: requirements.tokens,
            short: true,
            wait,
        })
    }

    fn refused(&self, retry: Duration) -> GivenUp {
        // An earlier send may have run, so the error must not report that the request was not run.
        let kind = match self.ran.is_empty() {
            true => Kind::Overloaded,
            false => Kind::UpstreamFailed,
        };
        GivenUp {
            answered: None,
            kind,
            retry: self.ran.is_empty().then_some(retry),
        }
    }

    /// Logs the end of a search that did not get its slot at once.
    fn log_permit(
        &self,
        search: &Search,
        since: Duration,
        outcome: &'static str,
        retry: Option<Duration>,
    ) {
        let instance = &self.instance;
        let took = instance.clock.now().saturating_sub(since);
        if outcome == "granted" && search.asks() == 1 && took < LOGGED_WAIT {
            return;
        }
        event!(
            instance.source,
            "permit",
            request = self.request.id.as_str(),
            outcome = outcome,
            of = search.domain(),
            asks = search.asks(),
            ms = took.as_millis() as u64,
            retry_ms = retry.map(|retry| retry.as_millis() as u64)
        );
    }
}

/// Wait for a slot from which it is logged.
const LOGGED_WAIT: Duration = Duration::from_millis(20);

/// Milliseconds in a message, an hour at most.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis())
        .unwrap_or(u32::MAX)
        .min(3_600_000)
}
