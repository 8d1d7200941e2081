//! A sale with a key, and everything that its callers were told.

use std::time::Duration;

use jujubehook::load::Answer;
use smol::Task;

use super::{wait_until, Running};

/// Time until a key that is repeated has a final answer: a lease, a claim's expiry of 10 s and some attempts.
const SETTLE_LIMIT: Duration = Duration::from_secs(25);

/// One key and the answers to all attempts with it.
pub struct Sale {
    pub answers: Vec<Answer>,
    pub deadline: Duration,
    pub key: String,
    running: Vec<Task<Answer>>,
}

impl Sale {
    /// Deadline of one attempt, unless the test sets another one.
    pub const DEADLINE: Duration = Duration::from_secs(4);

    pub fn new(key: impl Into<String>) -> Self {
        Self {
            answers: Vec::new(),
            deadline: Self::DEADLINE,
            key: key.into(),
            running: Vec::new(),
        }
    }

    /// Starts one more attempt at an instance.
    pub fn attempt(&mut self, running: &Running, instance: usize) {
        self.running
            .push(running.sell(instance, &self.key, self.deadline));
    }

    /// Waits for all attempts.
    pub async fn finish(&mut self) {
        for attempt in self.running.drain(..) {
            self.answers.push(attempt.await);
        }
    }

    /// Repeats sales at an instance until each has a final answer: an outcome, or that it is not known.
    pub async fn settle(sales: &mut [Sale], running: &Running, instance: usize) {
        wait_until("all sales are settled", SETTLE_LIMIT, async || {
            let open = |sale: &&mut Sale| sale.last().is_none_or(|answer| answer.not_run);
            for sale in sales.iter_mut() {
                sale.finish().await;
            }
            for sale in sales.iter_mut().filter(open) {
                sale.attempt(running, instance);
            }
            sales.iter().all(|sale| sale.running.is_empty())
        })
        .await;
    }

    /// Fails if the sale ran twice, or if an answer does not fit what the services executed.
    pub async fn check(&self, running: &Running) {
        let executions = running.executions(&self.key).await;
        let story = format!("`{}` ran {executions} time(s): {:?}", self.key, self.told());
        assert!(executions <= 1, "a sale ran more than once: {story}");
        let mut texts = self.answers.iter().filter(|answer| answer.is_ok());
        if let Some(first) = texts.next() {
            assert_eq!(executions, 1, "an outcome of nothing: {story}");
            assert!(
                texts.all(|other| other.text == first.text),
                "two outcomes: {story}"
            );
        }
        if self.answers.iter().all(|answer| answer.not_run) {
            assert_eq!(executions, 0, "a false `not run`: {story}");
        }
        for answer in &self.answers {
            let limit = Self::DEADLINE + super::DELIVERY_GRACE;
            assert!(answer.total <= limit, "late by {:?}: {story}", answer.total);
        }
    }

    /// The answer to the last attempt.
    pub fn last(&self) -> Option<&Answer> {
        self.answers.last()
    }

    fn told(&self) -> Vec<&str> {
        self.answers
            .iter()
            .map(|answer| answer.error.as_deref().unwrap_or("ok"))
            .collect()
    }
}
