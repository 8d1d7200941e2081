use serde::Deserialize;

use super::Member;

/// One version of the instance list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Listing {
    /// The members, sorted by id.
    pub instances: Vec<Member>,
    /// Version of the list, to be passed to the next fetch.
    pub version: u64,
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
