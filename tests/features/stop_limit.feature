@fixture.route-site.3.cuts
Feature: a stop that reaches its limit answers what is still open
  Servers work for longer here than an entry has until the end of its grace period.

  # Guards against a stop that cuts requests without an answer at the end of the grace
  # period, so that callers of what may not be repeated learn nothing.
  Scenario Outline: what outlasts the stop is answered truthfully: <path>, sent <after> s after it
    Given the grace period of "entry-1" is <grace> s
    When "entry-1" gets SIGTERM, and <count> requests "<path>" are sent there <after> s after it
    Then "entry-1" ends with exit code 4 within its grace period
    And each request is answered with "entry-leaving" and the status <status>

    Examples:
      | path       | count | grace | after | status |
      | /long/ok   | 4     | 4     | -0.5  | 502    |
      | /long/ok   | 4     | 4     | 1.1   | 502    |
      | /once/ok   | 4     | 4     | -0.5  | 502    |
      | /once/ok   | 4     | 4     | 1.1   | 502    |
      | /once/ok   | 4     | 2     | 0.4   | 502    |
      | /once/ok   | 4     | 12    | 3.8   | 502    |
      | /pieces/ok | 2     | 4     | 1.1   | 503    |

  Scenario: a request that another entry runs is answered when the stop ends
    Given the grace period of "entry-1" is 4 s
    And "entry-1" reaches no server
    When "entry-1" gets SIGTERM, and 4 requests "/once/ok" are sent there 1.1 s after it
    Then "entry-1" ends with exit code 4 within its grace period
    And each request is answered with "entry-leaving" and the status 502

  Scenario: a request is answered though the entry that runs it for another one stops
    Given the grace period of "entry-1" is 4 s
    And "entry-0" and "entry-2" reach no server
    When "entry-1" gets SIGTERM 0.5 s after 4 requests "/once/ok" came to "entry-0"
    Then "entry-1" ends with exit code 4 within its grace period
    And each request is answered with "delegate-failed" and the status 502

  Scenario: a body that is complete only after new requests are refused is refused
    Given the grace period of "entry-1" is 4 s
    When half of a request "/once/ok" has come to "entry-1", which gets SIGTERM
    And the other half comes 2 s after it
    Then the request is refused with "entry-leaving", and did not run
