Feature: a server that is leaving gets no new work

  Scenario Outline: leaving holds for one incarnation, whatever the list says later
    Given a table with the server "a" in incarnation "1"
    When "<source>" says that "a" is leaving
    And these lists come: "<lists>"
    Then new work for "a" is "<work>"
    And its idle connections were dropped

    Examples:
      | source     | lists                      | work   |
      | the server | live 1, live 1             | none   |
      | a peer     | live 1, live 1             | none   |
      | the list   | live 1                     | none   |
      | the server | nothing, live 1            | none   |
      | the list   | nothing, nothing, live 1   | none   |
      | the server | live 2                     | served |
      | the server | live 2, live 1             | none   |
      | the list   | nothing, live 2            | served |

  Scenario: a server without an incarnation may come back once the list has dropped it
    Given a table with the server "a" in incarnation ""
    When "the server" says that "a" is leaving
    And these lists come: "live "
    Then new work for "a" is "none"
    When these lists come: "nothing, live "
    Then new work for "a" is "served"

  Scenario: the memory of leaving servers is bounded
    Given a table with the server "a" in incarnation "1"
    When 20000 other servers leave and vanish
    Then the table remembers at most 8192 of them

  @fixture.fleet.cooperative.in-turn
  Scenario: a server's own word reaches every entry while the list says live
    Given "encoder-2" says that it is leaving, with a call in progress
    When "entry-1" has been refused by it
    And 2 s go by
    And every entry is called 4 times
    Then "encoder-2" was offered nothing
    And the call in progress ended answered
    When the list drops "encoder-2" and names it again
    And every entry is called 4 times
    Then "encoder-2" was offered nothing
    When "encoder-2" is replaced at its address
    And every entry is called 4 times
    Then "encoder-2" has run calls of every entry
    And every promise holds
