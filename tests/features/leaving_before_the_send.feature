Feature: a decision ages until its first byte is sent, and is looked at again then
  A server is chosen, then a thread is waited for and a connection made, which takes up
  to half a second and as long as the process was paused. What is learnt of a leave in
  between counts: not a byte is sent, and another server is chosen at once.

  Scenario Outline: a server that begins to leave while <call> connects gets nothing
    Given a server that has been chosen for <call>
    When it begins to leave while the connection is made
    Then no byte was sent, the failure is "server-left", and nothing speaks against it

    Examples:
      | call                |
      | a batch of pieces   |
      | a forwarded request |
      | a stage's attempt   |

  Scenario Outline: <call> is not sent to a server <what> while it connects
    Given a server that has been chosen for <call>
    When <what> while the connection is made
    Then no byte was sent, the failure is "<failure>", and nothing speaks against it

    Examples:
      | call                | what                       | failure     |
      | a batch of pieces   | its data centre is drained | server-left |
      | a forwarded request | its data centre is drained | server-left    |
      | a batch of pieces   | it turns out to be cold    | server-cold |
      | a forwarded request | it turns out to be cold    | server-cold |
      | a batch of pieces   | it names a limit           | server-limited |
      | a forwarded request | it names a limit           | server-limited |
      | a stage's attempt   | it names a limit           | server-limited |

  # Guards against a call that a brittle server has to reject, since it was chosen before
  # the server said that it bears no rejections.
  Scenario Outline: <call> is not sent without a place to a server that turns brittle
    Given a server that has been chosen for <call>
    When it says that it is brittle while the connection is made
    Then no byte was sent, and a place must be held for it

    Examples:
      | call                |
      | a forwarded request |
      | a stage's attempt   |

  Scenario Outline: <call> is not sent once it is known to crash servers
    Given a server that has been chosen for <call>
    When the request turns out to crash servers while the connection is made
    Then no byte was sent, and the request is quarantined

    Examples:
      | call                |
      | a forwarded request |
      | a stage's attempt   |

  Scenario Outline: a server in a drained data centre is told nothing more
    Given a server that has been chosen for a batch of pieces
    When its data centre is drained and <word> is due
    Then not a byte is sent

    Examples:
      | word                     |
      | a release of results     |
      | a question for a report  |

  # Guards against a server that has said that it leaves and is still sent releases.
  Scenario Outline: a server that <leaves> is sent no release of results
    Given a server that has been chosen for a batch of pieces
    When it <leaves> and a release of results is due
    Then not a byte is sent

    Examples:
      | leaves                                  |
      | is leaving                              |
      | is missing from the list                |
      | begins to leave while a release connects |

  Scenario: a server that is leaving is still asked about a call that it works on
    Given a server that has been chosen for a batch of pieces
    When it is leaving and a question for a report is due
    Then it is asked

  Scenario Outline: a limited server is sent nothing but calls for pieces
    Given a server that has been chosen for a batch of pieces
    When it has named a limit and <message> is due
    Then not a byte is sent

    Examples:
      | message                |
      | a release of results   |
      | a question for a report |

  Scenario: pieces whose server left are sent to another one at once
    Given two servers, of which the first begins to leave while its call connects
    When the owner of their queue is given an order
    Then the second one makes its pieces, and the first one gets none
