Feature: an answer counts only if its head and its body are known to be whole

  # Guards against an answer cut inside its head that is delivered with an empty body.
  Scenario Outline: an answer that ends inside its head is no answer
    Given a server that sends an answer <framed>
    When each cut of its head is sent, and the connection <ends>
    Then no call is answered, and nothing was taken from a head

    Examples:
      | framed              | ends      |
      | with a length       | ends      |
      | with a length       | is reset  |
      | in chunks           | ends      |
      | without a length    | ends      |

  # Guards against a head cut at the deadline that is delivered as a whole answer.
  Scenario: a head that is still coming at the deadline is no answer
    Given a server that sends an answer with a length
    When the last bytes of its head are not sent before the deadline
    Then the call failed for its deadline, and nothing was taken from a head

  # Guards against statements of servers that are taken from a cut head.
  Scenario Outline: <reader> takes nothing from an answer that ends inside its head
    Given a server that says of itself what it can
    When <reader> is sent each cut of its head
    Then no cut counted as an answer, and the whole one did

    Examples:
      | reader                                    |
      | a call of a pipeline                      |
      | a read of the platform                    |
      | a probe of a server                       |
      | a probe of a pipeline's server            |

  # Guards against header lines that are skipped together with the length behind them.
  Scenario Outline: a head that can't be read is no answer
    Given a server whose answer has the line "<line>" in its head
    When the call is made
    Then the call failed

    Examples:
      | line                       |
      | no header                  |
      | : no name                  |
      | a name: value              |
      | a\x01name: value           |
      | X-Note: a\x07value         |
      | X-Note: a\x7fvalue         |
      | X-Note: a\rvalue           |
      | Content-Length: 5x         |
      | Content-Length: -1         |
      | Content-Length: 4, 5       |
      | Transfer-Encoding: unknown |

  # Guards against an answer that is delivered with a status that the protocol lacks.
  Scenario Outline: a status line that can't be read is no answer
    Given a server whose answer has the status line "<line>"
    When the call is made
    Then the call failed

    Examples:
      | line                  |
      | HTTP/1.1 000 None     |
      | HTTP/1.1 99 Short     |
      | HTTP/1.1 600 Beyond   |
      | HTTP/1.1 2000 Long    |
      | HTTP/1.1 200 O\x07K    |
      | HTTP/2 200 OK         |

  # Guards against bytes behind a body that are read as trailers and are none.
  Scenario Outline: an answer whose trailers can't be read is no answer
    Given a server whose answer has the trailer "<line>"
    When the call is made
    Then the call failed

    Examples:
      | line               |
      | no header          |
      | a name: value      |
      | X-Sum: a\x07value  |

  Scenario Outline: heads and trailers may have any text of the protocol: <line>
    Given a server whose answer has the <part> "<line>"
    When the call is made
    Then the call is answered with the whole body

    Examples:
      | part        | line                          |
      | status line | HTTP/1.1 200                  |
      | status line | HTTP/1.1 299 Caf\xe9 au\tlait |
      | trailer     | X-Sum: \xe9\t~               |
      | trailer     | X-Empty:                      |

  # Guards against the entry's own end of a connection taken for the end of a body.
  Scenario Outline: an answer without a length counts only if its server ended it
    Given a server that sends an answer without a length
    When half of its body is sent, and <event>
    Then the call failed, and is not answered in part

    Examples:
      | event                                       |
      | the deadline passes                         |
      | the caller leaves                           |
      | the entry turns out to be cut off           |
      | the connection is reset                     |

  # Guards against a part of an answer that counts as whole, since the failed send of a
  # long call has consumed the error that tells a reset from an end.
  Scenario Outline: an answer without a length does not count if its call was not sent whole: <part>, <ends>
    Given a server that sends an answer without a length
    When a long call is made, and after <part> the connection <ends>
    Then the call failed, and is not answered in part

    Examples:
      | part             | ends     |
      | its head         | is reset |
      | half of its body | is reset |
      | half of its body | ends     |

  Scenario Outline: the answer to a long call counts if its end is marked or the call was read: <framed>, <reads>
    Given a server that sends an answer <framed>
    When a long call is made to a server that <reads> of it
    Then the call is answered with the whole body

    Examples:
      | framed           | reads       |
      | with a length    | reads all   |
      | with a length    | reads a bit |
      | in chunks        | reads all   |
      | in chunks        | reads a bit |
      | without a length | reads all   |

  # Guards against an answer in chunks that counts without the end of its trailers.
  Scenario Outline: an answer in chunks counts only with its last chunk and trailers
    Given a server that sends an answer in chunks
    When each cut of its body is sent, and the connection <ends>
    Then no call is answered

    Examples:
      | ends      |
      | ends      |
      | is reset  |

  # Guards against an interim answer that is delivered as the final one, without a body.
  Scenario Outline: interim answers are not the final one
    Given a server that sends an answer <framed>
    When interim answers with the statuses "<statuses>" come before it
    Then the call is answered with the whole body

    Examples:
      | framed           | statuses      |
      | with a length    | 100           |
      | in chunks        | 102, 102, 103 |
      | without a length | 103           |

  Scenario: a change of the protocol that nobody asked for is no answer
    Given a server that sends an answer with a length
    When interim answers with the statuses "101" come before it
    Then the call failed

  Scenario Outline: a whole answer is read
    Given a server that sends an answer <framed>
    When the call is made
    Then the call is answered with the whole body

    Examples:
      | framed           |
      | with a length    |
      | in chunks        |
      | without a length |
