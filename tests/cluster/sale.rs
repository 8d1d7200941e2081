//! A sale with an idempotency key and the answers that its callers got.

use std::time::Duration;

use jujubehook::load::Answer;
use smol::Task;

use super::{wait_until, Cluster};

/// Time within which retries with a key get a final answer: a lease, the expiry of a claim after 10 s and some
/// attempts.
const SETTLE_LIMIT: Duration = Duration::from_secs(25);

/// A sale: its key and the answers to all attempts with the key.
pub struct Sale {
    pub answers: Vec<Answer>,
    pub deadline: Duration,
    pub key: String,
    pending: Vec<Task<Answer>>,
}

impl Sale {
    /// Default deadline of an attempt.
    pub const DEADLINE: Duration = Duration::from_secs(4);

    pub fn new(key: impl Into<String>) -> Self {
        Self {
            answers: Vec::new(),
            deadline: Self::DEADLINE,
            key: key.into(),
            pending: Vec::new(),
        }
    }

    /// Starts another attempt through an instance.
    pub fn attempt(&mut self, cluster: &Cluster, instance: usize) {
        self.pending
            .push(cluster.sell(instance, &self.key, self.deadline));
    }

    /// Waits for all attempts.
    pub async fn finish(&mut self) {
        for attempt in self.pending.drain(..) {
            self.answers.push(attempt.await);
        }
    }

    /// Retries sales through an instance until each has a final answer, which is an outcome or "outcome unknown".
    pub async fn settle(sales: &mut [Sale], cluster: &Cluster, instance: usize) {
        wait_until("all sales are settled", SETTLE_LIMIT, async || {
            let open = |sale: &&mut Sale| sale.last().is_none_or(|answer| answer.not_run);
            for sale in sales.iter_mut() {
                sale.finish().await;
            }
            for sale in sales.iter_mut().filter(open) {
                sale.attempt(cluster, instance);
            }
            sales.iter().all(|sale| sale.pending.is_empty())
        })
        .await;
    }

    /// Panics if the sale ran more than once or if an answer contradicts what the services executed.
    pub async fn check(&self, cluster: &Cluster) {
        let executions = cluster.executions(&self.key).await;
        let history = format!(
            "`{}` ran {executions} time(s): {:?}",
            self.key,
            self.outcomes()
        );
        assert!(executions <= 1, "a sale ran more than once: {history}");
        let mut texts = self.answers.iter().filter(|answer| answer.is_ok());
        if let Some(first) = texts.next() {
            assert_eq!(executions, 1, "an outcome without an execution: {history}");
            assert!(
                texts.all(|other| other.text == first.text),
                "different outcomes: {history}"
            );
        }
        if self.answers.iter().all(|answer| answer.not_run) {
            assert_eq!(executions, 0, "a false `not run`: {history}");
        }
        for answer in &self.answers {
            let limit = Self::DEADLINE + super::DELIVERY_GRACE;
            assert!(
                answer.total <= limit,
                "late by {:?}: {history}",
                answer.total
            );
        }
    }

    /// Answer to the last attempt.
    pub fn last(&self) -> Option<&Answer> {
        self.answers.last()
    }

    fn outcomes(&self) -> Vec<&str> {
        self.answers
            .iter()
            .map(|answer| answer.error.as_deref().unwrap_or("ok"))
            .collect()
    }
}
