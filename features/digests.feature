Feature: Digests of daemons and targets that a leader sends
  A new leader sends all of them to each daemon. Thousands of targets take
  longer over a slow link than the time-out of a heartbeat.

  Scenario: Thousands of targets reach entries over slow links
    When a leader of 3000 targets is lost
    Then no guarantee is violated

  Scenario: A digest received in pieces equals that of the leader
    When 300 random histories of targets are sent in pieces
    Then no guarantee is violated

  Scenario: Every disabled guard of the digest pieces is detected
    When each guard of the digest pieces is disabled
    Then each disabled guard is detected
