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


def test_keepers_of_origins_are_in_two_data_centres():
    """Guards against streams that cannot go on after a data centre is lost."""
    data_centre_by_name = {
        f'host-{number}': f'dc-{number % 3}' for number in range(130)
    }
    shards = ranking.origin_shards(len(data_centre_by_name))
    assert shards == 3
    for shard in range(shards):
        keepers = ranking.origin_keepers(shard, data_centre_by_name)
        assert len(set(keepers)) == ranking.ORIGIN_KEEPERS
        assert len({data_centre_by_name[name] for name in keepers}) == 2
    one = dict.fromkeys(('a', 'b', 'c'), 'dc')
    assert len(set(ranking.origin_keepers(0, one))) == 2
    assert ranking.origin_keepers(0, {'a': 'dc'}) == ['a']


def test_lost_host_changes_no_keeper_but_itself():
    """Guards against origins that are lost when any host is."""
    data_centre_by_name = {
        f'host-{number}': f'dc-{number % 3}' for number in range(40)
    }
    before = ranking.origin_keepers(0, data_centre_by_name)
    for name in set(data_centre_by_name) - set(before):
        remaining = dict(data_centre_by_name)
        del remaining[name]
        assert ranking.origin_keepers(0, remaining) == before


def test_cells_share_the_targets_that_evacuations_leave():
    """Guards against a cell without a target while others have some."""
    ids = [f't{number}' for number in range(6)]
    evacuated = {'t0', 't1', 't2', 't3', 'of another service'}
    chosen = [
        ranking.cell_targets_left(ids, evacuated, cell, 3) for cell in range(3)
    ]
    assert all(found & {'t4', 't5'} for found in chosen)
    assert set().union(*chosen) == set(ids)
    for cell in range(3):
        assert ranking.cell_targets_left(
            ids, set(), cell, 3
        ) == ranking.cell_targets(ids, cell, 3)


def test_small_hosts_read_the_store_for_others_last():
    """Guards against changes for all hosts that leave over a slow link."""
    shares = {f'small-{number}': 0.1 for number in range(20)}
    shares |= {f'large-{number}': 1.0 for number in range(3)}
    ranked = ranking.rank_readers(shares)
    assert all(name.startswith('large') for name in ranked[:3])
    assert sorted(ranked) == sorted(shares)
