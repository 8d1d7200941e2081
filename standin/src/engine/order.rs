//! Orders, and the model that they loaded.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock::unix_ms;
use crate::engine::Settings;

/// Newest accepted orders that the statistics list.
const ORDER_LIMIT: usize = 10_000;

/// An order to load a model or an adapter, or to change the role.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Order {
    #[serde(default)]
    pub(super) adapter: Option<String>,
    /// Fencing number of the controller that sent the order.
    pub(super) fence: u64,
    pub(super) model: String,
    #[serde(default)]
    pub(super) role: Option<String>,
    pub(super) version: String,
}

/// An accepted order and when it was accepted.
#[derive(Debug, Serialize)]
pub(super) struct Accepted {
    at_ms: u64,
    #[serde(flatten)]
    order: Order,
}

/// Accepted orders and the model that they loaded.
#[derive(Debug)]
pub(super) struct Orders {
    pub(super) accepted: VecDeque<Accepted>,
    check_fencing: bool,
    /// Highest fencing number of the accepted orders.
    pub(super) fence: u64,
    pub(super) loaded: Order,
    pub(super) rejected: u64,
}

impl Orders {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            accepted: VecDeque::new(),
            check_fencing: settings.check_fencing,
            fence: 0,
            loaded: Order {
                adapter: None,
                fence: 0,
                model: settings.model.clone(),
                role: None,
                version: settings.version.clone(),
            },
            rejected: 0,
        }
    }

    /// Whether to refuse an order because one with a higher fencing number was accepted.
    pub(super) fn is_stale(&self, order: &Order) -> bool {
        self.check_fencing && order.fence < self.fence
    }

    /// Whether an order asks for other weights than the loaded ones.
    pub(super) fn needs_weights(&self, order: &Order) -> bool {
        (&order.model, &order.version) != (&self.loaded.model, &self.loaded.version)
    }

    /// Records an order as executed.
    pub(super) fn accept(&mut self, order: Order) {
        if self.accepted.len() == ORDER_LIMIT {
            self.accepted.pop_front();
        }
        self.accepted.push_back(Accepted {
            at_ms: unix_ms(),
            order: order.clone(),
        });
        self.fence = self.fence.max(order.fence);
        self.loaded = order;
    }
}
