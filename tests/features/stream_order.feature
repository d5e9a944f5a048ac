@fixture.route-site.2.repeats
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
      | 1, 2                      | may     |
      | plain                     | may not |
      | 1, 2, plain               | may not |
      | 1, plain, 2               | may     |
      | 1 plain                   | may not |
      | 1, spaced                 | may not |
      | comment, retry            | may     |
      | 1, comment, retry         | may     |
      | 1, plain gap              | may     |

  # Guards against a server that goes on elsewhere than behind the last event, whose events
  # are taken for others by their numbers alone.
  Scenario Outline: what a server sends once more must be what was passed on: <parts>
    Given a stream of 6 events whose first server sends "<first>"
    When another server sends "<parts>"
    Then "<passed>" is passed on, and the stream <end>

    Examples:
      | first        | parts                  | passed           | end       |
      | 1, 2, 3      | 4, 5, 6                | 1 2 3 4 5 6      | is whole  |
      | 1, 2, 3      | 1, 2, 3, 4, 5, 6       | 1 2 3 4 5 6      | is whole  |
      | 1, 2, 3      | 3 4 5 6                | 1 2 3 4 5 6      | is whole  |
      | 1, 2, 3      | other1 other2 other3 4 | 1 2 3            | is broken |
      | 1, 2, 3      | other1, other2         | 1 2 3            | is broken |
      | 1, 2, 3      | 1, 2                   | 1 2 3            | is broken |
      | 1, 2, 3      | 3                      | 1 2 3            | is whole  |
      | 1, 2, 3      |                        | 1 2 3            | is whole  |
      | 1, 2 3       | 1, 2, other3           | 1 2 3            | is broken |
      | 1, 2, 3 long | 3, 4, 5, 6             | 1 2 3 4 5 6      | is whole  |
      | 1, 2, other2 | 2, 3, 4, 5, 6          | 1 2 3 4 5 6      | is whole  |

  # Guards against the same where another request brought the events before.
  Scenario Outline: a server must come to the last event of a caller that goes on: <parts>
    Given a caller that goes on behind event 3
    When another server sends "<parts>"
    Then "<passed>" is passed on, and the stream <end>

    Examples:
      | parts   | passed | end       |
      | 4, 5    | 4 5    | is whole  |
      | 3, 4, 5 | 4 5    | is whole  |
      |         |        | is whole  |
      | 3       |        | is whole  |
      | 1, 2    |        | is broken |

  # Guards against a server that dies before it goes on, whose end of the connection is
  # taken for the end of the stream.
  Scenario Outline: a caller behind event 3 whose servers send "<parts>" without framing: <end>
    Given a caller that goes on behind event 3
    When servers send "<parts>" without framing
    Then "<passed>" is passed on, and the stream <end>

    Examples:
      | parts               | passed | end       |
      | nothing             |        | is broken |
      | nothing; nothing    |        | is whole  |
      | comment             |        | is broken |
      | nothing; 4, 5       | 4 5    | is whole  |
      | 4; nothing          | 4      | is broken |
      | 3                   |        | is whole  |

  # Guards against the same at real entries, where one read brings several events.
  Scenario Outline: a stream whose server breaks off goes on behind what its caller has: <shape>
    When 8 streams "/chat/shape-<shape>" are read at all entries, whole or not
    Then the events of each come once and in order, and it is <whole>

    Examples:
      | shape        | whole |
      | burst-skip=3 | whole |
      | skip=3       | whole |

  # Guards against a stream of events without numbers that begins anew within one answer.
  Scenario: a stream without numbers that breaks is cut, and not begun anew
    When 8 streams "/chat/shape-plain-stop=120" are read at all entries, whole or not
    Then each has its first events once and is cut

  # Guards against a server that goes on with other numbers or other events, and whose
  # events are joined to those of the first one.
  Scenario Outline: a stream never joins what does not go on behind its last event: <way>, <shape>
    Given engines that go on with streams <way>
    When 8 streams "/chat/shape-<shape>" are read at all entries, whole or not
    Then the events of each come once and in order, and it is <whole>
    And no event has the data of another one

    Examples:
      | way        | shape    | whole |
      | properly   | stop=150 | whole |
      | repeated   | stop=150 | whole |
      | renumbered | stop=150 | cut   |
      | renumbered | stop=250 | cut   |
      | rewritten  | stop=150 | cut   |
      | shortened  | stop=150 | cut   |
      | early      | stop=150 | cut   |

  # Guards against a stream that breaks before the first event of a caller that goes on,
  # and is answered by the HTTP library, without the request's id.
  Scenario Outline: a stream that can't go on before its first event fails as a request does: <way>
    Given engines that go on with streams <way>
    When callers go on with streams "/chat/ok" behind event 4
    Then each fails with 502 under its own id

    Examples:
      | way        |
      | shortened  |
      | half-ended |

  # Guards against the same for callers that go on at real entries.
  Scenario Outline: callers go on with streams that have no framing: <path>, <last>
    When callers go on with streams "<path>" behind event <last>
    Then each gets the events "<events>" and the end, in <runs> runs

    Examples:
      | path                         | last | events | runs |
      | /chat/unframed               | 4    | 5, 6   | 1    |
      | /chat/unframed-empty         | 4    | 5, 6   | 2    |
      | /chat/always-unframed-empty  | 6    |        | 2    |
      | /chat/ok                     | 6    |        | 1    |

  # Guards against a number that is read as another one, behind which nothing is left.
  Scenario Outline: a caller that names "<number>" as its last event is told that it is malformed
    When a caller goes on with stream "/chat/ok" behind event "<number>"
    Then it is told so, and no server is asked

    Examples:
      | number                         |
      | -1                             |
      | +5                             |
      | 1_0                            |
      | 4.0                            |
      | x                              |
      | 999999999999999999999999999999 |

  Scenario Outline: a caller that names "<number>" as its last event gets the events behind it
    When a caller goes on with stream "/chat/ok" behind event "<number>"
    Then it gets the events "<events>"

    Examples:
      | number | events           |
      | 0      | 1, 2, 3, 4, 5, 6 |
      | 4      | 5, 6             |
      | 04     | 5, 6             |
      | 6      |                  |
      | 100    |                  |

  # Guards against a cut stream that looks whole, where the end of the connection is the
  # end of the answer, as for callers of HTTP/1.0.
  Scenario Outline: a caller of HTTP/<version> sees whether stream "<path>" is whole
    When a caller of HTTP/<version> reads stream "<path>"
    Then it gets <count> events, and the connection <ends>

    Examples:
      | version | path                 | count | ends     |
      | 1.0     | /chat/ok             | 6     | ends     |
      | 1.0     | /chat/half           | 6     | ends     |
      | 1.0     | /draft/half          | 2     | is reset |
      | 1.0     | /draft/unframed-half | 2     | is reset |
      | 1.1     | /draft/half          | 2     | ends     |

  @fixture.route-site.1
  Scenario: a caller of HTTP/1.0 sees that its entry was killed within a stream
    When a caller of HTTP/1.0 reads stream "/chat/slow", and its entry is killed
    Then it gets some events, and the connection is reset

  # Guards against a part of an event that is relayed between entries and swallows the
  # event behind it, which tells the caller that the stream broke.
  Scenario Outline: each cut of a stream that another entry serves leaves whole events: <framing>
    Given an entry that streams two tokens and their end, <framing>
    When its stream is relayed, cut behind each of its bytes
    Then each caller got whole events, which end with "end" only if it was not cut

    Examples:
      | framing          |
      | in chunks        |
      | with a length    |

  # Guards against events that are lost or doubled where a server breaks off within an
  # event, between its lines, between CR and LF, or within the framing.
  Scenario Outline: streams go on wherever their server breaks off: <shape>
    Given engines whose streams have 2 events
    When streams "/chat/shape-<shape>" are read, cut behind each byte
    Then each has 2 events, once and in order, and is whole
    And no event has the data of another one

    Examples:
      | shape                |
      | short                |
      | short-crlf-burst     |
      | short-length-crlf    |
      | short-unframed-reset |

  # Guards against the same for streams whose stages run again before they go on.
  Scenario Outline: streams with stages go on where their server breaks off: <shape>
    When 8 streams with stages "/staged/<shape>" are read at all entries
    Then the events of each come once and in order, and it is whole

    Examples:
      | shape              |
      | shape-stop=150     |
      | shape-burst-skip=4 |
      | cut                |

  # Guards against a caller that takes a stream up while its first try is still read, so
  # that two runs of one stream go on at once.
  Scenario Outline: two tries of a caller that run at once each get their own events: <where>
    When 8 callers take a stream up <where> while they read on
    Then both tries of each get every event behind their last one, once and in order

    Examples:
      | where                |
      | at the same entry    |
      | at the other entry   |

  # Guards against tries that break in turn: each goes on behind what the caller has.
  Scenario Outline: a stream of which each try breaks comes whole over the tries: <path>
    When 8 callers take a stream "<path>" up at entries in turn until it is whole
    Then their events came once and in order, over more than one try

    Examples:
      | path                |
      | /chat/always-half          |
      | /chat/always-unframed-half |
      | /chat/always-before        |

  # Guards against events that are lost or doubled on the way between two entries.
  @fixture.route-site.3.cuts
  Scenario Outline: streams that pass between entries stay in order: the other entry <fate>
    Given an entry that is cut off from all engines
    When 12 streams are read there, and the entry that serves most of them <fate>
    Then no stream is out of order, and none looks whole before its last event
    And at least <most> in ten are whole

    Examples:
      | fate                  | most |
      | is killed             | 9    |
      | stands still for 1 s  | 9    |
      | loses its connections | 9    |
