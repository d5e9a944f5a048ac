Feature: requests keep little of a version of the routes that was replaced

  # Guards against an entry that ends for its memory, and cuts its streams, because each
  # request keeps all routes of the version under which it began.
  Scenario: requests that outlast their versions keep none of their other routes
    Given an entry that serves by 200 routes
    When a request begins under each of 12 versions, and all of them run on
    Then of the replaced versions the routes of these requests are kept alone
    And each of the requests still knows the services of its version

  # Guards against the same by the targets that are kept for streams that are taken up.
  Scenario: the replaced targets of many versions share what is equal
    Given an entry that serves by 200 routes
    When 20 versions follow that lead one other route each to another service
    Then the targets of the replaced versions have 220 parts at most
    And a stream of each of these routes may have begun at its former service
