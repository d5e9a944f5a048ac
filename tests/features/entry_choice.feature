Feature: callers are told which entries to use

  Scenario: a loaded entry is named first less often
    Given 3 entries of which "e-0" refuses and the others are idle
    When "lab" asks 1000 times
    Then "e-0" is named first less often than 1 in 10

  Scenario: callers who ask at the same time are spread
    Given 6 idle entries
    When "lab" asks 1000 times
    Then no entry of its pool is named first more often than 1 in 2

  Scenario: an account keeps its pool when another entry goes
    Then most accounts keep their pool when any entry goes

  Scenario: no entry is named that is not usable
    Then any answer names usable entries only, each once, and at least one of them
