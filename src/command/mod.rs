//! Subcommands of the `jujubehook` command line.
