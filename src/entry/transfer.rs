//! Transfers of records between instances.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;

use super::platform::Topic;
use super::{Instance, Member, Position, Record};
use crate::event;

/// Time for which another instance has to be ahead before its records are fetched; usually the log delivers them first.
const FETCH_DELAY: Duration = Duration::from_millis(250);

/// Maximum time of a transfer between instances; it takes milliseconds unless a link is broken.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum size of a transfer.
const MAX_FETCH_BYTES: usize = 32 << 20;

/// Request for the records of a topic from a position on.
#[derive(Debug, Deserialize, Serialize)]
struct Fetch {
    from: Position,
    topic: usize,
}

/// Answer to a [`Fetch`].
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Fetched {
    /// Time for which the sender has known the era of `end`, in milliseconds.
    pub(super) age_ms: u64,
    /// Records of earlier eras that are in force.
    pub(super) carried: Vec<Record>,
    pub(super) end: Position,
    pub(super) records: Vec<Record>,
    /// Whether the records are the whole state: keys that it lacks were removed.
    pub(super) whole: bool,
}

/// Fetches records of a topic from another instance while the log does not deliver them.
pub(super) async fn catch_up(instance: Rc<Instance>, topic: Topic) {
    let at = topic as usize;
    let mut behind: Option<Duration> = None;
    // Instances start at different members, so that they do not all fetch from the same one.
    let mut turn = fastrand::usize(..);
    loop {
        Timer::after(FETCH_DELAY / 2).await;
        let now = instance.clock.now();
        let end = instance.ends()[at];
        let Some(member) = source(&instance, topic, end, turn) else {
            behind = None;
            if instance.has_to_ask(topic) {
                ask(&instance, topic, end, turn).await;
                turn = turn.wrapping_add(1);
            }
            continue;
        };
        let since = *behind.get_or_insert(now);
        let delay = match instance.is_reader(topic) {
            true => FETCH_DELAY,
            false => Duration::ZERO,
        };
        if now >= since + delay {
            if !fetch(&instance, topic, end, &member).await {
                instance.must_read(topic);
            }
            // A member whose heartbeats arrive may still be unreachable from here.
            turn = turn.wrapping_add(1);
        }
    }
}

/// An instance that knows more of a topic than this one.
fn source(instance: &Instance, topic: Topic, end: Position, turn: usize) -> Option<Member> {
    let now = instance.clock.now();
    let members = instance.members.borrow();
    let domain = &instance.settings.borrow().domain;
    let ahead = members.ahead(topic, end, now, domain, turn);
    let configured = || match topic {
        Topic::Operator => members.configured(instance.known_config(), now, turn),
        Topic::Instances | Topic::Targets => None,
    };
    ahead.or_else(configured).cloned()
}

/// Asks an instance for what it knows of a topic although the log lost it.
async fn ask(instance: &Instance, topic: Topic, end: Position, turn: usize) {
    let member = {
        let members = instance.members.borrow();
        members.informed(topic, instance.clock.now(), turn).cloned()
    };
    if let Some(member) = member {
        instance.set_asked(topic);
        if !fetch(instance, topic, end, &member).await {
            instance.ask(topic);
        }
    }
}

/// Fetches the records of a topic from `end` on and applies them; false if that failed.
async fn fetch(instance: &Instance, topic: Topic, end: Position, member: &Member) -> bool {
    let from = match instance.knows(topic) {
        true => end,
        false => Position::default(),
    };
    let request = Fetch {
        from,
        topic: topic as usize,
    };
    match fetch_from(member.address, &request).await {
        Ok(fetched) => {
            event!(
                instance.source,
                "fetched",
                topic = topic.name(),
                from = member.instance.as_str(),
                before_era = end.era,
                before = end.offset,
                era = fetched.end.era,
                end = fetched.end.offset,
                records = fetched.records.len(),
                carried = fetched.carried.len(),
                whole = fetched.whole
            );
            instance.merge(topic, fetched);
            true
        }
        Err(error) => {
            event!(
                warn,
                instance.source,
                "fetch_failed",
                topic = topic.name(),
                from = member.instance.as_str(),
                error = error.to_string()
            );
            false
        }
    }
}

async fn fetch_from(address: SocketAddr, fetch: &Fetch) -> io::Result<Fetched> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        write(&mut stream, fetch).await?;
        read(&mut stream).await
    };
    with_timeout(exchange).await
}

/// Fails an exchange that takes too long.
async fn with_timeout<T>(exchange: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let limit = async {
        Timer::after(FETCH_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(exchange, limit).await
}

pub(super) async fn serve(instance: Rc<Instance>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let spawner = instance.clone();
                let instance = instance.clone();
                let task = async move {
                    if let Err(error) = answer(&instance, stream).await {
                        event!(
                            warn,
                            instance.source,
                            "transfer_failed",
                            to = from.to_string(),
                            error = error.to_string()
                        );
                    }
                };
                spawner.spawn("transfer", task);
            }
            Err(error) => {
                event!(
                    warn,
                    instance.source,
                    "transfer_failed",
                    error = error.to_string()
                );
                Timer::after(FETCH_DELAY).await;
            }
        }
    }
}

async fn answer(instance: &Instance, mut stream: TcpStream) -> io::Result<()> {
    let exchange = async {
        let fetch: Fetch = read(&mut stream).await?;
        let fetched = {
            let folds = instance.folds.borrow();
            let fold = folds.get(fetch.topic).ok_or(io::ErrorKind::InvalidData)?;
            let age = instance.era_age(Topic::ALL[fetch.topic]);
            if !fold.is_known() {
                return Err(io::ErrorKind::NotFound.into());
            }
            let since = fold.since(fetch.from);
            Fetched {
                age_ms: age.as_millis() as u64,
                carried: fold.carried().to_vec(),
                end: fold.end(),
                whole: since.is_none(),
                records: since.unwrap_or_else(|| fold.state()),
            }
        };
        write(&mut stream, &fetched).await
    };
    with_timeout(exchange).await
}

async fn read<T: DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FETCH_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    rmp_serde::from_slice(&bytes).map_err(io::Error::other)
}

async fn write(stream: &mut TcpStream, message: &impl Serialize) -> io::Result<()> {
    let bytes = rmp_serde::to_vec(message).map_err(io::Error::other)?;
    let mut frame = (bytes.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&bytes);
    stream.write_all(&frame).await?;
    stream.flush().await
}
