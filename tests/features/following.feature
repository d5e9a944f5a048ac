Feature: few entries ask the platform's store, all know in time what it publishes
  Hundreds of entries that all watched would cost calls by entries times changes. The
  entries are the project's own decisions in simulated time.

  Scenario Outline: a change is known everywhere in time, at few calls
    Given <count> entries in <centres> data centres, each change to be known within <bound> s
    And they have run for 20 seconds
    When 12 changes are published over 60 seconds
    Then each was known everywhere within <bound> s
    And an entry made at most <calls> calls of the store a minute

    Examples:
      | count | centres | bound | calls |
      | 6     | 3       | 2     | 20    |
      | 59    | 3       | 3     | 4     |
      | 195   | 5       | 4     | 2     |

  Scenario Outline: changes are known in time whatever becomes of the watchers
    Given 60 entries in 3 data centres, each change to be known within 4 s
    And they have run for 20 seconds
    When the watchers are <trouble>
    And a change is published
    Then it is known everywhere within 4 s

    Examples:
      | trouble                         |
      | killed                          |
      | cut off from the other entries  |
      | turned away by the store        |

  # Guards against entries that are answered for one prefix and put off their call for the
  # other, since they take the failures of the watchers for an outage. The watches that
  # each entry holds after its start have ended by then.
  Scenario: a change is known in time though the store turns away all that watch
    Given 62 entries in 2 data centres, each change to be known within 4 s
    And requests come to all of them
    And they have run for 60 seconds
    When the watchers are turned away by the store
    And a change is published
    Then it is known everywhere within 4 s

  Scenario: an entry that is cut off from all others asks by itself in time
    Given 30 entries in 3 data centres, each change to be known within 4 s
    And they have run for 20 seconds
    When one entry that does not watch is cut off from the others
    And 3 changes are published over 15 seconds
    Then each was known everywhere within 4 s

  Scenario: an entry that has just started hears of a change as soon as a watcher
    Given 60 entries in 3 data centres, each change to be known within 4 s
    And they have run for 20 seconds
    When one entry begins anew
    And the entries run for 0.5 seconds
    And a change is published
    Then that entry knows it within 0.1 s

  Scenario Outline: an outage costs few calls, and its end is known soon
    Given <count> entries in 5 data centres, each change to be known within 4 s
    And they have run for 20 seconds
    When the store is down for <seconds> seconds
    Then it was called at most <calls> times meanwhile
    When a change is published
    Then it is known everywhere within 4 s

    Examples:
      | count | seconds | calls |
      | 19    | 10      | 200   |
      | 195   | 10      | 300   |
      | 195   | 60      | 900   |

  Scenario: a store that answers few entries only is heard through these
    Given 100 entries in 5 data centres, each change to be known within 4 s
    And they have run for 20 seconds
    When the store answers one entry in five, none of which watches
    And the entries run for 6 seconds
    And a change is published
    Then it is known everywhere within 8 s

  Scenario: changes that the store has forgotten are read again by whoever asks
    Given 30 entries in 3 data centres, each change to be known within 4 s
    And they have run for 20 seconds
    When the watchers are killed
    And the history is dropped after a change
    Then it is known everywhere within 4 s

  Scenario: everything started at once settles
    Given 195 entries in 5 data centres, each change to be known within 4 s
    When 20 changes are published over 10 seconds
    Then each was known everywhere within 4 s
    And an entry made at most 8 calls of the store altogether

  Scenario: what lapsed in an outage is kept by those who hear of it from others
    Given 30 entries in 3 data centres, each change to be known within 4 s
    And "b" is published, and all have run for 20 seconds
    When "b" lapses while the store is down for 5 seconds
    And the entries run for 1.5 seconds
    Then every entry that knows of the store's return still holds "b"
    When the entries run for 6 seconds
    Then no entry holds "b"

  # Guards against a leaving server that stays in use since one entry's cut watch is taken
  # for an outage of the store.
  Scenario Outline: a removal right before the history is dropped is no lapse
    Given <count> entries in <centres> data centres, each change to be known within <bound> s
    And requests come to all of them
    And "b" is published, and all have run for 20 seconds
    When the removal of "b" comes <seconds> s after a change, unheard by any watch
    And the history is dropped and the watches are cut a second later
    Then no entry uses the old "b" later than <bound> s after its removal

    Examples:
      | count | centres | bound | seconds |
      | 6     | 3       | 2     | 0.1     |
      | 6     | 3       | 2     | 0.5     |
      | 86    | 4       | 3     | 0.1     |
      | 86    | 4       | 3     | 0.5     |
      | 86    | 4       | 3     | 1       |

  # Guards against watchers that all ask anew at the moment of the cut, lose their calls
  # together and know nothing until these time out.
  Scenario Outline: a <change> is known in time though the calls after a cut are lost
    Given <count> entries in <centres> data centres, each change to be known within <bound> s
    And requests come to all of them
    And "b" is published, and all have run for 20 seconds
    When the <change> of "b" comes 3 s after a change, unheard by any watch
    And the history is dropped and the watches are cut a second later
    And all calls are lost for 0.1 s
    Then no entry uses the old "b" later than <bound> s after its <change>

    Examples:
      | change  | count | centres | bound |
      | removal | 6     | 3       | 2     |
      | removal | 86    | 4       | 3     |
      | removal | 62    | 2       | 4     |
      | rewrite | 6     | 3       | 2     |
      | rewrite | 86    | 4       | 3     |
      | rewrite | 62    | 2       | 4     |

  # Guards against an entry that still takes the store for unreachable long after others
  # were answered, and keeps in use what its own next answer lacks.
  Scenario Outline: a removal some seconds after an outage is no lapse
    Given <count> entries in <centres> data centres, each change to be known within 2 s
    And requests come to all of them
    And "b" is published, and all have run for 20 seconds
    When the store is down for 8 seconds
    And the entries run for 6 seconds
    And the watchers are killed
    And "b" is removed
    Then no entry uses the old "b" later than 2 s after its removal

    Examples:
      | count | centres |
      | 74    | 3       |
      | 86    | 4       |

  Scenario: an entry that was turned away asks at once when its peers fall silent later
    Given 60 entries in 3 data centres, each change to be known within 4 s
    And they have run for 20 seconds
    When the store is down for 8 seconds
    And the entries run for 4 seconds
    And the watchers are killed
    And a change is published
    Then it is known everywhere within 4 s

  Scenario Outline: a change is known in time though all watches were lost
    Given <count> entries in <centres> data centres, each change to be known within <bound> s
    And requests come to all of them
    And they have run for 20 seconds
    When a change is published, and then for <seconds> s the store loses all questions
    And a change is published
    Then it is known everywhere within <bound> s

    Examples:
      | count | centres | bound | seconds |
      | 6     | 3       | 2     | 0.5     |
      | 6     | 3       | 2     | 1       |
      | 6     | 3       | 2     | 9       |
      | 59    | 3       | 3     | 1       |
      | 59    | 3       | 3     | 9       |
      | 195   | 5       | 4     | 1       |
      | 195   | 5       | 4     | 3       |
      | 195   | 5       | 4     | 20      |

  Scenario Outline: watches that were lost are found out though who asks first is <trouble>
    Given 60 entries in 3 data centres, each change to be known within 4 s
    And requests come to all of them
    And they have run for 20 seconds
    When the first of the watchers is <trouble>
    And a change is published, and then for 1 s the store loses all questions
    And a change is published
    Then it is known everywhere within 4 s

    Examples:
      | trouble                        |
      | killed                         |
      | cut off from the other entries |
      | turned away by the store       |

  Scenario: entries that are not in use find out as well, later
    Given 60 entries in 3 data centres, each change to be known within 4 s
    And they have run for 20 seconds
    When a change is published, and then for 1 s the store loses all questions
    And a change is published
    Then it is known everywhere within 10 s

  Scenario Outline: making sure of what is known costs few calls
    Given <count> entries in <centres> data centres, each change to be known within <bound> s
    And requests come to all of them
    And they have run for 20 seconds
    When 12 changes are published over 60 seconds
    Then each was known everywhere within <bound> s
    And an entry made at most <calls> calls of the store a minute

    Examples:
      | count | centres | bound | calls |
      | 6     | 3       | 2     | 60    |
      | 59    | 3       | 3     | 9     |
      | 195   | 5       | 4     | 2     |

  Scenario: an entry says how long ago what it knows was confirmed, not that it waits
    Given 6 entries in 3 data centres, each change to be known within 2 s
    And they have run for 20 seconds
    When a change is published, and then for 3 s the store loses all questions
    Then what each entry knows was confirmed at least 3 s ago

  Scenario: watches that are cut as the history is dropped are sent anew at once
    Given 6 entries in 3 data centres, each change to be known within 2 s
    And they have run for 20 seconds
    When the store is down for 0.1 seconds
    And the history is dropped after a change
    Then it is known everywhere within 0.6 s

  Scenario: the age of what peers alone have told can be logged
    Given an entry that has just started and has not been answered
    Then the age of what it knows is a finite number of milliseconds
    And it looks whether to ask twice a second, not all the time

  Scenario: words of peers and own answers may come in any order
    Then whatever order tables of three entries meet in, none loses or revives a value

  # Guards against entries that stay behind once the store has come back from a copy.
  Scenario Outline: a change after the store's return from a copy is known in time
    Given <count> entries in <centres> data centres, each change to be known within <bound> s
    And requests come to all of them
    And they have run for 20 seconds
    When the store is away for <away> s and comes back from a copy of 5 changes before
    And a change is published
    Then it is known everywhere within <bound> s
    And the store was asked at most <calls> times since its return
    When "hall" is ordered to be drained
    Then it is drained everywhere within <bound> s

    Examples:
      | count | centres | bound | away | calls |
      | 6     | 3       | 2     | 0.1  | 100   |
      | 6     | 3       | 2     | 2    | 100   |
      | 6     | 3       | 2     | 9    | 100   |
      | 74    | 3       | 3     | 0.1  | 150   |
      | 74    | 3       | 3     | 4    | 150   |
      | 195   | 5       | 4     | 0.1  | 300   |
      | 195   | 5       | 4     | 9    | 300   |

  Scenario Outline: a return is known everywhere though <trouble>
    Given <count> entries in 3 data centres, each change to be known within 4 s
    And requests come to all of them
    And they have run for 20 seconds
    When <trouble>
    And the store is away for 2 s and comes back from a copy of 5 changes before
    And a change is published
    Then it is known everywhere within <seconds> s

    Examples:
      | count | trouble                                         | seconds |
      | 6     | the watchers are killed                         | 4       |
      | 60    | the watchers are killed                         | 4       |
      | 60    | the watchers are cut off from the other entries | 4       |
      | 60    | one entry begins anew                           | 4       |

    # An entry that is turned away is promised no more than in the scenario above on a
    # store that answers few.
    Examples: some are turned away
      | count | trouble                                          | seconds |
      | 6     | half of the entries are turned away by the store | 8       |
      | 60    | half of the entries are turned away by the store | 8       |
      | 60    | the watchers are turned away by the store        | 8       |

  Scenario: two returns in a row, the second from an older copy
    Given 60 entries in 3 data centres, each change to be known within 4 s
    And requests come to all of them
    And they have run for 20 seconds
    When the store comes back twice within 1 s, at last from an older copy
    And a change is published
    Then it is known everywhere within 4 s

  # Guards against a closed loop of questions.
  Scenario Outline: a store without any history is asked few questions
    Given <count> entries in <centres> data centres, each change to be known within <bound> s
    And requests come to all of them
    And they have run for 20 seconds
    When the simulated store has no history to any watch for 20 seconds
    Then an entry made at most <calls> calls of the store a second
    And each was known everywhere within <bound> s

    Examples:
      | count | centres | bound | calls |
      | 6     | 3       | 2     | 10    |
      | 195   | 5       | 4     | 1     |
