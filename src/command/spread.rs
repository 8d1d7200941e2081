use std::time::{Duration, Instant};

use serde::Serialize;
use smol::Timer;

use super::{probe, Error};
use crate::id::Offset;
use crate::remote::{self, List, Listing, Member};

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
        let members = listing
            .as_ref()
            .map(|listing| probe::entries(listing, true));
        match members.filter(|members| !members.is_empty()) {
            Some(members) => {
                let behind = behind(members, key, offset).await;
                if behind.is_empty() || over {
                    return Ok(behind);
                }
            }
            None if over => return Err(unlisted(failure)),
            None => {}
        }
        Timer::after(PAUSE).await;
    }
}

async fn behind(members: Vec<Member>, key: &str, offset: Offset) -> Vec<Behind> {
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

/// Nothing is known of any instance, so the records may not be in force anywhere.
fn unlisted(failure: Option<remote::Error>) -> Error {
    Error::Late(match failure {
        Some(failure) => format!("cannot read the instance list: {failure}"),
        None => "the instance list has no live instance".into(),
    })
}
