"""The links between two regions, as one entry of a region records them."""

import random

from boragestream.policy.region_links import RegionLinks
from boragestream.policy.regions import Regions

__all__ = ["REGIONS", "make_links"]

REGIONS = {"hall-a": "valley", "pier-a": "coast"}


def make_links(clock, changes, centre="hall-a", seed=1):
    """Return the links of an entry."""
    regions = Regions(centre, REGIONS)
    return RegionLinks(regions, clock, random.Random(seed), changes.append)
