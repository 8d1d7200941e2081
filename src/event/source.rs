use std::sync::Arc;

use crate::clock::Clock;
use crate::id::{DomainId, InstanceId};

/// The instance that logs an event. A process may run several instances.
#[derive(Clone, Debug)]
pub struct Source {
    clock: Arc<Clock>,
    domain: DomainId,
    instance: InstanceId,
}

impl Source {
    /// Creates a source from the clock, the name and the failure domain of an instance.
    pub fn new(
        clock: Arc<Clock>,
        instance: impl Into<InstanceId>,
        domain: impl Into<DomainId>,
    ) -> Self {
        Self {
            clock,
            domain: domain.into(),
            instance: instance.into(),
        }
    }

    /// The clock of the instance, which orders its events.
    pub fn clock(&self) -> &Arc<Clock> {
        &self.clock
    }

    /// The failure domain of the instance.
    pub fn domain(&self) -> &str {
        &self.domain
    }

    /// The name of the instance.
    pub fn instance(&self) -> &str {
        &self.instance
    }
}
