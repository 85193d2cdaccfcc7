import eliot
import pytest

from .fakes import Fleet


@pytest.fixture(scope="session", autouse=True)
def discarded_events():
    """Discards events, which Eliot would buffer until it has a destination."""
    eliot.add_destinations(discard)
    yield
    eliot.remove_destination(discard)


def discard(message):
    pass


@pytest.fixture
async def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    yield fleet
    await fleet.close()
