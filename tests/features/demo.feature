Feature: the demonstration ends whole and leaves nothing behind

  Scenario: it ends with a line of JSON in which nothing was lost
    When the demo runs to its end
    Then it exits with 0
    And its last line counts at least 300 requests, half streamed, some not repeatable
    And it counts the calls by published routes, of which nothing was lost either
    And none of its processes remains

  Scenario Outline: it leaves no process behind when it is ended
    When the demo is sent <signal> after it says "<text>"
    Then it exits with <code>
    And none of its processes remains

    Examples:
      | signal  | text     | code |
      | SIGINT  | starting | 130  |
      | SIGINT  | sending  | 130  |
      | SIGTERM | sending  | 130  |
      | SIGKILL | sending  | -9   |
