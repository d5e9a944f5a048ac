Feature: callers that come before an entry knows anything are not refused needlessly

  Scenario Outline: requests are held for the first answers of the platform alone
    Given an entry that awaits "routes" and "servers"
    When it hears "<events>"
    Then a request is <held>

    Examples:
      | events                    | held     |
      | nothing                   | held     |
      | known routes              | held     |
      | known routes, unreachable | not held |
      | known routes, known servers | not held |
      | unreachable               | not held |

  Scenario Outline: callers come back when the platform may have come back
    Given an entry that awaits "routes" and "servers"
    When it has known nothing for <away> s
    Then a caller is told to come back after <after> s

    Examples:
      | away | after |
      | 0.1  | 2     |
      | 3    | 3     |
      | 60   | 5     |

  @fixture.route-site.1
  Scenario: callers that come with an entry's start are answered by it
    When the entry is killed, and 12 callers connect while it starts
    Then each of them is answered with success

  @fixture.route-site.1
  Scenario: without the platform callers are refused at once and told to wait for it
    When the entry starts while the platform is out of reach
    Then a caller is refused with 503 and told to stay away 2 s or more
    And once the platform is back a caller is answered
