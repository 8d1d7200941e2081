//! Daemon settings, read from TOML and checked before start.

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
    /// Limits on callers' input.
    pub limits: Limits,
    /// Address for callers and peers (TCP) and for heartbeats (UDP).
    pub listen: SocketAddr,
    /// Where and what to log.
    pub log: event::Settings,
    /// Addresses of the platform and times between instances.
    pub network: Network,
    /// Key that instances share to recognise each other.
    pub peer_key: String,
    /// Routing policy: `affinity`, `round-robin` or `least-loaded`.
    pub policy: String,
    /// Scheduling on targets.
    pub queue: Queue,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Names the file, the line and the key of the first fault.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::Read(name.clone(), error))?;
        Self::parse(&name, &text)
    }

    /// Parses and checks the text of a settings file; `name` is used in errors.
    ///
    /// # Errors
    /// Names the file, the line and the key of the first fault.
    pub fn parse(name: &str, text: &str) -> Result<Self, Error> {
        let settings = file::parse(name, text)?;
        check::check(name, text, &settings)?;
        Ok(settings)
    }
}
