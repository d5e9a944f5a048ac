Feature: streams keep their software version after all entries have restarted

  # Guards against the loss of every stream while two versions go on serving, as no entry
  # has kept a record.
  @fixture.route-site.6
  Scenario: streams go on while both versions go on serving
    Given engines of the versions "v1 v1 v1 v2 v2 v2"
    And long streams
    When 30 streams are under way at all entries
    And all entries are killed at once
    And the killed entries are started
    And callers take up the streams that broke
    Then no stream holds events of two versions
    And at least half of the streams of "v1" that were taken up went on
    And at least half of the streams of "v2" that were taken up went on
    And no engine is asked for its prompt parts more than 18 times

  @fixture.route-site.6
  Scenario Outline: streams hold events of one version after "v1" <fate> before the kill
    Given engines of the versions "v1 v1 v1 v2 v2 v2"
    And long streams
    When 30 streams are under way at all entries
    And the servers of "v1" <fate>
    And all entries are killed at once
    And the killed entries are started
    And callers take up the streams that broke
    Then no stream holds events of two versions
    And at least half of the streams of "v2" that were taken up went on

    Examples:
      | fate                             |
      # Guards against new entries that list one version only and take it for the only one
      # that ever served.
      | are removed from the store       |
      # Guards against the same after a version ended in a crash, without a removal in time.
      | crash and are removed            |
      # Guards against a server that is taken for its former life at its address.
      | return as "v2" at their addresses |
      # Guards against entries that count only the versions that take work in their first
      # list.
      | report that they leave           |

  # Guards against changes of the list that no entry has seen.
  @fixture.route-site.6
  Scenario: streams hold events of one version after "v1" left while the entries were down
    Given engines of the versions "v1 v1 v1 v2 v2 v2"
    And long streams
    When 30 streams are under way at all entries
    And all entries are killed at once
    And the servers of "v1" report that they leave
    And the servers of "v1" are removed from the store
    And the killed entries are started
    And callers take up the streams that broke
    Then no stream holds events of two versions
    And at least half of the streams of "v2" that were taken up went on

  # Guards against refusals where no second version ever served.
  @fixture.route-site.6
  Scenario: all streams go on where one version alone serves
    Given engines of the versions "v1 v1 v1 v1"
    And long streams
    When 30 streams are under way at all entries
    And all entries are killed at once
    And the killed entries are started
    And callers take up the streams that broke
    Then no stream holds events of two versions
    And at least 10 streams in ten went on

  # Guards against entries that take the answers of others, which started a moment before
  # them, for those of entries that know the time before.
  @fixture.route-site.6
  Scenario: streams hold events of one version after the entries were killed in turn
    Given engines of the versions "v1 v1 v1 v2 v2 v2"
    And long streams
    When 30 streams are under way at all entries
    And the servers of "v1" are removed from the store
    And the entries are killed in turn 0.3 s apart, each started at once
    And callers take up the streams that broke
    Then no stream holds events of two versions
    And at least half of the streams of "v2" that were taken up went on

  # Guards against refusals for want of a record where one entry still knows the versions,
  # and against its knowledge being outvoted by entries that just started.
  @fixture.route-site.6
  Scenario: streams hold events of one version after all entries but one were killed
    Given engines of the versions "v1 v1 v1 v2 v2 v2"
    And long streams
    When 30 streams are under way at all entries
    And the servers of "v1" are removed from the store
    And all entries but one are killed at once
    And the killed entries are started
    And callers take up the streams that broke
    Then no stream holds events of two versions
    And at least half of the streams of "v2" that were taken up went on

  # Guards against a history that the store has dropped being taken for one in which
  # nothing was removed.
  @fixture.route-site.6
  Scenario: streams hold events of one version where the store dropped its history
    Given engines of the versions "v1 v1 v1 v2 v2 v2"
    And long streams
    When 30 streams are under way at all entries
    And the servers of "v1" are removed from the store
    And all entries are killed at once
    And the store drops its history
    And the killed entries are started
    And callers take up the streams that broke
    Then no stream holds events of two versions

  # Guards against refusals for want of a history where one version alone ever served.
  @fixture.route-site.6
  Scenario: streams of a single version go on where the store dropped its history
    Given engines of the versions "v1 v1 v1 v1"
    And long streams
    When 30 streams are under way at all entries
    And all entries are killed at once
    And the store drops its history
    And the killed entries are started
    And callers take up the streams that broke
    Then no stream holds events of two versions
    And at least 9 streams in ten went on

  # Guards against streams that began while one version served, and of whose version
  # nothing was kept as there was no other.
  @fixture.route-site.6
  Scenario: streams that began before "v2" was listed hold events of one version
    Given engines of the versions "v1 v1 v1"
    And long streams
    When 15 streams are under way at all entries
    And 3 servers of "v2" are listed
    And 20 streams are under way at all entries
    And the servers of "v1" are removed from the store
    And all entries are killed at once
    And the killed entries are started
    And callers take up the streams that broke
    Then no stream holds events of two versions
    And at least half of the streams of "v2" that were taken up went on

  @fixture.route-site.6
  Scenario Outline: streams hold events of one version where engines list no prompt parts: <served>
    Given engines of the versions "v1 v1 v1 v2 v2 v2"
    And long streams
    And engines that do not list their prompt parts
    When 30 streams are under way at all entries
    And the servers of "v1" <fate>
    And all entries are killed at once
    And the killed entries are started
    And callers take up the streams that broke
    Then no stream holds events of two versions

    Examples:
      | served                | fate                       |
      # Guards against a guess where two versions serve and no engine can be asked.
      | both versions         | go on serving              |
      # Guards against a failed question being taken for the answer that nothing is held.
      | one version is left   | are removed from the store |

  # Guards against a history without its beginning being taken for the whole one where no
  # engine can be asked either.
  @fixture.route-site.6
  Scenario: streams hold events of one version where neither store nor engines know the past
    Given engines of the versions "v1 v1 v1 v2 v2 v2"
    And long streams
    And engines that do not list their prompt parts
    When 30 streams are under way at all entries
    And the servers of "v1" are removed from the store
    And all entries are killed at once
    And the store drops its history
    And the killed entries are started
    And callers take up the streams that broke
    Then no stream holds events of two versions
