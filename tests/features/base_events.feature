Feature: the catalogue of events and the code agree

  Scenario: the catalogue lists every event with its number and level
    Given the catalogue in docs/EVENTS.md
    Then each event of the code stands in it once, with its number and level
    And it lists no event that the code does not have

  Scenario: every event is emitted with the fields that the catalogue lists
    Given the catalogue in docs/EVENTS.md
    Then each event is used somewhere in the code
    And each field that is emitted is listed

  @fixture.fleet.cooperative
  Scenario: a key appears in no log and in no error
    When keys are sent in every place where they do not belong
    Then no answer repeats a key
    And each entry has logged that the document is invalid
    And no log holds a key
    And "entry-1" still serves
