Feature: a document travels as a difference

  Scenario: a difference leads to its text from its base and from nothing else
    Then for arbitrary texts a difference applied to its base is the text
    And applied to another base it is refused as "wrong-base"

  Scenario Outline: a damaged difference is refused
    Given the difference between two texts
    When its "<field>" is damaged
    Then it is refused as "<failure>"

    Examples:
      | field     | failure            |
      | data      | difference-damaged |
      | cut       | difference-damaged |
      | result    | difference-damaged |
      | base      | wrong-base         |
      | oversized | difference-damaged |
