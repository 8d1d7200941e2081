use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

use futures_lite::FutureExt;

use super::Instance;
use crate::event;

impl Instance {
    /// Runs a task so that a panic in it ends the task alone: other callers keep their requests. The tasks that follow
    /// the log or other instances are not run this way, since an instance that goes on without one serves old state.
    pub async fn guard(&self, name: &'static str, task: impl Future<Output = ()>) {
        let Err(panic) = AssertUnwindSafe(task).catch_unwind().await else {
            return;
        };
        self.metrics.panics.with_label_values(&[name]).inc();
        event!(
            error,
            self.source,
            "task_panicked",
            task = name,
            reason = reason(&*panic)
        );
    }

    /// Starts a task that [`guard`](Instance::guard) runs.
    pub(super) fn spawn(
        self: &Rc<Self>,
        name: &'static str,
        task: impl Future<Output = ()> + 'static,
    ) {
        let instance = self.clone();
        let guarded = async move { instance.guard(name, task).await };
        self.executor.spawn(guarded).detach();
    }
}

fn reason(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or_default()
}
