Feature: Digests of daemons and targets that a leader sends
  A new leader sends all of them to each daemon. Thousands of targets take
  longer over a slow link than the time-out of a heartbeat.

  Scenario: Thousands of targets reach entries over slow links
    When a leader of 3000 targets is lost
    Then no guarantee is violated

  Scenario: A daemon that gets a digest in pieces knows what the leader knows
    When 300 random histories of targets are sent in pieces
    Then no guarantee is violated

  Scenario: Every guard of a digest in pieces that is switched off is noticed
    When each guard of a digest in pieces is switched off
    Then each disabled guard is detected
