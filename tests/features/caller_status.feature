@fixture.fleet.cooperative
Feature: the status page is for operators

  Scenario Outline: nobody else reads it
    When the status page of "entry-1" is read with the key "<key>"
    Then the status page is refused with "wrong-key"

    Examples:
      | key                       |
      | example-key-patan-counter |
      | Schlüssel                 |
      | no-such-key               |

  Scenario: it names what the entry has seen
    Given "patan-counter" has called "caption" through "entry-1"
    When the status page of "entry-1" is read with the key "operator-key-of-the-tests"
    Then it counts an answered request of "patan-counter" with its latency
    And it counts an attempt of each stage of "caption" with its cost
    And it names every server as live

  Scenario: it says whom the entry suspects and who is leaving
    When "entry-6" and "writer-1" are killed
    Then the status page of "entry-1" says "suspect" of "entry-6"
    And the status page of "entry-1" says "suspect" of "writer-1" while it is called
    When the instance list says that "writer-2" is leaving
    Then the status page of "entry-1" says "leaving" of "writer-2"
