use jujubehook::owner::Guards;

use super::{Cuts, Fault, Faults, Ownership};
use crate::Case;

const ON: Guards = Guards {
    echo: true,
    grant: true,
    incarnation: true,
    pause: true,
    quarantine: true,
    sequence: true,
    stop: true,
    witness: true,
};

/// Everything but faults of single messages, with cuts of one direction.
const ONE_WAY: Faults = Faults {
    crash: true,
    cut: Some(Cuts::OneWay),
    leave: true,
    messages: &[],
    pause: true,
};

/// Everything but faults of single messages, with cuts of both directions.
const PAIR: Faults = Faults {
    cut: Some(Cuts::Pair),
    ..ONE_WAY
};

/// Specifications with one guard off each.
pub(super) fn mutants() -> Vec<Case> {
    vec![
        mutant(
            "echo",
            Ownership {
                guards: Guards { echo: false, ..ON },
                ..pair()
            },
        ),
        mutant(
            "grant",
            Ownership {
                guards: Guards { grant: false, ..ON },
                ..pair()
            },
        ),
        mutant(
            "incarnation",
            Ownership {
                guards: Guards {
                    incarnation: false,
                    ..ON
                },
                ..witness()
            },
        ),
        mutant(
            "pause",
            Ownership {
                guards: Guards { pause: false, ..ON },
                ..pair()
            },
        ),
        mutant(
            "quarantine",
            Ownership {
                guards: Guards {
                    quarantine: false,
                    ..ON
                },
                ..pair()
            },
        ),
        mutant(
            "sequence",
            Ownership {
                guards: Guards {
                    sequence: false,
                    ..ON
                },
                ..stale()
            },
        ),
        mutant(
            "stop",
            Ownership {
                guards: Guards { stop: false, ..ON },
                ..pair()
            },
        ),
        mutant(
            "witness",
            Ownership {
                guards: Guards {
                    witness: false,
                    ..ON
                },
                ..witness()
            },
        ),
        mutant(
            "stream list read",
            Ownership {
                reads: false,
                ..split()
            },
        ),
        mutant(
            "one owner in a split",
            Ownership {
                sides: false,
                ..split()
            },
        ),
    ]
}

/// The specifications of the protocol as it is.
pub(super) fn real() -> Vec<Case> {
    vec![
        real_case(
            "2, all faults",
            Ownership {
                faults: Faults::default(),
                horizon: 14,
                ..pair()
            },
        ),
        real_case(
            "2, join, all faults",
            Ownership {
                faults: Faults::default(),
                horizon: 13,
                joins: Some(0),
                ..pair()
            },
        ),
        real_case("2, crash cut leave pause", pair()),
        real_case("2, join, stale grants", stale()),
        real_case(
            "3, join, crash cut leave pause",
            Ownership {
                count: 3,
                first: 1,
                horizon: 12,
                joins: Some(0),
                ..pair()
            },
        ),
        real_case("3, join, pair cut", witness()),
        real_case("2, split, cold limit", split()),
        real_case(
            "3, split, cold limit",
            Ownership {
                count: 3,
                horizon: 13,
                ..split()
            },
        ),
    ]
}

fn mutant(name: &str, spec: Ownership) -> Case {
    Case::mutant(format!("ownership without: {name}"), move || spec.run())
}

fn real_case(name: &str, spec: Ownership) -> Case {
    Case::real(format!("ownership: {name}"), move || spec.run())
}

/// Two instances without faults of single messages.
fn pair() -> Ownership {
    Ownership {
        faults: ONE_WAY,
        horizon: 17,
        ..Ownership::default()
    }
}

/// Two instances that can be cut off from each other, and a cold target that takes one request.
fn split() -> Ownership {
    Ownership {
        cold_limit: 1,
        faults: PAIR,
        horizon: 16,
        ..Ownership::default()
    }
}

/// Grants that arrive in a later attempt of the same instance.
fn stale() -> Ownership {
    Ownership {
        age: 3,
        budget: 3,
        faults: Faults {
            messages: Fault::STALE,
            pause: true,
            ..Faults::NONE
        },
        horizon: 19,
        joins: Some(0),
        ..Ownership::default()
    }
}

/// An instance that joins, one that it cannot reach, and one that both can reach.
fn witness() -> Ownership {
    Ownership {
        count: 3,
        faults: PAIR,
        horizon: 13,
        joins: Some(0),
        ..Ownership::default()
    }
}
