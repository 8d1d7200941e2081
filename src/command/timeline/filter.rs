use crate::event::Line;

/// Which lines are shown; an absent value admits every line.
#[derive(Debug, Default)]
pub(super) struct Filter {
    pub(super) domain: Option<String>,
    pub(super) request: Option<String>,
    pub(super) target: Option<String>,
}

impl Filter {
    /// Whether a line is shown.
    pub(super) fn admits(&self, line: &Line) -> bool {
        let same = |wanted: &Option<String>, found: Option<&str>| match wanted {
            Some(wanted) => found == Some(wanted),
            None => true,
        };
        same(&self.domain, Some(&line.domain))
            && same(&self.request, line.field("request"))
            && same(&self.target, line.field("target"))
    }
}
