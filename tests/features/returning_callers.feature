Feature: callers that come back take no place from those that can still be in time

  Scenario Outline: a later try has the key and the deadline of the first
    Given a caller with the key "a" and the deadline 106 came at 100
    Then a request <request> with the key "<key>" and the deadline <deadline> at <now> has waited <waited> s

    Examples:
      | request | key | deadline | now   | waited |
      | 1       | a   | 106      | 100.4 | 0      |
      | 2       | a   | 106      | 100.4 | 0.4    |
      | 2       | a   | 106.05   | 101.5 | 1.5    |
      | 2       | a   | 107      | 101   | 0      |
      | 2       | b   | 106      | 101   | 0      |
      | 2       |     | 106      | 101   | 0      |

  Scenario: what is remembered of callers is bounded
    When 5000 callers come within a second
    Then the queue remembers 2048 of them
    And none of them 11 s later

  # A burst in which each refused caller retries once.
  Scenario Outline: in a burst more callers are served in time where those that return are known
    Given a stage of <servers> servers that is asked for <load> times what they can do
    When refused callers come back, recognized and not
    Then <more> or more of all requests begin in time beside those of a queue that knows nobody

    Examples:
      | servers | load | more |
      | 2       | 1.3  | 0.02 |
      | 3       | 1.3  | 0.02 |
      | 3       | 1.6  | 0.05 |
      | 10      | 1.4  | 0.02 |
