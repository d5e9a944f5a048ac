Feature: a caller's connection carries every byte in order

  Scenario Outline: a slow reader gets the whole of a streamed reply
    Given a server whose reply is <count> chunks of <size> bytes
    When a caller with a small receive buffer reads the reply slowly
    Then it has every byte in order

    Examples:
      | count | size   |
      | 400   | 60     |
      | 40    | 300000 |

  # Guards against threads and the event loop that wait for each other for ever.
  Scenario: a thread that wakes the event loop never waits for it
    Given a server whose event loop stands still
    When a thread wakes the loop 200000 times
    Then the thread ends, and the loop runs what was passed to it

  # Guards against an event loop that stands still while one thread writes a stream.
  Scenario: the event loop does not wait for a thread that writes
    Given a connection whose output a thread has locked
    When the event loop counts what the kernel holds for it
    Then it has ended before the thread unlocks the output

  # Guards against streams that take processor time and memory for nobody.
  Scenario: a stream does not run ahead of a caller that does not read
    Given a server whose streams run at most 65536 bytes ahead
    When a caller with a small receive buffer asks for 2000000 bytes and reads nothing
    Then less than 500000 bytes are written and the rest waits
    When streams may run ahead without bound
    Then the stream is written to its end
    When the caller reads
    Then it has every byte in order

  Scenario: a stream goes on as its caller reads
    Given a server whose streams run at most 65536 bytes ahead
    When a caller with a small receive buffer asks for 2000000 bytes and reads nothing
    Then less than 500000 bytes are written and the rest waits
    When the caller reads
    Then it has every byte in order
    And the stream is written to its end
