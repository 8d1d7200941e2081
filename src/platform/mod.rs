//! Clients of the log, the instance list, the engines and the services.
