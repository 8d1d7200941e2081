use crate::event::Line;

/// Selects the lines to print; an absent value matches every line.
#[derive(Debug, Default)]
pub(super) struct Filter {
    pub(super) domain: Option<String>,
    pub(super) request: Option<String>,
    pub(super) target: Option<String>,
}

impl Filter {
    /// Whether all criteria match `line`.
    pub(super) fn matches(&self, line: &Line) -> bool {
        let equal = |wanted: &Option<String>, found: Option<&str>| match wanted {
            Some(wanted) => found == Some(wanted),
            None => true,
        };
        equal(&self.domain, Some(&line.domain))
            && equal(&self.request, line.field("request"))
            && equal(&self.target, line.field("target"))
    }
}
