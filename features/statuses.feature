Feature: Replies with a status that HTTP doesn't have
  What a target in trouble sends as a status may be no number of HTTP, and
  then its reply is none.

  Scenario: A reply without a status of HTTP is lost on each path
    When replies have a status that HTTP doesn't have
    Then no guarantee is violated

  Scenario: A neighbour's reply without a status of HTTP is lost
    When a neighbour passes on a status that HTTP doesn't have
    Then no guarantee is violated
