use serde::Deserialize;
use serde_json::value::RawValue;

use super::Member;

/// Most characters of an entry that a fault quotes.
const EXCERPT_CHARS: usize = 80;

/// One version of the instance list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// Why entries were left out, one text for each entry that could not be read.
    pub faults: Vec<String>,
    /// The members, sorted by id.
    pub instances: Vec<Member>,
    /// Version of the list, to be passed to the next fetch.
    pub version: u64,
}

/// A listing whose entries are not decoded yet, so that one bad entry does not hide the others.
#[derive(Deserialize)]
pub(super) struct Raw {
    instances: Vec<Box<RawValue>>,
    version: u64,
}

impl Raw {
    /// Decodes the entries and sorts them by id.
    pub(super) fn decode(self) -> Listing {
        let mut listing = Listing {
            version: self.version,
            ..Listing::default()
        };
        for entry in self.instances {
            match serde_json::from_str::<Member>(entry.get()) {
                Ok(member) => listing.instances.push(member),
                Err(error) => {
                    let excerpt: String = entry.get().chars().take(EXCERPT_CHARS).collect();
                    let error: String = error.to_string().chars().take(EXCERPT_CHARS).collect();
                    listing.faults.push(format!("`{excerpt}`: {error}"));
                }
            }
        }
        listing.instances.sort_by(|a, b| a.id.cmp(&b.id));
        listing
    }
}

impl Listing {
    /// Finds a member by its id.
    pub fn member(&self, id: &str) -> Option<&Member> {
        let index = self
            .instances
            .binary_search_by(|member| member.id.as_str().cmp(id))
            .ok()?;
        Some(&self.instances[index])
    }
}
