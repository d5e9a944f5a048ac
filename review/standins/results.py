"""The results of stages, as runners fetch them from one another.

The pages leave open how a runner fetches a result. Here it asks the result's maker,
which the handle names.
"""

import http.client

__all__ = ["RESULT_PATH", "are_held"]

RESULT_PATH = "/result/"
FETCH_SECONDS = 2.0


def are_held(handles):
    """Return whether the makers of some results still hold all of them."""
    return all(_is_held(handle) for handle in handles)


def _is_held(handle):
    address, _, name = handle.partition("/")
    connection = http.client.HTTPConnection(address, timeout=FETCH_SECONDS)
    try:
        connection.request("GET", RESULT_PATH + name)
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()
