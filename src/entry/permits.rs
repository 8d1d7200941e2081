//! Exchange of permits: an instance asks the allocators of domains, and is one itself if its domain elects it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future::or;
use smol::net::UdpSocket;
use smol::Timer;

use super::permit::{
    batch, elect, Allocator, Answered, Ask, Asker, Candidate, Envelope, Known, Message, Reply,
    Room, Single, Slots, Unresponsive, Update, MAX_PROCESSOR,
};
use super::{Engine, Instance, Permit, TargetKey, Work};
use crate::event;

/// Time after which an ask without a reply is repeated: several times the way to another domain and back.
const REPLY_TIMEOUT: Duration = Duration::from_millis(30);

/// Number of asks without a reply after which an allocator counts as unresponsive.
const MAX_UNANSWERED: u32 = 2;

/// Time after which a request that waits in a queue asks again, so that the allocator knows that it still waits, and a
/// new allocator learns of it.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two looks at the queue of an allocator while requests wait.
const TICK: Duration = Duration::from_millis(10);

/// Time without a heartbeat after which an instance is not chosen as an allocator.
const ALLOCATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Divisor of a domain's engines: this part of them is left to long prompts when another domain asks for room.
const LONG_DIVISOR: usize = 8;

/// What waits to be sent to allocators.
enum Outgoing {
    Message(SocketAddr, Message),
    /// The work of this instance at a target changed.
    Change {
        ended: bool,
        /// Request that starts.
        number: Option<u64>,
        permit: u64,
        target: TargetKey,
    },
}

/// State of the exchange.
pub(super) struct Permits {
    allocator: RefCell<Allocator>,
    /// Asks without a final reply, by number.
    asks: RefCell<Vec<(u64, Sender<Reply>)>>,
    last_ask: Cell<u64>,
    outbox: (Sender<Outgoing>, Receiver<Outgoing>),
    /// Whether a task looks at the queue.
    ticking: Rc<Cell<bool>>,
    unresponsive: RefCell<Unresponsive>,
}

impl Default for Permits {
    fn default() -> Permits {
        Permits {
            allocator: RefCell::new(Allocator::new(fastrand::u64(..))),
            asks: RefCell::default(),
            // A reply to an earlier process at this address must not fit an ask of this one.
            last_ask: Cell::new(fastrand::u64(..) >> 1),
            outbox: async_channel::unbounded(),
            ticking: Rc::default(),
            unresponsive: RefCell::default(),
        }
    }
}

/// The allocator of a domain.
#[derive(Clone, Debug)]
pub(super) struct Elected {
    address: SocketAddr,
    instance: String,
}

/// An ask without a final reply. Dropping it tells the allocator that the request does not wait any more.
struct Open<'a> {
    address: SocketAddr,
    instance: &'a Instance,
    is_final: bool,
    number: u64,
    replies: Receiver<Reply>,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        let permits = &self.instance.permits;
        permits
            .asks
            .borrow_mut()
            .retain(|(number, _)| *number != self.number);
        // A repeated ask may have been granted twice, and the caller may leave between a grant and its use.
        while let Ok(reply) = self.replies.try_recv() {
            if let Reply::Grant { permit, .. } = reply {
                self.instance
                    .return_permit(self.address, self.number, permit);
            }
        }
        if !self.is_final {
            self.instance.return_permit(self.address, self.number, 0);
        }
    }
}

impl Instance {
    /// Whether requests with short prompts need permits: the settings ask for them from this number of instances on.
    pub(super) fn uses_permits(&self) -> bool {
        let from = self.settings.borrow().permit_instances;
        from.is_some_and(|from| self.instances() >= from)
    }

    /// Number in the sequence of this instance's heartbeats and updates.
    pub(super) fn next_sequence(&self) -> u64 {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        sequence
    }

    /// The allocator of a domain; none if no live instance there replies.
    pub(super) fn allocator(&self, domain: &str) -> Option<Elected> {
        let now = self.clock.now();
        let settings = self.settings.borrow();
        let members = self.members.borrow();
        let unresponsive = self.permits.unresponsive.borrow();
        let others = members.list().iter().filter(|member| {
            member.domain == domain
                && member.is_heard_within(ALLOCATOR_TIMEOUT, now)
                && !unresponsive.contains(&member.instance, now)
        });
        let mut candidates: Vec<Candidate<'_>> = others
            .map(|member| Candidate {
                instance: &member.instance,
                processor: member.processor,
            })
            .collect();
        if settings.domain == domain {
            candidates.push(Candidate {
                instance: &settings.instance,
                processor: self.processor(),
            });
        }
        let elected = elect(&candidates)?;
        let found = members
            .list()
            .iter()
            .find(|member| member.instance == elected);
        Some(Elected {
            address: found.map_or(settings.peer_address(), |member| member.address),
            instance: elected.to_owned(),
        })
    }

    /// Share of a processor core in thousandths, for heartbeats; 0 while the process stops, or without permits, so that
    /// it is not chosen as an allocator beside others.
    pub(super) fn processor(&self) -> u32 {
        let settings = self.settings.borrow();
        match self.is_stopping() || settings.permit_instances.is_none() {
            true => 0,
            false => ((settings.processor * 1e3) as u32).min(MAX_PROCESSOR),
        }
    }

    /// A new number for an ask.
    pub(super) fn next_ask(&self) -> u64 {
        let number = self.permits.last_ask.get() + 1;
        self.permits.last_ask.set(number);
        number
    }

    /// Asks an allocator for a slot and waits for its final reply; none if it does not reply.
    pub(super) async fn ask_allocator(&self, allocator: &Elected, ask: Ask) -> Option<Reply> {
        let (sender, replies) = async_channel::unbounded();
        self.permits.asks.borrow_mut().push((ask.number, sender));
        let mut open = Open {
            address: allocator.address,
            instance: self,
            is_final: false,
            number: ask.number,
            replies,
        };
        let since = self.clock.now();
        let mut unanswered = 0;
        let mut is_queued = false;
        self.post(allocator.address, Message::Ask(ask.clone()));
        loop {
            let time = match is_queued {
                true => REPEAT_INTERVAL,
                false => REPLY_TIMEOUT,
            };
            let reply = async { open.replies.recv().await.ok() };
            let timeout = async {
                Timer::after(time).await;
                None
            };
            match or(reply, timeout).await {
                Some(Reply::Queued) => (is_queued, unanswered) = (true, 0),
                Some(reply) => {
                    open.is_final = true;
                    return Some(reply);
                }
                None if !is_queued && unanswered + 1 >= MAX_UNANSWERED => {
                    let now = self.clock.now();
                    let mut unresponsive = self.permits.unresponsive.borrow_mut();
                    unresponsive.mark(&allocator.instance, now);
                    return None;
                }
                None => {
                    unanswered += u32::from(!is_queued);
                    is_queued = false;
                    let age = self.clock.now().saturating_sub(since);
                    self.post(allocator.address, Message::Ask(ask.aged(age)));
                }
            }
        }
    }

    /// Whether an allocator of another domain did not reply lately.
    pub(super) fn lacks_reply_elsewhere(&self) -> bool {
        let now = self.clock.now();
        let own = &self.settings.borrow().domain;
        let unresponsive = self.permits.unresponsive.borrow();
        let members = self.members.borrow();
        let mut others = members.list().iter();
        others.any(|member| member.domain != *own && unresponsive.contains(&member.instance, now))
    }

    /// Tells an allocator that a request does not wait any more, or does not use its permit.
    fn return_permit(&self, address: SocketAddr, number: u64, permit: u64) {
        self.post(address, Message::Return(number, permit));
    }

    /// Tells the allocator that granted a permit that it is not used.
    pub(super) fn decline(&self, allocator: &Elected, number: u64, permit: u64) {
        self.return_permit(allocator.address, number, permit);
    }

    /// Announces that a request starts at a target.
    pub(super) fn announce_start(&self, target: TargetKey, number: u64, permit: u64) {
        self.announce(target, Some(number), permit, false);
    }

    /// Announces that a request ended at a target.
    pub(super) fn announce_end(&self, work: &Work) {
        self.announce(work.primary, None, 0, work.frees_slot());
    }

    fn announce(&self, target: TargetKey, number: Option<u64>, permit: u64, ended: bool) {
        if self.uses_permits() {
            self.put(Outgoing::Change {
                ended,
                number,
                permit,
                target,
            });
        }
    }

    fn post(&self, address: SocketAddr, message: Message) {
        self.put(Outgoing::Message(address, message));
    }

    fn put(&self, outgoing: Outgoing) {
        // The channel has no bound and lives as long as the instance.
        let _ = self.permits.outbox.0.try_send(outgoing);
    }

    /// What is sent to which address, with updates as of now.
    fn envelopes(&self, outgoing: Vec<Outgoing>) -> Vec<(SocketAddr, Envelope)> {
        let posted = outgoing
            .into_iter()
            .filter_map(|outgoing| self.resolve(outgoing));
        let envelope = |messages| Envelope {
            incarnation: self.incarnation,
            instance: self.settings.borrow().instance.clone(),
            messages,
        };
        let batches = batch(posted).into_iter();
        batches
            .map(|(address, messages)| (address, envelope(messages)))
            .collect()
    }

    fn resolve(&self, outgoing: Outgoing) -> Option<(SocketAddr, Message)> {
        let (ended, number, permit, target) = match outgoing {
            Outgoing::Message(address, message) => return Some((address, message)),
            Outgoing::Change {
                ended,
                number,
                permit,
                target,
            } => (ended, number, permit, target),
        };
        let domain = self.directory.borrow().domain(target)?.to_owned();
        let allocator = self.allocator(&domain)?;
        let now = self.clock.now();
        let (row, prefill) = self.view.borrow().own_work(target, number, now);
        let update = Update {
            sequence: self.next_sequence(),
            row,
            prefill,
            permit,
            ended,
        };
        Some((allocator.address, Message::Update(update)))
    }

    /// Applies messages of an instance, which may be this one.
    pub(super) fn receive_envelope(self: &Rc<Self>, envelope: Envelope, from: SocketAddr) {
        let asker = Asker {
            address: from,
            incarnation: envelope.incarnation,
        };
        for message in envelope.messages {
            match message {
                Message::Ask(ask) => self.receive_ask(asker, ask),
                Message::Reply(number, reply) => self.receive_reply(number, reply, from),
                Message::Return(number, permit) => {
                    self.permits.allocator.borrow_mut().cancel(asker, number);
                    self.view.borrow_mut().end_permit(permit);
                }
                Message::Update(update) => {
                    self.receive_update(&envelope.instance, envelope.incarnation, &update);
                }
            }
        }
    }

    fn receive_ask(self: &Rc<Self>, asker: Asker, ask: Ask) {
        let now = self.clock.now();
        let slots = LocalSlots(self);
        let answers = {
            let mut allocator = self.permits.allocator.borrow_mut();
            allocator.ask(asker, ask, &slots, now)
        };
        self.reply(answers);
        if self.permits.allocator.borrow().waiting() > 0 {
            if let Some(single) = Single::start(&self.permits.ticking) {
                self.spawn("queue", self.clone().tick_queue(single));
            }
        }
    }

    /// Looks at the queue until it is empty.
    async fn tick_queue(self: Rc<Self>, single: Single) {
        while self.permits.allocator.borrow().waiting() > 0 {
            Timer::after(TICK).await;
            let (now, slots) = (self.clock.now(), LocalSlots(&self));
            let answers = self.permits.allocator.borrow_mut().tick(&slots, now);
            self.reply(answers);
        }
        drop(single);
    }

    fn receive_reply(&self, number: u64, reply: Reply, from: SocketAddr) {
        let asks = self.permits.asks.borrow();
        let found = asks.iter().find(|(known, _)| *known == number);
        let is_taken = found.is_some_and(|(_, replies)| replies.try_send(reply.clone()).is_ok());
        drop(asks);
        if let (false, Reply::Grant { permit, .. }) = (is_taken, reply) {
            self.return_permit(from, number, permit);
        }
    }

    fn receive_update(&self, instance: &str, incarnation: u64, update: &Update) {
        let now = self.clock.now();
        {
            let mut view = self.view.borrow_mut();
            match incarnation == self.incarnation {
                true => {
                    view.end_permit(update.permit);
                }
                false => view.update(instance, incarnation, update, now),
            }
        }
        if update.ended {
            let slots = LocalSlots(self);
            let answers = self.permits.allocator.borrow_mut().free(&slots, now);
            self.reply(answers);
        }
    }

    fn reply(&self, answers: Vec<Answered>) {
        for answered in answers {
            self.metrics
                .permits
                .with_label_values(&[answered.reply.name()])
                .inc();
            let message = Message::Reply(answered.number, answered.reply);
            self.post(answered.asker.address, message);
        }
    }
}

/// The engines that an instance knows.
struct LocalSlots<'a>(&'a Instance);

impl Slots for LocalSlots<'_> {
    fn known(&self, ask: &Ask) -> Option<Known> {
        let config = self.0.config()?;
        let service = config.service(&ask.service)?;
        let profile = service.profile.clone()?;
        let engines = self.0.engines(service, &ask.excluded, false);
        let (mut engines, others): (Vec<Engine>, Vec<Engine>) =
            engines.into_iter().partition(|engine| engine.local);
        // The limit on requests to a cold target is shared between the instances that send, so the one that asks
        // excludes targets at its limit.
        engines.iter_mut().for_each(|engine| engine.admits = true);
        Some(Known {
            elsewhere: rooms(others, profile.slots),
            engines,
            profile,
        })
    }

    fn heartbeat_interval(&self) -> Duration {
        super::peer::interval(self.0)
    }

    fn grant(&self, permit: Permit) {
        self.0.view.borrow_mut().grant(permit);
    }
}

/// Free slots of each domain, without those of the engines that are left to long prompts.
fn rooms(mut engines: Vec<Engine>, slots: u32) -> Vec<Room> {
    engines.sort_by(|a, b| a.target.domain.cmp(&b.target.domain));
    let domains = engines.chunk_by(|a, b| a.target.domain == b.target.domain);
    let room = |engines: &[Engine]| {
        let free = |engine: &Engine| slots.saturating_sub(engine.load.running);
        let free = engines.iter().map(free).fold(0, u32::saturating_add);
        let kept = slots.saturating_mul(engines.len().div_ceil(LONG_DIVISOR) as u32);
        Room {
            domain: engines[0].target.domain.clone(),
            free: free.saturating_sub(kept),
        }
    };
    domains.map(room).collect()
}

/// Sends what waits for allocators, all that waits for one address in one datagram.
pub(super) async fn send(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let outbox = instance.permits.outbox.1.clone();
    while let Ok(first) = outbox.recv().await {
        let mut outgoing = vec![first];
        while let Ok(next) = outbox.try_recv() {
            outgoing.push(next);
        }
        let own = instance.settings.borrow().peer_address();
        for (address, envelope) in instance.envelopes(outgoing) {
            if address == own {
                instance.receive_envelope(envelope, own);
                continue;
            }
            match super::peer::encode_permits(&envelope) {
                Ok(datagram) => super::peer::send(&instance, &socket, &datagram, address).await,
                Err(error) => event!(
                    error,
                    instance.source,
                    "permit_unwritable",
                    error = error.to_string()
                ),
            }
        }
    }
}
