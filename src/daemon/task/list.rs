use std::sync::Arc;

use smol::Timer;

use super::heartbeat;
use crate::daemon::state::{lock, State};
use crate::event;
use crate::metric::Channel;
use crate::remote::{List, Settings};

/// Polls the instance list. The last version stays in use while the list cannot be reached.
pub(crate) async fn run(state: Arc<State>) {
    let list = List::new(state.settings.network.list, Settings::default())
        .metered(state.metrics.traffic(Channel::List).clone());
    let mut version = None;
    let mut failing = false;
    loop {
        match list.fetch(version).await {
            Ok(Some(listing)) => {
                version = Some(listing.version);
                event!(
                    state.source,
                    "list_read",
                    version = listing.version,
                    instances = listing.instances.len()
                );
                for fault in &listing.faults {
                    event!(warn, state.source, "list_entry_unreadable", reason = fault);
                }
                state.set_listing(listing);
                let targets = state.targets();
                let now = state.clock.now();
                let actions = lock(&state.ownership).set_targets(targets, now);
                heartbeat::act(&state, actions);
                super::queue::enforce(&state);
                failing = false;
            }
            Ok(None) => failing = false,
            Err(error) => {
                if !failing {
                    event!(warn, state.source, "list_unreachable", reason = %error);
                }
                failing = true;
            }
        }
        Timer::after(state.settings.network.list_interval).await;
    }
}
