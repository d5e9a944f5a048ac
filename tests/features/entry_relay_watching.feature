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
