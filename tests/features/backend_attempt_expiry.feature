Feature: what has expired is not sent

  Scenario Outline: a process that was paused while it connected sends nothing expired
    Given a call that may not be repeated, to be sent within <run by> s
    And a deadline in <deadline> s
    When the process is paused for <pause> s while it connects
    Then the call was <fate> and the failure is "<failure>"

    Examples:
      | run by | deadline | pause | fate     | failure         |
      | 5      | 100      | 6     | not sent | ticket-expired  |
      | 100    | 5        | 6     | not sent | deadline-passed |
      | 5      | 5        | 4     | sent     | answer-cut      |
