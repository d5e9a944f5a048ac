@fixture.route-site.2
Feature: answers of servers with numbers that can't be are served or fail alone
  No number of any length in an answer ends anything but the call that it answers.

  # Guards against header values that raise where an answer's head is read: the call
  # then fails although it was answered, and callers get 502.
  Scenario Outline: servers that say "<header>: <value>" are answered from: <kind>
    Given all "<kind>" servers say "<header>: <value>" in each answer
    When the path of "<kind>" servers is called at all entries
    Then every answer is whole and from a server

    Examples:
      | kind   | header       | value          |
      | plain  | Server-Load  | 1,9 x 5000,1   |
      | plain  | Server-Load  | 1,1,9 x 400    |
      | plain  | Server-Load  | ²,1,1     |
      | plain  | Server-Load  | -1,nan,inf     |
      | plain  | Keep-Alive   | timeout=9 x 5000 |
      | plain  | Keep-Alive   | timeout=² |
      | plain  | Server-Limit | 9 x 5000       |
      | plain  | Server-Limit | nan            |
      | plain  | Retry-After  | 9 x 5000       |
      | engine | Server-Load  | 1,9 x 5000,1   |
      | engine | Keep-Alive   | timeout=² |
      | engine | Server-Brittle | 9 x 5000     |
      | stage  | Server-Load  | 1,9 x 5000,1   |
      | stage  | Server-Load  | ²,1,1     |
      | stage  | Keep-Alive   | timeout=² |

  # Guards against an event number that raises in the middle of a stream, which then
  # ends without another server being asked.
  Scenario Outline: a stream with an event number of 5,000 digits breaks there: <path>
    When the request "POST" "<path>" is sent
    Then the events are "<events>", <whole>, and it ran <runs> times

    Examples:
      | path               | events           | whole | runs |
      | /chat/long-number  | 1, 2, 3, 4, 5, 6 | whole | 2    |
      | /draft/long-number | 1, 2             | cut   | 1    |

  # Guards against a handle that breaks the head of the call that names it, or adds
  # headers and inputs to it.
  Scenario Outline: a result with the handle <handle> is no result
    Given the next results of all stage servers have the handle <handle>
    When the path of "stage" servers is called at all entries
    Then every answer is whole and from a server
    And no engine was given an odd handle

    Examples:
      | handle            |
      | "a\r\nTenant: b"  |
      | "a,b"             |
      | "\u0142"         |
      | "h x 100000"      |
