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
