Feature: a caller's connection carries every byte in order

  Scenario Outline: a slow reader gets the whole of a streamed reply
    Given a server whose reply is <count> chunks of <size> bytes
    When a caller with a small receive buffer reads the reply slowly
    Then it has every byte in order

    Examples:
      | count | size   |
      | 400   | 60     |
      | 40    | 300000 |
