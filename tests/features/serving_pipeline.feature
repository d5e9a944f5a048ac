@fixture.fleet.cooperative
Feature: a request goes through the stages of its pipeline
  Separate processes: platform, backend servers, entries.

  Scenario Outline: every pipeline answers its own request
    When "patan-counter" calls "<pipeline>" with "<input>"
    Then the outcome is "answered"
    And the answer is made from "<input>"

    Examples:
      | pipeline          | input            |
      | damage-assessment | torn wedding     |
      | caption           | faded portrait   |
      | name-chat         | which spelling   |
      | order-status      | order 17         |

  Scenario: a generated answer streams whole
    When "members-web" streams "caption" with "festival group"
    Then the outcome is "answered"
    And the streamed answer is made from "festival group"

  Scenario: a wrong key is refused before anything runs
    When a caller with the key "nobody" calls "caption" with "x"
    Then the outcome is "refused"
    And the failure is "wrong-key"
    And no backend server ran it

  Scenario: a deadline that has passed is refused before anything runs
    When "scan-desk" calls "caption" with "late" and 0 ms left
    Then the outcome is "refused"
    And the failure is "deadline-passed"
    And no backend server ran it

  Scenario: a kept connection outlives the streamed answer that it carried
    When "members-web" streams "caption" with "first" 6 times
    And "members-web" calls "caption" with "second" 6 times
    Then every outcome is "answered"
