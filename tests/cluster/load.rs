//! Steady load of short requests.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use jujubehook::load::Caller;
use smol::Task;

use super::{Cluster, Completion, MODEL};

/// Callers at each instance.
const CALLERS: usize = 4;

const DEADLINE: Duration = Duration::from_secs(15);

/// Callers that send short requests one after another and check that each answer is complete.
pub struct Load {
    callers: Vec<Task<usize>>,
    stop: Arc<AtomicBool>,
}

impl Load {
    /// Starts callers that send to the given instances.
    pub fn start(cluster: &Cluster, instances: &[usize]) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(500_000);
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = Vec::new();
        for &instance in instances {
            for _ in 0..CALLERS {
                let entry = cluster.instances[instance].address;
                let (caller, stop) = (cluster.caller.clone(), stop.clone());
                callers.push(smol::spawn(async move {
                    let mut answers = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
                        complete(&caller, entry, number).await;
                        answers += 1;
                    }
                    answers
                }));
            }
        }
        Self { callers, stop }
    }

    /// Waits for the requests in progress and returns the number of answers in all.
    pub async fn finish(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        let mut answers = 0;
        for caller in self.callers {
            answers += caller.await;
        }
        answers
    }
}

async fn complete(caller: &Caller, entry: std::net::SocketAddr, number: usize) {
    let completion = Completion::new(number, 500, 20, DEADLINE);
    let answer = caller
        .complete(
            entry,
            MODEL,
            &completion.prompt,
            completion.max_tokens,
            completion.deadline,
        )
        .await;
    completion.check_whole(&answer);
}
