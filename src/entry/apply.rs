//! How records of the log come into force.

use std::rc::Rc;
use std::time::Duration;

use super::fragment_record;
use super::member::Entry;
use super::platform::{Directive, Topic};
use super::transfer::Fetched;
use super::{key, Config, FragmentKey, Instance, Position, Record};
use crate::event;

/// Time for which a record that the log lost stays in force unless its writer writes it again. Writers do so within two
/// seconds of the return of the log.
const CARRY_TIME: Duration = Duration::from_secs(2);

/// The same for the removal of a target: the log needs some intervals of silence to remove it again.
const REMOVAL_CARRY_TIME: Duration = Duration::from_secs(10);

/// Whether a record of an earlier era stays in force at a time `age` after the current era became known.
fn stays(topic: Topic, record: &Record, age: Duration) -> bool {
    let limit = match (topic, &record.value) {
        (Topic::Instances, _) => return true,
        // A version that was confirmed is never taken back.
        (Topic::Operator, _) if record.rank.is_some() => return true,
        (Topic::Targets, None) => REMOVAL_CARRY_TIME,
        (Topic::Operator, _) | (Topic::Targets, Some(_)) => CARRY_TIME,
    };
    age < limit
}

impl Instance {
    /// Applies records of a topic from the log or another instance. `whole` tells that they are the whole state at
    /// `end`; only that can begin a new era.
    pub fn apply(&self, topic: Topic, mut records: Vec<Record>, end: Position, whole: bool) {
        for record in &mut records {
            if record.value.is_some() && record.rank.is_none() {
                record.rank = self.decoder.rank(topic, record);
            }
        }
        let was_known = self.knows(topic);
        let before = self.ends()[topic as usize];
        let changed = {
            let fold = &mut self.folds.borrow_mut()[topic as usize];
            if whole {
                fold.replace(records, end)
            } else {
                let mut changed = Vec::new();
                for record in records {
                    changed.extend(fold.apply(record).cloned());
                }
                fold.advance(end);
                changed
            }
        };
        if self.ends()[topic as usize].era > before.era {
            self.begin_era(topic, before, was_known);
        }
        self.enact(topic, &changed);
    }

    /// Applies what another instance knows of a topic.
    pub(super) fn merge(&self, topic: Topic, fetched: Fetched) {
        let Fetched {
            age_ms,
            mut carried,
            end,
            records,
            whole,
        } = fetched;
        if end.era < self.ends()[topic as usize].era {
            carried.extend(records);
        } else {
            self.apply(topic, records, end, whole);
            if end.era == self.ends()[topic as usize].era {
                self.note_age(topic, Duration::from_millis(age_ms));
            }
        }
        let age = self.era_age(topic);
        carried.retain(|record| stays(topic, record, age));
        let changed = self.folds.borrow_mut()[topic as usize].recall(carried);
        self.enact(topic, &changed);
    }

    /// Ends the carrying of records that were not written again in time.
    pub(super) fn settle(&self) {
        for topic in Topic::ALL {
            let age = self.era_age(topic);
            let changed = {
                let fold = &mut self.folds.borrow_mut()[topic as usize];
                fold.settle(|record| stays(topic, record, age))
            };
            self.enact(topic, &changed);
        }
    }

    /// Whether the state of a topic is known.
    pub fn knows(&self, topic: Topic) -> bool {
        self.folds.borrow()[topic as usize].is_known()
    }

    /// Ends of all topics, in the order of `Topic::ALL`.
    pub(super) fn ends(&self) -> [Position; 3] {
        Topic::ALL.map(|topic| self.folds.borrow()[topic as usize].end())
    }

    /// Version of the configuration that is known; 0 before the first one.
    pub(super) fn known_config(&self) -> u64 {
        let rank = self.folds.borrow()[Topic::Operator as usize].rank();
        rank.map_or(0, |(version, _)| version)
    }

    /// Time for which the current era of a topic has been known, here or at another instance.
    pub(super) fn era_age(&self, topic: Topic) -> Duration {
        let adopted = self.adopted.get()[topic as usize];
        self.clock.now().saturating_sub(adopted)
    }

    /// Notes that the current era of a topic was known elsewhere for `age`. An instance that was cut off learns of it late,
    /// when lost records are written already.
    fn note_age(&self, topic: Topic, age: Duration) {
        let mut adopted = self.adopted.get();
        let earlier = self.clock.now().saturating_sub(age);
        adopted[topic as usize] = adopted[topic as usize].min(earlier);
        self.adopted.set(adopted);
    }

    /// Notes that a topic has a new era, in which `before` has no meaning.
    fn begin_era(&self, topic: Topic, before: Position, was_known: bool) {
        let mut adopted = self.adopted.get();
        adopted[topic as usize] = self.clock.now();
        self.adopted.set(adopted);
        let end = self.ends()[topic as usize];
        if was_known {
            event!(
                warn,
                self.source,
                "log_restored",
                topic = topic.name(),
                era = end.era,
                before_era = before.era,
                end = end.offset,
                before_end = before.offset,
                carried = self.folds.borrow()[topic as usize].carried().len()
            );
            let restores = &self.metrics.log_restores;
            restores.with_label_values(&[topic.name()]).inc();
        } else {
            self.ask(topic);
        }
        // The log may have lost this instance's records too.
        if topic != Topic::Instances {
            self.request_sync();
        }
    }

    /// Applies records that came into force.
    fn enact(&self, topic: Topic, changed: &[Record]) {
        for record in changed {
            match topic {
                Topic::Instances => self.apply_instance(record),
                Topic::Operator => self.apply_directive(record),
                Topic::Targets => self.apply_target(record),
            }
        }
    }

    fn apply_instance(&self, record: &Record) {
        if let Some(fragment) = fragment_record::fragment(&record.key) {
            return self.apply_fragment(fragment, record);
        }
        let address = match &record.value {
            None => None,
            Some(value) => match rmp_serde::from_slice::<Entry>(value) {
                Ok(entry) => Some(entry.address),
                Err(error) => {
                    return self.report_unreadable(Topic::Instances, record, &error.to_string())
                }
            },
        };
        self.members.borrow_mut().apply(&record.key, address);
    }

    /// Restricts a fragment that is recorded as suspected or banned. Its removal changes nothing: answers release a
    /// fragment.
    fn apply_fragment(&self, fragment: FragmentKey, record: &Record) {
        let now = self.clock.now();
        if let Some(value) = &record.value {
            let is_banned = fragment_record::is_banned(value);
            self.update_quarantine(|quarantine| quarantine.restore(fragment, is_banned, now));
        }
    }

    fn apply_directive(&self, record: &Record) {
        match self.decoder.directive(record) {
            Ok(Some(Directive::Config(config, faults))) => {
                for fault in &faults {
                    self.report_unreadable(Topic::Operator, record, fault);
                }
                self.apply_config(*config);
            }
            Ok(Some(Directive::Evacuate(domain, evacuated))) => {
                self.directory.borrow_mut().evacuate(&domain, evacuated);
                event!(
                    self.source,
                    "evacuation",
                    evacuated = evacuated,
                    era = record.position.era,
                    offset = record.position.offset,
                    of = domain
                );
            }
            Ok(None) => {}
            Err(error) => self.report_unreadable(Topic::Operator, record, &error),
        }
    }

    fn apply_config(&self, config: Config) {
        let known = self
            .config
            .borrow()
            .as_ref()
            .map_or(0, |known| known.version);
        if config.version <= known {
            return;
        }
        event!(
            self.source,
            "config",
            version = config.version,
            before = known
        );
        self.metrics.config_version.set(config.version as i64);
        *self.config.borrow_mut() = Some(Rc::new(config));
    }

    fn apply_target(&self, record: &Record) {
        let now = self.clock.now();
        let target = match &record.value {
            None => None,
            Some(_) => match self.decoder.target(record, now) {
                Ok(target) => Some(target),
                Err(error) => {
                    self.report_unreadable(Topic::Targets, record, &error);
                    None
                }
            },
        };
        let mut directory = self.directory.borrow_mut();
        let started_unix_ms = |id: &str| {
            directory
                .target(id)
                .and_then(|target| target.started_unix_ms)
        };
        if target
            .as_ref()
            .is_some_and(|target| started_unix_ms(&record.key) != target.started_unix_ms)
        {
            // The health of the old process says nothing about the new one.
            self.health.borrow_mut().forget(key(&record.key));
        }
        let is_gone = target.is_none();
        directory.apply(&record.key, target, now);
        let state = match directory.target(&record.key) {
            Some(target) if !is_gone && target.draining => "draining",
            Some(target) if !is_gone && target.cold_until > now => "cold",
            Some(_) if !is_gone => "ready",
            Some(_) | None => "gone",
        };
        let domain = directory.target(&record.key).map(|target| &*target.domain);
        event!(
            self.source,
            "target",
            target = record.key.as_str(),
            era = record.position.era,
            offset = record.position.offset,
            of = domain,
            state = state
        );
        self.metrics.targets.set(directory.targets().count() as i64);
    }

    fn report_unreadable(&self, topic: Topic, record: &Record, error: &str) {
        event!(
            warn,
            self.source,
            "record_unreadable",
            topic = topic.name(),
            key = record.key.as_str(),
            era = record.position.era,
            offset = record.position.offset,
            error = error
        );
    }
}
