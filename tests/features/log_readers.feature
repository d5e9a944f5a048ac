Feature: an entry serves and ends by itself, whoever reads its log

  # Guards against a process that stays for ever once the reader of its log has gone.
  Scenario Outline: a forwarding entry: <reader>
    Given a forwarding entry whose log has a reader that <reader>
    Then an ordinary request is answered
    When the entry reads its settings again
    Then an ordinary request is answered
    When the entry is told to end
    Then it ends by itself with the exit code 0

    Examples:
      | reader                          |
      | has gone                        |
      | does not read                   |
      | closed the output before it     |
      | reads a little from time to time |

  Scenario Outline: an entry of JSON pipelines: <reader>
    Given an entry of JSON pipelines whose log has a reader that <reader>
    Then an ordinary request to a pipeline is answered
    When the entry of JSON pipelines is told to end
    Then it ends by itself with the exit code 0

    Examples:
      | reader                          |
      | has gone                        |
      | does not read                   |
      | closed the output before it     |
      | reads a little from time to time |

  Scenario: lines that could not be written are counted, and reported to the next reader
    Given a forwarding entry whose log has a reader that comes and goes
    When the reader has gone, and requests are served
    Then the metrics count lost lines
    When a reader has come back, and requests are served
    Then it reads as many lost lines as the metrics count
    When the entry is told to end
    Then it ends by itself with the exit code 0

  Scenario: an entry of JSON pipelines states how many lines were lost
    Given an entry of JSON pipelines whose log has a reader that has gone
    When requests to its pipelines are served
    Then its status page counts lost lines, and none as dropped

  Scenario: a second signal ends an entry whose log nobody reads
    Given a forwarding entry whose log has a reader that does not read
    When the entry is told to end, and again once it is leaving
    Then it ends by itself with the exit code 3

  Scenario Outline: a <program> whose <fault> ends, though nobody reads its complaints
    Given a <program> whose <fault>, and a full standard error
    Then it ends by itself with the exit code <code>

    Examples:
      | program                 | fault                 | code |
      | forwarding entry        | settings are no TOML  | 2    |
      | forwarding entry        | address is taken      | 5    |
      | entry of JSON pipelines | settings are no TOML  | 2    |
      | entry of JSON pipelines | address is taken      | 5    |

  # Guards against an entry that ignores SIGTERM after one failed reload.
  Scenario: a forwarding entry ends after its settings could not be read again
    Given a forwarding entry whose log has a reader that has gone
    When its settings are a folder, and it reads them again
    And the entry is told to end
    Then it ends by itself with the exit code 0

  Scenario: a task that fails is run again
    Given a background task that fails twice
    When it is started
    Then it was run three times, and each failure was logged
