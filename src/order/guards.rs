/// Guards of the controller protocol, all on by default.
///
/// For verification only: the specifications switch off one guard at a time and must then find a violation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// The holder stops, by its own clock, before its lease expires.
    pub expiry: bool,
    /// A new holder waits for the lease plus the longest order delay before it orders targets that ignore fencing.
    pub wait: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            expiry: true,
            wait: true,
        }
    }
}
