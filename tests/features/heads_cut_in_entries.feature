Feature: no head that a server cuts reaches a caller as a whole answer, in whole entries
  Each byte of the head is tried, so that the cuts lie in the status line, in the seal,
  in the framing and before the blank line.

  # Guards against a head without its framing that is delivered as a whole answer.
  @fixture.route-site.1
  Scenario Outline: each cut head of "<path>" by <end> is no answer, <often>
    When "<path>" is called with each cut of its head by <end>, <often>
    Then no cut answer was delivered as whole
    And at least <served> in ten were served by another server

    Examples:
      | path             | end     | often  | served |
      | /unsafe/ok       | close   | always | 0      |
      | /unsafe/ok       | reset   | always | 0      |
      | /unsafe/ok       | silence | always | 0      |
      | /unsafe/unframed | close   | always | 0      |
      | /unsafe/unframed | reset   | always | 0      |
      | /safe/ok         | close   | once   | 9      |
      | /safe/ok         | reset   | once   | 9      |
      | /safe/ok         | silence | once   | 0      |
      | /safe/ok         | close   | always | 0      |
      | /draft/ok        | close   | always | 0      |
      | /draft/ok        | reset   | always | 0      |
      | /draft/ok        | silence | always | 0      |
      | /draft/unframed  | close   | always | 0      |
      | /chat/ok         | close   | once   | 9      |
      | /chat/ok         | reset   | once   | 9      |
      | /chat/ok         | silence | once   | 0      |
      | /chat/unframed   | close   | once   | 9      |
      | /chat/ok         | close   | always | 0      |
      | /staged/ok       | close   | once   | 9      |

  # Guards against the same where another entry passes the answer on.
  @fixture.route-site.3.cuts.repeats
  Scenario Outline: the same through another entry: <path>, <end>, <often>
    Given an entry that is cut off from all servers
    When "<path>" is called with each cut of its head by <end>, <often>
    Then no cut answer was delivered as whole
    And at least <served> in ten were served by another server

    Examples:
      | path             | end     | often  | served |
      | /unsafe/ok       | close   | always | 0      |
      | /unsafe/ok       | reset   | always | 0      |
      | /unsafe/ok       | silence | always | 0      |
      | /unsafe/unframed | close   | always | 0      |
      | /safe/ok         | close   | once   | 9      |
      | /draft/ok        | close   | always | 0      |
      | /draft/ok        | silence | always | 0      |
      | /draft/unframed  | reset   | always | 0      |
      | /chat/ok         | close   | once   | 9      |
      | /chat/ok         | reset   | once   | 9      |

  # Guards against results that are read from a cut answer of a stage server.
  @fixture.route-site.1
  Scenario Outline: a cut head of a stage server's answer gives no results: <end>
    When chains are called with cuts of the heads of stage servers by <end>
    Then each that is served was given the results of its own pieces
    And at least <served> in ten were served

    Examples:
      | end     | served |
      | close   | 9      |
      | reset   | 9      |
      | silence | 0      |
