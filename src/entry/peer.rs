use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::or;
use smol::net::{TcpListener, UdpSocket};
use smol::Timer;

use super::admission::is_plausible;
use super::permit::Envelope;
use super::platform::{LocalBoxFuture, Topic};
use super::{permits, transfer, Fanout, Heartbeat, Instance};
use crate::event;

/// Time between two heartbeats of an instance alone.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(40);

/// Added to the interval for each other instance, so that the cost of heartbeats does not grow with the fleet.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(2);

/// Time between two heartbeats while nothing changes.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum size of a datagram; fits the rows of over a thousand targets.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// First byte of a datagram whose heartbeat is only read.
const READ_ONLY: u8 = 0;

/// First byte of a datagram whose heartbeat is read and passed on to the live instances of the receiver's failure domain.
const PASS_ON: u8 = 1;

/// First byte of a datagram with messages about permits.
const PERMITS: u8 = 2;

/// Second byte of a datagram: format of the heartbeat that follows.
const FORMAT: u8 = 2;

/// Maximum number of senders of another format that are remembered, to report each only once.
const MAX_FOREIGN: usize = 1_024;

/// Starts exchanging heartbeats and records with other instances.
pub(super) async fn start(instance: &Rc<Instance>) -> io::Result<()> {
    let address = instance.settings.borrow().peer_address();
    let socket = Rc::new(UdpSocket::bind(address).await?);
    let listener = TcpListener::bind(address).await?;
    let spawn = |task| instance.executor.spawn(task).detach();
    spawn(
        Box::pin(send_heartbeats(instance.clone(), socket.clone())) as LocalBoxFuture<'static, ()>
    );
    spawn(Box::pin(receive_heartbeats(
        instance.clone(),
        socket.clone(),
    )));
    spawn(Box::pin(permits::send(instance.clone(), socket)));
    spawn(Box::pin(transfer::serve(instance.clone(), listener)));
    for topic in Topic::ALL {
        spawn(Box::pin(transfer::catch_up(instance.clone(), topic)));
    }
    Ok(())
}

async fn send_heartbeats(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut last = Heartbeat::default();
    let mut sent = Duration::ZERO;
    let mut sequence = 0;
    loop {
        let pause = async {
            Timer::after(interval(&instance)).await;
        };
        or(pause, instance.heartbeat_requested()).await;
        let now = instance.clock.now();
        instance.expire(now);
        instance.settle();
        let mut heartbeat = heartbeat(&instance, now);
        let is_idle = heartbeat.repeats(&last) && now < sent + IDLE_INTERVAL;
        if is_idle {
            continue;
        }
        let all = now >= sent + IDLE_INTERVAL || sequence % 8 == 0;
        sequence += 1;
        heartbeat.samples = instance.hedging.borrow_mut().outbox.take();
        heartbeat.sequence = instance.next_sequence();
        heartbeat.time = instance.clock.tick();
        match encode(&heartbeat) {
            Ok(datagram) => spread(&instance, &socket, datagram, sequence, all).await,
            Err(error) => event!(
                error,
                instance.source,
                "beat_unwritable",
                error = error.to_string()
            ),
        }
        (last, sent) = (heartbeat, now);
    }
}

/// A heartbeat in a datagram that is not passed on.
fn encode(heartbeat: &Heartbeat) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut datagram = vec![READ_ONLY, FORMAT];
    rmp_serde::encode::write(&mut datagram, heartbeat)?;
    Ok(datagram)
}

/// Messages about permits in a datagram.
pub(super) fn encode_permits(envelope: &Envelope) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut datagram = vec![PERMITS, FORMAT];
    rmp_serde::encode::write(&mut datagram, envelope)?;
    Ok(datagram)
}

/// Sends a heartbeat to other instances.
async fn spread(
    instance: &Instance,
    socket: &UdpSocket,
    mut datagram: Vec<u8>,
    sequence: u64,
    all: bool,
) {
    let fanout = recipients(instance, sequence, all);
    for address in fanout.direct {
        send(instance, socket, &datagram, address).await;
    }
    datagram[0] = PASS_ON;
    for address in fanout.relays {
        send(instance, socket, &datagram, address).await;
    }
}

/// Sends a datagram. The protocol tolerates lost ones.
pub(super) async fn send(
    instance: &Instance,
    socket: &UdpSocket,
    datagram: &[u8],
    address: SocketAddr,
) {
    if let Err(error) = socket.send_to(datagram, address).await {
        event!(
            debug,
            instance.source,
            "beat_unsent",
            to = address.to_string(),
            error = error.to_string()
        );
    }
    instance.metrics.heartbeats.inc();
}

/// Time between two heartbeats while requests start and end.
pub(super) fn interval(instance: &Instance) -> Duration {
    let others = u32::try_from(instance.members.borrow().list().len()).unwrap_or(u32::MAX);
    HEARTBEAT_INTERVAL + INTERVAL_PER_INSTANCE.saturating_mul(others)
}

/// Recipients of a heartbeat; with `all` also the seeds that are not known yet.
fn recipients(instance: &Instance, sequence: u64, all: bool) -> Fanout {
    let members = instance.members.borrow();
    let settings = instance.settings.borrow();
    let now = instance.clock.now();
    let mut fanout = members.fanout(&settings.domain, sequence, all, now);
    let seeds = settings.seeds.iter().filter(|seed| **seed != settings.ip);
    for seed in seeds.filter(|_| all) {
        let address = SocketAddr::new(*seed, settings.peer_port);
        if !members
            .list()
            .iter()
            .any(|member| member.address == address)
        {
            fanout.direct.push(address);
        }
    }
    fanout
}

fn heartbeat(instance: &Instance, now: Duration) -> Heartbeat {
    let settings = instance.settings.borrow();
    let health = instance.health.borrow();
    let millis = |time: Duration| time.as_millis() as u32;
    Heartbeat {
        address: Some(settings.peer_address()),
        domain: settings.domain.clone(),
        config: instance.known_config(),
        ends: instance.ends(),
        incarnation: instance.incarnation,
        instance: settings.instance.clone(),
        slowdowns: instance
            .slowdowns
            .borrow()
            .own(now)
            .map(|(target, factor)| (target, (factor * 100.0) as u32))
            .collect(),
        prefills: instance.view.borrow().prefills(now),
        rows: instance.view.borrow().rows(),
        sequence: 0,
        time: 0,
        suspects: health
            .suspects(now)
            .into_iter()
            .map(|(target, left)| (target, millis(left)))
            .collect(),
        fragments: instance.quarantine.borrow().report(now),
        leaving: instance.directory.borrow().reports(now),
        processor: instance.processor(),
        reads: instance.reads.get(),
        samples: Vec::new(),
    }
}

async fn receive_heartbeats(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut foreign = Vec::new();
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                event!(
                    warn,
                    instance.source,
                    "beat_unread",
                    error = error.to_string()
                );
                Timer::after(HEARTBEAT_INTERVAL).await;
                continue;
            }
        };
        let [way, format, bytes @ ..] = &buffer[..length] else {
            continue;
        };
        if *format != FORMAT {
            report_foreign(&instance, &mut foreign, from, *format);
            continue;
        }
        if *way == PERMITS {
            receive_permits(&instance, bytes, from);
            continue;
        }
        match rmp_serde::from_slice::<Heartbeat>(bytes) {
            Ok(heartbeat) => receive(&instance, &heartbeat, from),
            Err(error) => {
                event!(
                    warn,
                    instance.source,
                    "beat_unreadable",
                    from = from.to_string(),
                    error = error.to_string()
                );
                continue;
            }
        }
        if *way == PASS_ON {
            buffer[0] = READ_ONLY;
            for address in neighbors(&instance) {
                send(&instance, &socket, &buffer[..length], address).await;
            }
        }
    }
}

/// Applies messages about permits, unless they are malformed.
fn receive_permits(instance: &Rc<Instance>, bytes: &[u8], from: SocketAddr) {
    let refuse = |error: String| {
        event!(
            warn,
            instance.source,
            "permits_unreadable",
            from = from.to_string(),
            error = error
        );
    };
    match rmp_serde::from_slice::<Envelope>(bytes) {
        Ok(envelope) => match envelope.check() {
            Ok(()) => instance.receive_envelope(envelope, from),
            Err(error) => refuse(error.to_string()),
        },
        Err(error) => refuse(error.to_string()),
    }
}

/// Reports a sender of another format, once.
fn report_foreign(
    instance: &Instance,
    foreign: &mut Vec<SocketAddr>,
    from: SocketAddr,
    format: u8,
) {
    let Err(at) = foreign.binary_search(&from) else {
        return;
    };
    if foreign.len() < MAX_FOREIGN {
        foreign.insert(at, from);
    }
    event!(
        warn,
        instance.source,
        "beat_foreign",
        from = from.to_string(),
        format = u64::from(format)
    );
}

/// Addresses of the live instances of this failure domain.
fn neighbors(instance: &Instance) -> Vec<SocketAddr> {
    let (members, settings) = (instance.members.borrow(), instance.settings.borrow());
    let neighbors = members.neighbors(&settings.domain, instance.clock.now());
    neighbors.collect()
}

fn receive(instance: &Instance, heartbeat: &Heartbeat, from: SocketAddr) {
    let now = instance.clock.now();
    if let Err(error) = heartbeat.check() {
        event!(
            warn,
            instance.source,
            "beat_unreadable",
            from = from.to_string(),
            error = error.to_string()
        );
        return;
    }
    if !is_plausible(&heartbeat.prefills) {
        event!(
            warn,
            instance.source,
            "beat_implausible",
            from = heartbeat.instance.as_str(),
            prefills = heartbeat.prefills.len()
        );
        return;
    }
    instance.clock.merge(heartbeat.time);
    if !instance.view.borrow_mut().receive(heartbeat, now) {
        return;
    }
    instance.members.borrow_mut().receive(heartbeat, from, now);
    instance.receive_samples(heartbeat, now);
    let mut slowdowns = instance.slowdowns.borrow_mut();
    for (target, percent) in &heartbeat.slowdowns {
        slowdowns.receive(
            heartbeat.incarnation,
            *target,
            f64::from(*percent) / 100.0,
            now,
        );
    }
    instance.update_quarantine(|quarantine| quarantine.receive(&heartbeat.fragments, now));
    for (target, started) in &heartbeat.leaving {
        let mut directory = instance.directory.borrow_mut();
        if directory.receive(*target, *started, now) {
            event!(
                instance.source,
                "target_leaving",
                target = event::hex(u64::from(*target)),
                from = heartbeat.instance.as_str()
            );
        }
    }
    if heartbeat.domain != instance.settings.borrow().domain {
        // A target that another domain cannot reach may still be healthy and reachable from here.
        return;
    }
    let mut health = instance.health.borrow_mut();
    for (target, left) in &heartbeat.suspects {
        health.receive(*target, Duration::from_millis(u64::from(*left)), now);
    }
}
