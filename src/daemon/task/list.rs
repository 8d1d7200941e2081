use std::sync::Arc;

use smol::Timer;

use super::beat;
use crate::daemon::state::{lock, State};
use crate::event;
use crate::metric::Channel;
use crate::remote::{List, Settings};

/// Reads the instance list; the last list stays in use while it is down.
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
                state.set_listing(listing);
                let targets = state.targets();
                let now = state.clock.now();
                let actions = lock(&state.owner).set_targets(targets, now);
                beat::act(&state, actions);
                super::pump::enforce(&state);
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
