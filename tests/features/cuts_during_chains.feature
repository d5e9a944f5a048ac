Feature: chains are served although their entry is cut off from the engines while stages run

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
