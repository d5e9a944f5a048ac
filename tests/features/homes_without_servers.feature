Feature: a request stays in its home regions though its entry reaches no server there
  Of three entries those of "hall-a" and "hall-c" are in the region "valley", that of
  "hall-b" is in "hills"; of five there are three and two.

  # Guards against an entry that reaches no server and sends a request, with its body, to an
  # entry outside the request's home regions.
  @fixture.route-site.5.cuts
  Scenario Outline: requests of a bound <bound> are delegated to entries at home alone: <how>, <path>
    When a configuration binds the <bound> to "valley"
    And an entry in "hills" is cut off from all servers, <how>, and "<path>" is called there
    Then no entry in "hills" was sent a request
    And entries in "valley" were sent some of them
    And those called 3 s after the cut began were served

    Examples:
      | bound   | how     | path       |
      | routes  | refused | /unsafe/ok |
      | routes  | silent  | /safe/ok   |
      | routes  | reset   | /chat/ok   |
      | routes  | refused | /draft/ok  |
      | routes  | refused | /staged/ok |
      | account | refused | /unsafe/ok |
      | account | silent  | /staged/ok |

  # Guards against the same where no entry at home reaches a server, and against requests
  # that are tried and held although it is known that they can't be served.
  @fixture.route-site.3.cuts
  Scenario Outline: requests of a bound <bound> are refused at once if no entry at home reaches a server: <how>, <path>
    When a configuration binds the <bound> to "valley"
    And all entries in "valley" are cut off from all servers, <how>, and "<path>" is called there
    Then no entry in "hills" was sent a request
    And those called 3 s after the cut began were refused as not run
    And no attempt was made for those called 3 s after the cut began

    Examples:
      | bound   | how     | path       |
      | routes  | refused | /unsafe/ok |
      | routes  | silent  | /safe/ok   |
      | routes  | dark    | /draft/ok  |
      | routes  | reset   | /chat/ok   |
      | routes  | refused | /staged/ok |
      | account | refused | /chat/ok   |

  # Guards against the same while a cut is only suspected: a service that is reached
  # elsewhere never counts as cut off.
  @fixture.route-site.2.cuts
  Scenario Outline: requests of a bound <bound> stay at home if the servers there alone are not reached: <path>
    When a configuration binds the <bound> to "valley"
    And all entries in "valley" are cut off from the servers there, <how>, and "<path>" is called there
    Then no entry in "hills" was sent a request
    And those called 3 s after the cut began were refused as not run

    Examples:
      | bound   | how     | path       |
      | routes  | refused | /unsafe/ok |
      | routes  | refused | /staged/ok |
      | account | refused | /chat/ok   |

  # Guards against a stream that leaves its home regions in the middle, and against a
  # caller's next attempt that does.
  @fixture.route-site.5.cuts
  Scenario: streams that break at a cut are resumed at home
    When a configuration binds the routes to "valley"
    And an entry in "hills" is cut off from all servers amid streams that are taken up there
    Then no entry in "hills" was sent a request
    And entries in "valley" were sent some of them
    And the streams are whole

  # Guards against a restriction that applies where there is none, and against one that is
  # taken from another configuration than the request's own.
  @fixture.route-site.3.cuts
  Scenario: the homes of each configuration bind its own requests alone
    When all entries in "valley" are cut off from all servers, refused
    Then "/unsafe/ok" is soon served there by an entry in "hills"
    When a configuration binds the routes to "valley"
    Then "/unsafe/ok" is refused there, and no entry in "hills" is sent it
    When a configuration binds the routes to "valley, hills"
    Then "/unsafe/ok" is soon served there by an entry in "hills"
    When routes and account are bound, the former to "hills", the latter to "valley"
    Then "/unsafe/ok" is refused there, and no entry in "hills" is sent it
    And "/staged/ok" is refused there, and no entry in "hills" is sent it
