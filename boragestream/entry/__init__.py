"""Other entries, reached by pynng."""
