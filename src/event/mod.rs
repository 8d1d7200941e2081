//! Log set-up and the timeline of events across processes.
