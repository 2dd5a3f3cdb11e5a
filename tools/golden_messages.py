"""Prints the encoded bytes of a message of each kind between hosts.

Run in a checkout of a landing, whose hosts the next build has to understand::

    python -m tools.golden_messages > tests/peer/data/LANDING.json

Each kind is there with all fields set, and with the required ones only.
"""

import base64
import json
import sys
import typing

import msgspec

from walnutport.peer import fleet_messages

__all__ = ['main']


def sample(kind: msgspec.inspect.Type, is_full: bool, number: int):
    """Return a value of a type, as built-in types.

    :param is_full: whether fields with a default are set as well.
    :param number: varies the value, so that no two fields are alike.
    """
    match kind:
        case msgspec.inspect.StructType() | msgspec.inspect.DataclassType():
            return {
                field.encode_name: sample(field.type, is_full, number + place)
                for place, field in enumerate(kind.fields, 1)
                if is_full or field.required
            }
        case msgspec.inspect.UnionType():
            types = [
                option
                for option in kind.types
                if not isinstance(option, msgspec.inspect.NoneType)
            ]
            return sample(types[0], is_full, number)
        case msgspec.inspect.VarTupleType() | msgspec.inspect.ListType():
            return [sample(kind.item_type, is_full, number)]
        case msgspec.inspect.DictType():
            key = sample(kind.key_type, is_full, number)
            return {key: sample(kind.value_type, is_full, number)}
        case msgspec.inspect.EnumType():
            return next(iter(kind.cls)).value
        case msgspec.inspect.BoolType():
            return True
        case msgspec.inspect.IntType():
            return number
        case msgspec.inspect.FloatType():
            return number + 0.25
        case msgspec.inspect.StrType():
            return f'text-{number}'
        case msgspec.inspect.BytesType():
            return base64.b64encode(b'bytes-%d' % number).decode()
    raise TypeError(f'no sample of {kind}')


def main() -> int:
    """Print the messages as JSON and return the exit status."""
    lines = {}
    for cls in typing.get_args(fleet_messages.FleetMessage):
        info = msgspec.inspect.type_info(cls)
        for name, is_full in (('full', True), ('least', False)):
            fields = sample(info, is_full, 1)
            message = msgspec.convert(fields | {'type': info.tag}, cls)
            lines[f'{info.tag}/{name}'] = {
                'bytes': fleet_messages.encode(message).hex(),
                'fields': msgspec.to_builtins(message),
            }
    json.dump(lines, sys.stdout, indent=1, sort_keys=True)
    sys.stdout.write('\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
