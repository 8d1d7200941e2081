use crate::Outcome;

/// A specification to search, either with all guards or as a mutant.
pub struct Case {
    /// Whether a guard is disabled, so that the search must find a violation.
    pub mutant: bool,
    /// Name in the printed results.
    pub name: String,
    run: Box<dyn Fn() -> Outcome + Send>,
}

impl Case {
    /// Makes a case whose search must find a violation.
    pub fn mutant(name: impl Into<String>, run: impl Fn() -> Outcome + Send + 'static) -> Self {
        Self {
            mutant: true,
            name: name.into(),
            run: Box::new(run),
        }
    }

    /// Makes a case whose search must find no violation.
    pub fn real(name: impl Into<String>, run: impl Fn() -> Outcome + Send + 'static) -> Self {
        Self {
            mutant: false,
            name: name.into(),
            run: Box::new(run),
        }
    }

    /// Whether `outcome` has a violation exactly if the case is a mutant.
    pub fn is_met_by(&self, outcome: &Outcome) -> bool {
        outcome.counterexample.is_some() == self.mutant
    }

    /// Runs the search.
    pub fn run(&self) -> Outcome {
        (self.run)()
    }
}
