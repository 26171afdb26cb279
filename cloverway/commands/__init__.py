"""Implementation of the commands of the command line."""
