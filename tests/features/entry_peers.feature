@fixture.partitioned.cooperative
Feature: entries tell one another who is there
  Separate processes; the instance list says "live" of everybody throughout.

  Scenario: a leaving entry is dropped from every answer and its successor comes back
    Given every entry offers "entry-1, entry-2, entry-3, entry-4, entry-5, entry-6"
    When "entry-2" is told to stop
    Then the others come to offer "entry-1, entry-3, entry-4, entry-5, entry-6"
    And "entry-2" comes to offer "entry-1, entry-3, entry-4, entry-5, entry-6"
    When "entry-2" has ended
    And "entry-2" is started again
    Then every entry offers "entry-1, entry-2, entry-3, entry-4, entry-5, entry-6"

  Scenario Outline: an entry that is silent is dropped until it is back
    Given every entry offers "entry-1, entry-2, entry-3, entry-4, entry-5, entry-6"
    When "entry-5" is <lost>
    Then the others come to offer "entry-1, entry-2, entry-3, entry-4, entry-6"
    When "entry-5" is <back>
    Then every entry offers "entry-1, entry-2, entry-3, entry-4, entry-5, entry-6"

    Examples:
      | lost   | back          |
      | frozen | woken         |
      | killed | started again |

  Scenario: both sides of a partition serve with their own, and come together again
    Given every entry offers "entry-1, entry-2, entry-3, entry-4, entry-5, entry-6"
    When the network splits into "entry-1, entry-2, entry-3" and "entry-4, entry-5, entry-6"
    Then "entry-1" comes to offer "entry-1, entry-2, entry-3"
    And "entry-6" comes to offer "entry-4, entry-5, entry-6"
    When "patan-counter" calls "caption" with "either side" on every entry
    Then every outcome is "answered"
    When the network heals
    Then every entry offers "entry-1, entry-2, entry-3, entry-4, entry-5, entry-6"

  Scenario: a pair that cannot hear one another is not suspected while others can
    Given every entry offers "entry-1, entry-2, entry-3, entry-4, entry-5, entry-6"
    When the network splits into "entry-1" and "entry-2"
    And 8 rounds of the exchange pass
    Then no entry suspected another since the split
    And every entry offers "entry-1, entry-2, entry-3, entry-4, entry-5, entry-6"

  Scenario: a backend server's word that it is leaving reaches entries that never asked it
    Given every entry holds "writer-2" to be "live"
    When "writer-2" begins to refuse new work since it is leaving
    And "patan-counter" calls "caption" on "entry-1" until it holds "writer-2" to be "leaving"
    Then every entry holds "writer-2" to be "leaving"
    When the instance list is published again
    And "entry-4" is killed
    And "entry-4" is started again
    Then every entry holds "writer-2" to be "leaving"
    When "writer-2" is replaced at the same address
    Then every entry holds "writer-2" to be "live"

  Scenario: a backend server says in whole answers that it is leaving
    Given every entry holds "writer-1" to be "live"
    When "writer-1" begins to say in its answers that it is leaving
    And "patan-counter" calls "caption" on "entry-1" until it holds "writer-1" to be "leaving"
    Then every entry holds "writer-1" to be "leaving"
    When "writer-1" is replaced at the same address
    Then every entry holds "writer-1" to be "live"
