Feature: Placement decisions, without a network

  Scenario Outline: <scenario>
    When the placement scenario "<scenario>" runs
    Then it has the expected result

    Examples:
      | scenario                                         |
      | an engine is faster than initially estimated     |
      | an engine slows down                             |
      | a slow engine gets no more requests for a minute |
      | events arrive in any order                       |
      | an engine stops answering                        |
      | an urgent prompt follows long ones               |
      | a short prompt overtakes a long one              |
      | all requests are for one adapter                 |
      | a further copy would evict wanted adapters       |
      | a copy is loading                                |
      | a place is freed beside a load of the same adapter |
      | there are six hundred engines                    |
      | a request arrives before the routes              |
      | routes never arrive                              |
      | there is no leader                               |
      | there is no leader for ten seconds               |
      | there is no leader but engines hold the adapter  |
      | late requests compete with others                |
      | a daemon gets more requests than it may ask for  |
      | the event loop of a daemon lags                  |
      | hundreds of requests wait for placement          |
      | one of hundreds of waiting calls ends            |
      | a route is unknown and the routes are old        |

  Scenario: Every mechanism of the placement decisions is needed
    Then the scenario of each mechanism fails without it

  Scenario: Requests are not refused because deciding costs more in a large deployment
    When placements are decided beside few and beside many engines
    Then a decision costs about the same

  Scenario: Requests are not refused because each end of one decides for all that wait
    When one request ends while many wait
    Then few of them are decided for

  Scenario: Requests are not refused because each tick decides for all that wait
    When many requests wait while no engine changes
    Then few of them are decided for

  Scenario: A slot that becomes free right before a tick does not stay idle
    When a slot becomes free right before a tick
    Then a load for a waiting request begins at once
