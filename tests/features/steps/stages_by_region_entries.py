"""Steps on stages of two regions, with real entries."""

from collections import Counter

from behave import then, when

from tests.standins.fleet import wait_until
from tests.standins.route_site import REGIONS

STATUS_OK = 200


def stage_servers(context, region):
    """Return the stage servers of a region."""
    servers = context.site.of_kind("stage")
    return [server for server in servers if REGIONS[server.zone] == region]


def region_of(context, entry):
    """Return the region of an entry."""
    return REGIONS[context.site.fields[entry]["zone"]]


def call_staged(context, entry):
    """Send a staged request to an entry."""
    return context.site.call("/staged/ok", Pieces="2,3", Piece_Key="k", entry=entry)


def regions_of_pieces(context, request_id):
    """Return how often each piece of a request was made, and in which regions."""
    made, regions = {}, set()
    for server in context.site.of_kind("stage"):
        for piece, count in server.pieces.items():
            if piece[0] == request_id:
                made[piece] = made.get(piece, 0) + count
                regions.add(REGIONS[server.zone])
    return made, regions


@when("{count:d} staged requests go to each entry")
def step(context, count):
    context.answers = [
        (entry, call_staged(context, entry))
        for entry in context.site.entries
        for _ in range(count)
    ]


@then("all are answered, and each piece was made once in the region of its entry")
def step(context):
    for entry, answer in context.answers:
        assert answer.status == STATUS_OK and answer.whole, (entry, answer.status)
        made, regions = regions_of_pieces(context, answer.request_id)
        assert len(made) == 5 and set(made.values()) == {1}, (entry, made)
        assert regions == {region_of(context, entry)}, (entry, regions)


def stage_reports(context, entry, request_id):
    """Return the stages that an entry has logged for a request."""
    return [
        stage
        for event in context.site.events(entry)
        if event["name"] == "stages_done" and event["request"] == request_id
        for stage in event["stages"]
    ]


@then("the owner of each stage was an entry of that region")
def step(context):
    for entry, answer in context.answers:
        request_id = answer.request_id
        wait_until(
            lambda e=entry, r=request_id: len(stage_reports(context, e, r)) == 2,
            what=f"{entry} logs the stages of {request_id}",
        )
        addresses = {
            fields["listen"]["control"]: name
            for name, fields in context.site.fields.items()
        }
        for stage in stage_reports(context, entry, request_id):
            owner = addresses[stage["owner"]]
            assert region_of(context, owner) == region_of(context, entry), stage


@when('the stage servers of "{region}" are listed no more')
def step(context, region):
    for server in stage_servers(context, region):
        context.site.store.put(f"servers/{server.identity}", None)


@when('the stage servers of "{region}" are listed again')
def step(context, region):
    for server in stage_servers(context, region):
        context.site.list(server)


@then('staged requests to "{entry}" are answered by the stage servers of "{region}"')
def step(context, entry, region):
    def answered_there():
        answer = call_staged(context, entry)
        _, regions = regions_of_pieces(context, answer.request_id)
        return answer.status == STATUS_OK and answer.whole and regions == {region}

    wait_until(answered_there, what=f"{entry} uses the stage servers of {region}")
    # Each further request goes there too.
    for _ in range(4):
        assert answered_there()


@then('"{entry}" has logged that "{region}" lent capacity')
def step(context, entry, region):
    def logged():
        return any(
            event["name"] == "chain_borrowed" and event["region"] == region
            for event in context.site.events(entry)
        )

    wait_until(logged, what=f"{entry} logs the loan")


@when("the entries have exchanged messages for {seconds:g} s")
def step(context, seconds):
    context.site.wait(seconds)


@then("no entry has refused a part of a message")
def step(context):
    refused = Counter(
        (name, event.get("reason"))
        for name in context.site.entries
        for event in context.site.events(name)
        if event["name"] == "peer_frame_refused"
    )
    assert not refused, refused
