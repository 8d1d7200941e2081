//! Which topics an instance reads from the log itself, and which ones others read for it.

use std::cell::Cell;
use std::time::Duration;

use super::platform::Topic;
use super::Instance;

impl Instance {
    /// Time within which changes of a topic have to be known.
    pub(super) fn bound(&self, topic: Topic) -> Duration {
        let settings = self.settings.borrow();
        match topic {
            Topic::Instances | Topic::Operator => settings.apply_bound,
            Topic::Targets => settings.drain_bound,
        }
    }

    /// Whether this instance reads a topic from the log itself.
    pub(super) fn is_reader(&self, topic: Topic) -> bool {
        let bound = self.bound(topic);
        let domain = &self.settings.borrow().domain;
        let members = self.members.borrow();
        members.is_reader(topic, domain, bound, self.clock.now())
    }

    /// Whether this instance tries often to read a topic while nobody does so with success.
    pub(super) fn tries_often(&self, topic: Topic) -> bool {
        let bound = self.bound(topic);
        let domain = &self.settings.borrow().domain;
        let members = self.members.borrow();
        members.tries_often(topic, domain, bound, self.clock.now())
    }

    /// Requests that a topic is read from the log once.
    pub(super) fn must_read(&self, topic: Topic) {
        set(&self.must_read, topic, true);
    }

    /// Whether a topic has to be read from the log once; it is asked for once only.
    pub(super) fn take_must_read(&self, topic: Topic) -> bool {
        let is_set = self.must_read.get()[topic as usize];
        set(&self.must_read, topic, false);
        is_set
    }

    /// Requests that another instance is asked once what it knows of a topic and the log lacks.
    pub(super) fn ask(&self, topic: Topic) {
        set(&self.must_ask, topic, true);
    }

    /// Whether another instance has to be asked for a topic.
    pub(super) fn has_to_ask(&self, topic: Topic) -> bool {
        self.must_ask.get()[topic as usize]
    }

    /// Notes that another instance was asked for a topic.
    pub(super) fn set_asked(&self, topic: Topic) {
        set(&self.must_ask, topic, false);
    }

    /// Records whether a topic is read from the log with success.
    pub(super) fn set_reads(&self, topic: Topic, reads: bool) {
        set(&self.reads, topic, reads);
    }
}

fn set(flags: &Cell<[bool; 3]>, topic: Topic, value: bool) {
    let mut all = flags.get();
    all[topic as usize] = value;
    flags.set(all);
}
