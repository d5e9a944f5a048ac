Feature: many answers without end at once leave an entry within its memory
  Each answer goes on until its reader closes the connection.

  # Guards against an entry that keeps what faulty servers send until its memory is
  # used up, so that the requests of all its other callers end with it.
  Scenario Outline: a hundred answers of "<kind>" servers with <what> without end: <path>
    Given an entry of 128 MB
    And "<kind>" servers whose answers have <what> without end
    When 100 requests "<path>" are sent at once, and 20 requests "<other>" meanwhile
    Then none of the 100 requests is answered whole
    And the 20 others are answered at once or when they return
    And the entry never took more than 128 MB
    And the entry holds nothing

    Examples:
      | kind   | what                      | path       | other     |
      | plain  | a header                  | /safe/ok   | /chat/ok  |
      | plain  | a body that has no length | /safe/ok   | /chat/ok  |
      | plain  | a body that has no length | /unsafe/ok | /chat/ok  |
      | plain  | a body of a huge length   | /safe/ok   | /chat/ok  |
      | plain  | large chunks              | /unsafe/ok | /chat/ok  |
      | plain  | chunks of a byte          | /safe/ok   | /chat/ok  |
      | plain  | trailers                  | /safe/ok   | /chat/ok  |
      | engine | a header                  | /chat/ok   | /safe/ok  |
      | engine | large chunks              | /chat/ok   | /safe/ok  |
      | engine | a body that has no length | /draft/ok  | /safe/ok  |
      | stage  | a body that has no length | /staged/ok | /safe/ok  |
      | stage  | large chunks              | /staged/ok | /chat/ok  |
      | stage  | a header                  | /staged/ok | /chat/ok  |

  # Guards against the same in what an entry asks servers on its own account.
  Scenario Outline: answers to an entry's own calls with <what> without end: <target>
    Given an entry of 128 MB
    And servers whose answers to "<target>" have <what> without end
    When stages take long, and requests "<path>" are sent for 5 s, 20 at once
    Then the entry never took more than 128 MB
    And the entry holds nothing
    And "<other>" is answered, at once or when it returns

    Examples:
      | target               | what                      | path       | other    |
      | /boragestream/report | a body that has no length | /staged/ok | /safe/ok |
      | /boragestream/report | large chunks              | /staged/ok | /chat/ok |

  # Guards against the same in answers of the store.
  Scenario Outline: answers of the store with <what> without end
    Given an entry of 128 MB
    When the store answers with <what> without end for 4 s
    Then the entry never took more than 128 MB
    And "/safe/ok" is answered, at once or when it returns
    When version 2 is published with the route "/new/"
    Then all entries serve "/new/ok"

    Examples:
      | what                      |
      | a header                  |
      | a body that has no length |
      | a body of a huge length   |
      | large chunks              |
      | trailers                  |
