Feature: what an entry reckons with when it plans a request

  Scenario Outline: idle connections leave room for the calls of all entries
    Then <entries> entries keep <most> idle connections each to a server that takes <all>

    Examples:
      | entries | all | most |
      | 6       | 96  | 8    |
      | 6       | 48  | 4    |
      | 60      | 100 | 0    |
      | 83      | 820 | 4    |
      | 1       | 1   | 0    |

  Scenario Outline: a long shared prompt goes before large results
    Then results of <size> MB and a prompt that shares <tokens> tokens run near "<near>"

    Examples:
      | size | tokens | near |
      | 3.0  | 172    | here |
      | 3.0  | 6300   | none |
      | 9.0  | 6300   | here |
      | 0.1  | 0      | none |

  Scenario: what is kept back for an engine follows what engines of that kind take
    Given engines that took 0.2 s and 0.4 s in turn for 100 calls of a route
    Then 0.5 s are kept back for that route, and 0.25 s for one that is not known
    When one call takes 30 s
    Then 0.6 s are kept back for that route at the most

  Scenario Outline: a stage runs beside what it reads, or beside who will read it
    Then <count> pieces of <size> MB that read "<read>" are made in "<place>"

    Examples:
      | count | size  | read    | place |
      | 2     | 1.5   | nothing | home  |
      | 1     | 0.008 | nothing | any   |
      | 10    | 0.006 | 0.36    | there |
      | 10    | 0.006 | 0.01    | any   |

  Scenario: a store whose changes keep coming is asked less often, a quiet one at once
    Given a store that answers after "0.0 0.0 0.0 0.0 5.0 0.0" seconds, each with a change
    Then an entry that follows it with a gap of 0.25 s waits "0.5 1.0 1.0 1.0 0.25 0.5"
    And one that follows it without a gap never waits

  Scenario: answers without a change say nothing of how fast changes come
    Given a store that answers after "0.0 -0.001 -0.001 -0.001 0.0 -5.0" seconds, below 0 without a change
    Then an entry that follows it with a gap of 0.25 s waits "0.5 0.05 0.05 0.05 0.5 0.05"

  Scenario Outline: a caller that a stage refuses hears when to come back, soon at the most
    Then one refused with an expected wait of <wait> s comes back after <after> s

    Examples:
      | wait | after |
      | 0    | 0.25  |
      | 1.2  | 1.2   |
      | inf  | 5     |
