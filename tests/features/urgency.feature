Feature: accounts go before one another by their priority, and kinds of one rank by theirs

  Scenario Outline: the account's priority goes first, then the route's
    Given accounts of the priorities "<accounts>"
    Then requests "<requests>" are the more urgent the earlier they stand

    Examples: a request is the priority of its account, "-" for none, and of its route
      | accounts | requests           |
      | 1 1 1    | 1/0, 1/1, 1/2      |
      | 0 1      | 0/0, 0/2, 1/0, 1/2 |
      | 1 2      | 1/2, 2/0           |
      | none     | -/0, -/1, -/2      |

  Scenario: accounts that rank alike leave all room to their routes
    Given accounts of the priorities "3 3"
    Then a request "3/0" is as urgent as "-/0"

  # A burst in which two kinds of requests exceed the capacity of the same stage. The
  # longer chain has little slack there, and the short chat has the same slack.
  Scenario Outline: in a burst the urgent kind of request is served before the other
    Given a stage of <servers> servers that is asked for <load> times what they can do
    When half of the requests are of a kind two levels less urgent
    Then the urgent kind begins in time in <most> of its requests or more
    And in a fifth more of them than the other kind

    Examples:
      | servers | load | most |
      | 1       | 1.3  | 0.6  |
      | 3       | 1.2  | 0.75 |
      | 3       | 1.5  | 0.6  |
      | 10      | 1.4  | 0.75 |
