@fixture.fleet.cooperative
Feature: an odd instance in the published list is left out, and the others hold

  # Guards against one odd instance that keeps the whole list out of use: entries stop
  # following it, and entries that start know no server.
  Scenario Outline: the list is followed with an instance that has <value> as "<field>"
    When an instance with <value> as "<field>" is listed, and "<server>" as leaving
    Then every entry holds "<server>" to be "leaving"
    And no entry knows the odd instance
    When "entry-2" starts anew
    Then "entry-2" is ready and holds "<server>" to be "leaving"

    Examples:
      | field | value | server |
      | port | 0 | encoder-1 |
      | port | 65536 | retriever-1 |
      | port | 9 x 400 | reranker-1 |
      | peer_port | -1 | writer-1 |
      | peer_port | 65536 | writer-2 |
      | peer_port | 9 x 400 | scan-intake-1 |
      | address | "" | scan-intake-2 |
      | address | "a\r\nb" | member-ledger-1 |
      | state | "odd" | print-queue-1 |
