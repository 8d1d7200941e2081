use std::cell::Cell;
use std::rc::Rc;

/// The mark of a task of which one may run at a time. Its drop lets the next one start, also after a panic.
#[derive(Debug)]
pub struct Single(Rc<Cell<bool>>);

impl Single {
    /// Marks that the task runs; none if another one does.
    pub fn start(runs: &Rc<Cell<bool>>) -> Option<Single> {
        let ran = runs.replace(true);
        (!ran).then(|| Single(runs.clone()))
    }
}

impl Drop for Single {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
