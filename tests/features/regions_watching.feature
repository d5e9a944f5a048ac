Feature: published values cross the link between regions once for each of two watchers
  The load patterns: hundreds of entries on both sides of one link, watchers that are
  lost, and a link that is cut while the store is on the other side. The entries are the
  project's own decisions in simulated time.

  Scenario Outline: two entries of each region watch, and all know each change in time
    Given <count> entries in two regions, each change to be known within 4 s
    And they have run for 20 seconds
    Then two entries of each region watch, in different data centres
    When 12 changes are published over 60 seconds
    Then each was known everywhere within 4 s
    And an entry made at most <calls> calls of the store a minute

    Examples:
      | count | calls |
      | 62    | 3     |
      | 180   | 1.5   |

  Scenario Outline: a change is known in time though <lost> lost
    Given 62 entries in two regions, each change to be known within 4 s
    And they have run for 20 seconds
    When in "coast" <lost> lost
    And a change is published
    Then it is known everywhere within <seconds> s
    And two entries of each region watch, in different data centres

    Examples:
      | lost                              | seconds |
      | one watcher is                    | 2       |
      | both watchers are                 | 4       |
      | the data centre of a watcher is   | 2       |
      | the entry that confirms is        | 2       |

  Scenario: a change is known in time though all watches were lost
    Given 62 entries in two regions, each change to be known within 4 s
    And requests come to all of them
    And they have run for 20 seconds
    When a change is published, and then for 1 s the store loses all questions
    And a change is published
    Then it is known everywhere within 4 s

  Scenario: the side without the store keeps its values while the link is cut
    Given 62 entries in two regions, each change to be known within 4 s
    And they have run for 20 seconds
    When the link to the store is cut for 60 seconds
    Then each entry of "coast" has the values of before, and says that they are old
    And it was asked at most 400 times during the cut
    When a change is published
    Then it is known everywhere within 4 s
