Feature: what was sent decides which outcome is true

  Scenario Outline: an attempt that certainly did not run says nothing of another one
    Given a request for which <first> was sent as <first kind>
    And a request for which <second> was sent as <second kind>
    When the server says that it did not run <second>
    Then a failure of the request ends as "<outcome>"

    Examples:
      | first | first kind     | second | second kind    | outcome |
      | a-1   | not repeatable | a-2    | not repeatable | unknown |
      | a-1   | repeatable     | a-2    | not repeatable | failed  |
      | a-1   | not repeatable | a-1    | not repeatable | failed  |

  Scenario: a request for which nothing was sent is refused
    Given a request for which nothing was sent
    Then a failure of the request ends as "refused"
