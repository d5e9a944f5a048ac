"""Reads the metrics that one entry serves as text, for the status command."""

import http.client
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

from boragestream.operator.client import EntryUnreachable

__all__ = ["RouteSamples", "read_samples"]

METRICS_PATH = "/metrics"
ASK_SECONDS = 3.0
PREFIX = "boragestream_"


@dataclass(frozen=True, slots=True)
class RouteSamples:
    """The samples of one entry.

    :ivar samples: the name without its prefix, the labels and the value of each.
    """

    samples: tuple[tuple[str, dict[str, str], float], ...]

    def plain(self) -> dict[str, float]:
        """Return the values of the samples without labels, by name."""
        return {name: value for name, labels, value in self.samples if not labels}

    def labelled(
        self, name: str, *labels: str
    ) -> Iterator[tuple[tuple[str, ...], float]]:
        """Yield the values of these labels and the value of each sample of a name."""
        for sample, its_labels, value in self.samples:
            if sample == name:
                yield tuple(its_labels[label] for label in labels), value

    def add_to(
        self, counts: dict[str, Counter[str]], name: str, by: str, kind: str
    ) -> None:
        """Add the samples of a name to counts by two labels."""
        for (group, member), value in self.labelled(name, by, kind):
            counts.setdefault(group, Counter())[member] += int(value)


def read_samples(address: str) -> RouteSamples | EntryUnreachable:
    """Return what the entry serves at a metrics address."""
    connection = http.client.HTTPConnection(address, timeout=ASK_SECONDS)
    try:
        connection.request("GET", METRICS_PATH)
        response = connection.getresponse()
        text = response.read().decode()
        if response.status != http.HTTPStatus.OK:
            return EntryUnreachable(address, True, f"status {response.status}")
        return RouteSamples(
            tuple(
                (sample.name.removeprefix(PREFIX), dict(sample.labels), sample.value)
                for family in text_string_to_metric_families(text)
                for sample in family.samples
            )
        )
    except (OSError, ValueError, http.client.HTTPException) as error:
        return EntryUnreachable(address, connection.sock is not None, repr(error))
    finally:
        connection.close()
