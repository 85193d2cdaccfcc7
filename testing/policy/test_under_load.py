"""All decisions together in a simulated service, with fixed seeds."""

import pytest

from daisygauge_records import FifoQueue, LoadHandOff, NoHandOff, WorthQueue

from .queue_model import QueueModel

SEEDS = (1, 2, 3)


def run(*, queue=None, hand_off=None, seed, load, entry_hosts=7, slow=1.0):
    model = QueueModel(
        queue=queue or WorthQueue(), hand_off=hand_off or LoadHandOff(), seed=seed
    )
    model.hosts[0].slowness = slow
    return model.run(load=load, seconds=40.0, entry_hosts=entry_hosts)


@pytest.mark.parametrize("seed", SEEDS)
def test_hand_off_evens_out_connections_on_two_hosts(seed):
    model = run(seed=seed, load=0.7, entry_hosts=2)

    assert model.imbalance <= 1.10
    assert model.worth_share >= 0.99


@pytest.mark.parametrize("seed", SEEDS)
def test_all_worth_is_answered_below_capacity(seed):
    assert run(seed=seed, load=0.9).worth_share >= 0.99


@pytest.mark.parametrize("seed", SEEDS)
def test_a_slow_host_costs_little_worth(seed):
    assert run(seed=seed, load=0.7, slow=5.0).worth_share >= 0.97


@pytest.mark.parametrize("seed", SEEDS)
def test_the_worth_queue_beats_order_of_arrival_above_capacity(seed):
    model = run(seed=seed, load=1.5)
    baseline = run(seed=seed, load=1.5, queue=FifoQueue(), hand_off=NoHandOff())

    assert model.worth_share > baseline.worth_share
