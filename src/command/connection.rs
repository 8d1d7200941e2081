use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use lexopt::prelude::*;
use serde::Deserialize;

use super::{folder, Error};
use crate::remote::{List, Log, Settings};

/// Help text of the connection options.
macro_rules! connection_help {
    () => {
        "\
Connection:
  --list IP:PORT        instance list
  --log IP:PORT         log service
  --operator FILE       TOML file with the keys `list`, `log` and
                        `peer_key_file`; the other options override it
  --peer-key-file FILE  file with the key that instances share
"
    };
}

pub(super) use connection_help;

/// Addresses of platform services and the peer key file.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Connection {
    list: Option<SocketAddr>,
    log: Option<SocketAddr>,
    peer_key_file: Option<PathBuf>,
}

impl Connection {
    /// Parses the value of option `name`; returns false if that is not a connection option.
    pub(super) fn accept(
        &mut self,
        name: &str,
        parser: &mut lexopt::Parser,
    ) -> Result<bool, Error> {
        match name {
            "list" => self.list = Some(address("list", parser)?),
            "log" => self.log = Some(address("log", parser)?),
            "operator" => self.read_file(&PathBuf::from(parser.value()?))?,
            "peer-key-file" => self.peer_key_file = Some(parser.value()?.into()),
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// The key that instances share.
    pub(super) fn key(&self) -> Result<String, Error> {
        let path = self
            .peer_key_file
            .as_ref()
            .ok_or_else(|| missing("peer-key-file"))?;
        let failed =
            |reason: String| Error::Failed(format!("peer key file `{}`: {reason}", path.display()));
        let text = fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
        let key = text.trim();
        if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(failed(
                "the key must be visible ASCII without spaces".into(),
            ));
        }
        Ok(key.to_owned())
    }

    /// A client of the instance list.
    pub(super) fn list(&self) -> Result<List, Error> {
        let address = self.list.ok_or_else(|| missing("list"))?;
        Ok(List::new(address, Settings::default()))
    }

    /// A client of the log service.
    pub(super) fn log(&self) -> Result<Log, Error> {
        let address = self.log.ok_or_else(|| missing("log"))?;
        Ok(Log::new(address, Settings::default()))
    }

    /// Reads values that no option has set from a file. Relative paths are relative to the folder of the file.
    fn read_file(&mut self, path: &Path) -> Result<(), Error> {
        let failed = |reason: String| Error::Failed(format!("`{}`{reason}", path.display()));
        let text = fs::read_to_string(path).map_err(|error| failed(format!(": {error}")))?;
        let file: Connection = toml::from_str(&text)
            .map_err(|error| failed(format!(" {}", folder::describe_error(&text, &error))))?;
        let base = path.parent().unwrap_or(Path::new(""));
        let key = file.peer_key_file.map(|key| base.join(key));
        self.list = self.list.or(file.list);
        self.log = self.log.or(file.log);
        self.peer_key_file = self.peer_key_file.take().or(key);
        Ok(())
    }
}

fn address(name: &str, parser: &mut lexopt::Parser) -> Result<SocketAddr, Error> {
    let text = parser.value()?.string()?;
    let invalid = || Error::Usage(format!("`--{name} {text}` is not `IP:PORT`"));
    text.parse().map_err(|_| invalid())
}

fn missing(name: &str) -> Error {
    let key = name.replace('-', "_");
    Error::Usage(format!(
        "`--{name}` is missing, or the key `{key}` in the file of `--operator`"
    ))
}
