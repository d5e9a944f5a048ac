Feature: limits of client accounts hold over all entries
  Several entries in this process, with a clock of the tests' own; reports travel as
  the exchange carries them.

  Scenario: fresh reports keep the sum of the shares within the limit
    Then whatever the entries are asked for, their shares never add up to more

  Scenario: the share follows the demand
    Given 3 entries that hold "requests_per_second" at 30
    When "a" is asked 40 times a second for 10 seconds
    Then "a" lets in between 25 and 31 a second
    When "b" is asked 40 times a second for 10 seconds
    Then "b" lets in between 25 and 31 a second

  Scenario: an entry that starts holds an even share until it hears of the others
    Given 3 entries that hold "requests_per_second" at 30
    Then "a" holds 10 a second before any report

  Scenario: a silent entry's share stays its own until its report expires
    Given 2 entries that hold "requests_per_second" at 20
    When both are asked 20 times a second for 10 seconds
    And "b" is silent and "a" gets 20 a second for 5 seconds
    Then "a" lets in between 8 and 12 a second
    When "b" is silent and "a" gets 20 a second for 8 seconds
    Then "a" lets in between 18 and 21 a second

  Scenario: both sides of a partition let in the limit at the most
    Given 4 entries that hold "requests_per_second" at 20
    When all are asked 20 times a second for 10 seconds
    And they are cut in 2 sides and asked 20 times a second for 30 seconds
    Then each side lets in 20 a second at the most

  Scenario: an entry that was paused does not take what the others hold
    Given 2 entries that hold "requests_per_second" at 20
    When both are asked 20 times a second for 10 seconds
    And "a" wakes up after 60 seconds
    Then "a" holds 10 a second at the most

  Scenario: the limit of requests in hand is held in whole numbers
    Given 3 entries that hold "concurrency" at 4
    When 10 requests come to each at once, round after round
    Then 4 are in hand together
    And a caller over the limit is told the limit's name and when to return

  Scenario: a report travels whole and garbage does no harm
    Then any report that is offered is taken as it was
    And garbage on the exchange is left alone
