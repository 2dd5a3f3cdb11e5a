"""Frozen data classes of hosts, targets, members and contracts."""

from walnutport.world.contracts import Contract
from walnutport.world.contracts import ContractLimits
from walnutport.world.contracts import Member
from walnutport.world.contracts import Pipeline
from walnutport.world.contracts import ServiceClass
from walnutport.world.contracts import Stage
from walnutport.world.topology import Address
from walnutport.world.topology import DataCentre
from walnutport.world.topology import Host
from walnutport.world.topology import Link
from walnutport.world.topology import LoadReport
from walnutport.world.topology import Target
from walnutport.world.topology import TargetState

__all__ = [
    'Address',
    'Contract',
    'DataCentre',
    'Host',
    'ContractLimits',
    'Link',
    'LoadReport',
    'Member',
    'Pipeline',
    'ServiceClass',
    'Stage',
    'Target',
    'TargetState',
]
