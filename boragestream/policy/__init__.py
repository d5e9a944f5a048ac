"""The decisions of the system, one module a job.

They take a clock and a random source as arguments and do no input or output, so that
each can be tested alone.
"""
