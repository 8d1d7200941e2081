/// Properties of a plain service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Service {
    /// Calls that must run at most once, sorted.
    pub at_most_once: Vec<String>,
    /// Name of the service.
    pub name: String,
}

impl Service {
    /// Whether `call` must run at most once.
    pub fn is_at_most_once(&self, call: &str) -> bool {
        self.at_most_once
            .binary_search_by(|item| item.as_str().cmp(call))
            .is_ok()
    }
}
