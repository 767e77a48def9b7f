Feature: Decisions on places, without a network

  Scenario Outline: <load>
    When the load "<load>" is played against the decisions
    Then callers get what it states

    Examples:
      | load                                             |
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
      | there are six hundred engines                    |
      | a request arrives before the routes              |
      | routes never arrive                              |
      | there is no leader                               |
      | there is no leader for ten seconds               |
      | there is no leader but engines hold the adapter  |
      | late requests compete with others                |
      | the event loop of a daemon lags                  |
      | hundreds of requests wait for placement          |

  Scenario: Every switch of the decisions changes what callers get
    Then each switched-off mechanism breaks its load
