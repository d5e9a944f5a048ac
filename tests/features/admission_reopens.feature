Feature: admission opens again once a load has gone

  Scenario: times of a load that has gone do not refuse a request on idle servers
    Given an admission whose "caption" stages take 0.1 seconds
    And 40 requests have been answered
    And 12 more were answered while each stage took 2.0 seconds
    When a request of "scan-desk" with 1.0 seconds left comes
    Then it begins

  Scenario: while requests are under way their times are believed
    Given an admission whose "caption" stages take 0.1 seconds
    And 40 requests have been answered
    And 12 more were answered while each stage took 2.0 seconds
    And one is under way
    When a request of "scan-desk" with 1.0 seconds left comes
    Then it is refused with "cannot-meet-deadline" and a time to return
