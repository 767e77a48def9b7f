Feature: Decisions on places, without a network

  Scenario Outline: <load>
    When the load "<load>" is played against the decisions
    Then callers get what it states

    Examples:
      | load                                                  |
      | an engine reads faster than the first belief          |
      | an engine turns slow                                  |
      | a slow engine is believed like its peers again        |
      | answers come in any order and at any time             |
      | an engine falls silent                                |
      | an urgent prompt comes behind long ones               |
      | a short prompt is read between                        |
      | one adapter is asked for by all                       |
      | an adapter is wanted by others while one is busy      |
      | a copy is on its way                                  |
      | six hundred engines                                   |
      | an instance starts before its routes are known        |
      | an instance never hears of routes                     |
      | nobody leads                                          |
      | nobody leads for long                                 |
      | nobody leads while engines hold what is asked for     |
      | late requests ask beside others                       |
      | a daemon is behind                                    |
      | hundreds wait                                         |

  Scenario: Every switch of the decisions changes what callers get
    Then each switched-off mechanism breaks its load
