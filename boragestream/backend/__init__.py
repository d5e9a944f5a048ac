"""Calls to backend servers: engines, pools and plain services, over HTTP.

One call is one attempt on one server. Choosing the server, retrying and hedging are
left to ``serving`` and ``policy``.
"""
