"""What every other package stands on; imports nothing of the project above it."""
