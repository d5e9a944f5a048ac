Feature: a strike lasts until its fault has struck

  Scenario Outline: refusals at once do not use a strike's tries up
    Given an entry that refuses <refusals> calls at once and then serves
    Then a strike of one fault strikes within its calls, and keeps each of them

    Examples:
      | refusals |
      | 0        |
      | 3        |
      | 12       |

  Scenario: a fault that never strikes is a failure
    Given an entry that serves and a fault that nothing takes
    Then a strike of one fault fails after its tries
