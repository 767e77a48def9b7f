Feature: Placement decisions, without a network

  Scenario Outline: <load>
    When the load "<load>" runs against the placement decisions
    Then callers get the specified outcome

    Examples:
      | load                                                |
      | an engine is faster than the initial estimate       |
      | an engine slows down                                |
      | the estimate of a slow engine returns to its peers' |
      | answers arrive in any order and at any time         |
      | an engine stops answering                           |
      | an urgent prompt arrives after long ones            |
      | a short prompt is read before delayed ones          |
      | all requests are for one adapter                    |
      | a copy would evict an adapter that others wait for  |
      | a copy is being loaded                              |
      | six hundred engines                                 |
      | an instance starts before its routes are known      |
      | an instance never receives routes                   |
      | there is no leader                                  |
      | there is no leader for long                         |
      | there is no leader while engines hold the adapter   |
      | late requests compete with others for calls         |
      | the event loop of a daemon lags                     |
      | hundreds of requests wait                           |

  Scenario: Every mechanism of the decisions matters to its load
    Then each load fails without its mechanism
