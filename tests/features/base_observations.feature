Feature: an entry observes its requests and stages

  Scenario: percentiles are near the truth and old values are forgotten
    Given histograms on a clock that the test moves
    When 1 to 1000 milliseconds are recorded for "counter" by 4 threads
    Then "counter" shows 4000 values, and percentiles within 7 in 100
    When 130 seconds pass
    Then no series is shown

  Scenario: the memory of the target's accounts and stages is bounded
    Given histograms on a clock that the test moves
    When 730 client accounts and 48 stages fill both of their windows
    Then the histograms hold less than 8 megabytes

  Scenario: metrics reach statsd and never block
    Given a statsd socket
    When a request of "counter" to "caption" is answered in 20 milliseconds
    Then statsd has heard "boragestream.entry-1.requests.counter.caption.answered:1|c"
    And statsd has heard "boragestream.entry-1.request_time.counter.answered:20.000000|ms"
    When the statsd socket is closed
    And a request of "counter" to "caption" is answered in 20 milliseconds
    Then "counter" counts 2 answered requests
