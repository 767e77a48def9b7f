Feature: Event streams that end with their connection
  The answer of a target may have neither a length nor chunks. Its connection
  then ends the same way whether the answer is whole or not; a stream that
  ends inside an event is not.

  Scenario Outline: <scenario>
    When a stream is relayed in <scenario>
    Then no guarantee is violated

    Examples:
      | scenario                       |
      | whole_stream                   |
      | resumed_elsewhere              |
      | resumed_and_cut_again          |
      | resumed_twice                  |
      | resumed_with_another_type      |
      | empty_lines_at_the_end         |
      | ends_before_the_first_event    |
      | head_has_no_events             |
      | id_in_another_encoding         |
      | counts_as_a_lost_run           |
      | completion_cut_inside_an_event |
      | failure_is_no_stream           |
      | other_type_is_no_stream        |
      | lines_end_in_crlf              |

  Scenario: A stream that ends inside an event never looks complete
    When a stream is relayed in cut_inside_an_event
    Then no guarantee is violated

  Scenario: Whole events are found whatever ends their lines and pieces
    When 400 random streams are split after whole events
    Then no guarantee is violated
