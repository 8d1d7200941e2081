//! Configuration records: schema versions, fold, snapshot and queries.
