"""The entry daemon: wires the library together and runs it."""
