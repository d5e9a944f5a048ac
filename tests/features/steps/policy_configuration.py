"""Steps on the decision which document is in force."""

from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from boragestream.document import check_document
from boragestream.policy.configuration import ConfigurationInForce, Offer
from tests.standins.sites import example_document

offers = st.tuples(
    st.integers(1, 4),
    st.sampled_from((1.0, 2.0)),
    st.sampled_from(("cooperative", "consortium")),
)


@then("after arbitrary offers the newest is in force and no version came back")
def step(context):
    data = example_document("cooperative")

    @settings(max_examples=100, derandomize=True, deadline=None)
    @for_all(st.lists(offers, min_size=1, max_size=8))
    def check(offered):
        configuration = ConfigurationInForce("cooperative")
        first = {}
        highest = 0
        for version, keep, deployment in offered:
            policies = {"answer_keep_seconds": keep}
            changed = {"version": version, "deployment": deployment}
            document, faults = check_document({**data, **changed, "policies": policies})
            assert document is not None, faults
            result = configuration.offer(document)
            if deployment != "cooperative":
                assert result is Offer.FOREIGN
                continue
            if version > highest:
                highest = version
                first[version] = keep
                assert result is Offer.TAKEN
            elif version < highest:
                assert result is Offer.OLDER
            else:
                same = first[version] == keep
                assert result is (Offer.SAME if same else Offer.CONFLICT)
            current = configuration.current
            assert current.version == highest
            assert current.document.policies.answer_keep_seconds == first[highest]

    check()
