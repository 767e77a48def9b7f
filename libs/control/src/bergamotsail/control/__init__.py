"""Sessions of daemons with the leader.

Heartbeats and their replies carry the state shared by a daemon and the
leader: the lease, catalogue changes, ownership, shares of the limits, and the
digest of daemons and targets. :class:`Session` is the daemon's side,
:class:`Coordinator` the leader's.
"""

from bergamotsail import catalogue
from bergamotsail.control import _coordinator
from bergamotsail.control import _copies
from bergamotsail.control import _digest
from bergamotsail.control import _fleet
from bergamotsail.control import _floor
from bergamotsail.control import _gatherer_choice
from bergamotsail.control import _groups
from bergamotsail.control import _holders
from bergamotsail.control import _ledger
from bergamotsail.control import _messages
from bergamotsail.control import _relay
from bergamotsail.control import _session
from bergamotsail.control import _software
from bergamotsail.control import _streams
from bergamotsail.control import _target_notices
from bergamotsail.control import _target_rates
from bergamotsail.control import _turns

Coordinator = _coordinator.Coordinator
UseTracker = _coordinator.UseTracker
Digest = _digest.Digest
DigestLog = _digest.DigestLog
FloorRaiser = _floor.FloorRaiser
Fleet = _fleet.Fleet
GathererChoice = _gatherer_choice.GathererChoice
GATHERER_ERRORS = _gatherer_choice.GATHERER_ERRORS
TargetNotices = _target_notices.TargetNotices
TargetRates = _target_rates.TargetRates
Ledger = _ledger.Ledger
StoreQueue = _turns.StoreQueue
rendezvous = _fleet.rendezvous
HolderTable = _holders.HolderTable
count_groups = _groups.count_groups
group_id = _groups.group_id
group_of = _groups.group_of
groups_with = _groups.groups_with
ranked_groups = _groups.ranked_groups

DaemonInfo = _messages.DaemonInfo
TargetInfo = _messages.TargetInfo
DigestDelta = _messages.DigestDelta
GroupHolder = _messages.GroupHolder
RateNotice = _messages.RateNotice
StreamNote = _messages.StreamNote
StreamOrigin = catalogue.StreamOrigin
FIND_STREAM = _messages.FIND_STREAM
FindStream = _messages.FindStream
COVER_AGE = _messages.COVER_AGE
CoverAge = _messages.CoverAge
CopyStreams = _messages.CopyStreams
MOVE_STREAM = _messages.MOVE_STREAM
MoveStream = _messages.MoveStream
MIN_STREAM_AGE_S = _software.MIN_STREAM_AGE_S
FoundStream = _messages.FoundStream
StreamCopies = _copies.StreamCopies
StreamNotes = _streams.StreamNotes
StreamRecord = _streams.StreamRecord
StreamTable = _streams.StreamTable
Use = _messages.Use
TargetStatus = _messages.TargetStatus
TurnEnd = _messages.TurnEnd
TurnReply = _messages.TurnReply
TurnRequest = _messages.TurnRequest
LeaseTiming = _messages.LeaseTiming
COMMAND = _messages.COMMAND
CommandRequest = _messages.CommandRequest
CommandReply = _messages.CommandReply
FIND_CLAIM = _messages.FIND_CLAIM
FindClaim = _messages.FindClaim
TURN = _messages.TURN
TURN_END = _messages.TURN_END
ALONE = _messages.ALONE
AloneRequest = _messages.AloneRequest
AloneReply = _messages.AloneReply
STATUS = _messages.STATUS
Status = _messages.Status
StatusReply = _messages.StatusReply

HEARTBEAT = _messages.HEARTBEAT
Heartbeat = _messages.Heartbeat
HeartbeatReply = _messages.HeartbeatReply
HEARTBEAT_INDIRECT = _messages.HEARTBEAT_INDIRECT
HEARTBEAT_SHED_S = _coordinator.HEARTBEAT_SHED_S
Relay = _relay.Relay
LeaderClient = _session.LeaderClient
Session = _session.Session
PassiveParticipant = _session.PassiveParticipant
Participant = _session.Participant
