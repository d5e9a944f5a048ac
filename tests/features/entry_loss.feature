Feature: callers are soon named no entry that is gone
  The load pattern is a loss of many entries at one moment. The bound is seven seconds:
  four until what is known of a fleet counts as settled, and three for callers' answers.
  Entries run the project's own tables and choice of peers in simulated time.

  Scenario Outline: <lost> of <count> entries are killed at one moment
    Given <count> entries that know one another, by seed <seed>
    When <lost> of them are killed at one moment
    Then after 7 seconds no running entry names one that is gone

    Examples:
      | count | lost | seed |
      | 6     | 1    | 1    |
      | 6     | 3    | 2    |
      | 74    | 1    | 3    |
      | 74    | 37   | 4    |
      | 74    | 37   | 5    |
      | 195   | 1    | 6    |
      | 195   | 97   | 7    |

  Scenario: an entry that is there is not lost with the others
    Given 74 entries that know one another, by seed 8
    When 37 of them are killed at one moment
    And the others run for 10 seconds
    Then every running entry names all that run
