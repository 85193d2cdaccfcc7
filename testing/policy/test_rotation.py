from daisygauge_policy import Rotation, RotationStage


def run_rotation(*, has_packets, seconds=6.0, longest=5.2):
    """Return the stages at each tenth of a second after the stop signal.

    :param has_packets: tells whether packets arrive at a time since the signal.
    """
    rotation = Rotation(longest_seconds=longest, began=0.0, since=0.0)
    last, stages = 0.0, []
    for tick in range(int(seconds * 10)):
        now = tick / 10
        if has_packets(now):
            last = now
        stages.append(rotation.advance(last_packet=last, now=now))
    return stages


def first_seconds(stages, stage):
    return stages.index(stage) / 10


def test_a_balancer_without_traffic_finishes_soon():
    stages = run_rotation(has_packets=lambda now: now < 1.0)

    assert RotationStage.NEEDED not in stages
    assert 1.4 <= first_seconds(stages, RotationStage.FINISHED) <= 2.0


def test_a_balancer_that_is_still_used_reports_ready_once_more():
    stages = run_rotation(has_packets=lambda now: True)

    assert 1.4 <= first_seconds(stages, RotationStage.NEEDED) <= 1.6


def test_a_balancer_that_was_needed_leaves_before_it_finishes():
    stages = run_rotation(has_packets=lambda now: True)
    end = stages.index(RotationStage.FINISHED)

    assert set(stages[end - 13 : end]) == {RotationStage.LEAVING}
    assert 5.1 <= end / 10 <= 5.3


def test_a_balancer_never_stays_beyond_its_longest_time():
    stages = run_rotation(has_packets=lambda now: True, longest=3.0)

    assert first_seconds(stages, RotationStage.FINISHED) == 3.0
    assert RotationStage.NEEDED not in stages


def test_a_finished_balancer_stays_finished():
    stages = run_rotation(has_packets=lambda now: now < 1.0 or now > 3.0)
    end = stages.index(RotationStage.FINISHED)

    assert set(stages[end:]) == {RotationStage.FINISHED}
