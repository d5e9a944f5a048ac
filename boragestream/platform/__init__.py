"""The platform's services, as the system meets them: read and watched, never written.

``GET /v1/document`` and ``GET /v1/instances`` answer JSON with the header
``X-Platform-Index``; with ``index`` and ``wait`` in the query they answer when the
index differs from the one given, or after that many seconds. A service that can come
back from a copy names in ``X-Platform-Era`` how often it has: the same index can stand
for another value then.
"""
