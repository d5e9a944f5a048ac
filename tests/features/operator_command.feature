@fixture.fleet.cooperative
Feature: the command line

  Scenario Outline: exit codes without a deployment
    Given the key "any" in the environment
    When boragestream runs "<arguments>"
    Then its exit code is <code>
    And its output holds "<text>"

    Examples:
      | arguments                                  | code | text                   |
      | check examples/cooperative.json            | 0    | document: valid        |
      | check examples/entry.toml                  | 0    | settings: valid        |
      | check examples/route-entry.toml            | 0    | route settings: valid  |
      | check examples/cooperative-trace.jsonl     | 1    | not JSON               |
      | check no-such-file                         | 2    | No such file           |
      | check --schema                             | 0    | schema_version         |
      | check --schema --settings                  | 0    | data_centre            |
      | show examples/consortium.json              | 0    | client_accounts        |
      | show examples/entry.toml                   | 1    | not JSON               |
      | no-such-command                            | 2    | Usage                  |
      | call caption hello --entry=127.0.0.1:1     | 3    | entry-unreachable      |
      | call caption x --entry=x --deadline=nan    | 2    | is no number           |
      | call caption x --entry=x --key-file=nofile | 2    | key-unusable           |
      | status --entry=127.0.0.1:1                 | 3    | unreachable            |
      | status --metrics=127.0.0.1:1               | 3    | unreachable            |
      | replay no-file --entry=x --keys=no-keys    | 2    | key-unusable           |
      | report no-such-file                        | 2    | No such file           |
      | --version                                  | 0    | 0.1                    |

  Scenario: a streamed call prints tokens as they come
    Given the key "example-key-patan-counter" in the environment
    And each "writer" server stalls in the middle of its next stream
    When boragestream runs "call caption hello --stream --entry=ENTRIES"
    Then its exit code is 0
    And it has printed the tokens for "hello" in several writes

  Scenario: entries, status and the document in force
    Given the key "example-key-patan-counter" in the environment
    When boragestream runs "entries --json --entry=ENTRIES"
    Then its exit code is 0
    And its JSON at "entries" counts 6
    When boragestream runs "status --json --entry=ENTRY-1"
    Then its exit code is 0
    And its JSON at "entries" counts 6
    And its JSON at "lowest_version" is 1
    And its JSON at "highest_version" is 1
    And its JSON at "disputed" is {}
    And its JSON at "accounts.patan-counter.latency.count" exceeds 0
    And its JSON at "stages.caption.write.server_seconds" exceeds 0
    And its JSON at "costs.patan-counter.used_seconds" exceeds 0
    And its JSON at "windows.writer.limit" exceeds 0
    When boragestream runs "status --entry=ENTRY-1"
    Then its output holds "patan-counter"
    When boragestream runs "show --entry=ENTRY-1"
    Then its exit code is 0
    And its JSON at "version" is 1
    And no whole key digest is in its output

  Scenario: a replayed trace is compared with its statement and reported
    Given a file of the example keys
    When boragestream runs "replay examples/cooperative-trace.jsonl --entry=ENTRIES --keys=KEYS --results=RESULTS --json"
    Then its exit code is 0
    And its JSON at "whole.sent" is 48
    And its JSON at "whole.answered" is 47
    And its JSON at "whole.refused" is 1
    And its JSON at "whole.missed" is 0
    And its JSON at "accounts" counts 5
    When boragestream runs "report RESULTS"
    Then its exit code is 0
    And its output holds "| pipeline-unknown | 1 |"
    When boragestream runs "report ENTRY-LOGS --json"
    Then its exit code is 0
    And its JSON at "pipelines" counts 4
    When a trace states that "caption" is refused
    And boragestream runs "replay TRACE --entry=ENTRIES --keys=KEYS"
    Then its exit code is 1

  Scenario: a trace is checked before anything is sent
    Given a file of the example keys
    When a trace has the line {"at_ms": -1, "account": "x"}
    And boragestream runs "replay TRACE --entry=ENTRIES --keys=KEYS"
    Then its exit code is 1
    And its output holds "line 1"

  Scenario Outline: a call's exit code is its outcome
    # It comes last: faults that no call met stay with their servers.
    Given the key "example-key-patan-counter" in the environment
    And the next call of each "<service>" server meets "<fault>" 3 times
    When boragestream runs "call <pipeline> hello --entry=ENTRIES <options>"
    Then its exit code is <code>
    And its output holds "<text>"

    Examples:
      | service       | fault | pipeline     | options       | code | text      |
      | writer        | none  | caption      |               | 0    | mark      |
      | writer        | none  | caption      | --json        | 0    | answered  |
      | writer        | none  | no-such      | --json        | 4    | refused   |
      | writer        | error | caption      |               | 5    | failed    |
      | member-ledger | none  | order-status | --once        | 0    | mark      |
      | member-ledger | reset | order-status |               | 6    | unknown   |
      | member-ledger | none  | order-status | --once --json | 6    | ask       |

  # Guards against a reply that ends the command before it has told of other entries.
  Scenario Outline: a reply of an entry that can't be read is told: <arguments>, <reply>
    Given the key "any" in the environment
    And a place that replies <reply>
    When boragestream runs "<arguments>"
    Then its exit code is 3
    And its output holds "unreachable"

    Examples:
      | arguments                  | reply                 |
      | status --entry=PLACE       | 100,000 levels        |
      | status --entry=PLACE       | 5,000 digits          |
      | entries --entry=PLACE      | 100,000 levels        |
      | call caption x --entry=PLACE | 100,000 levels      |
