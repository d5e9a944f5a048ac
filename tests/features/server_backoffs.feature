Feature: a server that told an entry when to come back is left alone until then

  Scenario: of several words the latest end holds
    Given an entry that calls servers
    When the server "a" asks for 3 s, and after 1 s for 1 s
    Then after 1.9 s more it is left alone
    And after 0.2 s more it is called

  Scenario: only the server that asked is left alone, and only in that life
    Given an entry that calls servers
    When the server "a" asks for 5 s, and after 0 s for 5 s
    Then the server "b" is called
    And a new life of the server "a" is called

  Scenario: the earliest end counts where all servers ask
    Given an entry that calls servers
    When the server "a" asks for 5 s, and after 0 s for 5 s
    And the server "b" asks for 2 s, and after 0 s for 2 s
    Then the first of them is called after 2 s

  Scenario: a backoff ends while the process is suspended
    Given an entry that calls servers
    When the server "a" asks for 5 s, and after 0 s for 5 s
    Then after 5.1 s more it is called

  Scenario: no word keeps a server away for good
    Given an entry that calls servers
    When the server "a" asks for 1e12 s, and after 0 s for 1 s
    Then after 3600 s more it is called

  Scenario Outline: "<text>" is read as <seconds>
    Then the backoff "<text>" is <seconds>

    Examples:
      | text                          | seconds |
      | 2                             | 2.0     |
      | 0.25                          | 0.25    |
      | 0                             | none    |
      | -1                            | none    |
      | inf                           | none    |
      | nan                           | none    |
      | soon                          | none    |
      | Wed, 21 Oct 2026 07:28:00 GMT | none    |

  Scenario Outline: a server that <what> <counted>
    Given a server that <what>
    Then it <counted>

    Examples:
      | what                              | counted          |
      | refuses connections               | has crashed      |
      | takes connections                 | has not crashed  |
      | leaves connections without a word | has not crashed  |

  # Guards against lost links of this entry that are taken for crashes under requests.
  Scenario Outline: a server that refuses connections like <others> others <counted>
    Given a server that refuses connections
    Then beside 2 others, of which <others> refuse as well, it <counted>

    Examples:
      | others | counted         |
      | 0      | has crashed     |
      | 1      | has crashed     |
      | 2      | has not crashed |

  # Guards against lost links that are taken for a crash because the other servers did not
  # answer, and thus did not refuse either.
  Scenario Outline: of other servers only those that accept a connection show a crash
    Given a server that refuses connections
    Then beside others that "<others>" it <counted>

    Examples:
      | others                | counted         |
      | hang, hang            | has not crashed |
      | refuse, hang          | has not crashed |
      | hang, refuse, accept  | has crashed     |

  # Guards against crashes that are not counted while another data centre is unreachable.
  Scenario: a server is compared with some of its own data centre and of others
    Given 4 servers in each of 2 data centres
    Then each is compared with servers of both data centres
