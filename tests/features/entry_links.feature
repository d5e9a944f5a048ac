@fixture.fleet.cooperative
Feature: entries answer one another and nobody else

  Scenario: an entry answers a peer with its key
    When a peer of deployment "cooperative" with the key of the tests probes "entry-1"
    Then it is told the version in force

  Scenario Outline: a stranger is refused and the entry keeps serving
    When a peer of deployment "<deployment>" with the key "<key>" probes "entry-1"
    Then it is rejected
    When 2000 bytes of garbage are sent to the peer port of "entry-1"
    And "patan-counter" calls "caption" with "still there"
    Then the outcome is "answered"

    Examples:
      | deployment  | key                       |
      | consortium  | peer-key-of-the-tests     |
      | cooperative | another-key-another-key   |

  Scenario: a question to a silent peer ends
    When a peer is asked that accepts connections and stays silent
    Then the question ends as "peer-unreachable"

  Scenario Outline: a question to a peer that stays silent ends in its time
    Given a peer that <does> and answers nothing
    When it is probed twice from one link
    Then both questions end as unreachable

    Examples:
      | does                 |
      | only takes connections |
      | hears messages       |
