use std::time::{Duration, Instant};

use serde::Serialize;
use smol::Timer;

use super::{probe, Error};
use crate::id::Offset;
use crate::platform::{List, Listing};

/// Time between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(200);

/// An instance in which an offset is not in force.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Behind {
    pub(super) instance: String,
    pub(super) reason: String,
}

/// Asks all live instances until each has `offset` in force or `limit` is over; returns those that have not.
pub(super) async fn wait(
    list: &List,
    key: &str,
    offset: Offset,
    limit: Duration,
) -> Result<Vec<Behind>, Error> {
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
            // The last listing stays in use while the list is down.
            Err(error) => Some(error),
        };
        let over = Instant::now() >= end;
        if let Some(listing) = &listing {
            let behind = behind(listing, key, offset).await;
            if behind.is_empty() || over {
                return Ok(behind);
            }
        } else if let Some(failure) = failure.filter(|_| over) {
            return Err(Error::Late(format!(
                "cannot read the instance list: {failure}"
            )));
        }
        Timer::after(PAUSE).await;
    }
}

async fn behind(listing: &Listing, key: &str, offset: Offset) -> Vec<Behind> {
    let members = probe::entries(listing, true);
    let answers = probe::all(&members, key).await;
    let mut behind = Vec::new();
    for (member, answer) in members.into_iter().zip(answers) {
        let reason = match answer {
            Ok(status) if status.offset >= offset => continue,
            Ok(status) => format!("has offset {} in force", status.offset),
            Err(error) => format!("does not answer: {error}"),
        };
        behind.push(Behind {
            instance: member.id,
            reason,
        });
    }
    behind
}
