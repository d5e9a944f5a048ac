Feature: accounts share a queue by their weights

  Scenario: an account that floods does not hold up one that does not
    Given a queue of 50 items of "large" and 1 of "small"
    When 2 items are taken
    Then one of them is of "small"

  Scenario: within an account the earliest deadline goes first
    Given items of "small" with the deadlines 3, 1 and 2
    When 3 items are taken
    Then they have the deadlines 1, 2 and 3

  Scenario: an item whose pipeline cannot begin is passed over and keeps its place
    Given items of "small" with the deadlines 3, 1 and 2
    Then an item of another pipeline is taken first while theirs cannot begin

  Scenario: every account gets its share and none starves
    Then any backlogged accounts get service by their weights
