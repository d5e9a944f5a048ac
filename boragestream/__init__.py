"""Boragestream serves multi-stage model pipelines under deadlines.

Packages from the lowest to the highest; none imports one below it in this list:

``base``
    Clock, identifiers, outcomes and failures, events, metrics, settings.
``document``
    The published configuration document: its records, checks and digests.
``policy``
    The decisions: admission, routing, retries, tickets, membership, limits.
``platform``, ``backend``, ``entry``
    One package for each peer that an entry talks to.
``serving``
    Takes one request through the stages of its pipeline.
``caller``
    HTTP towards callers.
``operator``, ``daemon``
    The command line for people and the entry daemon.
"""
