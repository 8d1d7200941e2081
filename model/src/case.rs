use crate::Outcome;

/// One specification, or one mutant of it.
pub struct Case {
    /// Whether a guard is switched off, so that the search must find a violation.
    pub mutant: bool,
    /// Name in the table of results.
    pub name: String,
    run: Box<dyn Fn() -> Outcome + Send>,
}

impl Case {
    /// Makes a case that must have a violation.
    pub fn mutant(name: impl Into<String>, run: impl Fn() -> Outcome + Send + 'static) -> Self {
        Self {
            mutant: true,
            name: name.into(),
            run: Box::new(run),
        }
    }

    /// Makes a case that must have no violation.
    pub fn real(name: impl Into<String>, run: impl Fn() -> Outcome + Send + 'static) -> Self {
        Self {
            mutant: false,
            name: name.into(),
            run: Box::new(run),
        }
    }

    /// Whether `outcome` is as it must be.
    pub fn is_met_by(&self, outcome: &Outcome) -> bool {
        outcome.counterexample.is_some() == self.mutant
    }

    /// Searches all states.
    pub fn run(&self) -> Outcome {
        (self.run)()
    }
}
