import pytest
from hypothesis import settings

from daisygauge_records import Endpoint, Upstream

settings.register_profile("ci", derandomize=True, deadline=None)
settings.load_profile("ci")


@pytest.fixture
def make_upstreams():
    """Build hosts named host-0, host-1 and so on."""

    def make(count, slots=2):
        return [
            Upstream(
                id=f"host-{index}",
                service="order-desk",
                agent=Endpoint(host=f"127.30.0.{index + 1}", port=7000),
                peer_port=7001,
                failure_domain=f"erongo-{index % 4 + 1}",
                slots=slots,
            )
            for index in range(count)
        ]

    return make
