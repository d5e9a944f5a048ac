Feature: admission takes what can be answered in time
  A clock of the tests' own; stages take the time that the steps say.

  Scenario: nothing is known yet, so a request begins
    Given an admission whose "caption" stages take 0.1 seconds
    When a request of "scan-desk" with 1.0 seconds left comes
    Then it begins

  Scenario: too little time is left for the stages
    Given an admission whose "caption" stages take 0.1 seconds
    And 20 requests have been answered
    When a request of "scan-desk" with 0.2 seconds left comes
    Then it is refused with "cannot-meet-deadline" and a time to return

  Scenario: a stage that was cut short by its deadline does not stop admission
    Given an admission whose "caption" stages take 0.1 seconds
    And 3 requests were cut short after 5 seconds
    When a request of "scan-desk" with 1.0 seconds left comes
    Then it begins

  Scenario: the queue holds no more than can be begun in time
    Given an admission whose "caption" stages take 0.1 seconds
    And 20 requests have been answered
    When 100 requests of "scan-desk" with 30.0 seconds left come at once
    Then some begin, some wait and the others are refused with "cannot-meet-deadline"
    And the times to return are spread over more than 1 second

  Scenario: a queued request that can't be answered in time any more is dropped
    Given an admission whose "caption" stages take 0.1 seconds
    And 20 requests have been answered
    When 100 requests of "scan-desk" with 30.0 seconds left come at once
    And 60 seconds pass and one request ends
    Then no request waits and none of them has begun

  Scenario: a queued request of a caller that has gone does not begin
    Given an admission whose "caption" stages take 0.1 seconds
    And 20 requests have been answered
    When 100 requests of "scan-desk" with 30.0 seconds left come at once
    And their callers go and one request ends
    Then no request waits and none of them has begun

  Scenario: a large account gives up its place when the threads run out
    Given an admission with 5 threads
    When 5 requests of "members-web" with 9.0 seconds left come at once
    And a request of "scan-desk" with 9.0 seconds left comes
    Then one of "members-web" is refused with "queue-full"

  Scenario: windows of services adapt
    Then a window grows while it is used and stages are quick
    And a window is cut while stages are slow, but never closed
    And a window is not cut where a third of the stages are slow
    And a window is cut when a stage finds no room, once for what began before
    And a window whose cuts change nothing corrects the baseline
