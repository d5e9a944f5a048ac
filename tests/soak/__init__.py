"""A randomized soak: real entries as processes, faults from outside, promises held to.

``python -m tests.soak`` runs it, ``tests/features/soak.feature`` a few short seeds.
"""
