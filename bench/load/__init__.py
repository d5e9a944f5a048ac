"""The open-loop load tool: schedules, client processes, scenarios and metrics.

Arrivals are computed before a run and never slowed by slow answers. Nothing is
simulated: entries are the real daemons, backend servers are stand-in processes.
"""
