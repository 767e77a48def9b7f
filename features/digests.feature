Feature: What a leader spreads of daemons and targets
  A new leader tells each daemon of all of them; thousands fill a small link
  for longer than a daemon waits for an answer.

  Scenario: Thousands of targets reach entries behind small links
    When a leader of 3000 targets is lost
    Then no promise is broken

  Scenario: Who follows in pieces knows what the leader knows
    When 300 random histories of targets are followed in pieces
    Then no promise is broken

  Scenario: Every guard of the pieces that is switched off is noticed
    When each guard of the pieces is switched off
    Then each is noticed there
