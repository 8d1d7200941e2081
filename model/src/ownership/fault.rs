/// Fault of the messages from one instance to another in one unit of time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
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

impl Fault {
    /// All kinds of faults.
    pub const ALL: &'static [Self] = &[
        Fault::BeatDoubled,
        Fault::BeatLate,
        Fault::BeatLost,
        Fault::GrantDoubled,
        Fault::GrantLate,
        Fault::GrantLost,
        Fault::RequestDoubled,
        Fault::RequestLate,
        Fault::RequestLost,
    ];
    /// Faults that let a stale grant arrive in a later attempt.
    pub const STALE: &'static [Self] = &[Fault::GrantLate, Fault::RequestLost];
}
