"""Small stand-ins for the platform and the backend servers, each its own process."""
