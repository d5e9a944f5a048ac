Feature: requests are served although their entry is cut off from servers while they wait

  # Guards against an entry that sends a request to an engine that it no longer reaches,
  # once its stages are done, and waits for the answer until the deadline.
  @fixture.route-site.3.cuts
  Scenario Outline: chains of an entry that is cut off during their stages are served: <how>
    Given stages that take long, and steady streams at all entries
    When chains are called at "entry-0", which is then cut off from all engines, "<how>"
    Then all chains are served, by other entries

    Examples:
      | how     |
      | silent  |
      | dark    |
      | kept    |
      | reset   |
      | refused |

  # Guards against the same at an entry to which another one has delegated the request.
  @fixture.route-site.3.cuts
  Scenario Outline: chains that another entry has taken over are served if it is cut off as well: <how>
    Given stages that take long, and steady streams at all entries
    And "entry-0" is cut off from all engines, "<how>"
    When chains are called at "entry-0", and "entry-2" is then cut off as well, "<how>"
    Then all chains are served, by other entries

    Examples:
      | how     |
      | silent  |
      | refused |

  # Guards against calls that were sent before a cut was confirmed and are not given up then.
  @fixture.route-site.3.repeats.cuts
  Scenario Outline: what is sent between a cut and its confirmation is served elsewhere: <how>, <path>
    Given steady streams at all entries
    When "<path>" is called at "entry-0" again and again while a cut, "<how>", is confirmed
    Then all of these calls are served

    Examples:
      | how    | path       |
      | silent | /chat/ok   |
      | silent | /safe/ok   |
      | silent | /staged/ok |
      | dark   | /chat/ok   |
