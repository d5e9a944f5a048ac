Feature: entries that reach no server have their callers served by other entries

  # Guards against entries that lost their links to all servers and failed nearly every
  # caller, although the other entries reached these servers.
  @fixture.route-site.6.cuts
  Scenario Outline: callers are served at <count> of six entries cut off from all servers: <how>, <path>
    When <count> entries are cut off from all servers, <how>, and "<path>" is called at all
    Then first tries are served there as often as at the others once the cut has lasted 3 s
    And all are served where they came in 3 s after the cut has healed
    And nothing that may run once has run twice

    Examples:
      | count | how     | path        |
      | 1     | refused | /safe/ok    |
      | 1     | refused | /unsafe/ok  |
      | 1     | reset   | /safe/ok    |
      | 1     | reset   | /unsafe/ok  |
      | 1     | silent  | /safe/ok    |
      | 1     | silent  | /unsafe/ok  |
      | 1     | dark    | /unsafe/ok  |
      | 1     | kept    | /unsafe/ok  |
      | 1     | silent  | /chat/ok    |
      | 2     | reset   | /chat/ok    |
      | 2     | dark    | /draft/ok   |
      | 5     | refused | /unsafe/ok  |
      | 1     | silent  | /staged/ok  |
      | 3     | refused | /staged/ok  |

  # Guards against an owner of a stage queue that reaches no stage server and keeps the
  # queue, so that chains fail at entries whose own links are whole.
  @fixture.route-site.6.cuts
  Scenario: chains are served at all entries while the owner of the stage queue is cut off
    When the owner of the stage queue and 2 more are cut off, "refused", and "/staged/ok" is called
    Then first tries are served there as often as at the others once the cut has lasted 3 s
    And nine of ten are served at the entries whose links are whole
    And no entry that is cut off owns the stage queue

  # Guards against the same for the pipelines of the project's own document.
  @fixture.fleet.cooperative.cuts
  Scenario Outline: pipelines are served at two of six entries that are cut off: <how>, <call>
    When two entries are cut off from all servers, "<how>", and "<call>" is called at all
    Then first tries are served there as often as at the others once the cut has lasted 3 s
    And all calls are answered 3 s after the cut has healed
    And no call that may run once has run twice

    Examples:
      | how     | call                  |
      | refused | caption               |
      | dark    | caption               |
      | refused | caption, streamed     |
      | refused | order-status          |
      | dark    | order-status          |
      | refused | order-status, tickets |

  # Guards against an answer of another entry that ends early and looks whole.
  @fixture.route-site.3.cuts
  Scenario Outline: an answer is not whole if the entry that serves it is <struck>: <path>
    Given an entry that is cut off from all servers
    When "<path>" is called there, and the entry that serves it is <struck>
    Then the caller is not given a whole answer, and nothing ran twice

    Examples:
      | path         | struck |
      | /unsafe/slow | killed |
      | /unsafe/slow | frozen |
      | /draft/slow  | killed |
      | /draft/slow  | frozen |
