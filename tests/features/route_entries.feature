@fixture.route-site.3
Feature: entries on the platform find one another, follow the store and stop whole

  Scenario: a killed entry is named no more, and again once it is back
    When the entry "entry-2" is killed
    Then "entry-0" and "entry-1" name 2 entries
    When the entry "entry-2" is started again
    Then all entries name 3 entries

  Scenario: the seed itself may be killed and come back with everything forgotten
    When the entry "entry-0" is killed
    Then "entry-1" and "entry-2" name 2 entries
    When the entry "entry-0" is started again
    Then all entries name 3 entries

  Scenario: a new version is in force on all entries, and requests keep theirs
    When version 2 is published with the route "/new/"
    Then all entries serve "/new/ok"
    When version 3 is published without the route "/new/"
    Then all entries answer 404 to "/new/ok"

  Scenario: a key that was taken away is refused on all entries
    When version 4 is published with the key "another-key-0123456789" alone
    Then all entries answer 401 to "/safe/ok"
    When version 5 is published with the usual key
    Then all entries serve "/safe/ok"

  Scenario Outline: entries serve while the store is <trouble>, and follow it again
    When the store is "<trouble>"
    Then all entries serve "/safe/ok"
    When the store is back and version <version> has the route "/v<version>/"
    Then all entries serve "/v<version>/ok"

    Examples:
      | trouble | version |
      | 503     | 11      |
      | 429     | 12      |
      | reset   | 13      |

  Scenario: changes that the store has forgotten are read again
    When the store forgets its history and version 21 is published with the route "/v21/"
    Then all entries serve "/v21/ok"

  Scenario: an entry that the store turns away hears of a new version from the others
    Given "entry-2" is turned away by its own store
    When version 31 is published with the route "/v31/"
    Then all entries serve "/v31/ok"
    And version 32 without "/v31/" ends it on all entries
    And "entry-2" is served by the store again

  Scenario Outline: a server that is <state> gets no new work
    When a plain server is <state>
    Then 30 requests "/safe/ok" do not reach it
    And it is listed again under a new id and reached

    Examples:
      | state    |
      | draining |
      | removed  |

  Scenario: pieces of all entries meet, and are made while their owner is killed
    When requests with pieces go to all entries while each entry is killed in turn
    Then each is answered whole or truthfully refused, and none with another's results

  Scenario: a stopping entry answers what it has and is named no more
    When "entry-1" gets SIGTERM while a slow request runs there
    Then it is not ready at once, and "entry-0" and "entry-2" name 2 entries
    And the slow request is answered whole and the entry ends with exit code 0
    When the entry "entry-1" is started again
    Then all entries name 3 entries

  Scenario: a stream that outlasts the stop is cut in plain sight, and in time
    When "entry-1" gets SIGTERM while a stream runs there that takes longer
    Then the stream ends without its end and the entry ends with exit code 4
    When the entry "entry-1" is started again
    Then all entries name 3 entries

  Scenario Outline: a settings file with faults is checked, all of them at once
    Given the settings of an entry with "<old>" in place of "<new>"
    Then checking them names "<fault>" and the entry ends with exit code 2

    Examples:
      | new                 | old                 | fault            |
      | share = 0.2         | share = -1          | retries.share    |
      | grace_seconds = 8   | grace_seconds = true | stop.grace       |
      | descriptors = 1024  | descriptors = 0     | resources.descr  |

  Scenario: a changed settings file is read at SIGHUP, and a broken one changes nothing
    When the settings of "entry-1" change and it gets SIGHUP
    Then "entry-1" logs "settings_reloaded" and serves "/safe/ok"
    When the settings of "entry-1" are broken and it gets SIGHUP
    Then "entry-1" logs "settings_refused" and serves "/safe/ok"
