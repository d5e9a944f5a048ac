"""Measurements: real entries as processes against stand-ins, results as JSON."""
