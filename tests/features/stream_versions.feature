Feature: a stream goes on only at the software version that began it

  # Guards against streams whose events come from servers of two software versions after
  # a server broke the stream and another one went on with it.
  @fixture.route-site.3
  Scenario Outline: a stream that its server breaks holds events of one version: <versions>, <path>
    Given engines of the versions "<versions>"
    When 30 streams "<path>" are read at all entries
    Then no stream holds events of two versions
    And every stream is whole

    Examples:
      | versions          | path                |
      | v1 v1 v2 v2       | /chat/cut           |
      | v1 v1 v2 v2       | /chat/half          |
      | v1 v1 v2 v2       | /chat/unframed-half |
      | v1 v1 v2 v2       | /staged/cut         |
      | v1 v1 v2 v2 v3 v3 | /chat/cut           |

  # Guards against streams of two versions after their callers took them up again, as new
  # requests to any entry.
  @fixture.route-site.6
  Scenario Outline: streams that callers take up <where> hold events of one version and go on: <versions>
    Given engines of the versions "<versions>"
    When 30 callers read part of a stream and take it up <where>, <times> times
    Then no stream holds events of two versions
    And at least <most> streams in ten went on

    Examples:
      | where                            | versions          | times | most |
      | at another entry                 | v1 v1 v2 v2       | 3     | 9    |
      | at the same entry                | v1 v1 v2 v2       | 1     | 9    |
      | at another entry after a second  | v1 v1 v2 v2       | 1     | 9    |
      | at another entry                 | v1 v1 v2 v2 v3 v3 | 1     | 9    |
      | where its server breaks it again | v1 v1 v2 v2       | 1     | 9    |

  # Guards against the version of a stream being known to the entry that began it alone.
  @fixture.route-site.6
  Scenario Outline: streams whose entry <fate> go on at their version
    Given engines of the versions "v1 v1 v2 v2"
    When 30 callers read part of a stream at two entries that <fate>, and take it up at others
    Then no stream holds events of two versions
    And at least 9 streams in ten went on
    And the logs name "record" as the basis of each
    And no engine is asked for its prompt parts

    Examples:
      | fate      |
      | is killed |
      | hangs     |

  # Guards against a stream that goes on at another version because none of its own is
  # left, and against its caller waiting for one.
  @fixture.route-site.3
  Scenario: streams whose version has no server left are refused at once
    Given engines of the versions "v1 v2 v2"
    When 18 callers read part of a stream, all servers of "v1" end, and they take it up at other entries
    Then no stream holds events of two versions
    And every stream of "v1" is refused at once as not run
    And every stream of "v2" went on

  # Guards against a server that starts again at its address under another version and is
  # taken for the one before.
  @fixture.route-site.3
  Scenario: a rolling upgrade at the same addresses leaves no stream of two versions
    Given engines of the versions "v1 v1 v1 v1"
    When callers read streams and take them up while each engine in turn becomes "v2"
    Then no stream holds events of two versions

  # Guards against a stream that goes on at the service to which its route has moved
  # since it began, as if that one had served it.
  @fixture.route-site.3
  Scenario Outline: streams whose route has moved to another service are refused: <version>
    Given engines of "v1 v1", and engines of another service of "<version>"
    When the entries have followed the list for 21 s
    And 24 callers read part of a stream, its route moves to the other service, and they take it up at other entries
    Then each ends with its first part, and is refused as not run
    When a new stream of each caller is read in part and taken up at another entry
    Then no stream holds events of two versions
    And at least 9 streams in ten went on

    Examples:
      | version |
      | v2      |
      | v1      |

  # Guards against a stream that goes on at a version which is listed only after the
  # stream was taken up, as single versions were not held to.
  @fixture.route-site.3
  Scenario: streams taken up before a second version is listed go on at the first
    Given engines of the versions "v1 v1"
    And stage servers that take 0.4 s
    When 8 callers read part of a stream with stages and take it up, and during its stages 6 engines of "v2" are listed
    Then no stream holds events of two versions
    And at least 9 streams in ten went on

  # Guards against an entry that goes on with a stream whose version it can't know.
  @fixture.route-site.3
  Scenario Outline: a request that takes up <what> is refused as not run
    Given engines of the versions "v1 v1 v2 v2"
    When a request takes up <what> at each entry
    Then each is refused as not run

    Examples:
      | what                              |
      | an unknown stream                 |
      | a stream without naming a request |
      | a stream of another account       |

  @fixture.route-site.3
  Scenario: with a single version streams go on that no entry knows
    Given engines of the versions "v1 v1"
    When a request takes up an unknown stream at each entry
    Then each goes on behind its last event
    And the logs name "store history" as the basis of the first

  # Guards against streams that are refused while a single version serves, by entries that
  # have just started and don't reach all others.
  @fixture.route-site.6
  Scenario: with a single version streams go on while other entries are lost
    Given engines of the versions "v1 v1"
    When 30 callers read part of a stream at two entries that is killed, and take it up at others
    Then at least 9 streams in ten went on

  # Guards against entries that are cut off from servers and have another entry go on with
  # a stream, which does not know its version; and against streams that break although
  # another entry reaches the servers, because the cut is not confirmed yet.
  @fixture.route-site.6.cuts
  Scenario Outline: streams that pass between entries hold events of one version: <how>
    Given engines of the versions "v1 v1 v2 v2"
    When streams are read at an entry that is cut off from all servers, <how>
    Then no stream holds events of two versions
    And at least <most> streams in ten went on
    And some of them went on at another entry

    Examples:
      | how                                    | most |
      | and their servers break them           | 9    |
      | and all its connections are reset      | 9    |
      | and the entry that serves them is lost | 9    |
