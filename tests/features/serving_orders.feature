Feature: the owner of a backend server brings it to what the document wants

  Background:
    Given a server that honours fencing numbers
    And "entry-1" has owned it for long by list 5

  Scenario: an order is given once
    When "entry-1" makes 3 rounds
    Then the server holds what is wanted
    And the server took the orders "5"

  Scenario: an owner that wakes beyond its lease gives no order
    When "entry-1" is paused beyond its lease while it reads the server
    Then the server took the orders ""
    And "entry-1" may not order it

  Scenario Outline: an order that was sent before a pause arrives after the next owner's
    Given a server that <treats> fencing numbers
    When list 6 makes "entry-2" the owner and it has waited
    And "entry-2" makes 1 round
    And a late order of list 5 for another version arrives
    Then the server took the orders "<taken>"
    When "entry-2" makes 1 round
    Then the server holds what is wanted

    Examples:
      | treats  | taken |
      | honours | 6     |
      | ignores | 6,5   |

  Scenario: a new owner waits the earlier lease out
    When list 6 makes "entry-2" the owner
    And "entry-2" makes 1 round
    Then the server took the orders ""

  Scenario: an owner that reads no list any more stops, and nobody doubles it
    When list 6 makes "entry-2" the owner and it has waited
    And "entry-1" makes 1 round
    And "entry-2" makes 1 round
    Then the server took the orders "6"

  Scenario: a share of the weight store that is used up waits
    Given the weight store allows 0.1 loads a second
    When "entry-1" makes 2 rounds
    Then the server took the orders ""
    When the owners' clock moves on by 11 seconds
    And "entry-1" makes 1 round
    Then the server took the orders "5"
