//! Orders and what they loaded.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock::unix_ms;
use crate::engine::Settings;

/// Newest orders that the statistics list.
const ORDER_LIMIT: usize = 10_000;

/// An order to load a model or adapter, or to change role.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Order {
    #[serde(default)]
    pub(super) adapter: Option<String>,
    pub(super) fence: u64,
    pub(super) model: String,
    #[serde(default)]
    pub(super) role: Option<String>,
    pub(super) version: String,
}

/// An accepted order with its time.
#[derive(Debug, Serialize)]
pub(super) struct Accepted {
    at_ms: u64,
    #[serde(flatten)]
    order: Order,
}

/// Accepted orders and what is loaded by them.
#[derive(Debug)]
pub(super) struct Orders {
    pub(super) accepted: VecDeque<Accepted>,
    check: bool,
    pub(super) fence: u64,
    pub(super) loaded: Order,
    pub(super) rejected: u64,
}

impl Orders {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            accepted: VecDeque::new(),
            check: settings.check_fencing,
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

    /// Whether an order is to be refused because a later controller has given one.
    pub(super) fn is_old(&self, order: &Order) -> bool {
        self.check && order.fence < self.fence
    }

    /// Whether an order needs other weights than the loaded ones.
    pub(super) fn needs_weights(&self, order: &Order) -> bool {
        (&order.model, &order.version) != (&self.loaded.model, &self.loaded.version)
    }

    /// Applies an order.
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
