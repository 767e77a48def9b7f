"""The persistent state: catalogue entries, target ownership and claims.

Catalogue entries, the ownership of targets and the claims of
non-idempotent calls live in one replicated state machine. Daemons without
a replica apply its *effects*, in order, to a :class:`View`.
"""

from bergamotsail.catalogue import _commands
from bergamotsail.catalogue import _entries
from bergamotsail.catalogue import _machine
from bergamotsail.catalogue import _members
from bergamotsail.catalogue import _origins
from bergamotsail.catalogue import _routes
from bergamotsail.catalogue import _view

Adapter = _entries.Adapter
Call = _entries.ServiceCall
Entry = _entries.Entry
EntryClass = _entries.EntryClass
Kind = _entries.Kind
Pool = _entries.Pool
PoolKind = _entries.PoolKind
Quarantine = _entries.Quarantine
Service = _entries.Service
parse_value = _entries.parse_value
check_id = _entries.check_id

Budget = _members.Budget
BudgetUnit = _members.BudgetUnit
Limits = _members.Limits
Member = _members.Member
find_holder = _members.find_holder
hash_token = _members.hash_token

Change = _commands.Change
Claim = _commands.Claim
ClaimReply = _commands.ClaimReply
ClaimState = _commands.ClaimState
Grant = _commands.Grant
Outcome = _commands.Outcome
Put = _commands.Put
PutReply = _commands.PutReply
RaiseFloor = _commands.RaiseFloor
Command = _commands.Command
Record = _commands.Record
Release = _commands.Release
ReplaceRoutes = _commands.ReplaceRoutes
NameVersion = _commands.NameVersion
Copies = _commands.Copies
NoteCopies = _commands.NoteCopies
TakeOrders = _commands.TakeOrders
NoteSharers = _commands.NoteSharers
Sharer = _commands.Sharer
VersionReply = _commands.VersionReply

ForgetOrigins = _origins.ForgetOrigins
MoveStream = _origins.MoveStream
NoteOrigins = _origins.NoteOrigins
StreamAge = _origins.StreamAge
StreamOrigin = _origins.StreamOrigin
StreamOrigins = _origins.StreamOrigins

AdapterVersion = _routes.AdapterVersion
BaseModel = _routes.BaseModel
CallerLimits = _routes.CallerLimits
EngineSpec = _routes.EngineSpec
Route = _routes.Route
RouteIndex = _routes.RouteIndex
RouteMember = _routes.RouteMember
RouteKind = _routes.RouteKind
RoutePool = _routes.RoutePool
RouteTable = _routes.RouteTable
Split = _routes.Split
check_table = _routes.check_table

CatalogueMachine = _machine.CatalogueMachine
MAX_COPIES_PER_ENGINE = _machine.MAX_COPIES_PER_ENGINE

Effect = _view.Effect
EffectAssembler = _view.EffectAssembler
split_effect = _view.split_effect
Ownership = _view.Ownership
View = _view.View
adapter_key = _view.adapter_key
