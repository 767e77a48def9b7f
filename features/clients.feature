Feature: Crowds of clients that don't behave
  No process ends or hangs, its memory and descriptors stay within its limits,
  and an ordinary request is answered beside the crowd and after it.

  Background:
    Given a system with lowered limits

  Scenario Outline: <kind> to calls of a daemon as entry
    Then <kind> to calls of a daemon as entry do no harm

    Examples:
      | kind                 |
      | large_chunks         |
      | small_chunks         |
      | slow_small_chunks    |
      | short_of_length      |
      | announced_over_limit |
      | sent_over_limit      |
      | left_early           |
      | sent_ahead           |
      | bodies_sent_ahead    |
      | unread_answers       |
      | endless_heads        |
      | silent               |
      | all_kinds            |

  Scenario Outline: <kind> to peer calls of a daemon as entry
    Then <kind> to peer calls of a daemon as entry do no harm

    Examples:
      | kind                 |
      | large_chunks         |
      | small_chunks         |
      | slow_small_chunks    |
      | short_of_length      |
      | announced_over_limit |
      | sent_over_limit      |
      | left_early           |
      | sent_ahead           |
      | bodies_sent_ahead    |
      | unread_answers       |
      | endless_heads        |
      | silent               |
      | all_kinds            |

  Scenario Outline: <kind> to catalogue of a daemon as replica
    Then <kind> to catalogue of a daemon as replica do no harm

    Examples:
      | kind                 |
      | large_chunks         |
      | small_chunks         |
      | slow_small_chunks    |
      | short_of_length      |
      | announced_over_limit |
      | sent_over_limit      |
      | left_early           |
      | sent_ahead           |
      | bodies_sent_ahead    |
      | unread_answers       |
      | endless_heads        |
      | silent               |
      | all_kinds            |

  Scenario Outline: <kind> to peer calls of a daemon as replica
    Then <kind> to peer calls of a daemon as replica do no harm

    Examples:
      | kind                 |
      | large_chunks         |
      | small_chunks         |
      | slow_small_chunks    |
      | short_of_length      |
      | announced_over_limit |
      | sent_over_limit      |
      | left_early           |
      | sent_ahead           |
      | bodies_sent_ahead    |
      | unread_answers       |
      | endless_heads        |
      | silent               |
      | all_kinds            |

  Scenario Outline: <scenario>
    Then the limit scenario <scenario> passes at a daemon

    Examples:
      | scenario                   |
      | largest_body_is_served     |
      | slow_sender_is_served      |
      | refused_body_keeps_promise |
