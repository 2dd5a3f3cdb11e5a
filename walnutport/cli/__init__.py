"""Command line of the program, one module a subcommand."""
