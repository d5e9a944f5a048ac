Feature: what entries believe of one another converges

  Scenario: merging records does not depend on order, grouping or repetition
    Then merging arbitrary records is commutative, associative and idempotent

  Scenario: after any interleaving the word of the running entries prevails
    Then after arbitrary lives, suspicions and deliveries all tables agree with the running

  Scenario: the list's "leaving" is not about a successor under the same name
    Given a table that knows "entry-2" in incarnation "old"
    When the list says that "entry-2" is "leaving"
    Then "entry-2" is believed "leaving"
    When the table hears of "entry-2" in generation 2 and incarnation "new"
    Then "entry-2" is believed "live"

  Scenario: of an entry that the list names twice, "leaving" prevails
    Given a table that knows "entry-2" in incarnation "old"
    When the list says that "entry-2" is "leaving, live"
    Then "entry-2" is believed "leaving"

  Scenario: an entry is suspected after its own silence and another's word only
    Given a table that knows "entry-2" in incarnation "old"
    When "entry-2" does not answer
    Then "entry-2" is believed "live"
    When "entry-2" does not answer
    Then others are asked to probe it
    When "entry-2" does not answer another entry either
    Then "entry-2" is believed "suspect"

  Scenario: few entries of a data centre watch the service, however many there are
    Then of 3, 30 and 300 entries 2 watch, and a missing watcher is replaced by one other
