"""Command line of the program, with one module per subcommand."""
