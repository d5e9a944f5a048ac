@fixture.one-centre.cooperative
Feature: few entries of a data centre watch the configuration service
  Six entries of one data centre; the others hear from the watching ones.

  Scenario: two watch, all have what is published, and silent watchers are replaced
    Given 2 calls wait at the configuration service
    When the next version is published
    Then it is in force on every entry
    When the watching entries are frozen
    Then 4 calls wait at the configuration service
    When the next version is published
    Then it is in force on the entries that are not frozen

  Scenario: a value that has not changed is not sent again
    When the document is read, and read again as a watch that ends would
    Then the second reading has the same index and no value
    When the next version is published
    Then a third reading has it
