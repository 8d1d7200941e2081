use std::sync::Arc;

use crate::clock::Clock;
use crate::id::{DomainId, InstanceId};

/// The instance that events belong to; several may live in one process.
#[derive(Clone, Debug)]
pub struct Source {
    clock: Arc<Clock>,
    domain: DomainId,
    instance: InstanceId,
}

impl Source {
    /// Names the instance and domain of the events and the clock that orders them.
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

    /// The clock of the instance.
    pub fn clock(&self) -> &Arc<Clock> {
        &self.clock
    }

    /// The failure domain of the instance.
    pub fn domain(&self) -> &str {
        &self.domain
    }

    /// The id of the instance.
    pub fn instance(&self) -> &str {
        &self.instance
    }
}
