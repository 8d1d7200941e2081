//! Execution of orders: loading of models and adapters.

use jujubehook_http::http_types::{Method, Response};
use jujubehook_http::{json, Client, Reuse};

use crate::engine::core::Core;
use crate::engine::order::Order;
use crate::request::{refuse, Refusal, Request};

/// Largest accepted response of the weight store in bytes.
const RESPONSE_LIMIT: usize = 64 << 10;

impl Core {
    /// Executes an order. The fencing number is checked again after the weights have been read, because a later
    /// controller may have sent an order in the meantime.
    pub(super) async fn order(&self, request: &Request) -> Result<Response, Refusal> {
        let order: Order = request.parse()?;
        self.check_fence(&order)?;
        let needs_weights = self.lock().orders.needs_weights(&order);
        if needs_weights {
            self.fetch_weights(&order).await?;
        }
        self.check_fence(&order)?;
        let mut state = self.lock();
        if state.orders.needs_weights(&order) {
            state.clear_cache();
        }
        let response = json(200, &order);
        state.orders.accept(order);
        Ok(response)
    }

    /// Refuses an order with a stale fencing number.
    fn check_fence(&self, order: &Order) -> Result<(), Refusal> {
        let mut state = self.lock();
        if !state.orders.is_stale(order) {
            return Ok(());
        }
        state.orders.rejected += 1;
        let fence = state.orders.fence;
        Err(refuse(
            409,
            format!("fence `{}` is older than {fence}", order.fence),
        ))
    }

    /// Reads the weights from the store, if there is one.
    async fn fetch_weights(&self, order: &Order) -> Result<(), Refusal> {
        let Some(store) = self.settings.store else {
            return Ok(());
        };
        let path = format!("/weights/{}/{}", order.model, order.version);
        let failed = |error: jujubehook_http::Error| refuse(503, format!("weight store: {error}"));
        let request = Client::request(Method::Get, store, &path).map_err(failed)?;
        let client = Client::default();
        let call = client.fetch(store, request, Reuse::Never, RESPONSE_LIMIT);
        let (response, _) = call.await.map_err(failed)?;
        if response.status().is_success() {
            return Ok(());
        }
        let status = response.status();
        Err(refuse(
            status.into(),
            format!("weight store responded {status} for `{path}`"),
        ))
    }
}
