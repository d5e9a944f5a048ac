@fixture.fleet.cooperative.stopping
Feature: an entry stops without cutting anything
  Answers may be kept for 0.3 s here, and a request may last for 30 s. The instance list
  says all the time that every entry is live.

  Scenario: what is in progress is finished, streams and calls that may not be repeated
    Given "entry-1" has a streamed "caption", a whole "caption" and an "order-status" in progress for 4 s
    When "entry-1" is told to stop
    Then "entry-1" no longer names itself to callers
    And "entry-1" still serves a caller and closes the connection
    And everything in progress ends answered
    And "entry-1" ends with exit code 0

  Scenario: a second signal ends it at once and says how many it cut
    Given "entry-2" has a streamed "caption", a whole "caption" and an "order-status" in progress for 20 s
    When "entry-2" is told to stop
    And "entry-2" is told to stop
    Then "entry-2" ends with exit code 3
    And the log of "entry-2" has the event "stop_forced" that counts 3 cut

  # Guards against callers who are not answered when the limit is reached.
  Scenario: the stop limit ends it and says how many it cut
    Given "entry-3" has a streamed "caption", a whole "caption" and an "order-status" in progress for 20 s
    When "entry-3" is told to stop
    Then "entry-3" ends with exit code 4
    And the log of "entry-3" has the event "stop_limit_reached" that counts 3 cut
    And what was in progress ends as "failed, failed, unknown"

  Scenario: every entry is replaced in turn under a steady trickle of calls
    Given the entries that have ended are started again
    When every entry is replaced in turn while callers call "caption" and "order-status"
    Then every call ended answered
    And every promise holds

  # Guards against an entry that takes calls before it has a document, and refuses them.
  Scenario: callers that reach an entry as it starts are answered
    Given the entries that have ended are started again
    When each entry is ended and started, and is called as soon as it takes connections
    Then every call ended answered
    And every promise holds
