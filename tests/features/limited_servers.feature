Feature: a stage whose servers all have a limit waits for a permit of its own
  One entry grants the permits of a server, and its own calls ask without a round trip.

  # Guards against calls of other entries that poll for a permit which is free now, and
  # lose each one to the calls of the entry that grants it until their deadlines pass.
  Scenario: a call gets the next permit although all that are free now go elsewhere
    Given a stage whose only server has a limit
    And another entry grants a permit that begins in 0.3 seconds, but none that begins now
    When a request with 3 seconds left comes to the stage
    Then its call is sent

  # Guards against a call that is held until its deadline, after earlier stages have run,
  # although its entry knows that there is no permit in time.
  Scenario: a call without a permit in time is refused at once, and the window is cut
    Given a stage whose only server has a limit
    And another entry grants no permit in the next 9 seconds
    When a request with 3 seconds left comes to the stage
    Then it is refused within 1 second with "servers-limited"
    And the window of the service is cut

  # Guards against requests that queue at admission, begin when a place in the window
  # becomes free, and fail at a later stage because its permits are too late by then.
  Scenario: requests do not begin if the wait for a permit is longer than their time
    Given an admission with 2 requests in progress and 4 queued with 3 seconds left
    When the only server of a later stage has a limit and no permit for 5 seconds
    And one request ends
    Then none of the queued requests has begun, and all are refused
    And a request with 3 seconds left is refused with "cannot-meet-deadline"
    But a request with 9 seconds left begins
