use jujubehook::owner::Guards;

use super::{Cuts, Fault, Faults, Ownership};
use crate::Case;

const ALL_GUARDS: Guards = Guards {
    echo: true,
    grant: true,
    incarnation: true,
    pause: true,
    quarantine: true,
    sequence: true,
    stop: true,
    witness: true,
};

/// All kinds of faults except those of single messages, with cuts of one direction.
const ONE_WAY: Faults = Faults {
    crash: true,
    cut: Some(Cuts::OneWay),
    leave: true,
    messages: &[],
    pause: true,
};

/// All kinds of faults except those of single messages, with cuts of both directions.
const PAIR: Faults = Faults {
    cut: Some(Cuts::Pair),
    ..ONE_WAY
};

/// Specifications with one guard disabled each.
pub(super) fn mutants() -> Vec<Case> {
    vec![
        mutant(
            "echo",
            Ownership {
                guards: Guards {
                    echo: false,
                    ..ALL_GUARDS
                },
                ..two_instances()
            },
        ),
        mutant(
            "grant",
            Ownership {
                guards: Guards {
                    grant: false,
                    ..ALL_GUARDS
                },
                ..two_instances()
            },
        ),
        mutant(
            "incarnation",
            Ownership {
                guards: Guards {
                    incarnation: false,
                    ..ALL_GUARDS
                },
                ..with_witness()
            },
        ),
        mutant(
            "pause",
            Ownership {
                guards: Guards {
                    pause: false,
                    ..ALL_GUARDS
                },
                ..two_instances()
            },
        ),
        mutant(
            "quarantine",
            Ownership {
                guards: Guards {
                    quarantine: false,
                    ..ALL_GUARDS
                },
                ..two_instances()
            },
        ),
        mutant(
            "sequence",
            Ownership {
                guards: Guards {
                    sequence: false,
                    ..ALL_GUARDS
                },
                ..stale_grants()
            },
        ),
        mutant(
            "stop",
            Ownership {
                guards: Guards {
                    stop: false,
                    ..ALL_GUARDS
                },
                ..two_instances()
            },
        ),
        mutant(
            "witness",
            Ownership {
                guards: Guards {
                    witness: false,
                    ..ALL_GUARDS
                },
                ..with_witness()
            },
        ),
        mutant(
            "stream list read",
            Ownership {
                reads_streams: false,
                ..split_network()
            },
        ),
        mutant(
            "one owner in a split",
            Ownership {
                owner_per_side: false,
                ..split_network()
            },
        ),
    ]
}

/// Specifications of the protocol with all guards.
pub(super) fn real() -> Vec<Case> {
    vec![
        real_case(
            "2, all faults",
            Ownership {
                faults: Faults::default(),
                horizon: 14,
                ..two_instances()
            },
        ),
        real_case(
            "2, join, all faults",
            Ownership {
                faults: Faults::default(),
                horizon: 13,
                joining: Some(0),
                ..two_instances()
            },
        ),
        real_case("2, crash cut leave pause", two_instances()),
        real_case("2, join, stale grants", stale_grants()),
        real_case(
            "3, join, crash cut leave pause",
            Ownership {
                first_candidate: 1,
                horizon: 12,
                instances: 3,
                joining: Some(0),
                ..two_instances()
            },
        ),
        real_case("3, join, pair cut", with_witness()),
        real_case("2, split, cold limit", split_network()),
        real_case(
            "3, split, cold limit",
            Ownership {
                horizon: 13,
                instances: 3,
                ..split_network()
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

/// Two instances with all faults except those of single messages.
fn two_instances() -> Ownership {
    Ownership {
        faults: ONE_WAY,
        horizon: 17,
        ..Ownership::default()
    }
}

/// Two instances that a cut can separate from each other, and a cold target that takes one request.
fn split_network() -> Ownership {
    Ownership {
        cold_limit: 1,
        faults: PAIR,
        horizon: 16,
        ..Ownership::default()
    }
}

/// An instance that joins and pauses, and grants that arrive in a later attempt of the same instance.
fn stale_grants() -> Ownership {
    Ownership {
        faults: Faults {
            messages: Fault::STALE,
            pause: true,
            ..Faults::NONE
        },
        horizon: 19,
        join_age: 3,
        joining: Some(0),
        max_faults: 3,
        ..Ownership::default()
    }
}

/// An instance that joins, one that it cannot reach, and one that both can reach, the witness.
fn with_witness() -> Ownership {
    Ownership {
        faults: PAIR,
        horizon: 13,
        instances: 3,
        joining: Some(0),
        ..Ownership::default()
    }
}
