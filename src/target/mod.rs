//! Scheduling on one target: state, limits, queue and admission.
