"""Typed messages, typed errors and transport between processes.

Everything that crosses a process boundary is a frozen dataclass, encoded as
JSON by :mod:`msgspec`. A daemon calls its peers only through
:class:`PeerTransport`, so tests can replace the network with an in-memory one.
"""

from bergamotsail.wire import _background
from bergamotsail.wire import _batches
from bergamotsail.wire import _bearer
from bergamotsail.wire import _clock
from bergamotsail.wire import _codec
from bergamotsail.wire import _curl
from bergamotsail.wire import _errors
from bergamotsail.wire import _http
from bergamotsail.wire import _lazy
from bergamotsail.wire import _peers
from bergamotsail.wire import _status
from bergamotsail.wire import _steps
from bergamotsail.wire import _streams
from bergamotsail.wire import _tokens

decode = _codec.decode
decode_each = _codec.decode_each
replace_invalid_utf8 = _codec.replace_invalid_utf8
encode = _codec.encode
encode_lines = _codec.encode_lines
to_builtins = _codec.to_builtins

Clock = _clock.Clock
LoopClock = _clock.LoopClock
BootClock = _clock.BootClock
wait_event = _clock.wait_event

monitored_stream = _streams.monitored_stream

fresh_token = _tokens.fresh_token
make_rng = _tokens.make_rng

Phase = _steps.Phase
Step = _steps.Step
FaultInjector = _steps.FaultInjector
NoFaultInjector = _steps.NoFaultInjector

parse_bearer = _bearer.parse_bearer

BackgroundTasks = _background.BackgroundTasks

batches = _batches.batches

lazy_names = _lazy.lazy_names

Call = _peers.Call
PEER_PATH = _peers.PEER_PATH
TOKEN_HEADER = _peers.TOKEN_HEADER
PeerServer = _peers.PeerServer
PeerTransport = _peers.PeerTransport
HttpPeerTransport = _peers.HttpPeerTransport

CurlClient = _curl.CurlClient
Exchange = _curl.Exchange
Framing = _curl.Framing
ReplyHead = _curl.ReplyHead
HttpClient = _http.HttpClient
HttpReply = _http.HttpReply
HttpRequest = _http.HttpRequest

BadMessageError = _errors.BadMessageError
BadRequestError = _errors.BadRequestError
CancelledByCallerError = _errors.CancelledByCallerError
ConflictError = _errors.ConflictError
LeaseLostError = _errors.LeaseLostError
DeadlineError = _errors.DeadlineError
EngineError = _errors.EngineError
ErrorBody = _errors.ErrorBody
ForbiddenError = _errors.ForbiddenError
IdempotencyKeyError = _errors.IdempotencyKeyError
InProgressError = _errors.InProgressError
InternalError = _errors.InternalError
KeyReusedError = _errors.KeyReusedError
LimitError = _errors.LimitError
NoCapacityError = _errors.NoCapacityError
NotFoundError = _errors.NotFoundError
NotLeaderError = _errors.NotLeaderError
NotOwnerError = _errors.NotOwnerError
NoRoomError = _errors.NoRoomError
NotSentError = _errors.NotSentError
OverloadError = _errors.OverloadError
PeerLostError = _errors.PeerLostError
PeerTimeoutError = _errors.PeerTimeoutError
ReplyTooLargeError = _errors.ReplyTooLargeError
InvalidReplyError = _errors.InvalidReplyError
check_status = _status.check_status
QuarantinedError = _errors.QuarantinedError
OtherCopyError = _errors.OtherCopyError
RequestTimeoutError = _errors.RequestTimeoutError
RunStatus = _errors.RunStatus
ReplicaFailedError = _errors.ReplicaFailedError
ServingError = _errors.ServingError
TargetRestartedError = _errors.TargetRestartedError
StaleFencingTokenError = _errors.StaleFencingTokenError
LoadShedError = _errors.LoadShedError
StillWaitingError = _errors.StillWaitingError
StartingError = _errors.StartingError
StoppingError = _errors.StoppingError
TooLargeError = _errors.TooLargeError
TruncatedError = _errors.TruncatedError
UnauthenticatedError = _errors.UnauthenticatedError
UnknownOutcomeError = _errors.UnknownOutcomeError
WithdrawnError = _errors.WithdrawnError
WrongAdapterError = _errors.WrongAdapterError
drop_tracebacks = _errors.drop_tracebacks
error_from_body = _errors.error_from_body
