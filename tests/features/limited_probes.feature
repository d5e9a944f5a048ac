Feature: probes of servers with a limit need a permit
  An entry whose calls are silent or fail probes servers, to tell whether its own links are
  lost. A limit counts each request over all entries.

  # Guards against a server that gets more requests than its limit when all servers pause,
  # since each entry suspects its own links and probes the servers without a permit.
  Scenario Outline: an entry that suspects its links probes <probed> of 3 servers: <limited> limited
    Given an entry before 3 servers, of which <limited> have a limit and <permits> a permit
    When a check finds its calls silent
    Then <probed> servers were probed, none of them without a permit

    Examples:
      | limited | permits | probed |
      | 0       | 0       | 3      |
      | 1       | 0       | 2      |
      | 3       | 0       | 0      |
      | 3       | 2       | 2      |

  # Guards against a cut by one dead server, while limited ones answer other entries, and
  # against a suspicion that ends although nothing could be probed.
  Scenario Outline: probes that were not allowed neither cut an entry off nor clear it
    Given an entry before 3 servers, of which <limited> have a limit and 0 a permit
    When 4 checks find no server that answers, and another entry that was just answered
    Then the suspicion stays

    Examples:
      | limited |
      | 2       |
      | 3       |

  Scenario: an entry is cut off if all probes with a permit fail
    Given an entry before 3 servers, of which 3 have a limit and 2 a permit
    When 1 checks find no server that answers, and another entry that was just answered
    Then it is cut off
