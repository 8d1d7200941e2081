use std::net::SocketAddr;
use std::sync::Arc;

use jujubehook_http::http_types::Method;
use jujubehook_http::{Client, Reuse, Traffic};

use super::call::{call, decode};
use super::listing::Raw;
use super::{Error, Listing, Settings};

/// A client of the instance list.
#[derive(Debug)]
pub struct List {
    address: SocketAddr,
    client: Client,
    settings: Settings,
}

impl List {
    /// Makes a client of the instance list at `address`.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self {
            address,
            client: Client::default(),
            settings,
        }
    }

    /// Counts the bytes of all calls in `traffic`.
    pub fn metered(self, traffic: Arc<Traffic>) -> Self {
        Self {
            client: Client::metered(traffic),
            ..self
        }
    }

    /// Fetches the list; `None` if its version is still `version`. Entries that cannot be read are left out.
    ///
    /// # Errors
    /// Fails with either kind of error; a fetch has no effect.
    pub async fn fetch(&self, version: Option<u64>) -> Result<Option<Listing>, Error> {
        let path = match version {
            Some(version) => format!("/instances?version={version}"),
            None => "/instances".to_owned(),
        };
        let request = Client::request(Method::Get, self.address, &path)?;
        let (status, bytes) = call(
            &self.client,
            self.address,
            request,
            Reuse::Pooled,
            self.settings.answer_limit,
            self.settings.timeout,
        )
        .await?;
        let Some(raw) = decode::<Raw>(status, &bytes)? else {
            return Ok(None);
        };
        let listing = raw.decode();
        if let Some(pair) = listing.instances.windows(2).find(|w| w[0].id == w[1].id) {
            return Err(Error::Unknown(format!(
                "id `{}` is listed twice",
                pair[0].id
            )));
        }
        Ok(Some(listing))
    }
}
