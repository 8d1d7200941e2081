/// Calls of a plain service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Calls that may not be repeated, sorted.
    pub once: Vec<String>,
}

impl Service {
    /// Whether `call` may not be repeated.
    pub fn is_once(&self, call: &str) -> bool {
        self.once
            .binary_search_by(|item| item.as_str().cmp(call))
            .is_ok()
    }
}
