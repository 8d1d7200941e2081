//! Settings of the daemon, read from a TOML file and checked before start.

mod check;
mod file;
mod limits;
mod network;
mod queue;

use std::net::SocketAddr;
use std::path::Path;

use crate::event;
use crate::id::{DomainId, InstanceId};

pub use check::Error;
pub use limits::Limits;
pub use network::Network;
pub use queue::Queue;

/// Settings of one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Name of the instance, unique in the installation.
    pub instance: InstanceId,
    /// Limits on requests from callers.
    pub limits: Limits,
    /// Address on which to listen for callers and peers (TCP) and for heartbeats (UDP).
    pub listen: SocketAddr,
    /// Destination and level of the log.
    pub log: event::Settings,
    /// Addresses of platform services, and intervals and timeouts.
    pub network: Network,
    /// Shared key with which instances authenticate each other.
    pub peer_key: String,
    /// Routing policy: `affinity`, `round-robin` or `least-loaded`.
    pub policy: String,
    /// Settings for scheduling on targets.
    pub queue: Queue,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Describes the first error with file, line and key.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::Read(name.clone(), error))?;
        Self::parse(&name, &text)
    }

    /// Parses and checks the text of a settings file; error messages call it `name`.
    ///
    /// # Errors
    /// Describes the first error with file, line and key.
    pub fn parse(name: &str, text: &str) -> Result<Self, Error> {
        let settings = file::parse(name, text)?;
        check::check(name, text, &settings)?;
        Ok(settings)
    }
}
