"""Stand-ins that the review's scripts start: runners, the platform and clients."""
