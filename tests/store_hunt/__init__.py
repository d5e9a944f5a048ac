"""Random faults before many entries that follow one store, in simulated time."""
