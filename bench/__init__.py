"""Measurements against real entries and stand-ins as processes."""
