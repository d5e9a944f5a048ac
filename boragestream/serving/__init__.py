"""Takes one admitted request through the stages of its pipeline."""
