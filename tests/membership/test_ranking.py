"""Tests of the assignment of keys and cells to hosts."""

from walnutport.membership import ranking

HOSTS = {f'host-{number}': 1.0 for number in range(9)}


def test_loss_of_a_host_moves_only_its_keys():
    """Guards against reassigning all cells when one host leaves."""
    rest = {name: share for name, share in HOSTS.items() if name != 'host-3'}
    for key in range(50):
        before = ranking.rank_hosts(f'cell-{key}', HOSTS)[0]
        after = ranking.rank_hosts(f'cell-{key}', rest)[0]
        assert before in ('host-3', after)


def test_larger_hosts_own_more():
    """Guards against assigning a small host more work than it can do."""
    shares = {'small': 0.5, 'large': 2.0}
    owned = [
        ranking.rank_hosts(f'cell-{key}', shares)[0] for key in range(1000)
    ]
    assert 740 < owned.count('large') < 860


def test_cells_partition_the_targets():
    """Guards against a target that belongs to no cell."""
    ids = [f't{number}' for number in range(10)]
    parts = [ranking.cell_targets(ids, cell, 3) for cell in range(3)]
    assert sorted(target for part in parts for target in part) == ids
    assert ranking.cell_count(0) == 1


def test_small_hosts_own_no_cells():
    """Guards against a cell whose calls saturate the link of its owner."""
    shares = {'small-1': 0.2, 'small-2': 0.2, 'large': 2.0}
    assert ranking.eligible_hosts(shares) == {'large': 2.0}
    equal = {'a': 0.2, 'b': 0.2}
    assert ranking.eligible_hosts(equal) == equal
