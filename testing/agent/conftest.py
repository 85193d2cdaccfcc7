import eliot
import pytest

from .fakes import Fleet


@pytest.fixture(scope="session", autouse=True)
def discarded_events():
    """Eliot keeps events for the first destination; here nobody reads them."""
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
