Feature: Admission by one daemon
  A request holds a unit of each limit while it runs, and waits in a queue
  while there is none.

  Scenario Outline: <scenario>: units are neither lost nor used unduly
    When admission plays <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                 |
      | admitted_as_wait_ends    |
      | waiting_over_an_election |
      | waiting_without_a_lease  |
