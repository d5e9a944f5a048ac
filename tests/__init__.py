"""Behave features, their steps and the stand-ins for everything outside."""
