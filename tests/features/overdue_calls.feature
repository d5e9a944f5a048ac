Feature: a call of a stage server whose answer was lost is not waited for

  Scenario Outline: a server is asked late enough for its report to be of the call
    Then a call of <usual> s is asked about after <after> s

    Examples:
      | usual | after |
      | 0.2   | 0.7   |
      | 0.4   | 1.0   |

  Scenario Outline: only a server that has nothing to do has lost its answer
    Then a report of <queued> calls queued and "<work>" says that the answer is <fate>

    Examples:
      | queued | work    | fate     |
      | 0      | idle    | lost     |
      | 0      | working | to come  |
      | 1      | idle    | to come  |

  @fixture.route-site.1
  Scenario: a lost answer costs a request less than the wait for a hanging server
    Given the next answer of a stage server is lost
    When a request of two stages is sent
    Then it is answered with success, and the log names the lost answer
