"""Whether servers that named a limit were sent more than it allows, in a soak."""

from collections import deque

WINDOW_SECONDS = 4.0
FACTOR = 1.5
SLACK = 5
# A limit binds from so long after it was first named, and an entry from so long after
# it passed an answer on.
STABLE_SECONDS = 3.0
BOUND_SECONDS = 0.5
SERVED = 200


def over_limits(site, told):
    """Return a line for each server that got more than its limit allows.

    Entries that were suspended or cut off are excused, and one that starts is bound by
    the answers that it has passed on itself.
    """
    by_id = {one.request_id: one for one in told}
    found = []
    for server, limit, began, ended in site.limited:
        calls = [
            (at, by_id[request_id])
            for at, request_id in list(server.calls)
            if began <= at < ended and request_id in by_id
        ]
        most = _most_in_window(calls, began + STABLE_SECONDS, site.excused)
        allowed = FACTOR * WINDOW_SECONDS * limit + SLACK
        if most > allowed:
            found.append(
                f"{server.identity} got {most} of {allowed} in {WINDOW_SECONDS} s"
            )
    return found


def _most_in_window(calls, since, excused):
    bound_from = {}
    for _, one in calls:
        if one.status == SERVED:
            at = one.ended_at + BOUND_SECONDS
            bound_from[one.life] = min(at, bound_from.get(one.life, at))
    within, most = deque(), 0
    for at, one in calls:
        bound = at >= bound_from.get(one.life, float("inf"))
        if at < since or not bound or one.life in excused:
            continue
        within.append(at)
        while within[0] <= at - WINDOW_SECONDS:
            within.popleft()
        most = max(most, len(within))
    return most
