@fixture.partitioned.cooperative
Feature: an accepted configuration is in force everywhere and never reverts
  Separate processes: the configuration service, six entries, relays between them.

  Scenario: a published document comes into force on every entry
    When the next version is published
    Then it is in force on every entry

  Scenario: a fresh entry takes the document from its peers while the service is down
    Given the next version is in force everywhere
    When the configuration service is down
    And "entry-3" is killed
    And "entry-3" is started again
    Then it is in force on every entry
    When "patan-counter" calls "caption" with "no service" on every entry
    Then every outcome is "answered"

  Scenario: a service that goes backwards reverts nobody, restarted entries included
    Given the next version is in force everywhere
    When the configuration service goes back to version 1
    And every entry is killed and started again in turn
    Then it is in force on every entry
    And since then no entry took an older version

  Scenario: an invalid document is refused whole and the last good one stays
    Given the next version is in force everywhere
    When an invalid document of the next version is published
    Then every entry logs "configuration_invalid"
    And it is in force on every entry
    When the next version is published
    Then it is in force on every entry

  Scenario: of two documents of one version each entry keeps its first
    Given the next version is in force everywhere
    When two documents of the next version are published in a race
    Then every entry has one of them and keeps it for 3 rounds
    And some entry logs "configuration_conflict"
    When the next version is published
    Then it is in force on every entry

  Scenario: what one side of a partition missed it hears after the heal
    Given the next version is in force everywhere
    When the network splits into "entry-1, entry-2, entry-3" and "entry-4, entry-5, entry-6"
    And the next version is published while "entry-4, entry-5, entry-6" sleep
    Then it is in force on "entry-1, entry-2, entry-3"
    And the earlier one stays on "entry-4, entry-5, entry-6" for 3 rounds
    When "patan-counter" calls "caption" with "either side" on every entry
    Then every outcome is "answered"
    When the network heals
    Then it is in force on every entry

  Scenario: an entry that wakes up with an old document reverts nobody
    Given the next version is in force everywhere
    When the next version is published while "entry-6" sleep
    And the configuration service goes back to version 1
    Then it is in force on every entry
    And since then no entry took an older version
