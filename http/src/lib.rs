//! HTTP/1.1 client and server helpers over `async-h1` on `smol`.
//!
//! The daemon, the load generator and the stand-ins share this crate. It bounds bodies and heads, streams responses,
//! detects callers that disconnect, and tells requests that were never sent from those that may have been received.

mod client;
mod error;
mod limits;
mod meter;
mod peer;
mod pipe;
mod reply;
mod server;
mod socket;
mod sse;
mod traffic;
mod written;

pub use client::Client;
pub use client::Connection;
pub use client::Reuse;
pub use error::Error;
pub use http_types;
pub use limits::Limits;
pub use peer::Peer;
pub use pipe::pipe;
pub use pipe::Writer;
pub use reply::json;
pub use reply::read;
pub use reply::text;
pub use reply::with_timeout;
pub use server::Server;
pub use sse::Events;
pub use traffic::Traffic;
pub use written::{Watched, Written};
