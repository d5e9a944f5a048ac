Feature: one attempt takes its own answer, whole and in time, or none
  A small server in the test's own process; the clock is set by hand.

  Scenario: an answer that comes after its attempt was given up reaches no other call
    Given a backend server that holds its 1st answer back
    When a 1st attempt is made and its deadline passes
    And the server sends what it held back
    And a 2nd attempt is made
    Then the 2nd attempt has its own answer on another connection

  Scenario: a kept connection that holds bytes nobody asked for is not used
    Given a backend server that answers the 1st call again later
    When a 1st attempt is made
    And the server sends what it held back
    And a 2nd attempt is made
    Then the 2nd attempt has its own answer on another connection

  Scenario: a kept connection carries the next call
    Given a backend server that answers
    When a 1st attempt is made
    And a 2nd attempt is made
    Then the 2nd attempt has its own answer on the same connection

  Scenario: a call that may not be repeated goes over a connection of its own
    Given a backend server that answers
    When a 1st attempt is made
    And an attempt that may not be repeated is made
    Then the 2nd attempt has its own answer on another connection

  Scenario: a process that was paused after the connect does not send
    Given a backend server that answers
    When an attempt is made by a process that is paused after the connect
    Then it failed and was not sent
    And the server has read nothing

  Scenario Outline: a process that was paused while reading does not call it answered
    Given a backend server that <answers>
    When an attempt is made by a process that is paused before the <what> is read
    Then it failed for its deadline

    Examples:
      | answers                    | what     |
      | answers                    | body     |
      | answers in a stream        | part     |
      | answers in a stream        | end mark |

  Scenario: a connection whose call was cancelled at the last moment is not kept
    Given a backend server that answers
    When a 1st attempt is made and cancelled when all of its answer was read
    And a 2nd attempt is made
    Then the 2nd attempt has its own answer on another connection

  Scenario Outline: a server that can't be reached is told from one that may have run
    Given <server>
    When a 1st attempt is made
    Then it failed and was not sent

    Examples:
      | server                             |
      | nothing that listens               |
      | a listener that never accepts      |
      | the address "10.0.0.1:high"        |
      | the address "not an address"       |

  Scenario: the watchdog outlives a scope that fails
    Given a watchdog with a scope that fails when it is checked
    When the deadline of another scope passes
    Then that scope is cancelled
