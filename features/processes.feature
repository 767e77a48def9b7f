Feature: Real processes under failure
  Covers with processes on loopback what in-memory tests cannot.

  Background:
    Given a system of processes

  Scenario: A kill of the leader loses no accepted change
    Given 20 accepted changes
    When the leader is killed
    Then every other daemon holds the 20 changes
    And a new change is accepted
    When the killed daemon starts again
    Then every daemon holds the 20 changes

  Scenario: A kill of all replicas at once loses no accepted change
    Given 20 accepted changes
    When all replicas are killed and start again
    Then every daemon holds the 20 changes

  Scenario: A replica that lost its data folder joins as a new one
    Given 20 accepted changes
    When a replica loses its data folder and starts again
    Then three replicas vote, one of them new
    When another replica is killed
    Then a new change is accepted

  Scenario: A kill of an owner in mid-stream splices no answers
    Given a long answer streaming from an engine of another daemon
    When the owner of its engine is killed
    Then the answer is complete and exact or ends with a typed error
    And the engine gets another owner

  Scenario: A caller reconnects after its entry was killed
    Given a long answer streaming from an engine of another daemon
    When the entry that streams it is killed
    And the caller reconnects with the id of its last event
    Then both parts together are the exact answer

  Scenario: A resumed owner orders nothing with its old fencing token
    Given a busy system
    When an owner is frozen past its lease and resumes
    Then no engine executed an order with an old fencing token
    And no engine evicted an adapter that was serving
    And every answer was exact or a typed error

  Scenario: A planned stop under load aborts no request
    Given a busy system
    When a daemon is stopped gracefully
    Then it exits with code 0
    And every request was answered

  Scenario: A non-idempotent call runs at most once despite kills
    When calls are resent while their entries are killed
    Then no call ran twice
    And every answered call ran

  Scenario: A caller that disconnects frees its slot
    When a caller disconnects in mid-stream
    Then the engine cancels its run

  Scenario: Callers of a silently unreachable engine get an error
    Given a long answer streaming from an engine behind a relay
    When the relay stops forwarding but keeps connections open
    Then the caller gets a typed error within 15 seconds

  Scenario: A damaged log is refused with instructions for the operator
    Given 20 accepted changes
    When the log of a replica is damaged in the middle
    Then it exits with code 1 and says to remove the data folder

  Scenario: The curl command of the README works
    Then curl gets a streamed answer with its end mark

  Scenario: A refused body is answered while its caller still sends
    Then slow callers of these bodies get these answers
      | body                      | status |
      | declared over the limit   | 413    |
      | declared over twice that  | 413    |
      | chunked over the limit    | 413    |
      | chunked over twice that   | 413    |
      | declared on no route      | 404    |

  Scenario: Invalid input gets typed errors
    Then these requests get these codes
      | request            | status | code                |
      | no token           | 401    | unauthenticated     |
      | wrong token        | 401    | unauthenticated     |
      | not JSON           | 400    | bad_message         |
      | unknown adapter    | 404    | not_found           |
      | unknown version    | 404    | not_found           |
      | other member       | 404    | not_found           |
      | huge body          | 413    | too_large           |
      | zero tokens        | 400    | bad_request         |
      | bad deadline       | 400    | bad_request         |
      | bad priority       | 400    | bad_request         |
      | bad resume         | 400    | bad_request         |
      | other model's resume | 400  | bad_request         |
      | unknown route      | 404    | not_found           |
      | peer route         | 401    | unauthenticated     |
      | admin as caller    | 401    | unauthenticated     |
      | no key             | 400    | bad_idempotency_key |
      | bad key            | 400    | bad_idempotency_key |
      | bad entry          | 400    | bad_message         |
      | bad entry id       | 400    | bad_request         |
      | stale revision     | 409    | conflict            |
    And a caller leaves its request incomplete
    And a valid request of another caller is answered
