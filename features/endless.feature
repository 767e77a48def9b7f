Feature: Answers whose bytes don't end
  A target in trouble may send bytes without end, in a head or a body.

  Scenario: Bytes without end are bounded on each path
    When targets answer without end
    Then no guarantee is violated

  Scenario: An event without an end is not kept
    When an event of a stream doesn't end
    Then no guarantee is violated
