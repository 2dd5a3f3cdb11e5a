"""Tests of the checks of a call."""

import hashlib
import types

import hypothesis
from hypothesis import strategies as st
import msgspec

from walnutport.catalogue import fold
from walnutport.catalogue import records
from walnutport import exceptions
from walnutport.service.requests import request_validator
from walnutport import world

TOKENS = ('a', 'b', 'c', 'd', 'é', '')


def _digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _scan(view: fold.CatalogueView, header: str) -> world.Member | None:
    """Find a member by looking at every digest."""
    scheme, _, token = header.partition(' ')
    found = None
    for member in view.members_by_id.values():
        for known in member.token_digests:
            if known == _digest(token.strip()) and scheme.lower() == 'bearer':
                found = member
    return found


@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.booleans(),
            st.lists(
                st.sampled_from([*map(_digest, TOKENS), 'é', '']),
                max_size=3,
            ),
        ),
        max_size=12,
    )
)
def test_lookup_finds_what_a_scan_finds(edits) -> None:
    """Guards against a token that is still valid after a change, or not."""
    state = fold.CatalogueFold()
    versions = [0] * 4
    for number, (who, is_deletion, digests) in enumerate(edits):
        member = world.Member(f'm{who}', tuple(digests))
        body = '' if is_deletion else msgspec.json.encode(member).decode()
        change = records.ChangeRecord(
            f'c{number}',
            records.EntryKind.MEMBER,
            member.member_id,
            versions[who],
            'op',
            body,
        )
        versions[who] = state.apply(change).version
        view = state.view()
        for header in [f'Bearer {token}' for token in TOKENS] + [
            'bearer  a ',
            'Basic a',
            f'Bearer {_digest("a")}',
            '',
        ]:
            request = types.SimpleNamespace(getHeader=lambda _, h=header: h)
            try:
                found = request_validator._authenticate(view, request)
            except exceptions.RequestError:
                found = None
            assert found == _scan(view, header)
