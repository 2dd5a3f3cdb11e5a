"""Schema of the decision log: the name, meaning and fields of each event.

Every line also has ``time`` (Unix seconds), ``host`` and ``event``. Durations
are in seconds.
"""

import dataclasses

__all__ = ['EVENTS', 'EVENT_BY_NAME', 'Event', 'schema_violations']

_COMMON_FIELDS = {'time', 'host', 'event'}


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One kind of line.

    :param description: when the line is written, for the operators' table.
    :param fields: fields that every such line has.
    :param optional: fields that only some of these lines have.
    """

    name: str
    description: str
    fields: tuple[str, ...] = ()
    optional: tuple[str, ...] = ()


EVENTS = (
    # Process.
    Event(
        'started',
        'the host listens',
        ('incarnation', 'data_centre', 'peer_port'),
    ),
    Event('stopping', 'a signal asks for the stop', ('in_flight',)),
    Event(
        'stopped',
        'the stop is over; what is left is broken off',
        ('in_flight', 'channels'),
    ),
    Event('reloaded', 'the settings were read anew'),
    Event('reload_failed', 'the old settings stay', ('problem',)),
    Event(
        'error',
        'a fault of the host while it served a request',
        ('id', 'problem', 'trace'),
    ),
    Event('log_dropped', 'lines over the budget so far', ('lines',)),
    # Desired state, targets and store.
    Event(
        'desired_applied',
        'a desired state is in force',
        ('version', 'offset', 'source', 'routes'),
    ),
    Event(
        'desired_unreadable',
        'a desired state was left out; the one before stays',
        ('offset', 'problem'),
    ),
    Event(
        'desired_expired',
        'the store has dropped what comes next; the newest is read',
        ('offset',),
    ),
    Event(
        'target_added',
        'a target is known',
        ('target', 'offset', 'source'),
    ),
    Event(
        'target_draining',
        'a target takes no new work',
        ('target', 'offset', 'source'),
    ),
    Event(
        'target_ready',
        'a target takes work again',
        ('target', 'offset', 'source'),
    ),
    Event(
        'target_restarted',
        'a new lifetime has the id',
        ('target', 'offset', 'source'),
    ),
    Event(
        'target_gone',
        'a target left or its entry lapsed',
        ('target', 'offset', 'source'),
    ),
    Event(
        'target_unreadable',
        'an entry that names no target to use',
        ('problem',),
    ),
    Event(
        'targets_expired',
        'the store has dropped what comes next; all are read anew',
        ('offset',),
    ),
    Event(
        'target_ejected',
        'failures of requests leave a target out for a while',
        ('target', 'unreachable', 'failures_in_row', 'failure_share', 'for_s'),
    ),
    Event(
        'target_taken_back',
        'the first good answer after that',
        ('target',),
    ),
    Event('store_lost', 'a call to the store failed', ('problem',)),
    Event('store_regained', 'the store answers again', ('outage_s',)),
    # Other hosts.
    Event('peer_joined', 'a link is up', ('peer', 'incarnation')),
    Event(
        'peer_silent',
        'a link is cut as nothing is heard on it',
        ('peer', 'silent_s'),
    ),
    Event('peer_lost', 'a link is closed', ('peer',)),
    Event(
        'peer_garbled',
        'a link is cut as a message cannot be read',
        ('problem',),
    ),
    Event(
        'hosts_unknown',
        'the store did not take or give the list of hosts',
        ('problem',),
    ),
    Event(
        'host_unreadable',
        'an entry of a host that cannot be read',
        ('key', 'problem'),
    ),
    Event(
        'suspect',
        'a request ran at a target that died',
        ('digest', 'deaths', 'cleared'),
    ),
    # Cells and stages.
    Event('fit', 'this host takes work of others again', ('lag_s',)),
    Event('unfit', 'its loop is late; others take cells', ('lag_s',)),
    Event(
        'cell_owner',
        'another host assembles the calls of a cell',
        ('cell', 'owner', 'before'),
    ),
    Event(
        'stages_taken',
        'the owner of a cell takes the stages of a request',
        ('id', 'cell', 'peer', 'pieces', 'forecast_s', 'aim_s'),
    ),
    Event(
        'stage_call',
        'a call to a stage target was answered',
        ('target', 'pieces', 'took_s', 'ids'),
    ),
    Event(
        'stage_call_failed',
        'a call to a stage target had no usable answer',
        ('target', 'pieces', 'failure', 'took_s', 'ids'),
    ),
    Event(
        'stage_free_failed',
        'results were not freed; the target drops them by itself',
        ('target', 'handles', 'problem'),
    ),
    Event(
        'stages_resubmitted',
        'the owner is lost; the stages start again elsewhere',
        ('id', 'lost_owner'),
    ),
    # Requests.
    Event(
        'placed',
        'an attempt at a target begins',
        ('id', 'target', 'attempt', 'left_s', 'load'),
    ),
    Event(
        'attempt_failed',
        'an attempt had no whole answer',
        ('id', 'target', 'status', 'detail'),
    ),
    Event(
        'repeat',
        'the request goes to another target',
        ('id', 'after', 'budget'),
    ),
    Event(
        'repeat_denied',
        'nothing more is tried: a rule or the retry budget forbids it',
        ('id', 'after', 'why'),
        ('budget',),
    ),
    Event(
        'refused',
        'the request has not run; the caller is told when to come back',
        ('id', 'reason', 'retry_after_s'),
        (
            'left_s',
            'cell',
            'owner',
            'forecast_s',
            'aim_left_s',
            'returned',
            'team_standing',
        ),
    ),
    Event(
        'rejected',
        'no route or an unknown key',
        ('id', 'status', 'reason', 'version', 'age_s'),
    ),
    Event('request_malformed', 'headers that make no sense', ('problem',)),
    Event('request_unreadable', 'not HTTP, or over a limit', ('status',)),
    Event(
        'finished',
        'the end of a request',
        (
            'id',
            'route',
            'team',
            'outcome',
            'status',
            'returned',
            'took_s',
            'stages_s',
            'first_s',
            'late',
            'tokens',
            'targets',
        ),
    ),
)

EVENT_BY_NAME = {event.name: event for event in EVENTS}


def schema_violations(record: dict) -> list[str]:
    """Return how a line violates the schema of its event."""
    name = record.get('event', '')
    event = EVENT_BY_NAME.get(name)
    if event is None:
        return [f'event {name} is not declared']
    present = record.keys()
    declared = _COMMON_FIELDS.union(event.fields, event.optional)
    return [
        *(
            f'{name}: field {field} is missing'
            for field in set(event.fields) - present
        ),
        *(
            f'{name}: field {field} is not declared'
            for field in present - declared
        ),
    ]
