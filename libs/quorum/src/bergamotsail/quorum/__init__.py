"""A Raft log with durable votes, snapshots and membership changes.

Commands are opaque to the node, which applies them to a :class:`Machine` once
they are committed. This variant of Raft has pre-vote, check-quorum, a leader
lease, single-server membership changes through a learner stage, and a sync to
disk before every vote and acknowledgement.
"""

from bergamotsail.quorum import _disk
from bergamotsail.quorum import _machine
from bergamotsail.quorum import _messages
from bergamotsail.quorum import _node
from bergamotsail.quorum import _storage

Disk = _disk.Disk
DiskError = _disk.DiskError
FolderDisk = _disk.FolderDisk

Config = _messages.Config
Entry = _messages.Entry
EntryKind = _messages.EntryKind
Member = _messages.Member
CALLS = _messages.CALLS

Machine = _machine.Machine
Node = _node.Node
Role = _node.Role
Timing = _node.Timing
NodeObserver = _node.NodeObserver

SnapshotMeta = _messages.SnapshotMeta

CorruptLogError = _storage.CorruptLogError
Storage = _storage.Storage
