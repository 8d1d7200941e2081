/// Fault of the messages from one instance to another in one unit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// Heartbeats arrive now and a second time later.
    BeatDoubled,
    /// Heartbeats arrive later or never.
    BeatLate,
    /// Heartbeats do not arrive.
    BeatLost,
    /// Grants arrive now and a second time later.
    GrantDoubled,
    /// Grants arrive later or never.
    GrantLate,
    /// Grants do not arrive.
    GrantLost,
    /// Requests for grants arrive now and a second time later.
    RequestDoubled,
    /// Requests for grants arrive later or never.
    RequestLate,
    /// Requests for grants do not arrive.
    RequestLost,
}

impl Trouble {
    /// All faults.
    pub const ALL: &'static [Self] = &[
        Trouble::BeatDoubled,
        Trouble::BeatLate,
        Trouble::BeatLost,
        Trouble::GrantDoubled,
        Trouble::GrantLate,
        Trouble::GrantLost,
        Trouble::RequestDoubled,
        Trouble::RequestLate,
        Trouble::RequestLost,
    ];
    /// A stale grant that meets a later attempt.
    pub const STALE: &'static [Self] = &[Trouble::GrantLate, Trouble::RequestLost];
}
