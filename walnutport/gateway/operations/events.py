"""Schema of the decision log: the name, meaning and fields of each event.

Every line also has ``time`` (Unix seconds), ``host`` and ``event``. Durations
are in seconds.
"""

import dataclasses

__all__ = ['EVENTS', 'EVENT_BY_NAME', 'Event', 'schema_violations']

_COMMON_FIELDS = {'time', 'host', 'event'}


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One kind of log line.

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
        'the host started and listens for connections',
        ('incarnation', 'data_centre', 'peer_port', 'first_start'),
    ),
    Event(
        'stopping',
        'a stop signal arrived; the host starts to drain',
        ('in_flight',),
    ),
    Event(
        'stopped',
        'the drain ended; requests still in flight are aborted, '
        '`cut_after_s` tells how long after the signal the latest of them '
        'came',
        ('in_flight', 'channels'),
        # Earlier builds do not write it.
        ('cut_after_s',),
    ),
    Event('reloaded', 'the settings were read again and are in force'),
    Event(
        'reload_failed',
        'the settings are missing or invalid; the old ones stay in force',
        ('problem',),
    ),
    Event(
        'error',
        'an internal error occurred while serving a request',
        ('id', 'problem', 'trace'),
    ),
    Event(
        'log_dropped',
        'lines over a limit were dropped; total since the start',
        ('lines',),
    ),
    # Desired state, targets and store.
    Event(
        'desired_applied',
        'a new desired state took effect; `behind_s` tells for how long a '
        'peer has had it or a newer one, `read_age_s` the age of the own read '
        'in flight',
        ('version', 'offset', 'era', 'source', 'routes'),
        # Earlier builds do not write these.
        ('before', 'behind_s', 'read_age_s'),
    ),
    Event(
        'desired_behind',
        'a peer has named a version that is newer than any known before',
        ('version', 'in_force', 'peer', 'read_age_s'),
    ),
    Event(
        'update_requested',
        'a peer is asked for what this host lacks',
        ('peer', 'lacks', 'in_force', 'newest', 'behind_s', 'sent'),
    ),
    Event(
        'desired_unreadable',
        'a desired state could not be decoded; the old one stays in force; '
        'logged once for each problem',
        ('offset', 'problem'),
    ),
    Event(
        'desired_superseded',
        'a desired state is older than the one in force, which stays',
        ('version', 'in_force', 'offset', 'source'),
    ),
    Event(
        'desired_confirmed',
        'a started host applies the desired state of the store, as no peer '
        'has a newer one',
        ('version', 'era', 'waited_s', 'peers', 'ahead'),
    ),
    Event(
        'desired_unconfirmed',
        'a started host applies the desired state of the store although peers '
        'did not answer in time, or are ahead',
        ('version', 'era', 'waited_s', 'peers', 'ahead'),
    ),
    Event(
        'desired_expired',
        'the next records in the store expired; the newest are read',
        ('offset',),
    ),
    Event(
        'evacuation_started',
        'the operator evacuates a data centre; its targets get no new work',
        ('data_centre', 'offset', 'era', 'age_s', 'source'),
    ),
    Event(
        'evacuation_ended',
        'an evacuation was withdrawn, or did not return with a store that '
        'returned from an older copy',
        ('data_centre', 'offset', 'era', 'age_s', 'source'),
    ),
    Event(
        'evacuation_unusable',
        'a record of an evacuation is unusable and skipped; logged once',
        ('offset', 'problem'),
    ),
    Event(
        'target_added',
        'a new target was registered',
        ('target', 'offset', 'source'),
    ),
    Event(
        'target_draining',
        'a target is draining and accepts no new work',
        ('target', 'offset', 'source'),
    ),
    Event(
        'target_ready',
        'a target stopped draining and accepts work again',
        ('target', 'offset', 'source'),
    ),
    Event(
        'target_restarted',
        'a target restarted, or changed its address or service',
        ('target', 'offset', 'source'),
    ),
    Event(
        'target_cold_time',
        'the cold time in the entry of a target differs from what was known',
        ('target', 'offset', 'source'),
    ),
    Event(
        'target_cold',
        'a target is slow for some time and gets few requests a second; '
        '`source` is `entry`, `header`, `start`, or `connection` for a target '
        'that refuses connections',
        ('target', 'left_s', 'source'),
    ),
    Event(
        'target_warm',
        'a target is no longer cold; `source` is `time` if its time has '
        'passed',
        ('target', 'source'),
    ),
    Event(
        'target_cold_invalid',
        'the cold time that a target states is ignored; once per start of it',
        ('target', 'problem', 'source'),
    ),
    Event(
        'target_gone',
        'a target was removed, or its entry expired',
        ('target', 'offset', 'source'),
    ),
    Event(
        'target_unreadable',
        'the entry of a target could not be decoded and names none; logged '
        'once for each entry and problem',
        ('target', 'offset', 'source', 'problem'),
    ),
    Event(
        'target_entry_superseded',
        'an entry of a target changes nothing, as a later one was seen before '
        'the store returned from an older copy; once for each run of it. '
        'Entries are valid from `valid_incarnation` and `valid_sequence` on',
        (
            'target',
            'incarnation',
            'sequence',
            'valid_incarnation',
            'valid_sequence',
            'offset',
        ),
    ),
    Event(
        'feed_failed',
        'an unexpected error in reading or applying records; they are read '
        'again, and the error is logged once',
        ('feed', 'problem', 'trace'),
    ),
    Event(
        'targets_expired',
        'the next records in the store expired; all targets are read again',
        ('offset',),
    ),
    Event(
        'target_ejected',
        'a target gets no requests for a while, after failures',
        ('target', 'unreachable', 'failures_in_row', 'failure_share', 'for_s'),
    ),
    Event(
        'target_taken_back',
        'an ejected target responded successfully and is restored',
        ('target',),
    ),
    Event(
        'target_limit',
        'a target states a limit, in requests a second from all hosts, or '
        'states none any more',
        ('target', 'requests_per_s', 'before', 'source'),
    ),
    Event(
        'target_brittle',
        'a target states how many requests a second it can turn away without '
        'falling over, or states none any more',
        ('target', 'rejections_per_s', 'before', 'source'),
    ),
    Event(
        'target_leaving',
        'a target states that it is shutting down; it gets no more requests',
        ('target', 'source'),
    ),
    Event(
        'target_held_back',
        'a target turned a request away and asks this host for time',
        ('target', 'for_s'),
    ),
    Event(
        'target_hold_ended',
        'the time has passed that a target had asked for',
        ('target',),
    ),
    Event(
        'target_header_invalid',
        'a response of a target has values that are ignored',
        ('target', 'problems'),
    ),
    Event(
        'store_lost',
        'a call to the store failed; the store counts as unavailable',
        ('problem',),
    ),
    Event(
        'store_regained',
        'the store is available to this host again; the outage of the fleet '
        'is shorter if peers have read meanwhile',
        ('outage_s', 'fleet_outage_s'),
    ),
    Event(
        'store_returned_older',
        'the store returned from an older copy; everything is read again',
        ('era', 'before', 'source'),
    ),
    Event(
        'store_era_invalid',
        'a response of the store names no valid era, or an earlier one',
        ('problem',),
    ),
    Event(
        'origin_history_read',
        'the record in the store of what has served streams lately was read; '
        '`earlier`: records from before the store returned from an older '
        'copy, which may be incomplete',
        ('records', 'new', 'unreadable', 'earlier', 'era', 'end'),
    ),
    Event(
        'origin_history_written',
        'that record was written, as it had changed',
        ('records', 'keys', 'era', 'end'),
    ),
    Event(
        'origin_history_unreadable',
        'a record of that kind could not be decoded; what served the route or '
        'the service before the start of this host is unknown',
        ('key', 'problem'),
    ),
    Event(
        'origin_history_unavailable',
        'that record could not be read or written; the host retries',
        ('problem',),
    ),
    Event(
        'origin_history_failed',
        'an internal error occurred while the host kept that record; it goes '
        'on after a pause',
        ('problem', 'trace'),
    ),
    # Other hosts.
    Event(
        'peer_joined',
        'a link to a peer was established',
        ('peer', 'incarnation'),
    ),
    Event(
        'peer_silent',
        'nothing arrived from a peer within the timeout; its link is closed',
        ('peer', 'silent_s'),
    ),
    Event('peer_lost', 'the link to a peer was closed', ('peer',)),
    Event(
        'peer_garbled',
        'a message from a peer could not be decoded; its link is closed',
        ('problem',),
    ),
    Event(
        'peer_message_unknown',
        'a peer of a later build sent a message of a kind that this one does '
        'not know; it is skipped, and the next ones are only counted',
        ('peer', 'kind'),
    ),
    Event(
        'peer_message_unsent',
        'a message for peers cannot be encoded or is too large, and is left '
        'out; the next ones of its kind are only counted',
        ('kind', 'problem'),
    ),
    Event(
        'peer_address_invalid',
        'the record of a host names no IP address; the host is not dialled',
        ('peer', 'address'),
    ),
    Event(
        'hosts_unknown',
        'the host could not register, or read the list of hosts; it retries',
        ('problem',),
    ),
    Event(
        'host_unreadable',
        'the entry of a host in the store could not be decoded; logged once '
        'for each entry and problem',
        ('key', 'problem'),
    ),
    Event(
        'origins_unwritten',
        'the origins of streams could not be appended to their log in the '
        'store; the host retries while callers may take the streams up',
        ('problem', 'waiting'),
    ),
    Event(
        'origins_written',
        'origins are appended to the log again',
        ('waiting',),
    ),
    Event(
        'origins_taken_over',
        'this host writes the origins of streams in place of hosts that were '
        'lost, which may not have written them',
        ('count', 'lost'),
    ),
    Event(
        'origins_unread',
        'partitions of the log of origins could not be read; streams that '
        'no host knows are refused',
        ('parts', 'problem'),
    ),
    Event(
        'origins_unreadable',
        'records of the log of origins could not be decoded and are skipped',
        ('part', 'count', 'problem'),
    ),
    Event(
        'suspect',
        'a request may have crashed a target, was cleared of that, or is '
        'probed',
        ('digest', 'deaths', 'cleared', 'probe_s'),
    ),
    Event(
        'suspects_untold',
        'the link to a peer was lost before it was told all suspects; it is '
        'told again when it joins',
        ('peer', 'contents', 'parts'),
    ),
    Event(
        'part_suspects_told',
        'a peer that joined told of parts of prompts that are not quarantined',
        ('peer', 'count'),
    ),
    Event(
        'part_suspect',
        'a part of prompts may have crashed a target, was cleared of that, or '
        'is probed',
        (
            'part',
            'deaths',
            'cleared',
            'count',
            'quarantined',
            'probe_s',
            'source',
        ),
    ),
    # Cells and stages.
    Event(
        'fit',
        'the event loop keeps up again; this host takes work of others',
        ('lag_s',),
    ),
    Event(
        'unfit',
        'the event loop lags; other hosts take over the cells',
        ('lag_s',),
    ),
    Event(
        'cell_owner',
        'a cell has a new owner',
        ('cell', 'owner', 'before'),
    ),
    Event(
        'stages_taken',
        'the owner of a cell accepted the stages of a request',
        ('id', 'cell', 'peer', 'pieces', 'forecast_s', 'aim_s'),
        ('continues',),
    ),
    Event(
        'stage_call',
        'a call to a stage target succeeded',
        ('target', 'pieces', 'took_s', 'ids'),
    ),
    Event(
        'stage_call_failed',
        'a call to a stage target failed',
        ('target', 'pieces', 'failure', 'took_s', 'ids'),
    ),
    Event(
        'stage_free_failed',
        'results could not be freed; the target frees them later',
        ('target', 'handles', 'problem'),
    ),
    Event(
        'stages_resubmitted',
        'the owner of a cell was lost; the stages are submitted again; '
        '`admitted` if the owner had admitted them',
        ('id', 'lost_owner', 'admitted'),
        ('handed_over',),
    ),
    Event(
        'stages_handed_over',
        'the owner of a cell stops before a job can end; its host submits the '
        'job to the next owner; `admitted` if this one had admitted it',
        ('id', 'cell', 'peer', 'results', 'admitted', 'left_s'),
    ),
    # The path to the targets, and requests that go by a peer.
    Event(
        'targets_unreachable',
        'no target of a sample could be connected to; callers are served by '
        'peers',
        ('dialled',),
    ),
    Event(
        'targets_reachable',
        'a target was connected to again; callers are served directly',
        ('cut_s',),
    ),
    Event(
        'path_dial_failed',
        'a target of a sample could not be connected to',
        ('address', 'problem'),
    ),
    Event(
        'relay_port_missing',
        'no port is free at which to serve requests of other hosts',
        ('problem',),
    ),
    Event(
        'relayed',
        'a peer is to serve the request, as this host reaches no target',
        ('id', 'peer', 'left_s'),
        # Earlier builds do not write it.
        ('desired',),
    ),
    Event(
        'response_unread',
        'a caller or a peer does not read its response; the connection is '
        'ended as all such responses hold too much memory',
        ('bytes', 'all_bytes'),
    ),
    Event(
        'relay_received',
        'a request of another host is served here',
        ('id', 'peer', 'elapsed_s'),
    ),
    Event(
        'relay_failed',
        'a peer did not serve the request to its end',
        ('id', 'peer', 'problem'),
    ),
    Event(
        'relay_returned',
        'a peer has not begun a request, as it stops or takes no requests of '
        'other hosts; another one is tried',
        ('id', 'peer', 'status'),
    ),
    # Requests.
    Event(
        'placed',
        'an attempt at a target starts; `desired` is the version of the '
        'desired state by which the request was matched',
        ('id', 'target', 'version', 'attempt', 'left_s', 'load'),
        # Earlier builds do not write it.
        ('desired',),
    ),
    Event(
        'content_probe',
        'the request is sent although its content is quarantined, to learn '
        'whether it still crashes targets',
        ('id', 'digest'),
    ),
    Event(
        'part_probe',
        'the request is sent although parts of its prompt are quarantined, to '
        'learn whether they still crash targets',
        ('id', 'parts'),
    ),
    Event(
        'stream_continued',
        'the caller goes on with a stream that an earlier attempt began',
        ('id', 'begun_by', 'after', 'service', 'version', 'source'),
    ),
    Event(
        'run_checked',
        'a stream is to go on at a target, or to begin at one whose run is in '
        'doubt; `incarnation` is the start that the process has reported on '
        'the channel (null if it does not), `version` that of its entry (null '
        'if it has none), `refusal` why it is not sent there',
        ('id', 'target', 'incarnation', 'version', 'refusal'),
    ),
    Event(
        'end_checked',
        'a response had no length, and it is checked whether the run of its '
        'target lives on; `source` tells by what: the start that the target '
        'reports (`target`), its silence (`silence`), or the entries of the '
        'store (`store`), or those known before (`registry`), after an answer '
        'that states no start',
        ('id', 'target', 'complete', 'source'),
    ),
    Event(
        'target_report_missing',
        'a target did not report its start',
        ('target', 'problem'),
    ),
    Event(
        'origin_answer_failed',
        'a peer got no answer where a stream began, for an unexpected error',
        ('peer', 'problem'),
    ),
    Event(
        'stream_claim_refuted',
        'no host has begun the stream that a caller takes up; its stages '
        'count as new work',
        ('id', 'begun_by'),
    ),
    Event(
        'attempt_failed',
        'an attempt got no complete or usable response',
        ('id', 'target', 'status', 'detail'),
        ('parts',),
    ),
    Event(
        'permit_missing',
        'the request was not sent to a cold target: the permit was denied, or '
        'ended before the request was written',
        ('id', 'target', 'cause', 'waited'),
    ),
    Event(
        'repeat',
        'the request is retried at another target',
        ('id', 'after', 'budget'),
    ),
    Event(
        'repeat_denied',
        'no retry: a rule or the retry budget forbids it',
        ('id', 'after', 'why'),
        ('budget',),
    ),
    Event(
        'refused',
        'the request did not run; the caller is told when to retry',
        ('id', 'reason', 'retry_after_s'),
        (
            'left_s',
            'continues',
            'cell',
            'owner',
            'forecast_s',
            'aim_left_s',
            'returned',
            'team_standing',
            'kind_standing',
            'reserved',
            'part',
            'deaths',
            'cold_targets',
            'expected_s',
            'host_left_s',
        ),
    ),
    Event(
        'stop_checked',
        'a stopping host compared the expected end of a request with its own',
        ('id', 'place', 'fits', 'expected_s', 'host_left_s'),
    ),
    Event(
        'rejected',
        'no route matches the request, or the API key is unknown',
        (
            'id',
            'status',
            'reason',
            'version',
            'age_s',
            'read_age_s',
            'era',
        ),
    ),
    Event(
        'request_malformed',
        'the headers of a request could not be decoded',
        ('problem',),
    ),
    Event(
        'request_unreadable',
        'a request is not valid HTTP, or exceeds a size or time limit',
        ('status',),
    ),
    Event(
        'stream_ended',
        'the response of a stream ended that has brought events. `after`: '
        'last event that the caller had before; `version`: the one that the '
        'stream is bound to; `first`, `last`: ids of the forwarded events; '
        '`repeated`: events that were dropped as the caller has them; `runs`: '
        'the first and the latest attempts that have brought events, each '
        'with the entry of its target when it was sent; `framing`: of the '
        'last response of a target: `length`, `chunks` or `close`; `end`: '
        'outcome of the request; `close`: how a response was judged that only '
        'the close has ended: `confirmed`, `refuted`, `empty`, `unchecked`, '
        'otherwise empty; `close_checked_by`: by what',
        (
            'id',
            'begun_by',
            'after',
            'version',
            'first',
            'last',
            'events',
            'repeated',
            'runs',
            'run_count',
            'framing',
            'end',
            'close',
            'close_checked_by',
        ),
    ),
    Event(
        'finished',
        'a request ended',
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
        # Hosts of earlier builds do not write it.
        ('continues',),
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
