Feature: what is turned down before admission is told an honest time to come back

  Scenario Outline: callers refused for <failure> do not return together
    When 20 callers are refused for <failure> before admission
    Then each is told when to come back, and their times are spread

    Examples:
      | failure          |
      | NoConfiguration  |
      | EntryLeaving     |
      | TicketsExhausted |

  Scenario: a request that finds no thread is told the time of its pipeline
    When 20 requests for one pipeline find no thread
    Then each is told when to come back, and their times are spread
