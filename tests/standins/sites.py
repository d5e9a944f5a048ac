"""The two example deployments with the servers that the brief gives them."""

import itertools
import json
from pathlib import Path

EXAMPLES = Path(__file__).parents[2] / "examples"

CENTRES = {
    "cooperative": ("lalitpur-hall", "thamel-hall", "bhaktapur-hall"),
    "consortium": ("sofia-1", "sofia-2", "sofia-3"),
}
RUNNERS = {
    "cooperative": {"encoder": 2, "retriever": 2, "reranker": 2, "writer": 3},
    "consortium": {"encoder": 1, "retriever": 1, "reranker": 1, "writer": 3},
}
PLAIN_RUNNERS = 3


def example_document(site):
    """Return the checked-in document of a site."""
    return json.loads((EXAMPLES / f"{site}.json").read_text())


def example_key(account):
    """Return the key of a client account of the example documents."""
    return f"example-key-{account}"


def example_servers(site):
    """Return the site's servers as (name, service, kind, data centre)."""
    document = example_document(site)
    centres = itertools.cycle(CENTRES[site])
    servers = []
    for service in document["services"]:
        count = RUNNERS[site].get(service["name"], PLAIN_RUNNERS)
        for index in range(count):
            name = f"{service['name']}-{index + 1}"
            servers.append((name, service["name"], service["kind"], next(centres)))
    return servers
