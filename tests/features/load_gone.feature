Feature: what an overload leaves behind is forgotten

  Scenario: the times of calls follow what the servers do now
    Given 256 calls of 1.0 seconds
    When 8 seconds pass and 32 calls take 0.1 seconds
    Then the usual time of a call is 0.1 seconds

  Scenario: the last times of a quiet service are kept
    Given 40 calls of 0.1 seconds
    When 60 seconds pass and 3 calls take 0.2 seconds
    Then the usual time of a call is 0.1 seconds

  Scenario: a stage given up for lack of room counts up to its deadline
    Given a request whose only stage may take 1.5 seconds
    When its stage is given up after 0.1 seconds for lack of room
    Then the stage counts as one that took 1.5 seconds without a result
