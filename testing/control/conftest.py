import pytest
from control.fakes import FakePlatform


@pytest.fixture
def platform():
    return FakePlatform()
