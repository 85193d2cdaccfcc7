from daisygauge_emulator.fleet import AddressPlan


def test_fleets_of_one_process_use_different_blocks():
    blocks = [AddressPlan.for_this_process(number=0).block for _ in range(5)]

    assert len(set(blocks)) == 5
