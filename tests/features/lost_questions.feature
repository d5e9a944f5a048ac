Feature: an open question to the platform is no proof that nothing has changed
  Seen: a stage server was asked for pieces 2.6 seconds after it had said that it was
  leaving; two seconds are promised. All entries were well, and so was the store, for
  more than five seconds.

  How it came about: the store had been silent for nine seconds before. The watch of the
  servers that each entry had begun in the silence was lost, and was never answered. The
  store was back, the configuration was followed again, and the entries waited on for
  the limit of that one call: eleven seconds, later twenty-nine.

  The cause: a call that waits was taken for word that nothing has changed, for as long
  as it may wait. What proved it: with an outage and a leave like those all six entries
  heard of the leave when that limit ended, three to five seconds after it; with a
  change right before the silence, so that every entry asked anew within it, the promise
  was broken each time.

  @fixture.route-site.3
  Scenario: a server that leaves gets no new work though all watches of servers are lost
    Given every entry has asked about the servers anew, and all these questions are lost
    When a plain server is draining
    Then requests to all entries soon do not reach it any more

  @fixture.route-site.3
  Scenario: a route is in force though all watches of the configuration are lost
    Given every entry has asked for the configuration anew, and its questions are lost
    When version 7 is published with the route "/new/"
    Then all entries soon serve "/new/ok"

  @fixture.route-site.3
  Scenario: servers whose entries lapse while the store is silent are called on after it
    Given the store says nothing, and every entry that is in use has found out
    When the entries of all plain servers lapse and come back after the silence
    Then no request was refused meanwhile

  Scenario: each of two publications logs by itself that the platform is away
    Given an entry that has just been answered about the configuration, not the servers
    When the store gives no answer to what the entry asks to make sure
    Then both the servers and the configuration are logged as out of reach, once each
    When the store answers again
    Then both are logged as regained, once each

  # Guards against a removal that is taken for a lapse in an outage that ended before.
  Scenario: a watch that outlives an outage brings a removal that is heeded at once
    Given an entry whose watch of the servers outlives an outage of the store
    When a server is removed 1.4 seconds after the store's return
    Then it is gone from the first list after that

  @fixture.fleet.cooperative
  Scenario: an entry that watches the instance list hears of a leave though it was lost
    Given every entry has asked for the instance list anew, and these questions are lost
    When the instance list says that "writer-2" is leaving
    Then every entry soon holds "writer-2" to be leaving
