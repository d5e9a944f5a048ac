Feature: deadline budgets and honest times to return

  Scenario: a stage leaves the later stages what they need
    Given stages of "caption" that took 0.1, 0.2 and 0.3 seconds
    Then "encode" with 1.0 seconds left has 0.5 seconds of its own
    And "write" with 1.0 seconds left has 1.0 seconds of its own

  Scenario: a stage keeps its part where too little is left
    Given stages of "caption" that took 0.1, 0.2 and 0.3 seconds
    Then "encode" with 0.3 seconds left has 0.05 seconds of its own

  Scenario: times that are old are forgotten
    Given stages of "caption" that took 0.1, 0.2 and 0.3 seconds
    When 10 seconds pass without a request
    Then "encode" with 1.0 seconds left has 1.0 seconds of its own

  Scenario: an entry that starts under load learns the times without a queue
    Given stages of "caption" that took 0.1, 0.2 and 0.3 seconds
    When an entry that only saw them take 0.9 seconds hears of these times
    Then 0.9 seconds of "write" are 3 times its time without a queue there

  Scenario: a few milliseconds are no queue
    Given stages of "caption" that took 0.001, 0.002 and 0.003 seconds
    Then 0.015 seconds of "write" are less than its time without a queue

  Scenario: callers are told to return no faster than the backlog drains
    Then 40 callers refused at once return over 2 seconds where 20 end a second
