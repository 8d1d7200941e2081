use crate::id::DomainId;

/// Maximum number of asks of one search for a slot: the own domain, another one, the own one again, and a permit that
/// cannot be used.
const MAX_ASKS: u32 = 4;

/// Domains whose allocators are asked for the slot of one request, one after the other.
#[derive(Clone, Debug)]
pub struct Search {
    asks: u32,
    domain: DomainId,
    is_redirected: bool,
    /// Whether the own domain named the one that is asked now.
    may_return: bool,
    own: DomainId,
}

impl Search {
    /// A search that begins at `domain` for an instance of the domain `own`. With `is_redirected`, allocators must not
    /// name another domain.
    pub fn new(domain: DomainId, own: DomainId, is_redirected: bool) -> Search {
        Search {
            asks: 0,
            domain,
            is_redirected,
            may_return: false,
            own,
        }
    }

    /// Counts an ask; false if there were as many as allowed.
    pub fn start_ask(&mut self) -> bool {
        let is_allowed = self.asks < MAX_ASKS;
        self.asks += u32::from(is_allowed);
        is_allowed
    }

    /// Number of asks.
    pub fn asks(&self) -> u32 {
        self.asks
    }

    /// Domain whose allocator is asked.
    pub fn domain(&self) -> &str {
        &self.domain
    }

    /// Whether the allocator must not name another domain.
    pub fn is_redirected(&self) -> bool {
        self.is_redirected
    }

    /// Goes on at the domain that an allocator named.
    pub fn redirect(&mut self, domain: DomainId) {
        self.may_return = self.domain == self.own && domain != self.own;
        (self.domain, self.is_redirected) = (domain, true);
    }

    /// Goes back to the own domain, since the allocator of another one did not reply; false if the own one was asked.
    pub fn fall_back(&mut self) -> bool {
        let is_other = self.domain != self.own;
        if is_other {
            self.domain.clone_from(&self.own);
            (self.is_redirected, self.may_return) = (true, false);
        }
        is_other
    }

    /// Goes back to the own domain, since the one that it named refused the request: a slot may become free in time in
    /// the own queue. False if the refusal is final.
    pub fn refused(&mut self) -> bool {
        self.may_return && self.asks < MAX_ASKS && self.fall_back()
    }
}
