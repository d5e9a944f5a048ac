Feature: requests that other entries serve run at no more servers than their routes allow

  # Guards against an entry that counted a request that failed at another entry as one
  # attempt, and had a third server run it.
  @fixture.route-site.4.repeats.cuts
  Scenario Outline: requests of an entry that is cut off from all servers run twice at most: <path>
    Given an entry that is cut off from all servers
    When "<path>" is called there, several at a time
    Then each request ran at most twice, and some ran twice
    And no caller was given a header of the entries

    Examples:
      | path                  |
      | /safe/always-cut      |
      | /safe/always-crossed  |
      | /safe/always-error    |
      | /safe/cut             |
      | /chat/always-cut      |
      | /chat/always-before   |
      | /chat/always-cut-head |
      | /chat/cut             |
      | /staged/always-cut    |

  # Guards against the same where the entry's own servers are asked again after it.
  @fixture.route-site.4.repeats.cuts
  Scenario Outline: requests that meet the beginning of a cut run twice at most: <path>
    When an entry is cut off from all servers and "<path>" is called there at once
    Then each request ran at most twice, and some ran twice

    Examples:
      | path               |
      | /safe/always-cut   |
      | /chat/always-cut   |
      | /chat/cut          |
      | /staged/always-cut |

  # Guards against reports between entries that reach a caller as events.
  @fixture.route-site.4.repeats.cuts
  Scenario: a stream that goes on at another entry brings its events alone
    Given an entry that is cut off from all servers
    When "/chat/cut" is called there, several at a time
    Then nine of ten are whole streams of their server's events alone

  # Guards against a number that a server or a broken entry states.
  Scenario Outline: an entry's answer that states "<runs>" attempts counts as <counted>
    Then an entry's answer that states "<runs>" attempts counts as <counted>

    Examples:
      | runs        | counted |
      |             | 1       |
      | 0           | 1       |
      | 1           | 1       |
      | 2           | 2       |
      | -2          | 1       |
      | two         | 1       |
      | 99999999999 | 1       |

  # Guards against the same within streams.
  Scenario Outline: reports of attempts are no events: "<events>"
    Then of the events "<events>" those "<kept>" are kept, with <runs> attempts

    Examples:
      | events                                       | kept                         | runs |
      | id: 1                                        | id: 1                        | 0    |
      | id: 1, : boragestream-runs 2                 | id: 1                        | 2    |
      | : boragestream-runs 3, id: 1                 | id: 1                        | 3    |
      | : boragestream-runs 2, : boragestream-runs 1 |                              | 2    |
      | : boragestream-runs x, id: 1                 | : boragestream-runs x, id: 1 | 0    |
      | : keep-alive, id: 1                          | : keep-alive, id: 1          | 0    |
