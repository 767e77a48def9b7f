Feature: Prompts with a part that crashes the targets that answer them
  Real replicas, sessions, placements and forwarders run in virtual time.

  Scenario: Requests that share a part stop crashing one target after another
    When prompts crash targets in no_two_requests_alike
    Then no guarantee is violated
