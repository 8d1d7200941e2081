use std::time::{Duration, Instant};

use serde::Serialize;
use smol::Timer;

use super::{probe, Error};
use crate::id::Offset;
use crate::remote::{self, List, Listing, Member};

/// Pause between two rounds of status requests.
const PAUSE: Duration = Duration::from_millis(200);

/// An instance in which an offset is not yet in force.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Straggler {
    pub(super) instance: String,
    pub(super) reason: String,
}

/// Waits until `offset` is in force in all live instances, for at most `limit`. Returns the instances in which it is
/// not.
pub(super) async fn wait(
    list: &List,
    key: &str,
    offset: Offset,
    limit: Duration,
) -> Result<Vec<Straggler>, Error> {
    let end = Instant::now() + limit;
    let mut listing: Option<Listing> = None;
    loop {
        let fetched = list
            .fetch(listing.as_ref().map(|listing| listing.version))
            .await;
        let failure = match fetched {
            Ok(Some(newer)) => {
                listing = Some(newer);
                None
            }
            Ok(None) => None,
            // The last listing stays in use while the list is unavailable.
            Err(error) => Some(error),
        };
        let over = Instant::now() >= end;
        let members = listing
            .as_ref()
            .map(|listing| probe::entries(listing, true));
        match members.filter(|members| !members.is_empty()) {
            Some(members) => {
                let stragglers = stragglers(members, key, offset).await;
                if stragglers.is_empty() || over {
                    return Ok(stragglers);
                }
            }
            None if over => return Err(no_instance(failure)),
            None => {}
        }
        Timer::after(PAUSE).await;
    }
}

async fn stragglers(members: Vec<Member>, key: &str, offset: Offset) -> Vec<Straggler> {
    let answers = probe::statuses(&members, key).await;
    let mut stragglers = Vec::new();
    for (member, answer) in members.into_iter().zip(answers) {
        let reason = match answer {
            Ok(status) if status.offset >= offset => continue,
            Ok(status) => format!("has offset {} in force", status.offset),
            Err(error) => format!("does not answer: {error}"),
        };
        stragglers.push(Straggler {
            instance: member.id,
            reason,
        });
    }
    stragglers
}

/// The error if no live instance is known; the records may not be in force anywhere.
fn no_instance(failure: Option<remote::Error>) -> Error {
    Error::Timeout(match failure {
        Some(failure) => format!("cannot read the instance list: {failure}"),
        None => "the instance list has no live instance".into(),
    })
}
