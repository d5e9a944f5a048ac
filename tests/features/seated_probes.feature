Feature: probes of brittle servers need a seat

  # Guards against a server that crashes under the probes of entries which suspect their
  # links while it pauses, since it has no room for them and bears few rejections.
  Scenario: a server whose places are all taken is not probed
    Given a brittle server with 2 places, of which 2 are taken
    When it is probed
    Then the probe was not sent
    When one place becomes free and it is probed again
    Then the probe was sent
    And its place is free again

  Scenario: the place of a probe without an answer is kept for a while
    Given a brittle server with 2 places, of which 1 is taken
    When it is probed and does not answer
    Then the probe was sent
    And its place is taken for at most half a second more
