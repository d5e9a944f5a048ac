Feature: the events of a stream come once, in order, and to the last one

  # Guards against events that were read together with the one behind a gap, and that
  # neither this server's stream nor the next one's brings to the caller.
  Scenario Outline: events read together with a fault come from the next server: <fault>
    Given a stream of <count> events whose first server sends "<parts>"
    When another server goes on properly
    Then the events come once and in order, and the stream is whole

    Examples:
      | fault              | count | parts                 |
      | a gap              | 6     | 1 2 4                 |
      | a gap after events | 6     | 1, 2 3 5              |
      | an endless number  | 6     | 1 2 long              |
      | an endless event   | 6     | 1 2 endless           |

  # Guards against an event without a number that the next server sends once more, as it
  # goes on behind the last number.
  Scenario Outline: a stream of which events without a number were passed on <may> go on: <parts>
    Given a stream of 3 events whose first server sends "<parts>"
    Then another server <may> go on with it

    Examples:
      | parts                     | may     |
      | 1, 2, break               | may     |
      | plain, break              | may not |
      | 1, 2, plain, break        | may not |
      | 1, plain, 2, break        | may     |
      | 1 plain, break            | may not |
      | 1, spaced, break          | may not |
      | comment, retry, break     | may     |
      | 1, comment, retry, break  | may     |
      | 1, plain gap              | may     |

  # Guards against the same at real entries, where one read brings several events.
  @fixture.route-site.2
  Scenario Outline: a stream whose server breaks off goes on behind what its caller has: <shape>
    When 8 streams "/chat/shape-<shape>" are read at all entries, whole or not
    Then the events of each come once and in order, and it is <whole>

    Examples:
      | shape        | whole |
      | burst-skip=3 | whole |
      | skip=3       | whole |

  # Guards against a stream of events without numbers that begins anew within one answer.
  @fixture.route-site.2
  Scenario: a stream without numbers that breaks is cut, and not begun anew
    When 8 streams "/chat/shape-plain-stop=120" are read at all entries, whole or not
    Then each has its first events once and is cut
