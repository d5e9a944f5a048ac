@fixture.fleet.cooperative
Feature: bad input gets a typed answer or a closed connection
  The entry keeps serving after each.

  Scenario Outline: a malformed request
    When the bytes of "<case>" are sent to the caller port of "entry-1"
    Then it answers <status> with "<failure>"
    And "entry-1" still serves

    Examples:
      | case                          | status | failure              |
      | length and chunked            | 400    | malformed-request    |
      | chunked in HTTP 1.0           | 400    | malformed-request    |
      | two lengths                   | 400    | malformed-request    |
      | negative length               | 400    | malformed-request    |
      | folded header                 | 400    | malformed-request    |
      | bare line feed                | 400    | malformed-request    |
      | space before colon            | 400    | malformed-request    |
      | no request line               | 400    | malformed-request    |
      | broken chunk                  | 400    | malformed-request    |
      | unknown transfer encoding     | 501    | encoding-unsupported |
      | long header                   | 431    | header-too-long      |
      | long body announced           | 413    | body-too-long        |
      | long body in chunks           | 413    | body-too-long        |
      | body that is not JSON         | 400    | malformed-body       |
      | body that is no object        | 400    | malformed-body       |
      | body with another field       | 400    | malformed-body       |
      | body nested too deeply        | 400    | malformed-body       |
      | body with a lone surrogate    | 400    | malformed-body       |
      | empty body                    | 400    | malformed-body       |
      | no key                        | 401    | wrong-key            |
      | key in another encoding       | 401    | wrong-key            |
      | unknown pipeline              | 404    | pipeline-unknown     |
      | path in another encoding      | 404    | path-unknown         |
      | path of raw bytes             | 400    | malformed-request    |
      | path with a zero byte         | 404    | path-unknown         |
      | wrong method                  | 405    | method-not-allowed   |
      | wrong method for a ticket     | 405    | method-not-allowed   |
      | deadline of letters           | 400    | deadline-absurd      |
      | deadline of other digits      | 400    | deadline-absurd      |
      | deadline of a thousand digits | 400    | deadline-absurd      |
      | deadline that has passed      | 504    | deadline-passed      |
      | long ticket                   | 400    | malformed-header     |

  Scenario: a slow body holds no thread and is closed in the end
    When 40 callers send a byte of their bodies again and again to "entry-1"
    Then "entry-1" still serves
    And each of their connections is closed
