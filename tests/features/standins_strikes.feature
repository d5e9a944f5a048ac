Feature: a strike lasts until its fault has struck

  Scenario Outline: calls that get no answer do not use a strike's tries up
    Given an entry that has <count> calls <outcome> and then serves
    Then a strike of one fault strikes within its calls, and keeps each of them

    Examples:
      | count | outcome |
      | 0     | refused |
      | 3     | refused |
      | 12    | refused |
      | 12    | failed  |

  Scenario: a fault that never strikes is a failure
    Given an entry that serves and a fault that nothing takes
    Then a strike of one fault fails after its tries

  # Guards against processes that stay frozen, since a fault struck later than expected.
  Scenario Outline: a process that is frozen <when> is woken
    Given a process that may be frozen
    When it is frozen <when> that wakes it
    Then it runs again after <most> s at most

    Examples:
      | when                           | most |
      | at the beginning of a strike   | 3    |
      | long after the beginning       | 5    |
      | just after the end of a strike | 3    |

  # Guards against the same in a strike of one entry, whose fault waits for its turn.
  Scenario: an entry whose fault strikes late is woken
    Given a process that may be frozen
    When it is frozen as an entry by a fault that strikes after 2 s
    Then it runs again after 5 s at most
