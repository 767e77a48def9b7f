Feature: The connection table of a process
  What a process holds for its clients stays within its limits, and clients
  without progress are evicted for those with it. Nothing here uses a network.

  Scenario Outline: <check>
    When the check <check> of the connection table runs
    Then no guarantee is violated

    Examples:
      | check               |
      | random_use          |
      | bodies              |
      | honest_among_silent |
      | single_bytes        |
      | calm                |
      | timeouts            |
      | running             |
      | many_requests       |
      | unread              |
      | trusted             |
      | process_limits      |

  Scenario: Every guard of the connection table that is switched off is noticed
    When each guard of the connection table is switched off
    Then each disabled guard is detected

  Scenario Outline: A request that was <outcome> is freed at once
    When a request is <outcome> without a garbage collection
    Then no guarantee is violated

    Examples:
      | outcome |
      | served  |
      | crashed |
      | refused |

  Scenario: A request whose caller left while it was received is freed at once
    When a caller leaves in the middle of a body without a garbage collection
    Then no guarantee is violated

  Scenario: The kernel holds a bounded number of bytes that are not read
    When clients send bytes that a listener does not read
    Then no guarantee is violated
