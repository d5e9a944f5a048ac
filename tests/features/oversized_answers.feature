Feature: answers without end cost little, and their servers win no calls

  # Guards against a server that takes the entry's processor until the deadline, or whose
  # endless answer is delivered as a whole one.
  Scenario Outline: an answer with <what> without end fails at its bound
    Given a server whose answers have <what> without end
    When it is called, and its answer is read whole and as a stream
    Then both calls fail at the bound "<bound>", and their connections were closed
    And the bound was noted for the server

    Examples:
      | what                          | bound                                  |
      | interim heads                 | 16 interim heads                       |
      | other interim heads           | 16 interim heads                       |
      | header lines                  | 65536 bytes of head                    |
      | a header                      | 65536 bytes of head                    |
      | short lines of a head         | 128 lines of head                      |
      | a body that has no length     | 16777216 bytes of body                 |
      | a body of a huge length       | 16777216 bytes of body                 |
      | large chunks                  | 16777216 bytes of body                 |
      | chunks of a byte              | more bytes of framing than of the body |
      | a chunk's size                | 1024 bytes of a chunk's size           |
      | trailers                      | 8192 bytes of trailers                 |

  Scenario: bytes that are no head fail at once
    Given a server whose answers have other bytes without end
    When it is called, and its answer is read whole and as a stream
    Then both calls fail, and their connections were closed

  # Guards against a probe that lasts as long as its server sends single bytes.
  Scenario: a probe ends in time though the head of its answer comes byte by byte
    Given a server that sends the head of its answer byte by byte without end
    When a probe of a pipeline's server has 0.5 s
    Then it has ended as one that hangs before the server's 40th byte

  # Guards against a probe or a read of the platform that takes in what a faulty server
  # sends for as long as it sends it.
  Scenario Outline: <reader> ends at a bound though its answer has <what> without end
    Given a server whose answers have <what> without end
    When <reader> reads its answer
    Then at most 20 MB were sent before its connection was closed

    Examples:
      | reader                         | what                      |
      | a read of the platform         | a header                  |
      | a read of the platform         | a body that has no length |
      | a read of the platform         | large chunks              |
      | a read of the platform         | trailers                  |
      | a probe of a server            | a header                  |
      | a probe of a server            | a body that has no length |
      | a probe of a server            | large chunks              |
      | a probe of a pipeline's server | a header                  |
      | a probe of a pipeline's server | a body that has no length |
      | a probe of a pipeline's server | large chunks              |

  Scenario Outline: the bounds leave room for <what>
    Given a server whose answers have <what>
    When it is called, and its answer is read whole and as a stream
    Then both calls are answered whole

    Examples:
      | what                                |
      | some interim heads                  |
      | many headers                        |
      | many trailers                       |
      | 1000 chunks of a byte               |
      | an event in each of 10000 chunks    |
      | 15 MiB without a length             |

  # Guards against calls that are lost one after the other at a server that fails fast.
  Scenario: a server that went beyond a bound gets no calls that may run only once
    Given a record of oversized answers
    When an answer of one of six servers goes beyond a bound
    Then calls that may run only once go to the five others for 10 s
    And they go to all six again after that

  Scenario: half of the servers are used however many went beyond a bound
    Given a record of oversized answers
    When answers of four of six servers go beyond a bound
    Then calls that may run only once go to all six

  @fixture.route-site.1
  Scenario: a server that answers without end is logged, counted, and loses few calls
    Given six plain servers, of which one answers with trailers without end
    When 120 requests "/unsafe/ok" and 120 requests "/safe/ok" are sent, 4 at once
    Then all that may be repeated are answered, and of the others all but 8
    And the server and the bound are logged, and the bound is counted
