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

  # Guards against the same at real entries, where one read brings several events.
  @fixture.route-site.2
  Scenario Outline: a stream whose server breaks off goes on behind what its caller has: <shape>
    When 8 streams "/chat/shape-<shape>" are read at all entries, whole or not
    Then the events of each come once and in order, and it is <whole>

    Examples:
      | shape        | whole |
      | burst-skip=3 | whole |
      | skip=3       | whole |
