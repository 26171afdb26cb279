"""The commands of the command line, and what they share."""
