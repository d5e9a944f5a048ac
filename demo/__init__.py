"""The demonstration: the whole path on one machine."""
