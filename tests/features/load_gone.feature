Feature: what an overload leaves behind is forgotten

  Scenario: the times of calls follow what the servers do now
    Given 256 calls of 1.0 seconds
    When 8 seconds pass and 32 calls take 0.1 seconds
    Then the usual time of a call is 0.1 seconds

  Scenario: the last times of a quiet service are kept
    Given 40 calls of 0.1 seconds
    When 60 seconds pass and 3 calls take 0.2 seconds
    Then the usual time of a call is 0.1 seconds

  Scenario: a stage given up for lack of room narrows the window
    Given a request that is under way with 1.5 seconds left
    When its first stage is given up after 0.1 seconds for lack of room
    Then the stage's service has a narrower window than before

  Scenario: a window to which nothing is held learns nothing
    Given a request without admission that is under way with 1.5 seconds left
    When its first stage is given up after 0.1 seconds for lack of room
    Then the stage's service has the window that it had before

  Scenario: streams that last longer than whole answers are no queue
    Given a request that is under way with 60 seconds left
    And its last stage took 0.001 seconds for each of 32 whole answers
    When 40 streams of 0.08 seconds end, one after the other
    Then the last stage's service has no narrower window than before
