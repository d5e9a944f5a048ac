"""HTTP towards callers: the WSGI application and its answers."""
