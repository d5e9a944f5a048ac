@fixture.linked-site.6
Feature: streams keep their version at an entry that is out of step with the others

  # Guards against an entry that knows a single version and takes the silence of the
  # holders of a stream's record for their word that it began at this version.
  Scenario Outline: an entry cut off from store and entries goes on at one version or refuses: the store <how>, <prompts>
    Given entries that have served streams of "v1" for 22 s
    And 8 streams that have begun at "<entry>"
    When "<entry>" is cut off from the entries and the store, which <how>
    And engines of "v2" are listed, and callers read part of 60 streams <prompts> at the other entries and take them up at "<entry>"
    Then no stream holds events of two versions
    And "<entry>" has heard of no engine of "v2"
    And each stream is whole or was refused at once as not run
    And all streams that have begun at "<entry>" went on
    When "<entry>" is in step again
    Then streams of the other entries go on at "<entry>" again

    Examples:
      | entry   | how            | prompts         |
      | entry-1 | stays silent   | without prompts |
      | entry-2 | stays silent   | with prompts    |
      | entry-3 | resets         | without prompts |

  # Guards against refusals of streams whose version an entry can still learn, and against
  # streams of two versions where it learns of a second one late.
  Scenario Outline: streams go on at an entry that <how>, <prompts>
    Given entries that have served streams of "v1" for 22 s
    And 8 streams that have begun at "<entry>"
    When "<entry>" <how>
    And engines of "v2" are listed, and callers read part of 60 streams <prompts> at the other entries and take them up at "<entry>"
    Then no stream holds events of two versions
    And at least half of the streams of the other entries went on
    And all streams that have begun at "<entry>" went on
    When "<entry>" is in step again
    Then streams of the other entries go on at "<entry>" again

    Examples:
      | entry   | how                             | prompts         |
      | entry-4 | is cut off from the store alone | without prompts |
      | entry-5 | is cut off from the entries     | with prompts    |
      | entry-0 | stands still                    | without prompts |
