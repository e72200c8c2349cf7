"""The commands of the client, a module each."""
